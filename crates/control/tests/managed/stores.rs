//! Registry of turn stores: stores that join, fail, lose their disks and are retired.

use crate::support::{Fleet, document, gateway, members, observe, store};
use luglink_control::{Request, Response};
use luglink_fleet::{
    KnownVersions, ObserverUpdate, RetireResponse, RetireState, StoreName, StorePresence,
    StoreState,
};
use luglink_storage::MemoryDisk;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[test]
fn a_wiped_store_is_joining_until_the_others_have_handed_over() {
    let mut fleet = Fleet::bootstrapped();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    let active = |states: &BTreeMap<String, StoreState>| {
        states.values().all(|state| *state == StoreState::Active)
    };
    let states = fleet.store_states();
    assert!(states.len() == 3 && active(&states), "{states:?}");
    // The other stores have not completed their handover yet.
    for name in ["a", "b"] {
        fleet.stores.get_mut(name).unwrap().handed_over_epoch = 0;
    }
    fleet.stores.insert("c".to_owned(), store(2, false));
    fleet.run(3.0);
    assert_eq!(fleet.store_states()["c"], StoreState::Joining);
    for name in ["a", "b"] {
        fleet.stores.get_mut(name).unwrap().handed_over_epoch = u64::MAX;
    }
    fleet.run(1.0);
    assert_eq!(fleet.store_states()["c"], StoreState::Active);
}

#[test]
fn a_retirement_completes_after_all_stores_have_handed_over() {
    let mut fleet = Fleet::bootstrapped();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    let retire = Request::Retire(StoreName("a".to_owned()));
    let too_few = Response::Retirement(RetireResponse::TooFew);
    assert_eq!(fleet.ask(retire.clone()), too_few);
    fleet.stores.insert("d".to_owned(), store(1, false));
    fleet.run(2.0);
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    let state = |state| Response::Retirement(RetireResponse::State(state));
    assert_eq!(fleet.ask(retire), state(RetireState::Running));
    fleet.run(2.0);
    let read_state = Request::ReadRetirement(StoreName("a".to_owned()));
    assert_eq!(fleet.ask(read_state.clone()), state(RetireState::Running));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = u64::MAX;
    }
    fleet.run(2.0);
    assert_eq!(fleet.ask(read_state), state(RetireState::Completed));
    // The retired store still reports, but does not join again.
    fleet.run(2.0);
    assert!(!fleet.store_states().contains_key("a"));
}

/// Presence of a store on the machine of a member.
fn store_on_machine_of(member: u32) -> StorePresence {
    StorePresence {
        address: SocketAddr::from((std::net::Ipv4Addr::from(member), 90)),
        ..store(1, member <= 3)
    }
}

#[test]
fn a_retirement_completes_only_after_the_voter_on_the_machine_is_replaced() {
    let mut fleet = Fleet::bootstrapped();
    fleet.start(4, MemoryDisk::default(), false);
    for member in [1, 2, 3, 4] {
        let name = format!("store-{member}");
        fleet.stores.insert(name, store_on_machine_of(member));
    }
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&[1, 2, 3]));
    let leader = fleet.leader().unwrap();
    let name = StoreName(format!("store-{leader}"));
    let state = |state| Response::Retirement(RetireResponse::State(state));
    // While the only learner is unreachable, the retirement does not complete.
    fleet.partitioned.insert(4);
    fleet.run(2.0);
    let running = state(RetireState::Running);
    assert_eq!(fleet.ask(Request::Retire(name.clone())), running);
    fleet.run(3.0);
    let read_state = Request::ReadRetirement(name);
    assert_eq!(fleet.ask(read_state.clone()), running);
    fleet.partitioned.clear();
    fleet.run(4.0);
    assert_eq!(fleet.ask(read_state), state(RetireState::Completed));
    assert!(!fleet.voters().contains(&leader));
    assert_eq!(fleet.voters().len(), 3);
    // The removed member asks for admission until its machine is shut down, and is not admitted.
    fleet.run(3.0);
    let status = fleet.nodes[&fleet.leader().unwrap()].status();
    let membership = &status.groups[0].membership;
    assert!(membership.peers().all(|peer| peer.member.0 != leader));
    // The group tolerates the loss of another member now.
    fleet.crash(leader);
    let other = *fleet.voters().first().unwrap();
    fleet.crash(other);
    fleet.put(1, "one");
    assert_eq!(fleet.document().unwrap().version, 1);
}

#[test]
fn at_most_the_tolerated_number_of_stores_is_marked_lost() {
    let mut fleet = Fleet::bootstrapped();
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for name in names {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    // Half of the stores are silent. So many are not lost at once, so the cause is a network
    // partition, and gateways may still reach the stores.
    for name in &names[..4] {
        fleet.stores.remove(*name);
    }
    let lost = |fleet: &mut Fleet| {
        let states = fleet.store_states().into_values();
        states.filter(|state| *state == StoreState::Lost).count()
    };
    for _ in 0..6 {
        fleet.run(1.0);
        assert!(lost(&mut fleet) <= 1, "more stores lost than tolerated");
    }
    assert_eq!(lost(&mut fleet), 1);
    for name in &names[..4] {
        fleet.stores.insert((*name).to_owned(), store(1, true));
    }
    fleet.run(2.0);
    let states = fleet.store_states().into_values();
    let active = states.filter(|state| *state == StoreState::Active);
    assert_eq!(active.count(), names.len(), "some stores are not active");
}

#[test]
fn a_silent_store_is_marked_lost_only_while_enough_others_are_writable() {
    let mut fleet = Fleet::bootstrapped();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.stores.remove("a");
    fleet.run(5.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Active);
    fleet.stores.insert("d".to_owned(), store(1, false));
    fleet.run(2.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Lost);
    fleet.run(1.0);
    assert_eq!(fleet.store_states()["d"], StoreState::Active);
}

#[test]
fn a_lost_store_is_removed_after_the_others_have_taken_over_its_share() {
    let mut fleet = Fleet::bootstrapped();
    for name in ["a", "b", "c", "d"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.stores.remove("a");
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    fleet.run(20.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Lost);
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = u64::MAX;
    }
    fleet.run(2.0);
    assert!(!fleet.store_states().contains_key("a"));
    // The store was only unreachable: it joins again and receives its share from the others.
    fleet.stores.insert("a".to_owned(), store(1, true));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    fleet.run(2.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Joining);
}

/// Lets the present stores complete the hand-over for each view for some time.
fn run_with_hand_overs(fleet: &mut Fleet, seconds: f64) {
    let rounds = (seconds / 0.3).ceil() as u64;
    for _ in 0..rounds {
        let known = KnownVersions::default();
        let update = fleet.ask(observe("watcher", gateway(), known));
        let Response::ObserverUpdate(update) = update else {
            panic!("expected an update");
        };
        let epoch = update.stores.map_or(0, |view| view.epoch);
        for store in fleet.stores.values_mut() {
            store.handed_over_epoch = epoch;
        }
        fleet.run(0.1);
    }
}

/// Replacements must not wait for each other: the removal of one lost store for the fill of a second
/// one, and that one for the hand-over of a third.
#[test]
fn stores_that_are_replaced_in_short_succession_do_not_stop_the_registry() {
    let mut fleet = Fleet::bootstrapped();
    for name in ["a", "b", "c", "d"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    run_with_hand_overs(&mut fleet, 3.0);
    for (lost, new) in [("a", "e"), ("c", "f"), ("d", "g")] {
        fleet.stores.remove(lost);
        fleet.run(0.3);
        fleet.stores.insert(new.to_owned(), store(1, false));
        run_with_hand_overs(&mut fleet, 7.5);
    }
    let active = |name: &str| (name.to_owned(), StoreState::Active);
    let expected: BTreeMap<String, StoreState> = ["b", "e", "f", "g"].map(active).into();
    assert_eq!(fleet.store_states(), expected);
}

#[test]
fn snapshots_contain_the_document_and_the_store_registry() {
    let mut fleet = Fleet::bootstrapped();
    for node in fleet.nodes.values() {
        assert!(node.status().groups.len() == 1);
    }
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    fleet.put(1, "one");
    fleet.start(4, MemoryDisk::default(), true);
    fleet.run(3.0);
    let update = match fleet.ask(observe("w", gateway(), KnownVersions::default())) {
        Response::ObserverUpdate(update) => *update,
        other => panic!("expected an update, got {other:?}"),
    };
    let ObserverUpdate {
        document: held,
        stores,
        members,
        ..
    } = update;
    assert_eq!(held, Some(document(1, "one")));
    assert_eq!(stores.unwrap().len(), 3);
    assert_eq!(members.unwrap().locations.len(), 4);
}
