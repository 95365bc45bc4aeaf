//! Updates of observers: their contents, their timing, and the members that send them.

use crate::support::{
    FOUNDERS, Fleet, address, document, gateway, members, observe, observer_request,
};
use luglink_control::{Input, ManagedConfig, Request, Response};
use luglink_fleet::{
    Backend, BackendId, BackendList, BackendUpdate, GatewayLoad, GatewayPresence, Incarnation,
    KnownList, KnownVersions, MemberPresence, MembersStamp, ObserverUpdate, Role,
};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn an_observer_is_answered_as_soon_as_the_member_is_fresh() {
    let mut fleet = Fleet::bootstrapped();
    let number = fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.run_until("an answer", 3.0, |fleet| {
        let answer = fleet.replies.get(&(1, number));
        let hold = ManagedConfig::default().observe_hold;
        answer.is_some() || fleet.now.since(Timestamp::from_millis(1_000_000)) > hold
    });
    fleet.run_until("a current member", 2.0, |fleet| fleet.nodes[&1].is_fresh());
    let number = fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    let answer = fleet.replies.remove(&(1, number));
    assert!(
        matches!(&answer, Some(Response::ObserverUpdate(update)) if update.fresh),
        "{answer:?}"
    );
    let current = KnownVersions {
        is_current: true,
        members: MembersStamp::NEWEST,
        ..KnownVersions::default()
    };
    let number = fleet.input(1, observe("g", gateway(), current));
    fleet.step();
    assert!(!fleet.replies.contains_key(&(1, number)), "nothing is new");
}

/// Returns the members whose responses contain a document.
fn document_senders(fleet: &mut Fleet, requests: &[(u32, u64)]) -> BTreeSet<u32> {
    let replies = requests.iter().filter_map(|request| {
        let Some(Response::ObserverUpdate(update)) = fleet.replies.remove(request) else {
            return None;
        };
        update.document.is_some().then_some(request.0)
    });
    replies.collect()
}

#[test]
fn a_new_document_is_sent_by_the_selected_members_first_and_by_the_others_later() {
    let mut fleet = Fleet::bootstrapped();
    fleet.put(1, "one");
    fleet.run(1.0);
    let current = KnownVersions {
        is_current: true,
        document_version: 1,
        members: MembersStamp::NEWEST,
        ..KnownVersions::default()
    };
    // Each observer selects the first two members that it asks to send a document at once.
    let ask = |fleet: &mut Fleet, name: &str, order: [u32; 3]| -> Vec<(u32, u64)> {
        let mut ask = |(position, member)| {
            let mut observer_request = observer_request(name, gateway(), current.clone());
            observer_request.wants_document_at_once = position < 2;
            let request = Request::Observe(Box::new(observer_request));
            (member, fleet.input(member, request))
        };
        order.into_iter().enumerate().map(&mut ask).collect()
    };
    let leader = fleet.leader().unwrap();
    fleet.input(leader, Request::PutDocument(document(2, "two")));
    let mut sent_first = BTreeMap::new();
    let mut requests = BTreeMap::new();
    for (name, order) in [("g1", [1, 2, 3]), ("g2", [2, 3, 1]), ("g3", [3, 1, 2])] {
        requests.insert(order, ask(&mut fleet, name, order));
    }
    // Followers learn the commit index with the next heartbeat, before the end of the hold.
    fleet.run(0.15);
    for (order, asked) in requests {
        sent_first.insert(order, document_senders(&mut fleet, &asked));
    }
    for (order, senders) in sent_first {
        assert_eq!(senders, members(&order[..2]));
    }
    // After the fallback delay, the other members send the document too.
    fleet.run(1.0);
    let asked = ask(&mut fleet, "g1", FOUNDERS);
    fleet.run(0.1);
    assert_eq!(document_senders(&mut fleet, &asked), members(&FOUNDERS));
    // All members send the document at once to a gateway that has just started.
    fleet.put(3, "three");
    let asked: Vec<(u32, u64)> = FOUNDERS
        .map(|member| {
            (
                member,
                fleet.input(member, observe("new", gateway(), KnownVersions::default())),
            )
        })
        .to_vec();
    fleet.run(0.1);
    assert_eq!(document_senders(&mut fleet, &asked), members(&FOUNDERS));
}

#[test]
fn silent_gateways_are_not_advertised() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    assert_eq!(fleet.nodes[&1].ready_gateways().len(), 1);
    fleet.run(3.0);
    assert!(fleet.nodes[&1].ready_gateways().is_empty());
}

#[test]
fn the_hold_grows_with_the_fleet_up_to_its_maximum() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    let small = fleet.nodes[&1].resolution_validity();
    let current = KnownVersions {
        is_current: true,
        members: MembersStamp::NEWEST,
        ..KnownVersions::default()
    };
    let mut ask_all = || -> Vec<u64> {
        (0..400)
            .map(|number| {
                fleet.input(
                    1,
                    observe(&format!("g{number}"), gateway(), current.clone()),
                )
            })
            .collect()
    };
    // The first requests are held as in a small fleet; the hold grows once all processes are known.
    ask_all();
    let asked = ask_all();
    let large = fleet.nodes[&1].resolution_validity();
    assert!(small < large, "{small:?} {large:?}");
    let bound = ManagedConfig::default().max_observe_hold;
    fleet.run(bound.as_secs_f64() / 2.0);
    let early = asked
        .iter()
        .filter(|number| fleet.replies.contains_key(&(1, **number)));
    assert_eq!(early.count(), 0, "answered early although nothing was new");
    fleet.run(bound.as_secs_f64() / 2.0 + 0.1);
    let late = asked
        .iter()
        .filter(|number| !fleet.replies.contains_key(&(1, **number)));
    assert_eq!(late.count(), 0, "held so long that a list appears stale");
}

fn list_of(count: u16) -> BackendList {
    let backend = |number| Backend {
        id: BackendId(format!("i-{number}")),
        service: "s".to_owned(),
        address: address(number),
        zone: "z".to_owned(),
        slots: 1,
        draining: false,
        incarnation: Incarnation::UNKNOWN,
        version: None,
    };
    BackendList::new((0..count).map(backend).collect())
}

fn read(fleet: &mut Fleet, member: u32, list: BackendList) {
    let now = fleet.now;
    let age = Duration::ZERO;
    let node = fleet.nodes.get_mut(&member).unwrap();
    node.handle(Input::Backends { list, age }, now).unwrap();
}

/// Versions of an observer for which only a list can be new.
fn knows_all_but(backends: KnownList) -> KnownVersions {
    KnownVersions {
        is_current: true,
        document_version: u64::MAX,
        store_epoch: u64::MAX,
        backends: Some(backends),
        members: MembersStamp::NEWEST,
    }
}

const NO_LIST: KnownList = KnownList {
    fingerprint: 0,
    age: None,
    digest: None,
};

fn update(fleet: &mut Fleet, member: u32, number: u64) -> Option<ObserverUpdate> {
    match fleet.replies.remove(&(member, number))? {
        Response::ObserverUpdate(update) => Some(*update),
        other => panic!("expected an update, got {other:?}"),
    }
}

fn is_whole(update: &ObserverUpdate) -> bool {
    let report = update.backends.as_ref();
    report.is_some_and(|report| matches!(report.update, BackendUpdate::Whole(_)))
}

/// After a start all gateways request the whole list at once. The number of lists in flight must
/// stay within the limit that bounds a member's memory, also with slow links, and each gateway must
/// receive one.
#[test]
fn whole_lists_in_flight_are_limited_and_each_observer_receives_one() {
    for slow_steps in [0, 10] {
        let mut fleet = Fleet::bootstrapped();
        fleet.run(1.0);
        let leader = fleet.leader().unwrap();
        read(&mut fleet, leader, list_of(20));
        let mut asked: BTreeMap<u64, String> = (0..144)
            .map(|number| {
                let name = format!("g{number}");
                // A repeated request replaces the first one.
                fleet.input(leader, observe(&name, gateway(), knows_all_but(NO_LIST)));
                let request = observe(&name, gateway(), knows_all_but(NO_LIST));
                (fleet.input(leader, request), name)
            })
            .collect();
        let mut in_flight: Vec<(u32, String)> = Vec::new();
        let mut arrived = BTreeSet::new();
        for step in 0..5_000 {
            fleet.step();
            for (number, name) in asked.clone() {
                if update(&mut fleet, leader, number).is_some_and(|update| is_whole(&update)) {
                    asked.remove(&number);
                    in_flight.push((step + slow_steps, name));
                }
            }
            assert!(in_flight.len() <= 4, "{in_flight:?}");
            for (_, name) in in_flight.extract_if(.., |(due, _)| *due <= step) {
                let has_it = KnownList {
                    fingerprint: list_of(20).fingerprint(),
                    age: Some(Duration::ZERO),
                    digest: None,
                };
                fleet.input(leader, observe(&name, gateway(), knows_all_but(has_it)));
                assert!(arrived.insert(name), "sent twice");
            }
            if arrived.len() == 144 {
                break;
            }
        }
        assert_eq!(arrived.len(), 144);
    }
}

/// A process that disconnects with a list in flight must not block the others.
#[test]
fn a_closed_connection_frees_its_list_slot() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    read(&mut fleet, leader, list_of(20));
    let ask = |fleet: &mut Fleet, name: &str| {
        fleet.input(leader, observe(name, gateway(), knows_all_but(NO_LIST)))
    };
    let first: Vec<u64> = (0..4)
        .map(|number| ask(&mut fleet, &format!("g{number}")))
        .collect();
    fleet.step();
    for number in first {
        assert!(update(&mut fleet, leader, number).is_some());
    }
    let last = ask(&mut fleet, "last");
    fleet.run(2.0);
    assert!(
        update(&mut fleet, leader, last).is_none(),
        "the limit of lists in flight is reached"
    );
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&leader).unwrap();
    node.handle(Input::ClientDisconnected { client: 7 }, now)
        .unwrap();
    let last = ask(&mut fleet, "last");
    fleet.step();
    assert!(update(&mut fleet, leader, last).is_some());
}

/// All members serve the list, so that the leader need not handle the requests of all gateways.
#[test]
fn a_follower_forwards_the_list_and_the_gateway_count_of_the_leader() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let member = *FOUNDERS.iter().find(|member| **member != leader).unwrap();
    read(&mut fleet, leader, list_of(20));
    fleet.input(
        leader,
        observe("near the leader", gateway(), KnownVersions::default()),
    );
    let follow = |fleet: &mut Fleet| {
        let presence = Role::Member(MemberPresence { gateways: 41 });
        let known = fleet.nodes[&member].list().known(fleet.now);
        let asked = fleet.input(leader, observe("member", presence, knows_all_but(known)));
        fleet.run(1.0);
        let update = update(fleet, leader, asked).expect("an update within the hold");
        let now = fleet.now;
        let input = Input::LeaderUpdate {
            report: update.backends,
            gateways: update.gateways,
        };
        fleet
            .nodes
            .get_mut(&member)
            .unwrap()
            .handle(input, now)
            .unwrap();
    };
    let gateway_request = fleet.input(
        leader,
        observe("near the leader", gateway(), KnownVersions::default()),
    );
    follow(&mut fleet);
    follow(&mut fleet);
    fleet.replies.remove(&(leader, gateway_request));
    let asked = fleet.input(member, observe("g", gateway(), knows_all_but(NO_LIST)));
    fleet.step();
    let received = update(&mut fleet, member, asked).unwrap();
    assert!(is_whole(&received));
    assert!(
        (41..=42).contains(&received.gateways),
        "{}",
        received.gateways
    );
}

/// A request for which nothing is new costs the same however many observers wait. An update must
/// nevertheless reach all of them, whether their requests arrived before or after the change.
#[test]
fn an_update_reaches_every_waiting_observer() {
    let mut fleet = Fleet::bootstrapped();
    fleet.put(1, "one");
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let current = KnownVersions {
        document_version: 1,
        store_epoch: u64::MAX,
        is_current: true,
        backends: None,
        members: MembersStamp::NEWEST,
    };
    // In a fleet of this size the hold has its maximum.
    for number in 0..400 {
        fleet.input(
            leader,
            observe(&format!("g{number}"), gateway(), current.clone()),
        );
    }
    let asked: Vec<u64> = (0..400)
        .map(|number| {
            fleet.input(
                leader,
                observe(&format!("g{number}"), gateway(), current.clone()),
            )
        })
        .collect();
    fleet.step();
    let is_answered = |fleet: &Fleet, number: &u64| fleet.replies.contains_key(&(leader, *number));
    assert!(!asked.iter().any(|number| is_answered(&fleet, number)));
    let mut observer_request = observer_request("first sender", gateway(), current.clone());
    observer_request.wants_document_at_once = true;
    let sent_first = fleet.input(leader, Request::Observe(Box::new(observer_request)));
    fleet.input(leader, Request::PutDocument(document(2, "two")));
    fleet.run(0.1);
    assert!(is_answered(&fleet, &sent_first));
    let hold = ManagedConfig::default().max_observe_hold;
    fleet.run(hold.as_secs_f64() + 0.1);
    assert!(asked.iter().all(|number| is_answered(&fleet, number)));
}

#[test]
fn relayed_gateways_are_advertised_until_they_are_silent() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    let presences = fleet.nodes[&1].presences_for_zone_peers();
    assert_eq!(presences.len(), 1);
    fleet.input(2, Request::RelayGatewayPresences(presences.clone()));
    fleet.step();
    assert_eq!(fleet.nodes[&2].ready_gateways().len(), 1);
    assert!(
        fleet.nodes[&2].presences_for_zone_peers().is_empty(),
        "relayed presences are not relayed again"
    );
    assert_eq!(
        fleet.nodes[&2].counted_gateways(),
        0,
        "each is counted once"
    );
    assert_eq!(fleet.nodes[&1].counted_gateways(), 1);
    // A later presence of the gateway itself takes precedence over an earlier relayed one that
    // arrives after it.
    let leaving = Role::Gateway(GatewayPresence {
        address: address(80),
        ready: false,
        load: GatewayLoad::default(),
    });
    fleet.input(2, observe("g", leaving, KnownVersions::default()));
    fleet.input(2, Request::RelayGatewayPresences(presences));
    fleet.step();
    assert!(fleet.nodes[&2].ready_gateways().is_empty());
    fleet.run(3.0);
    assert!(fleet.nodes[&1].ready_gateways().is_empty());
}

#[test]
fn a_change_of_leader_is_sent_and_an_unchanged_member_list_is_not() {
    let mut fleet = Fleet::bootstrapped();
    fleet.put(1, "one");
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let follower = *FOUNDERS.iter().find(|member| **member != leader).unwrap();
    let first = fleet.input(follower, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    let Some(Response::ObserverUpdate(update)) = fleet.replies.remove(&(follower, first)) else {
        panic!("no update for an observer without a member list");
    };
    let list = update.members.expect("a list of members");
    assert_eq!(list.leader, Some(std::net::Ipv4Addr::from(leader)));
    assert_eq!(list.locations.len(), FOUNDERS.len());
    let known = KnownVersions {
        document_version: 1,
        is_current: true,
        store_epoch: u64::MAX,
        backends: None,
        members: list.stamp,
    };
    let waiting = fleet.input(follower, observe("g", gateway(), known.clone()));
    fleet.step();
    let is_answered = fleet.replies.contains_key(&(follower, waiting));
    assert!(!is_answered, "the list is not newer");
    fleet.crash(leader);
    for _ in 0..50 {
        let asked = fleet.input(follower, observe("g", gateway(), known.clone()));
        fleet.run(0.1);
        let Some(Response::ObserverUpdate(update)) = fleet.replies.remove(&(follower, asked))
        else {
            continue;
        };
        if let Some(newer) = update.members.filter(|newer| newer.leader.is_some()) {
            assert!(newer.stamp > list.stamp && newer.leader != list.leader);
            return;
        }
    }
    panic!("no update names the new leader");
}
