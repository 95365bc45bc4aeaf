//! Callers that stop reading, replayed: what a process holds stays within its bound.

use luglink_scheduling::{Growth, HeldBytes, HeldBytesLimit, HolderId};
use luglink_types::TenantName;
use proptest::prelude::*;

/// Memory of the smallest machine, and the part of it that is held for others.
const MACHINE_BYTES: u64 = 88 << 20;
const LIMIT: u64 = MACHINE_BYTES / 4;

/// Callers that stop reading at the same time.
const STALLED_CALLERS: u64 = 300;

/// What each of them leaves unread: a prompt with its history and the answer to it.
const BODY_BYTES: u64 = 128 << 10;
const ANSWER_BYTES: u64 = 256 << 10;

fn tenant(number: u64) -> Option<TenantName> {
    Some(format!("t{number}").as_str().into())
}

/// Takes callers that read their answers to no end, 16 KiB of each at a time. Returns how many
/// were let in and the most that was held.
fn replay(held: &mut HeldBytes, of: impl Fn(u64) -> Option<TenantName>) -> (usize, u64) {
    let mut open: Vec<HolderId> = Vec::new();
    let mut most = 0;
    for number in 0..STALLED_CALLERS {
        if let Ok(holder) = held.admit(of(number), BODY_BYTES) {
            held.set_abortable(holder, true);
            open.push(holder);
        }
        most = most.max(held.total());
    }
    let let_in = open.len();
    for answered in (0..ANSWER_BYTES).step_by(16 << 10) {
        for holder in open.clone() {
            if let Growth::Granted(cuts) = held.resize(holder, BODY_BYTES + answered) {
                open.retain(|open| cuts.iter().all(|cut| cut.holder != *open));
            } else {
                held.release(holder);
                open.retain(|open| *open != holder);
            }
            most = most.max(held.total());
        }
    }
    (let_in, most)
}

#[test]
fn without_a_bound_callers_that_stop_reading_fill_the_machine() {
    let (let_in, most) = replay(&mut HeldBytes::unbounded(), |_| None);
    assert_eq!(let_in as u64, STALLED_CALLERS);
    assert!(most > MACHINE_BYTES, "{most}");
}

#[test]
fn with_a_bound_they_stay_within_their_part_of_it() {
    let mut held = HeldBytes::new(LIMIT);
    let (let_in, most) = replay(&mut held, |_| None);
    assert!(most <= LIMIT, "{most}");
    assert!(let_in > 0 && (let_in as u64) < STALLED_CALLERS);
    assert!(held.total() > LIMIT / 2, "those that fit are served on");
}

#[test]
fn a_tenant_whose_callers_all_stop_leaves_half_to_the_others() {
    let mut held = HeldBytes::new(LIMIT);
    let (_, most) = replay(&mut held, |_| tenant(1));
    assert!(most <= LIMIT / 2, "{most}");
    assert_eq!(
        held.admit(tenant(1), LIMIT / 2),
        Err(HeldBytesLimit::Tenant)
    );
    assert!(held.admit(tenant(2), LIMIT / 2).is_ok());
}

#[test]
fn the_newest_of_the_large_holders_is_cut_first() {
    let mut held = HeldBytes::new(1_000);
    let old = held.admit(None, 300).unwrap();
    let newer = held.admit(None, 300).unwrap();
    let small = held.admit(None, 50).unwrap();
    for holder in [old, newer, small] {
        held.set_abortable(holder, true);
    }
    held.admit(None, 340).unwrap();
    let Growth::Granted(cuts) = held.resize(small, 100) else {
        panic!("it may grow");
    };
    let cut: Vec<HolderId> = cuts.iter().map(|cut| cut.holder).collect();
    assert_eq!(cut, [newer]);
    assert_eq!(held.of_holder(newer), None);
    assert_eq!(held.total(), 300 + 100 + 340);
}

#[test]
fn the_newest_large_holder_is_denied_rather_than_others_cut() {
    let mut held = HeldBytes::new(1_000);
    let old = held.admit(None, 450).unwrap();
    let newest = held.admit(None, 450).unwrap();
    held.set_abortable(old, true);
    held.set_abortable(newest, true);
    let grown = held.resize(newest, 500);
    assert_eq!(grown, Growth::Granted(Vec::new()), "up to its bound it may");
    held.admit(None, 50).unwrap();
    assert_eq!(
        held.resize(newest, 501),
        Growth::Denied(HeldBytesLimit::Request)
    );
    let grown = held.resize(old, 480);
    assert!(matches!(grown, Growth::Granted(cuts) if cuts[0].holder == newest));
    let newest = held.admit(None, 400).unwrap();
    held.set_abortable(newest, true);
    held.admit(None, 70).unwrap();
    assert_eq!(
        held.resize(newest, 480),
        Growth::Denied(HeldBytesLimit::Process)
    );
    assert_eq!(held.of_holder(old), Some(480));
}

#[test]
fn what_runs_unseen_is_not_cut() {
    let mut held = HeldBytes::new(1_000);
    let sent = held.admit(None, 500).unwrap();
    let growing = held.admit(None, 400).unwrap();
    assert_eq!(
        held.resize(growing, 501),
        Growth::Denied(HeldBytesLimit::Request)
    );
    held.admit(None, 100).unwrap();
    assert_eq!(
        held.resize(growing, 450),
        Growth::Denied(HeldBytesLimit::Process)
    );
    assert_eq!(held.of_holder(sent), Some(500));
    assert_eq!(held.of_holder(growing), Some(400));
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u64, u64),
    Resize(prop::sample::Index, u64),
    Release(prop::sample::Index),
    SetCanBeCut(prop::sample::Index, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u64, 0..600_u64).prop_map(|(tenant, bytes)| Step::Admit(tenant, bytes)),
        (any::<prop::sample::Index>(), 0..700_u64).prop_map(|(at, bytes)| Step::Resize(at, bytes)),
        any::<prop::sample::Index>().prop_map(Step::Release),
        (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(at, can)| Step::SetCanBeCut(at, can)),
    ]
}

proptest! {
    #[test]
    fn sums_are_those_of_the_holders_and_within_every_bound(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        const SMALL_LIMIT: u64 = 1_000;
        let mut held = HeldBytes::new(SMALL_LIMIT);
        let mut known: Vec<(HolderId, u64)> = Vec::new();
        for step in steps {
            let pick = |at: &prop::sample::Index| (!known.is_empty()).then(|| known[at.index(known.len())].0);
            match step {
                Step::Admit(number, bytes) => {
                    let of = if number == 0 { None } else { tenant(number) };
                    if let Ok(holder) = held.admit(of, bytes) {
                        known.push((holder, number));
                    }
                }
                Step::Resize(at, bytes) => if let Some(holder) = pick(&at) {
                    let had = held.of_holder(holder);
                    match held.resize(holder, bytes) {
                        Growth::Granted(cuts) => {
                            prop_assert!(cuts.iter().all(|cut| cut.holder != holder));
                            prop_assert!(cuts.iter().all(|cut| held.of_holder(cut.holder).is_none()));
                            prop_assert_eq!(held.of_holder(holder), had.map(|_| bytes));
                        }
                        Growth::Denied(_) => prop_assert_eq!(held.of_holder(holder), had),
                    }
                },
                Step::Release(at) => if let Some(holder) = pick(&at) {
                    held.release(holder);
                },
                Step::SetCanBeCut(at, can) => if let Some(holder) = pick(&at) {
                    held.set_abortable(holder, can);
                },
            }
            let sum = |of: Option<u64>| -> u64 {
                let meant = known.iter().filter(|(_, number)| of.is_none_or(|of| of == *number));
                meant.filter_map(|(holder, _)| held.of_holder(*holder)).sum()
            };
            prop_assert_eq!(held.total(), sum(None));
            prop_assert!(held.total() <= SMALL_LIMIT);
            for number in 1..4 {
                let name = tenant(number).unwrap();
                prop_assert_eq!(held.of_tenant(&name), sum(Some(number)));
                prop_assert!(held.of_tenant(&name) <= held.tenant_limit());
            }
        }
    }
}
