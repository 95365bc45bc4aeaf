//! Replicas that restart under their old identifiers, in deployments with builds that do not
//! support incarnations.

use luglink_fleet::{
    Backend, BackendId, BackendList, BackendUpdate, Incarnation, KnownIncarnations, KnownList,
    ListCopy, ListHistory, ReplicaIncarnation,
};
use luglink_types::Timestamp;
use std::time::Duration;

/// Fingerprint of three replicas, as computed by builds without incarnations.
const FINGERPRINT_OF_OLDER_BUILDS: u64 = 7_804_934_275_385_515_978;

fn backend(number: u16, start: u64) -> Backend {
    Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining: number == 2,
        incarnation: Incarnation(start),
        version: None,
    }
}

fn list(starts: &[(u16, u64)]) -> BackendList {
    let backends = starts
        .iter()
        .map(|(number, start)| backend(*number, *start));
    BackendList::new(backends.collect())
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

fn starts(list: &BackendList) -> Vec<u64> {
    list.backends()
        .map(|backend| backend.incarnation.0)
        .collect()
}

fn incarnation(number: u16, start: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        replica: BackendId(format!("i-{number}")),
        incarnation: Incarnation(start),
    }
}

/// A process that follows a member's list and requests incarnations.
#[derive(Default)]
struct Follower(ListCopy);

impl Follower {
    /// Gets an update from a member. Returns the number of incarnations in it.
    fn query(&mut self, member: &mut ListHistory, now: Timestamp) -> usize {
        let known = self.0.known(now);
        let known_incarnations = self.0.known_incarnations();
        let report = member.report(&known, now);
        let lacking = member.incarnations_after(known_incarnations, report.is_some());
        if let Some(report) = report {
            self.0.follow(report, now);
        }
        let lacking = lacking.unwrap_or_default();
        self.0.merge_incarnations(&lacking);
        lacking.len()
    }
}

#[test]
fn builds_without_incarnations_compute_the_same_fingerprint() {
    for start in [0, 7] {
        let list = list(&[(1, start), (2, start), (3, start)]);
        assert_eq!(list.fingerprint(), FINGERPRINT_OF_OLDER_BUILDS);
    }
}

#[test]
fn the_latest_incarnation_of_a_replica_wins_in_any_order_of_entries() {
    let draining = Backend {
        draining: true,
        ..backend(1, 5)
    };
    for entries in [[draining.clone(), backend(1, 9)], [backend(1, 9), draining]] {
        let list = BackendList::new(entries.to_vec());
        let only: Vec<&Backend> = list.backends().collect();
        assert_eq!(only, [&backend(1, 9)]);
    }
}

#[test]
fn a_restart_without_other_changes_reaches_processes_that_request_incarnations() {
    let mut member = ListHistory::default();
    let mut follower = Follower::default();
    member.replace(list(&[(1, 5), (2, 5), (3, 5)]), at(0));
    assert_eq!(follower.query(&mut member, at(1)), 3);
    assert_eq!(starts(follower.0.list()), [5, 5, 5]);
    assert_eq!(follower.query(&mut member, at(2)), 0);
    member.replace(list(&[(1, 5), (2, 5), (3, 8)]), at(3));
    assert_eq!(
        follower.query(&mut member, at(4)),
        1,
        "only the changed incarnation is sent"
    );
    assert_eq!(starts(follower.0.list()), [5, 5, 8]);
    assert_eq!(follower.query(&mut member, at(5)), 0);
}

#[test]
fn changes_of_the_list_keep_known_incarnations() {
    let mut member = ListHistory::default();
    let mut follower = Follower::default();
    member.replace(list(&[(1, 5), (3, 5), (4, 5)]), at(0));
    follower.query(&mut member, at(1));
    member.replace(list(&[(1, 5), (2, 7), (4, 5)]), at(3));
    follower.query(&mut member, at(4));
    assert_eq!(starts(follower.0.list()), [5, 7, 5]);
    assert_eq!(follower.query(&mut member, at(5)), 0);
}

#[test]
fn a_member_without_history_sends_all_incarnations() {
    let mut first = ListHistory::default();
    let mut follower = Follower::default();
    first.replace(list(&[(1, 5), (3, 5)]), at(0));
    follower.query(&mut first, at(1));
    let mut second = ListHistory::default();
    second.replace(list(&[(1, 6), (3, 9)]), at(2));
    follower.query(&mut second, at(3));
    assert_eq!(starts(follower.0.list()), [6, 9]);
}

#[test]
fn a_lagging_member_does_not_overwrite_later_incarnations() {
    let mut ahead = ListHistory::default();
    let mut behind = ListHistory::default();
    ahead.replace(list(&[(1, 5), (3, 5)]), at(0));
    behind.replace(list(&[(1, 5), (3, 5)]), at(0));
    let mut follower = Follower::default();
    follower.query(&mut ahead, at(1));
    ahead.replace(list(&[(1, 5), (3, 8)]), at(2));
    follower.query(&mut ahead, at(3));
    follower.query(&mut behind, at(4));
    assert_eq!(starts(follower.0.list()), [5, 8]);
}

#[test]
fn a_list_of_a_build_without_incarnations_keeps_the_known_ones() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[(1, 5), (3, 5)]), at(0));
    let mut older = ListHistory::default();
    older.replace(list(&[(1, 0), (2, 0), (3, 0)]), at(2));
    let nothing = KnownList {
        fingerprint: 0,
        age: None,
        digest: None,
    };
    let report = older.report(&nothing, at(2)).unwrap();
    assert!(matches!(report.update, BackendUpdate::Whole(_)));
    copy.follow(report, at(3));
    assert_eq!(starts(copy.list()), [5, 0, 5]);
    let known = KnownIncarnations { sum: 77 };
    assert_eq!(older.incarnations_after(known, true), None);
}

#[test]
fn incarnations_of_unlisted_replicas_and_earlier_ones_are_ignored() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[(1, 5)]), at(0));
    assert!(copy.merge_incarnations(&[incarnation(9, 9)]).is_none());
    assert!(copy.merge_incarnations(&[incarnation(1, 4)]).is_none());
    let changes = copy
        .merge_incarnations(&[incarnation(1, 6), incarnation(9, 9)])
        .unwrap();
    assert_eq!(changes.changed, [backend(1, 6)]);
    assert_eq!(copy.age(at(1)), Some(Duration::from_secs(1)));
}

#[test]
fn the_history_of_restarts_is_bounded() {
    let mut member = ListHistory::default();
    member.replace(list(&[(1, 1), (3, 1)]), at(0));
    let known = member.copy().known_incarnations();
    for second in 1..200 {
        member.replace(list(&[(1, 1), (3, 1 + second)]), at(second));
    }
    assert_eq!(member.incarnations_after(known, false), None);
    assert_eq!(member.incarnations_after(known, true).unwrap().len(), 2);
}
