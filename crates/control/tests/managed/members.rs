//! Members that come, go, lose their disks and lead.

use crate::support::{FOUNDERS, Fleet, config, document, members, store};
use luglink_control::{ControlNode, Request, Response};
use luglink_fleet::StoreState;
use luglink_storage::MemoryDisk;
use luglink_types::MemberId;
use std::time::Duration;

#[test]
fn the_seeds_found_the_group_within_a_moment() {
    let mut fleet = Fleet::founded();
    let time = fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    // A start of everything must not wait for the silence that deposes a leader.
    assert!(time <= Duration::from_millis(600), "{time:?}");
    assert_eq!(fleet.voters(), members(&FOUNDERS));
}

/// What earlier terms committed is only known to be all once the leader has committed in its own.

#[test]
fn a_new_leader_is_not_current_before_it_has_committed_something() {
    let mut fleet = Fleet::founded();
    fleet.run_until("a leader", 1.0, |fleet| fleet.leader().is_some());
    assert!(fleet.saw_uncommitted_leader);
}

#[test]
fn a_member_that_is_not_a_seed_is_let_in_as_a_spare() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    fleet.put(5, "five");
    fleet.run(0.5);
    assert_eq!(fleet.nodes[&4].document_version(), 5);
}

#[test]
fn a_spare_takes_the_place_of_a_voter_that_is_gone() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    fleet.put(1, "one");
    let leader = fleet.leader().unwrap();
    fleet.crash(leader);
    fleet.run(5.0);
    let mut expected = members(&[1, 2, 3, 4]);
    expected.remove(&leader);
    assert_eq!(fleet.voters(), expected);
    // A second loss, right after the repair.
    let second = fleet.leader().unwrap();
    fleet.crash(second);
    assert_eq!(fleet.document(), Some(document(1, "one")));
}

#[test]
fn a_member_with_an_empty_disk_never_counts_before_it_has_caught_up() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.put(3, "three");
    let victim = fleet.leader().unwrap();
    fleet.crash(victim);
    fleet.start(victim, MemoryDisk::default(), false);
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&FOUNDERS));
    assert_eq!(fleet.nodes[&victim].document_version(), 3);
    // Now another one loses its disk, while everyone else loses power.
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
fn an_empty_disk_founds_nothing_when_the_fleet_did_not_just_start() {
    let mut fleet = Fleet::founded();
    fleet.nodes.clear();
    for member in FOUNDERS {
        fleet.start(member, MemoryDisk::default(), false);
    }
    fleet.run(10.0);
    assert_eq!(fleet.leader(), None);
    assert!(fleet.nodes.values().all(|node| !node.is_fresh()));
}

#[test]
fn settings_that_name_other_seeds_later_change_nothing_in_the_log() {
    let mut fleet = Fleet::founded();
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
fn documents_race_and_the_first_of_a_version_holds() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let held = |version| Response::DocumentHeld { version };
    assert_eq!(fleet.put(4, "four"), held(4));
    assert_eq!(fleet.put(4, "another four"), held(4));
    assert_eq!(fleet.put(2, "two"), held(4));
    assert_eq!(fleet.document(), Some(document(4, "four")));
}

#[test]
fn a_leader_that_is_cut_off_confirms_nothing_and_says_that_it_may_be_behind() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.put(1, "one");
    let cut = fleet.leader().unwrap();
    fleet.cut_off.insert(cut);
    let put = fleet.input(cut, Request::PutDocument(document(2, "lost")));
    let read = fleet.input(cut, Request::ReadDocument);
    fleet.run(1.0);
    let refused = |response: Option<Response>| {
        matches!(
            response,
            None | Some(Response::NotLeader { .. } | Response::Unavailable { .. })
        )
    };
    assert!(refused(fleet.replies.remove(&(cut, put))));
    assert!(refused(fleet.replies.remove(&(cut, read))));
    assert!(!fleet.nodes[&cut].is_fresh());
    fleet.put(3, "three");
    fleet.cut_off.clear();
    fleet.run(2.0);
    assert_eq!(fleet.document(), Some(document(3, "three")));
    assert_eq!(fleet.nodes[&cut].document_version(), 3);
}

/// One after the other, the members and stores of a fleet of twice the size we run would take
/// longer to come than there is before its callers do.
#[test]
fn all_members_and_stores_that_come_together_are_let_in_together() {
    let mut fleet = Fleet::founded();
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

/// A member that has just started knows the founders at the most; were it to count these, all that
/// start together would read the platform's list as if they were three.
#[test]
fn a_member_that_was_not_let_in_counts_no_members() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.start(4, MemoryDisk::default(), false);
    assert_eq!(fleet.nodes[&4].member_count(), 0);
    assert_eq!(fleet.nodes[&1].member_count(), 3);
    fleet.run(3.0);
    assert_eq!(fleet.nodes[&4].member_count(), 4);
}
