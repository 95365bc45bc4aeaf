//! Lists of replicas: changes instead of whole lists, whoever tells them.

use luglink_fleet::{
    Backend, BackendChanges, BackendId, BackendList, BackendReport, BackendUpdate, Incarnation,
    KnownList, ListCopy, ListHistory,
};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

/// Replicas of the whole fleet, and of twice that.
const SIZES: [u16; 2] = [9_999, 20_000];

/// Time between readings of the list.
const INTERVAL: Duration = Duration::from_millis(1_250);

fn backend(number: u16, draining: bool) -> Backend {
    Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining,
        incarnation: Incarnation::UNKNOWN,
    }
}

fn list(backends: impl IntoIterator<Item = (u16, bool)>) -> BackendList {
    let backends: std::collections::BTreeMap<u16, bool> = backends.into_iter().collect();
    let backends = backends.into_iter();
    BackendList::new(
        backends
            .map(|(number, draining)| backend(number, draining))
            .collect(),
    )
}

/// All replicas, of which those of `leaving` leave.
fn fleet(size: u16, leaving: std::ops::Range<u16>) -> BackendList {
    list((0..size).map(|number| (number, leaving.contains(&number))))
}

fn after(readings: u32) -> Timestamp {
    Timestamp::from_millis(1_000_000).plus(INTERVAL * readings)
}

/// What a process says that has taken the list of a reading.
fn has(list: &BackendList, reading: u32, now: Timestamp) -> KnownList {
    KnownList {
        fingerprint: list.fingerprint(),
        age: Some(now.since(after(reading))),
        digest: None,
    }
}

fn named(update: &BackendUpdate) -> usize {
    match update {
        BackendUpdate::None | BackendUpdate::Unknown => 0,
        BackendUpdate::Changes(changes) => changes.len(),
        BackendUpdate::Patch(patch) => patch.len(),
        BackendUpdate::Whole(list) => list.len(),
    }
}

/// At the size we design for every gateway is told of every change: what is told must not grow
/// with the list.
#[test]
fn a_change_costs_what_has_changed() {
    for size in SIZES {
        let mut history = ListHistory::default();
        let first = fleet(size, 0..0);
        history.replace(first.clone(), after(0));
        let second = fleet(size, 7..8);
        history.replace(second.clone(), after(1));
        let now = after(1);
        let report = history.report(&has(&first, 0, now), now).unwrap();
        let BackendUpdate::Changes(changes) = report.update else {
            panic!("the first list is remembered");
        };
        assert_eq!(changes.changed, [backend(7, true)]);
        assert!(changes.removed.is_empty());
        let report = history.report(&has(&second, 1, now), now).unwrap();
        assert_eq!(report.update, BackendUpdate::None);
    }
}

/// A leader falls while replicas leave: its successor reads a list that nobody was told of before,
/// and nobody has the list that it had last. Sending the whole list to 1,728 gateways would take
/// longer than replicas may take to leave.
#[test]
fn a_list_that_nobody_remembers_costs_a_digest_and_the_parts_that_differ() {
    for size in SIZES {
        let told = fleet(size, 0..60);
        let mut gateway = ListCopy::default();
        gateway.replace(told.clone(), after(1));
        // The successor was told of the list before, and reads the one after.
        let mut successor = ListHistory::default();
        successor.replace(fleet(size, 0..0), after(0));
        successor.replace(fleet(size, 0..120), after(2));
        let now = after(2);
        let asked = successor.report(&gateway.known(now), now).unwrap();
        assert_eq!(asked.update, BackendUpdate::Unknown);
        assert_eq!(gateway.follow(asked, now), None);
        let known = gateway.known(now);
        assert!(known.digest.is_some());
        let told = successor.report(&known, now).unwrap();
        let replicas = named(&told.update);
        // Sixty have changed; each brings the others of its bucket, which has 32 at the most in
        // the mean.
        assert!((60..60 * 33).contains(&replicas), "{replicas}");
        let changes = gateway.follow(told, now).unwrap();
        assert_eq!(changes.changed.len(), 60);
        assert_eq!(gateway.list(), successor.copy().list());
        assert!(gateway.known(now).digest.is_none());
    }
}

#[test]
fn what_is_remembered_never_grows_beyond_the_list() {
    let size = 2_000;
    let mut history = ListHistory::default();
    let mut lists = Vec::new();
    for reading in 0..200 {
        let start = reading * 9;
        let read = fleet(size, start..start + 60);
        lists.push(read.clone());
        history.replace(read, after(u32::from(reading)));
    }
    let now = after(199);
    let mut remembered = 0;
    for (reading, known) in (0_u32..).zip(&lists) {
        let report = history.report(&has(known, reading, now), now).unwrap();
        assert!(named(&report.update) <= usize::from(size));
        remembered += usize::from(matches!(report.update, BackendUpdate::Changes(_)));
    }
    // Each reading changes 18: half of the list is remembered, and the rest by digest.
    assert!((20..60).contains(&remembered), "{remembered}");
}

#[test]
fn a_copy_never_goes_back() {
    let mut copy = ListCopy::default();
    let newer = list([(1, true)]);
    copy.replace(newer.clone(), after(5));
    let older = |update| BackendReport {
        fingerprint: list([(1, false)]).fingerprint(),
        age: INTERVAL * 3,
        update,
    };
    let whole = older(BackendUpdate::Whole(list([(1, false)]).into()));
    assert_eq!(copy.follow(whole, after(5)), None);
    let changes = newer.changes_to(&list([(1, false)]));
    let changes = older(BackendUpdate::Changes(changes.into()));
    assert_eq!(copy.follow(changes, after(5)), None);
    assert_eq!(copy.replace(list([(1, false)]), after(4)), None);
    assert_eq!(**copy.list(), newer);
}

#[test]
fn a_member_that_lags_tells_nothing_to_those_who_have_a_newer_list() {
    let mut lagging = ListHistory::default();
    lagging.replace(list([(1, false)]), after(1));
    let newer = list([(1, true)]);
    let now = after(3);
    assert_eq!(lagging.report(&has(&newer, 3, now), now), None);
    assert!(!lagging.has_update_for(&has(&newer, 3, now), now));
}

#[test]
fn changes_of_another_list_are_not_taken() {
    let first = list([(1, false)]);
    let second = list([(1, true)]);
    let mut third = list([(2, false)]);
    assert!(!third.apply(&first.changes_to(&second)));
    assert_eq!(third, list([(2, false)]));
}

#[test]
fn a_replica_that_two_pages_name_is_leaving_when_one_says_so() {
    for order in [[false, true], [true, false]] {
        let named = order.map(|draining| backend(1, draining));
        let list = BackendList::new(named.to_vec());
        assert_eq!(list.backends().collect::<Vec<_>>(), [&backend(1, true)]);
        assert_eq!(
            list.fingerprint(),
            BackendList::new(vec![backend(1, true)]).fingerprint()
        );
    }
}

fn any_list() -> impl Strategy<Value = BackendList> {
    prop::collection::vec((0_u16..200, any::<bool>()), 0..200).prop_map(list)
}

/// A process in a random interleaving of readers, members that follow and processes that ask them.
#[derive(Clone, Debug)]
enum Step {
    /// The first or the second reader reads what the platform shows now.
    Read(bool),
    /// What the platform shows changes.
    Change(BackendList),
    /// The member of that number follows a reader or another member.
    Follow(usize, usize),
    /// The gateway asks a member.
    Ask(usize),
    /// Time passes.
    Wait(u64),
}

const HISTORIES: usize = 4;

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<bool>().prop_map(Step::Read),
        2 => any_list().prop_map(Step::Change),
        4 => (0..HISTORIES, 0..HISTORIES).prop_map(|(to, from)| Step::Follow(to, from)),
        4 => (0..HISTORIES).prop_map(Step::Ask),
        2 => (1_u64..2_000).prop_map(Step::Wait),
    ]
}

/// Lists that the platform has shown, and until when.
type Shown = Vec<(BackendList, Timestamp)>;

/// The last time at which the platform showed a list no later than `now`.
fn last_shown(shown: &Shown, list: &BackendList) -> Timestamp {
    let times = shown.iter().filter(|(known, _)| known == list);
    times.map(|(_, until)| *until).max().expect("it was shown")
}

proptest! {
    #[test]
    fn changes_lead_from_any_list_to_any_other(before in any_list(), after in any_list()) {
        let mut changed = before.clone();
        prop_assert!(changed.apply(&before.changes_to(&after)));
        prop_assert_eq!(changed.fingerprint(), after.fingerprint());
        prop_assert_eq!(changed, after);
    }

    #[test]
    fn merged_changes_lead_where_they_lead_one_by_one(lists in prop::collection::vec(any_list(), 2..6)) {
        let steps: Vec<BackendChanges> =
            lists.windows(2).map(|pair| pair[0].changes_to(&pair[1])).collect();
        let mut changed = lists[0].clone();
        prop_assert!(changed.apply(&BackendChanges::merged(&steps)));
        prop_assert_eq!(Some(&changed), lists.last());
    }

    #[test]
    fn a_patch_leads_from_any_list_to_any_other(before in any_list(), after in any_list()) {
        let patch = after.patch_for(&before.digest()).unwrap();
        prop_assert_eq!(before.patched(&patch), Some(after));
    }

    /// Whoever asks whom, every copy is a list that the platform has shown, no copy goes back to
    /// one that it had replaced, and a gateway that asks a member twice, the second time with its
    /// digest, has a list as new as the member's.
    #[test]
    fn copies_are_lists_that_were_shown_and_never_go_back(
        first in any_list(),
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut now = after(0);
        let mut shown: Shown = vec![(first, Timestamp::MAX)];
        let mut histories = vec![ListHistory::default(); HISTORIES];
        let mut gateway = ListCopy::default();
        for step in steps {
            now = now.plus(Duration::from_millis(200));
            let gateway_had = gateway.clone();
            match step {
                Step::Wait(millis) => now = now.plus(Duration::from_millis(millis)),
                Step::Change(list) => {
                    shown.last_mut().unwrap().1 = now;
                    shown.push((list, Timestamp::MAX));
                }
                Step::Read(is_second) => {
                    let current = shown.last().unwrap().0.clone();
                    histories[usize::from(is_second)].replace(current, now);
                }
                Step::Follow(to, from) => {
                    for _ in 0..3 {
                        let known = histories[to].copy().known(now);
                        if let Some(report) = histories[from].report(&known, now) {
                            histories[to].follow(report, now);
                        }
                    }
                }
                Step::Ask(member) => {
                    for _ in 0..3 {
                        let known = gateway.known(now);
                        if let Some(report) = histories[member].report(&known, now) {
                            gateway.follow(report, now);
                        }
                    }
                    if let Some(age) = histories[member].copy().age(now) {
                        let slack = Duration::from_millis(200);
                        prop_assert!(gateway.age(now).unwrap() <= age + slack);
                    }
                }
            }
            if gateway.seen().is_some() {
                last_shown(&shown, gateway.list());
                prop_assert!(gateway.seen() >= gateway_had.seen());
            }
        }
    }
}
