//! What gateways and stores are told, and who is told what.

use crate::support::{FOUNDERS, Fleet, address, document, gateway, members, observation, observe};
use luglink_control::{Input, ManagedConfig, Request, Response};
use luglink_fleet::{
    Backend, BackendId, BackendList, BackendUpdate, GatewayLoad, GatewayPresence, Incarnation,
    KnownList, KnownVersions, MemberPresence, MembersStamp, ObserverUpdate, Role,
};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[test]
fn an_observer_hears_at_once_that_a_member_has_become_current() {
    let mut fleet = Fleet::founded();
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
        matches!(&answer, Some(Response::ObserverUpdate(news)) if news.fresh),
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

/// Members whose answer to a question brought a document.
fn tellers(fleet: &mut Fleet, questions: &[(u32, u64)]) -> BTreeSet<u32> {
    let replies = questions.iter().filter_map(|question| {
        let Some(Response::ObserverUpdate(news)) = fleet.replies.remove(question) else {
            return None;
        };
        news.document.is_some().then_some(question.0)
    });
    replies.collect()
}

#[test]
fn a_new_document_is_told_by_a_few_members_and_by_the_others_when_those_do_not() {
    let mut fleet = Fleet::founded();
    fleet.put(1, "one");
    fleet.run(1.0);
    let current = KnownVersions {
        is_current: true,
        document_version: 1,
        members: MembersStamp::NEWEST,
        ..KnownVersions::default()
    };
    // Each observer counts on the first two members that it asks.
    let ask = |fleet: &mut Fleet, name: &str, order: [u32; 3]| -> Vec<(u32, u64)> {
        let mut ask = |(place, member)| {
            let mut observation = observation(name, gateway(), current.clone());
            observation.wants_document_at_once = place < 2;
            let request = Request::Observe(Box::new(observation));
            (member, fleet.input(member, request))
        };
        order.into_iter().enumerate().map(&mut ask).collect()
    };
    let leader = fleet.leader().unwrap();
    fleet.input(leader, Request::PutDocument(document(2, "two")));
    let mut told_first = BTreeMap::new();
    let mut questions = BTreeMap::new();
    for (name, order) in [("g1", [1, 2, 3]), ("g2", [2, 3, 1]), ("g3", [3, 1, 2])] {
        questions.insert(order, ask(&mut fleet, name, order));
    }
    // Followers learn what is committed with the next heartbeat, before the questions have waited
    // long enough to be answered without news.
    fleet.run(0.15);
    for (order, asked) in questions {
        told_first.insert(order, tellers(&mut fleet, &asked));
    }
    for (order, told) in told_first {
        assert_eq!(told, members(&order[..2]));
    }
    // Those who heard nothing hear it from the others a moment later.
    fleet.run(1.0);
    let asked = ask(&mut fleet, "g1", FOUNDERS);
    fleet.run(0.1);
    assert_eq!(tellers(&mut fleet, &asked), members(&FOUNDERS));
    // A gateway that has just started is told by everyone at once.
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
    assert_eq!(tellers(&mut fleet, &asked), members(&FOUNDERS));
}

#[test]
fn gateways_that_say_no_more_words_are_not_named() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    assert_eq!(fleet.nodes[&1].ready_gateways().len(), 1);
    fleet.run(3.0);
    assert!(fleet.nodes[&1].ready_gateways().is_empty());
}

#[test]
fn observers_of_a_large_fleet_wait_longer_but_never_beyond_the_bound() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let small = fleet.nodes[&1].resolution_time();
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
    // The first to ask are told as in a small fleet; once all are known, everybody waits longer.
    ask_all();
    let asked = ask_all();
    let large = fleet.nodes[&1].resolution_time();
    assert!(small < large, "{small:?} {large:?}");
    let bound = ManagedConfig::default().longest_observe_hold;
    fleet.run(bound.as_secs_f64() / 2.0);
    let early = asked
        .iter()
        .filter(|number| fleet.replies.contains_key(&(1, **number)));
    assert_eq!(early.count(), 0, "nothing was new");
    fleet.run(bound.as_secs_f64() / 2.0 + 0.1);
    let late = asked
        .iter()
        .filter(|number| !fleet.replies.contains_key(&(1, **number)));
    assert_eq!(
        late.count(),
        0,
        "a list would seem too old to those who wait"
    );
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
    };
    BackendList::new((0..count).map(backend).collect())
}

fn read(fleet: &mut Fleet, member: u32, list: BackendList) {
    let now = fleet.now;
    let age = Duration::ZERO;
    let node = fleet.nodes.get_mut(&member).unwrap();
    node.handle(Input::Backends { list, age }, now).unwrap();
}

/// Of an observer for which nothing is news but a list.
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

fn news(fleet: &mut Fleet, member: u32, number: u64) -> Option<ObserverUpdate> {
    match fleet.replies.remove(&(member, number))? {
        Response::ObserverUpdate(news) => Some(*news),
        other => panic!("expected news, got {other:?}"),
    }
}

fn is_whole(news: &ObserverUpdate) -> bool {
    let report = news.backends.as_ref();
    report.is_some_and(|report| matches!(report.update, BackendUpdate::Whole(_)))
}

/// After a start all gateways want the whole list at once. However slow their links are, no more
/// lists are on their way than fit a member's memory, and everybody gets one.
#[test]
fn whole_lists_are_on_their_way_to_a_few_at_a_time_and_come_to_everybody_once() {
    for slow_steps in [0, 10] {
        let mut fleet = Fleet::founded();
        fleet.run(1.0);
        let leader = fleet.leader().unwrap();
        read(&mut fleet, leader, list_of(20));
        let mut asked: BTreeMap<u64, String> = (0..144)
            .map(|number| {
                let name = format!("g{number}");
                // A question that is asked again takes the place of the first one.
                fleet.input(leader, observe(&name, gateway(), knows_all_but(NO_LIST)));
                let question = observe(&name, gateway(), knows_all_but(NO_LIST));
                (fleet.input(leader, question), name)
            })
            .collect();
        let mut on_their_way: Vec<(u32, String)> = Vec::new();
        let mut arrived = BTreeSet::new();
        for step in 0..5_000 {
            fleet.step();
            for (number, name) in asked.clone() {
                if news(&mut fleet, leader, number).is_some_and(|news| is_whole(&news)) {
                    asked.remove(&number);
                    on_their_way.push((step + slow_steps, name));
                }
            }
            assert!(on_their_way.len() <= 4, "{on_their_way:?}");
            for (_, name) in on_their_way.extract_if(.., |(due, _)| *due <= step) {
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

/// A process that falls silent with a list on its way must not hold up the others.
#[test]
fn a_connection_that_closes_makes_room_for_another_list() {
    let mut fleet = Fleet::founded();
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
        assert!(news(&mut fleet, leader, number).is_some());
    }
    let last = ask(&mut fleet, "last");
    fleet.run(2.0);
    assert!(
        news(&mut fleet, leader, last).is_none(),
        "four are on their way"
    );
    let now = fleet.now;
    let node = fleet.nodes.get_mut(&leader).unwrap();
    node.handle(Input::ClientGone { client: 7 }, now).unwrap();
    let last = ask(&mut fleet, "last");
    fleet.step();
    assert!(news(&mut fleet, leader, last).is_some());
}

/// Every member tells the list, so that the leader need not hear every gateway.
#[test]
fn a_member_that_follows_the_leader_tells_its_list_and_the_number_of_gateways() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let member = *FOUNDERS.iter().find(|member| **member != leader).unwrap();
    read(&mut fleet, leader, list_of(20));
    fleet.input(
        leader,
        observe("near the leader", gateway(), KnownVersions::default()),
    );
    let follow = |fleet: &mut Fleet| {
        let word = Role::Member(MemberPresence { gateways: 41 });
        let known = fleet.nodes[&member].list().known(fleet.now);
        let asked = fleet.input(leader, observe("member", word, knows_all_but(known)));
        fleet.run(1.0);
        let news = news(fleet, leader, asked).expect("news within the hold");
        let now = fleet.now;
        let input = Input::LeaderNews {
            report: news.backends,
            gateways: news.gateways,
        };
        fleet
            .nodes
            .get_mut(&member)
            .unwrap()
            .handle(input, now)
            .unwrap();
    };
    let said = fleet.input(
        leader,
        observe("near the leader", gateway(), KnownVersions::default()),
    );
    follow(&mut fleet);
    follow(&mut fleet);
    fleet.replies.remove(&(leader, said));
    let asked = fleet.input(member, observe("g", gateway(), knows_all_but(NO_LIST)));
    fleet.step();
    let told = news(&mut fleet, member, asked).unwrap();
    assert!(is_whole(&told));
    assert!((41..=42).contains(&told.gateways), "{}", told.gateways);
}

/// A question that brings nothing new must cost the same however many others wait, and news must
/// reach all of them.
#[test]
fn news_reach_everybody_who_waits_whether_they_came_before_or_after() {
    let mut fleet = Fleet::founded();
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
    // A fleet of this size makes observers wait for as long as they ever do.
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
    let is_told = |fleet: &Fleet, number: &u64| fleet.replies.contains_key(&(leader, *number));
    assert!(!asked.iter().any(|number| is_told(&fleet, number)));
    let mut observation = observation("first teller", gateway(), current.clone());
    observation.wants_document_at_once = true;
    let told_first = fleet.input(leader, Request::Observe(Box::new(observation)));
    fleet.input(leader, Request::PutDocument(document(2, "two")));
    fleet.run(0.1);
    assert!(is_told(&fleet, &told_first));
    let hold = ManagedConfig::default().longest_observe_hold;
    fleet.run(hold.as_secs_f64() + 0.1);
    assert!(asked.iter().all(|number| is_told(&fleet, number)));
}

#[test]
fn a_member_names_gateways_that_its_neighbours_have_heard_until_they_fall_silent() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    fleet.input(1, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    let words = fleet.nodes[&1].words_for_neighbours();
    assert_eq!(words.len(), 1);
    fleet.input(2, Request::HearGateways(words.clone()));
    fleet.step();
    assert_eq!(fleet.nodes[&2].ready_gateways().len(), 1);
    assert!(
        fleet.nodes[&2].words_for_neighbours().is_empty(),
        "hearsay is not passed on"
    );
    assert_eq!(fleet.nodes[&2].own_gateways(), 0, "each is counted once");
    assert_eq!(fleet.nodes[&1].own_gateways(), 1);
    // A later word of the gateway itself counts more than an earlier one that comes now.
    let leaving = Role::Gateway(GatewayPresence {
        address: address(80),
        ready: false,
        load: GatewayLoad::default(),
    });
    fleet.input(2, observe("g", leaving, KnownVersions::default()));
    fleet.input(2, Request::HearGateways(words));
    fleet.step();
    assert!(fleet.nodes[&2].ready_gateways().is_empty());
    fleet.run(3.0);
    assert!(fleet.nodes[&1].ready_gateways().is_empty());
}

#[test]
fn a_change_of_leader_is_told_at_once_and_an_old_list_of_members_is_not() {
    let mut fleet = Fleet::founded();
    fleet.put(1, "one");
    fleet.run(1.0);
    let leader = fleet.leader().unwrap();
    let follower = *FOUNDERS.iter().find(|member| **member != leader).unwrap();
    let first = fleet.input(follower, observe("g", gateway(), KnownVersions::default()));
    fleet.step();
    let Some(Response::ObserverUpdate(news)) = fleet.replies.remove(&(follower, first)) else {
        panic!("a list of members is news for who has none");
    };
    let list = news.members.expect("a list of members");
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
        let Some(Response::ObserverUpdate(news)) = fleet.replies.remove(&(follower, asked)) else {
            continue;
        };
        if let Some(newer) = news.members.filter(|newer| newer.leader.is_some()) {
            assert!(newer.stamp > list.stamp && newer.leader != list.leader);
            return;
        }
    }
    panic!("nobody was told of the new leader");
}
