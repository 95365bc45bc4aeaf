//! Replicas that start again under their old identifiers, beside builds that do not know of it.

use luglink_fleet::{
    Backend, BackendId, BackendList, BackendUpdate, Incarnation, KnownIncarnations, KnownList,
    ListCopy, ListHistory, ReplicaIncarnation,
};
use luglink_types::Timestamp;
use std::time::Duration;

/// Fingerprint of three replicas as builds without incarnations compute it.
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
    list.backends().map(|one| one.incarnation.0).collect()
}

fn told(number: u16, start: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        replica: BackendId(format!("i-{number}")),
        incarnation: Incarnation(start),
    }
}

/// A process that follows a member's list and asks for incarnations.
#[derive(Default)]
struct Follower(ListCopy);

impl Follower {
    fn ask(&mut self, member: &mut ListHistory, now: Timestamp) -> usize {
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
fn the_latest_life_of_a_replica_counts_whichever_entry_comes_first() {
    let leaving = Backend {
        draining: true,
        ..backend(1, 5)
    };
    for entries in [[leaving.clone(), backend(1, 9)], [backend(1, 9), leaving]] {
        let list = BackendList::new(entries.to_vec());
        let only: Vec<&Backend> = list.backends().collect();
        assert_eq!(only, [&backend(1, 9)]);
    }
}

#[test]
fn a_restart_alone_reaches_those_who_ask_for_incarnations() {
    let mut member = ListHistory::default();
    let mut follower = Follower::default();
    member.replace(list(&[(1, 5), (2, 5), (3, 5)]), at(0));
    assert_eq!(follower.ask(&mut member, at(1)), 3);
    assert_eq!(starts(follower.0.list()), [5, 5, 5]);
    assert_eq!(follower.ask(&mut member, at(2)), 0);
    member.replace(list(&[(1, 5), (2, 5), (3, 8)]), at(3));
    assert_eq!(
        follower.ask(&mut member, at(4)),
        1,
        "only what changed is told"
    );
    assert_eq!(starts(follower.0.list()), [5, 5, 8]);
    assert_eq!(follower.ask(&mut member, at(5)), 0);
}

#[test]
fn changes_of_the_list_keep_what_is_known_of_lives() {
    let mut member = ListHistory::default();
    let mut follower = Follower::default();
    member.replace(list(&[(1, 5), (3, 5), (4, 5)]), at(0));
    follower.ask(&mut member, at(1));
    member.replace(list(&[(1, 5), (2, 7), (4, 5)]), at(3));
    follower.ask(&mut member, at(4));
    assert_eq!(starts(follower.0.list()), [5, 7, 5]);
    assert_eq!(follower.ask(&mut member, at(5)), 0);
}

#[test]
fn a_member_that_remembers_nothing_tells_all() {
    let mut first = ListHistory::default();
    let mut follower = Follower::default();
    first.replace(list(&[(1, 5), (3, 5)]), at(0));
    follower.ask(&mut first, at(1));
    let mut second = ListHistory::default();
    second.replace(list(&[(1, 6), (3, 9)]), at(2));
    follower.ask(&mut second, at(3));
    assert_eq!(starts(follower.0.list()), [6, 9]);
}

#[test]
fn a_member_that_lags_takes_nobody_back() {
    let mut ahead = ListHistory::default();
    let mut behind = ListHistory::default();
    ahead.replace(list(&[(1, 5), (3, 5)]), at(0));
    behind.replace(list(&[(1, 5), (3, 5)]), at(0));
    let mut follower = Follower::default();
    follower.ask(&mut ahead, at(1));
    ahead.replace(list(&[(1, 5), (3, 8)]), at(2));
    follower.ask(&mut ahead, at(3));
    follower.ask(&mut behind, at(4));
    assert_eq!(starts(follower.0.list()), [5, 8]);
}

#[test]
fn an_older_build_between_two_newer_ones_takes_nothing_away() {
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
fn replicas_that_are_not_listed_are_not_told_of() {
    let mut copy = ListCopy::default();
    copy.replace(list(&[(1, 5)]), at(0));
    assert!(copy.merge_incarnations(&[told(9, 9)]).is_none());
    assert!(copy.merge_incarnations(&[told(1, 4)]).is_none());
    let changes = copy.merge_incarnations(&[told(1, 6), told(9, 9)]).unwrap();
    assert_eq!(changes.changed, [backend(1, 6)]);
    assert_eq!(copy.age(at(1)), Some(Duration::from_secs(1)));
}

#[test]
fn what_is_remembered_of_restarts_is_bounded() {
    let mut member = ListHistory::default();
    member.replace(list(&[(1, 1), (3, 1)]), at(0));
    let known = member.copy().known_incarnations();
    for second in 1..200 {
        member.replace(list(&[(1, 1), (3, 1 + second)]), at(second));
    }
    assert_eq!(member.incarnations_after(known, false), None);
    assert_eq!(member.incarnations_after(known, true).unwrap().len(), 2);
}
