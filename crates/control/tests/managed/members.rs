//! Membership of the configuration group: bootstrap, admission, loss of members and of disks.

use crate::support::{FOUNDERS, Fleet, config, document, members, store};
use luglink_control::{ControlNode, Request, Response};
use luglink_fleet::StoreState;
use luglink_storage::MemoryDisk;
use luglink_types::MemberId;
use std::time::Duration;

#[test]
fn seeds_elect_a_leader_soon_after_the_first_start() {
    let mut fleet = Fleet::bootstrapped();
    let time = fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    // The first election must not wait for the timeout that deposes a leader.
    assert!(time <= Duration::from_millis(600), "{time:?}");
    assert_eq!(fleet.voters(), members(&FOUNDERS));
}

/// A leader knows that its committed state is complete only after it has committed an entry of its
/// own term.
#[test]
fn a_new_leader_is_not_fresh_before_it_commits_an_entry() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    assert!(fleet.saw_uncommitted_leader);
}

#[test]
fn a_member_that_is_not_a_seed_joins_as_a_learner() {
    let mut fleet = Fleet::bootstrapped();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    fleet.put(5, "five");
    fleet.run(0.5);
    assert_eq!(fleet.nodes[&4].document_version(), 5);
}

#[test]
fn a_learner_replaces_a_lost_voter() {
    let mut fleet = Fleet::bootstrapped();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    fleet.put(1, "one");
    let leader = fleet.leader().unwrap();
    fleet.crash(leader);
    fleet.run(5.0);
    let mut expected = members(&[1, 2, 3, 4]);
    expected.remove(&leader);
    assert_eq!(fleet.voters(), expected);
    // A second member is lost right after the repair.
    let second = fleet.leader().unwrap();
    fleet.crash(second);
    assert_eq!(fleet.document(), Some(document(1, "one")));
}

#[test]
fn a_member_with_an_empty_disk_does_not_vote_before_it_has_caught_up() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.put(3, "three");
    let victim = fleet.leader().unwrap();
    fleet.crash(victim);
    fleet.start(victim, MemoryDisk::default(), false);
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    assert_eq!(fleet.nodes[&victim].document_version(), 3);
    // Another member loses its disk, while all members restart.
    let others: Vec<u32> = FOUNDERS.into_iter().filter(|id| *id != victim).collect();
    let kept = fleet.crash(others[0]);
    let refilled = fleet.crash(victim);
    fleet.crash(others[1]);
    fleet.start(others[0], kept, false);
    fleet.start(victim, refilled, false);
    fleet.start(others[1], MemoryDisk::default(), false);
    fleet.run(4.0);
    assert_eq!(fleet.document(), Some(document(3, "three")));
    assert_eq!(fleet.voters(), members(&FOUNDERS));
}

#[test]
fn empty_disks_do_not_bootstrap_after_the_first_start() {
    let mut fleet = Fleet::bootstrapped();
    fleet.nodes.clear();
    for member in FOUNDERS {
        fleet.start(member, MemoryDisk::default(), false);
    }
    fleet.run(10.0);
    assert_eq!(fleet.leader(), None);
    assert!(fleet.nodes.values().all(|node| !node.is_fresh()));
}

#[test]
fn later_changes_of_the_seeds_do_not_affect_the_log() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.put(2, "two");
    let disks: Vec<(u32, MemoryDisk)> = FOUNDERS
        .into_iter()
        .map(|member| (member, fleet.crash(member)))
        .collect();
    for (member, disk) in disks {
        let mut other = config(member, false);
        other.members = vec![MemberId(8), MemberId(9)];
        let node = ControlNode::start(other, disk, u64::from(member), fleet.now);
        fleet.nodes.insert(member, node.unwrap());
    }
    fleet.run(2.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    assert_eq!(fleet.document(), Some(document(2, "two")));
}

#[test]
fn the_first_document_of_a_version_is_kept() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    let held = |version| Response::DocumentHeld { version };
    assert_eq!(fleet.put(4, "four"), held(4));
    assert_eq!(fleet.put(4, "another four"), held(4));
    assert_eq!(fleet.put(2, "two"), held(4));
    assert_eq!(fleet.document(), Some(document(4, "four")));
}

#[test]
fn a_partitioned_leader_confirms_nothing_and_becomes_stale() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.put(1, "one");
    let isolated = fleet.leader().unwrap();
    fleet.partitioned.insert(isolated);
    let put = fleet.input(isolated, Request::PutDocument(document(2, "lost")));
    let read = fleet.input(isolated, Request::ReadDocument);
    fleet.run(1.0);
    let refused = |response: Option<Response>| {
        matches!(
            response,
            None | Some(Response::NotLeader { .. } | Response::Unavailable { .. })
        )
    };
    assert!(refused(fleet.replies.remove(&(isolated, put))));
    assert!(refused(fleet.replies.remove(&(isolated, read))));
    assert!(!fleet.nodes[&isolated].is_fresh());
    fleet.put(3, "three");
    fleet.partitioned.clear();
    fleet.run(2.0);
    assert_eq!(fleet.document(), Some(document(3, "three")));
    assert_eq!(fleet.nodes[&isolated].document_version(), 3);
}

/// Admitted one at a time, the members and stores of a large fleet would take longer to join than
/// the time until the first callers arrive.
#[test]
fn members_and_stores_that_start_together_are_admitted_together() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    for member in 4..=60 {
        fleet.start(member, MemoryDisk::default(), true);
        fleet
            .stores
            .insert(format!("s{member}"), store(u64::from(member), true));
    }
    fleet.run_until("all members", 4.0, |fleet| {
        let leader = fleet
            .leader()
            .map(|leader| fleet.nodes[&leader].leadership());
        leader.is_some_and(|leadership| leadership.voters + leadership.learners == 60)
    });
    let is_active = |state: &StoreState| *state == StoreState::Active;
    let states = fleet.store_states();
    assert_eq!(states.len(), 57);
    assert!(states.values().all(is_active), "{states:?}");
}

/// A member that has just started knows the founders at most. If it counted them, each of the
/// members that start together would read the platform's list as often as one of three members.
#[test]
fn a_member_that_is_not_admitted_reports_zero_members() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.start(4, MemoryDisk::default(), false);
    assert_eq!(fleet.nodes[&4].member_count(), 0);
    assert_eq!(fleet.nodes[&1].member_count(), 3);
    fleet.run(3.0);
    assert_eq!(fleet.nodes[&4].member_count(), 4);
}
