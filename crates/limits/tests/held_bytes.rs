//! Replay of callers that stop reading: the bytes held by a process stay within its limit.

use luglink_limits::{Growth, HeldBytes, HeldBytesLimit, HolderId};
use luglink_types::TenantName;
use proptest::prelude::*;

/// Memory of the smallest machine, and the part of it that may be held for others.
const MACHINE_BYTES: u64 = 88 << 20;
const LIMIT: u64 = MACHINE_BYTES / 4;

/// Number of callers that stop reading at the same time.
const STALLED_CALLERS: u64 = 300;

/// Bytes that each of them leaves unread: a prompt with its history, and the answer to it.
const BODY_BYTES: u64 = 128 << 10;
const ANSWER_BYTES: u64 = 256 << 10;

fn tenant(number: u64) -> Option<TenantName> {
    Some(format!("t{number}").as_str().into())
}

/// Admits callers that never read their answers, which grow by 16 KiB at a time. Returns the number
/// of admitted callers and the maximum number of held bytes.
fn replay(held: &mut HeldBytes, of: impl Fn(u64) -> Option<TenantName>) -> (usize, u64) {
    let mut open: Vec<HolderId> = Vec::new();
    let mut max_held = 0;
    for number in 0..STALLED_CALLERS {
        if let Ok(holder) = held.admit(of(number), BODY_BYTES) {
            held.set_abortable(holder, true);
            open.push(holder);
        }
        max_held = max_held.max(held.total());
    }
    let admitted = open.len();
    for answered in (0..ANSWER_BYTES).step_by(16 << 10) {
        for holder in open.clone() {
            if let Growth::Granted(cuts) = held.resize(holder, BODY_BYTES + answered) {
                open.retain(|open| cuts.iter().all(|cut| cut.holder != *open));
            } else {
                held.release(holder);
                open.retain(|open| *open != holder);
            }
            max_held = max_held.max(held.total());
        }
    }
    (admitted, max_held)
}

#[test]
fn stalled_callers_exhaust_the_memory_without_a_limit() {
    let (admitted, max_held) = replay(&mut HeldBytes::unbounded(), |_| None);
    assert_eq!(admitted as u64, STALLED_CALLERS);
    assert!(max_held > MACHINE_BYTES, "{max_held}");
}

#[test]
fn stalled_callers_stay_within_the_limit() {
    let mut held = HeldBytes::new(LIMIT);
    let (admitted, max_held) = replay(&mut held, |_| None);
    assert!(max_held <= LIMIT, "{max_held}");
    assert!(admitted > 0 && (admitted as u64) < STALLED_CALLERS);
    assert!(
        held.total() > LIMIT / 2,
        "callers that fit are still served"
    );
}

#[test]
fn a_stalled_tenant_leaves_half_of_the_limit_to_others() {
    let mut held = HeldBytes::new(LIMIT);
    let (_, max_held) = replay(&mut held, |_| tenant(1));
    assert!(max_held <= LIMIT / 2, "{max_held}");
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
        panic!("the holder may grow");
    };
    let cut: Vec<HolderId> = cuts.iter().map(|cut| cut.holder).collect();
    assert_eq!(cut, [newer]);
    assert_eq!(held.of_holder(newer), None);
    assert_eq!(held.total(), 300 + 100 + 340);
}

#[test]
fn the_newest_large_holder_is_denied_instead_of_cutting_others() {
    let mut held = HeldBytes::new(1_000);
    let old = held.admit(None, 450).unwrap();
    let newest = held.admit(None, 450).unwrap();
    held.set_abortable(old, true);
    held.set_abortable(newest, true);
    let grown = held.resize(newest, 500);
    assert_eq!(
        grown,
        Growth::Granted(Vec::new()),
        "the holder may grow up to its limit"
    );
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
fn holders_that_cannot_be_cut_are_kept() {
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

#[test]
fn unfinished_long_bodies_give_way_to_a_shorter_one() {
    let mut held = HeldBytes::new(1_000);
    let started = held.admit(None, 200).unwrap();
    let older = held.admit(None, 400).unwrap();
    let newer = held.admit(None, 400).unwrap();
    held.set_receiving(older);
    held.set_receiving(newer);
    let cuts = held.make_room(None, 50);
    let cut: Vec<HolderId> = cuts.iter().map(|cut| cut.holder).collect();
    assert_eq!(cut, [newer]);
    assert!(held.admit(None, 50).is_ok());
    assert_eq!(held.total(), 200 + 400 + 50);
    assert_eq!(held.of_holder(started), Some(200));
}

#[test]
fn bodies_do_not_give_way_to_longer_ones_nor_where_that_does_not_suffice() {
    let mut held = HeldBytes::new(1_000);
    let started = held.admit(None, 450).unwrap();
    let short = held.admit(None, 100).unwrap();
    let long = held.admit(None, 450).unwrap();
    held.set_receiving(short);
    held.set_receiving(long);
    assert!(held.make_room(None, 450).is_empty());
    assert_eq!(held.admit(None, 450), Err(HeldBytesLimit::Process));
    held.set_abortable(long, false);
    for received in [started, short] {
        held.set_abortable(received, true);
    }
    assert!(
        held.make_room(None, 50).is_empty(),
        "only bodies that arrive give way"
    );
}

#[test]
fn bodies_of_a_tenant_give_way_within_its_limit() {
    let mut held = HeldBytes::new(1_000);
    let other = held.admit(tenant(2), 400).unwrap();
    let own = held.admit(tenant(1), 450).unwrap();
    held.set_receiving(other);
    held.set_receiving(own);
    let cuts = held.make_room(tenant(1).as_ref(), 100);
    let cut: Vec<HolderId> = cuts.iter().map(|cut| cut.holder).collect();
    assert_eq!(cut, [own]);
    assert!(held.admit(tenant(1), 100).is_ok());
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
    fn totals_match_the_holders_and_stay_within_all_limits(
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
                let matching = known.iter().filter(|(_, number)| of.is_none_or(|of| of == *number));
                matching.filter_map(|(holder, _)| held.of_holder(*holder)).sum()
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
