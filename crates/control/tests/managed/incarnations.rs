//! Replica incarnations in responses to observers, after restarts with unchanged identifiers.

use crate::support::{Fleet, address, gateway, observe};
use luglink_control::{Input, RequestParts, ResponseParts};
use luglink_fleet::{
    Backend, BackendId, BackendList, Incarnation, KnownIncarnations, KnownList, KnownVersions,
    MembersStamp,
};
use std::time::Duration;

fn list(starts: [u64; 2]) -> BackendList {
    let backend = |(number, start): (u16, u64)| Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: address(number),
        zone: "z".to_owned(),
        slots: 1,
        draining: false,
        incarnation: Incarnation(start),
        version: None,
    };
    BackendList::new((0..).zip(starts).map(backend).collect())
}

fn read(fleet: &mut Fleet, member: u32, list: BackendList) {
    let age = Duration::ZERO;
    let node = fleet.nodes.get_mut(&member).unwrap();
    node.handle(Input::Backends { list, age }, fleet.now)
        .unwrap();
}

/// Sends the request of an observer that has `list`. With `incarnations`, the observer also asks
/// for newer incarnations.
fn ask(
    fleet: &mut Fleet,
    member: u32,
    list: Option<&BackendList>,
    incarnations: Option<u64>,
) -> ResponseParts {
    let known = KnownVersions {
        is_current: true,
        document_version: u64::MAX,
        store_epoch: u64::MAX,
        backends: Some(KnownList {
            fingerprint: list.map_or(0, BackendList::fingerprint),
            age: list.map(|_| Duration::from_secs(5)),
            digest: None,
        }),
        members: MembersStamp::NEWEST,
    };
    let parts = RequestParts {
        known_incarnations: incarnations.map(|sum| KnownIncarnations { sum }),
        ..RequestParts::default()
    };
    let asked = fleet.input_with_parts(member, observe("g", gateway(), known), parts);
    fleet.run(1.0);
    fleet
        .reply_parts
        .remove(&(member, asked))
        .expect("an answer")
}

#[test]
fn incarnations_are_sent_only_on_request() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    read(&mut fleet, 1, list([5, 6]));
    assert_eq!(ask(&mut fleet, 1, None, None), ResponseParts::default());
    assert_eq!(ask(&mut fleet, 1, None, Some(0)).incarnations.len(), 2);
}

#[test]
fn a_restart_is_sent_to_an_observer_with_the_same_list() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    let before = list([5, 6]);
    read(&mut fleet, 1, before.clone());
    fleet.run(1.0);
    read(&mut fleet, 1, list([5, 9]));
    let sum = before.incarnation_sum();
    let received = ask(&mut fleet, 1, Some(&before), Some(sum)).incarnations;
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].incarnation, Incarnation(9));
    let sum = list([5, 9]).incarnation_sum();
    let received = ask(&mut fleet, 1, Some(&before), Some(sum)).incarnations;
    assert!(received.is_empty());
}

#[test]
fn a_member_forwards_incarnations_from_the_leader() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    read(&mut fleet, 2, list([0, 0]));
    let node = fleet.nodes.get_mut(&2).unwrap();
    let input = Input::LeaderIncarnations(list([5, 6]).incarnations());
    node.handle(input, fleet.now).unwrap();
    assert_eq!(ask(&mut fleet, 2, None, Some(0)).incarnations.len(), 2);
}
