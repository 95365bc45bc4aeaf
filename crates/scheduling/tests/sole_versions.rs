//! Services with a single software version.

use luglink_fleet::{Backend, BackendChanges, BackendId, Incarnation, SoftwareVersion};
use luglink_scheduling::{Pool, SoleVersions};
use luglink_types::Timestamp;
use std::time::Duration;

const HELD: Duration = Duration::from_secs(5);

/// Maximum time between two lists.
const GAP: Duration = Duration::from_secs(2);

/// A pool whose changes are followed like those of a gateway.
struct Follower {
    pool: Pool,
    sole_versions: SoleVersions,
}

impl Follower {
    fn new() -> Self {
        Self {
            pool: Pool::new("z"),
            sole_versions: SoleVersions::default(),
        }
    }

    fn list(&mut self, id: &str, version: Option<&str>, draining: bool, seconds: u64) {
        let backend = Backend {
            id: BackendId(id.to_owned()),
            service: "s".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".to_owned(),
            slots: 4,
            draining,
            incarnation: Incarnation::UNKNOWN,
            version: version.map(|version| SoftwareVersion(version.to_owned())),
        };
        self.apply(vec![backend], Vec::new(), seconds);
    }

    fn remove(&mut self, id: &str, seconds: u64) {
        self.apply(Vec::new(), vec![BackendId(id.to_owned())], seconds);
    }

    fn apply(&mut self, changed: Vec<Backend>, removed: Vec<BackendId>, seconds: u64) {
        self.pool.apply(&BackendChanges {
            changed,
            removed,
            ..BackendChanges::default()
        });
        let sole_versions = self.pool.sole_versions();
        self.sole_versions.update(sole_versions, at(seconds));
    }

    fn held_since_first_list(&self) -> Option<&str> {
        let version = self.sole_versions.held_since_first_list("s");
        version.map(|version| version.0.as_str())
    }

    fn held(&self, seconds: u64) -> Option<&str> {
        let version = self.sole_versions.held_for("s", HELD, at(seconds));
        version.map(|version| version.0.as_str())
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

#[test]
fn a_version_counts_once_it_was_the_only_one_for_long_enough() {
    let mut follower = Follower::new();
    follower.list("a", Some("v1"), false, 1);
    assert_eq!(follower.held(5), None);
    assert_eq!(follower.held(6), Some("v1"));
    follower.list("b", Some("v1"), false, 7);
    assert_eq!(follower.held(7), Some("v1"));
}

#[test]
fn a_second_version_starts_the_time_again_when_it_has_left() {
    let mut follower = Follower::new();
    follower.list("a", Some("v1"), false, 1);
    follower.list("b", Some("v2"), true, 7);
    assert_eq!(follower.held(20), None);
    follower.remove("b", 21);
    assert_eq!(follower.held(25), None);
    assert_eq!(follower.held(26), Some("v1"));
}

#[test]
fn a_replaced_version_starts_the_time_again() {
    let mut follower = Follower::new();
    follower.list("a", Some("v1"), false, 1);
    follower.list("a", Some("v2"), false, 10);
    assert_eq!(follower.held(14), None);
    assert_eq!(follower.held(15), Some("v2"));
    follower.remove("a", 20);
    follower.list("c", Some("v2"), false, 21);
    assert_eq!(follower.held(25), None);
}

#[test]
fn an_unknown_version_is_not_a_single_one() {
    let mut follower = Follower::new();
    follower.list("a", None, false, 1);
    assert_eq!(follower.held(20), None);
    follower.list("b", Some("v1"), false, 21);
    assert_eq!(follower.held(40), None);
}

#[test]
fn a_list_without_versions_counts_at_once() {
    let mut follower = Follower::new();
    follower.list("a", Some(""), false, 1);
    assert_eq!(follower.held(1), Some(""));
}

#[test]
fn a_version_that_came_after_another_one_was_not_there_from_the_first_list() {
    let mut follower = Follower::new();
    follower.list("a", Some("v1"), false, 1);
    assert_eq!(follower.held_since_first_list(), Some("v1"));
    follower.list("b", Some("v2"), false, 2);
    assert_eq!(follower.held_since_first_list(), None);
    follower.remove("a", 3);
    assert_eq!(follower.held_since_first_list(), None);
}

#[test]
fn versions_that_came_and_went_between_two_lists_are_not_taken_for_none() {
    let mut follower = Follower::new();
    follower.sole_versions.note_list(at(0), GAP);
    follower.list("r1", Some("1"), false, 0);
    assert_eq!(follower.held_since_first_list(), Some("1"));
    // Lists without changes.
    for seconds in 1..10 {
        follower.sole_versions.note_list(at(seconds), GAP);
        follower.apply(Vec::new(), Vec::new(), seconds);
    }
    assert_eq!(follower.held(10), Some("1"));
    follower.sole_versions.note_list(at(12), GAP);
    follower.apply(Vec::new(), Vec::new(), 12);
    assert_eq!(
        (follower.held(12), follower.held_since_first_list()),
        (None, None)
    );
    follower.sole_versions.note_list(at(13), GAP);
    follower.apply(Vec::new(), Vec::new(), 13);
    assert_eq!(follower.held(17), Some("1"));
}
