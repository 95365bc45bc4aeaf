//! Replica lists: incremental updates between processes, whichever process sends them.

use luglink_fleet::{
    Backend, BackendChanges, BackendId, BackendList, BackendReport, BackendUpdate, Incarnation,
    KnownList, ListCopy, ListHistory,
};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

/// Number of replicas in the target fleet, and in one twice as large.
const FLEET_SIZES: [u16; 2] = [9_999, 20_000];

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(1_250);

fn backend(number: u16, draining: bool) -> Backend {
    Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining,
        incarnation: Incarnation::UNKNOWN,
        version: None,
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

/// A list of all replicas, of which those in `draining` are draining.
fn fleet(size: u16, draining: std::ops::Range<u16>) -> BackendList {
    list((0..size).map(|number| (number, draining.contains(&number))))
}

fn after(reads: u32) -> Timestamp {
    Timestamp::from_millis(1_000_000).plus(READ_INTERVAL * reads)
}

/// Request of a process that has the list of the given read.
fn has(list: &BackendList, read: u32, now: Timestamp) -> KnownList {
    KnownList {
        fingerprint: list.fingerprint(),
        age: Some(now.since(after(read))),
        digest: None,
    }
}

fn replicas_in(update: &BackendUpdate) -> usize {
    match update {
        BackendUpdate::None | BackendUpdate::Unknown => 0,
        BackendUpdate::Changes(changes) => changes.len(),
        BackendUpdate::Patch(patch) => patch.len(),
        BackendUpdate::Whole(list) => list.len(),
    }
}

/// Every change is sent to every gateway, so the size of an update must not grow with the list.
#[test]
fn an_update_contains_only_what_has_changed() {
    for size in FLEET_SIZES {
        let mut history = ListHistory::default();
        let first = fleet(size, 0..0);
        history.replace(first.clone(), after(0));
        let second = fleet(size, 7..8);
        history.replace(second.clone(), after(1));
        let now = after(1);
        let report = history.report(&has(&first, 0, now), now).unwrap();
        let BackendUpdate::Changes(changes) = report.update else {
            panic!("the first list is in the history");
        };
        assert_eq!(changes.changed, [backend(7, true)]);
        assert!(changes.removed.is_empty());
        let report = history.report(&has(&second, 1, now), now).unwrap();
        assert_eq!(report.update, BackendUpdate::None);
    }
}

/// A leader fails while replicas drain. Its successor reads a newer list, and does not have the
/// list that gateways got last. Sending the full list to 1,728 gateways would take longer than
/// the time in which they must know of draining replicas.
#[test]
fn a_list_that_is_not_in_the_history_is_updated_by_digest_and_patch() {
    for size in FLEET_SIZES {
        let received = fleet(size, 0..60);
        let mut gateway = ListCopy::default();
        gateway.replace(received.clone(), after(1));
        // The successor has the list before the gateway's, and reads the one after it.
        let mut successor = ListHistory::default();
        successor.replace(fleet(size, 0..0), after(0));
        successor.replace(fleet(size, 0..120), after(2));
        let now = after(2);
        let first_report = successor.report(&gateway.known(now), now).unwrap();
        assert_eq!(first_report.update, BackendUpdate::Unknown);
        assert_eq!(gateway.follow(first_report, now), None);
        let known = gateway.known(now);
        assert!(known.digest.is_some());
        let patch_report = successor.report(&known, now).unwrap();
        let replicas = replicas_in(&patch_report.update);
        // Sixty replicas have changed. Each adds the others of its bucket, whose average size is at
        // most 32.
        assert!((60..60 * 33).contains(&replicas), "{replicas}");
        let changes = gateway.follow(patch_report, now).unwrap();
        assert_eq!(changes.changed.len(), 60);
        assert_eq!(gateway.list(), successor.copy().list());
        assert!(gateway.known(now).digest.is_none());
    }
}

#[test]
fn the_history_is_bounded_by_the_size_of_the_list() {
    let size = 2_000;
    let mut history = ListHistory::default();
    let mut lists = Vec::new();
    for read in 0..200 {
        let start = read * 9;
        let current = fleet(size, start..start + 60);
        lists.push(current.clone());
        history.replace(current, after(u32::from(read)));
    }
    let now = after(199);
    let mut updated_by_changes = 0;
    for (read, known) in (0_u32..).zip(&lists) {
        let report = history.report(&has(known, read, now), now).unwrap();
        assert!(replicas_in(&report.update) <= usize::from(size));
        updated_by_changes += usize::from(matches!(report.update, BackendUpdate::Changes(_)));
    }
    // Each read changes 18 replicas, and the history keeps changes of half as many replicas as the
    // list has. Older lists need a digest.
    assert!(
        (20..60).contains(&updated_by_changes),
        "{updated_by_changes}"
    );
}

#[test]
fn a_copy_is_never_replaced_by_an_older_list() {
    let mut copy = ListCopy::default();
    let newer = list([(1, true)]);
    copy.replace(newer.clone(), after(5));
    let older = |update| BackendReport {
        fingerprint: list([(1, false)]).fingerprint(),
        age: READ_INTERVAL * 3,
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
fn a_lagging_member_sends_nothing_to_a_process_with_a_newer_list() {
    let mut lagging = ListHistory::default();
    lagging.replace(list([(1, false)]), after(1));
    let newer = list([(1, true)]);
    let now = after(3);
    assert_eq!(lagging.report(&has(&newer, 3, now), now), None);
    assert!(!lagging.has_update_for(&has(&newer, 3, now), now));
}

#[test]
fn changes_with_another_base_are_not_applied() {
    let first = list([(1, false)]);
    let second = list([(1, true)]);
    let mut third = list([(2, false)]);
    assert!(!third.apply(&first.changes_to(&second)));
    assert_eq!(third, list([(2, false)]));
}

#[test]
fn a_replica_listed_on_two_pages_is_draining_if_one_entry_says_so() {
    for order in [[false, true], [true, false]] {
        let entries = order.map(|draining| backend(1, draining));
        let list = BackendList::new(entries.to_vec());
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

/// Step of a random interleaving of readers, members that follow them, and a gateway.
#[derive(Clone, Debug)]
enum Step {
    /// The first or the second reader reads the platform's current list.
    Read(bool),
    /// The platform's list changes.
    Change(BackendList),
    /// A member gets an update from a reader or another member.
    Follow(usize, usize),
    /// The gateway gets an update from a member.
    Query(usize),
    /// Time passes.
    Wait(u64),
}

const HISTORIES: usize = 4;

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => any::<bool>().prop_map(Step::Read),
        2 => any_list().prop_map(Step::Change),
        4 => (0..HISTORIES, 0..HISTORIES).prop_map(|(to, from)| Step::Follow(to, from)),
        4 => (0..HISTORIES).prop_map(Step::Query),
        2 => (1_u64..2_000).prop_map(Step::Wait),
    ]
}

/// Past and current lists of the platform, with the times at which they were replaced.
type PlatformLists = Vec<(BackendList, Timestamp)>;

/// Returns the last time at which this was the platform's list. Panics if it never was.
fn last_current(platform: &PlatformLists, list: &BackendList) -> Timestamp {
    let times = platform.iter().filter(|(known, _)| known == list);
    times
        .map(|(_, until)| *until)
        .max()
        .expect("the platform has had the list")
}

proptest! {
    #[test]
    fn changes_turn_any_list_into_any_other(before in any_list(), after in any_list()) {
        let mut changed = before.clone();
        prop_assert!(changed.apply(&before.changes_to(&after)));
        prop_assert_eq!(changed.fingerprint(), after.fingerprint());
        prop_assert_eq!(changed, after);
    }

    #[test]
    fn merged_changes_have_the_same_result_as_single_ones(lists in prop::collection::vec(any_list(), 2..6)) {
        let steps: Vec<BackendChanges> =
            lists.windows(2).map(|pair| pair[0].changes_to(&pair[1])).collect();
        let mut changed = lists[0].clone();
        prop_assert!(changed.apply(&BackendChanges::merged(&steps)));
        prop_assert_eq!(Some(&changed), lists.last());
    }

    #[test]
    fn a_patch_turns_any_list_into_any_other(before in any_list(), after in any_list()) {
        let patch = after.patch_for(&before.digest()).unwrap();
        prop_assert_eq!(before.patched(&patch), Some(after));
    }

    /// Whichever processes exchange updates: the gateway's copy is always a list that the platform
    /// has had, and is never replaced by an older one. A gateway that queries a member again, with
    /// its digest if needed, has a list as new as the member's.
    #[test]
    fn copies_are_lists_of_the_platform_and_never_get_older(
        first in any_list(),
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut now = after(0);
        let mut platform: PlatformLists = vec![(first, Timestamp::MAX)];
        let mut histories = vec![ListHistory::default(); HISTORIES];
        let mut gateway = ListCopy::default();
        for step in steps {
            now = now.plus(Duration::from_millis(200));
            let previous = gateway.clone();
            match step {
                Step::Wait(millis) => now = now.plus(Duration::from_millis(millis)),
                Step::Change(list) => {
                    platform.last_mut().unwrap().1 = now;
                    platform.push((list, Timestamp::MAX));
                }
                Step::Read(is_second) => {
                    let current = platform.last().unwrap().0.clone();
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
                Step::Query(member) => {
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
                last_current(&platform, gateway.list());
                prop_assert!(gateway.seen() >= previous.seen());
            }
        }
    }
}
