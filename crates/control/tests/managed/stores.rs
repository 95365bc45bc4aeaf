//! Turn stores that come, go, lose their disks and are retired.

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
fn stores_found_the_registry_and_a_wiped_one_is_filled_before_it_counts() {
    let mut fleet = Fleet::founded();
    for name in ["a", "b", "c"] {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    let active = |states: &BTreeMap<String, StoreState>| {
        states.values().all(|state| *state == StoreState::Active)
    };
    let states = fleet.store_states();
    assert!(states.len() == 3 && active(&states), "{states:?}");
    // The others have not handed over yet.
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
fn a_store_is_retired_once_all_have_handed_over() {
    let mut fleet = Fleet::founded();
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
    let look = Request::ReadRetirement(StoreName("a".to_owned()));
    assert_eq!(fleet.ask(look.clone()), state(RetireState::Running));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = u64::MAX;
    }
    fleet.run(2.0);
    assert_eq!(fleet.ask(look), state(RetireState::Completed));
    // It still says its word, but it is not taken in again.
    fleet.run(2.0);
    assert!(!fleet.store_states().contains_key("a"));
}

/// A store on the machine of a member.
fn store_beside(member: u32) -> StorePresence {
    StorePresence {
        address: SocketAddr::from((std::net::Ipv4Addr::from(member), 90)),
        ..store(1, member <= 3)
    }
}

#[test]
fn a_machine_is_retired_only_once_another_member_votes_in_its_place() {
    let mut fleet = Fleet::founded();
    fleet.start(4, MemoryDisk::default(), false);
    for member in [1, 2, 3, 4] {
        let name = format!("store-{member}");
        fleet.stores.insert(name, store_beside(member));
    }
    fleet.run(4.0);
    assert_eq!(fleet.voters(), members(&[1, 2, 3]));
    let leader = fleet.leader().unwrap();
    let name = StoreName(format!("store-{leader}"));
    let state = |state| Response::Retirement(RetireResponse::State(state));
    // The spare cannot be reached: until it can, the machine stays.
    fleet.cut_off.insert(4);
    fleet.run(2.0);
    let running = state(RetireState::Running);
    assert_eq!(fleet.ask(Request::Retire(name.clone())), running);
    fleet.run(3.0);
    let look = Request::ReadRetirement(name);
    assert_eq!(fleet.ask(look.clone()), running);
    fleet.cut_off.clear();
    fleet.run(4.0);
    assert_eq!(fleet.ask(look), state(RetireState::Completed));
    assert!(!fleet.voters().contains(&leader));
    assert_eq!(fleet.voters().len(), 3);
    // It asks to be let in until its machine is taken away, in vain.
    fleet.run(3.0);
    let status = fleet.nodes[&fleet.leader().unwrap()].status();
    let membership = &status.groups[0].membership;
    assert!(membership.peers().all(|peer| peer.member.0 != leader));
    // One more may be lost now.
    fleet.crash(leader);
    let other = *fleet.voters().first().unwrap();
    fleet.crash(other);
    fleet.put(1, "one");
    assert_eq!(fleet.document().unwrap().version, 1);
}

#[test]
fn no_more_stores_are_passed_over_at_once_than_may_be_lost() {
    let mut fleet = Fleet::founded();
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    for name in names {
        fleet.stores.insert(name.to_owned(), store(1, true));
    }
    fleet.run(3.0);
    // Half of the stores cannot be heard: a cut, since so many are not lost at once. Gateways may
    // reach them all the same.
    for name in &names[..4] {
        fleet.stores.remove(*name);
    }
    let lost = |fleet: &mut Fleet| {
        let states = fleet.store_states().into_values();
        states.filter(|state| *state == StoreState::Lost).count()
    };
    for _ in 0..6 {
        fleet.run(1.0);
        assert!(lost(&mut fleet) <= 1, "one disk may be lost here");
    }
    assert_eq!(lost(&mut fleet), 1);
    for name in &names[..4] {
        fleet.stores.insert((*name).to_owned(), store(1, true));
    }
    fleet.run(2.0);
    let states = fleet.store_states().into_values();
    let active = states.filter(|state| *state == StoreState::Active);
    assert_eq!(active.count(), names.len(), "all are back");
}

#[test]
fn a_silent_store_is_passed_over_only_while_enough_others_are_there() {
    let mut fleet = Fleet::founded();
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
fn a_store_that_is_gone_for_good_leaves_the_view_once_others_have_its_share() {
    let mut fleet = Fleet::founded();
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
    // It was only away for long: it joins anew and is filled with what it missed.
    fleet.stores.insert("a".to_owned(), store(1, true));
    for store in fleet.stores.values_mut() {
        store.handed_over_epoch = 0;
    }
    fleet.run(2.0);
    assert_eq!(fleet.store_states()["a"], StoreState::Joining);
}

#[test]
fn snapshots_carry_documents_and_the_registry() {
    let mut fleet = Fleet::founded();
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
    let news = match fleet.ask(observe("w", gateway(), KnownVersions::default())) {
        Response::ObserverUpdate(news) => *news,
        other => panic!("expected news, got {other:?}"),
    };
    let ObserverUpdate {
        document: held,
        stores,
        members,
        ..
    } = news;
    assert_eq!(held, Some(document(1, "one")));
    assert_eq!(stores.unwrap().len(), 3);
    assert_eq!(members.unwrap().locations.len(), 4);
}
