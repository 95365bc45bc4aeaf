//! What gateways see of the replicas, as members pass it on.

use crate::support::{Fleet, gateway, observe};
use luglink_control::{Request, RequestParts, Response, ResponseParts};
use luglink_fleet::{KnownVersions, MembersStamp, ReplicaKey, ReplicaStats, StatsReport};

fn busy(in_flight: u32) -> StatsReport {
    StatsReport(vec![ReplicaStats {
        replica: ReplicaKey(7),
        in_flight_tenths: in_flight * 10,
        ..ReplicaStats::default()
    }])
}

/// A gateway's question, for which nothing is news, and what it is told at the end of its hold.
fn ask(
    fleet: &mut Fleet,
    member: u32,
    name: &str,
    replica_stats: Option<StatsReport>,
) -> ResponseParts {
    let known = KnownVersions {
        is_current: true,
        document_version: u64::MAX,
        store_epoch: u64::MAX,
        members: MembersStamp::NEWEST,
        ..KnownVersions::default()
    };
    let Request::Observe(mut observation) = observe(name, gateway(), known) else {
        panic!("expected an observation");
    };
    observation.is_counted_here = true;
    let parts = RequestParts {
        replica_stats,
        ..RequestParts::default()
    };
    let asked = fleet.input_with_parts(member, Request::Observe(observation), parts);
    fleet.run(0.6);
    assert!(matches!(
        fleet.replies.get(&(member, asked)),
        Some(Response::ObserverUpdate(_))
    ));
    fleet
        .reply_parts
        .remove(&(member, asked))
        .expect("an answer")
}

fn in_flight(told: &ResponseParts) -> Option<u32> {
    let replica_stats = &told.zone_stats.as_ref()?.replica_stats;
    replica_stats
        .0
        .first()
        .map(|sight| sight.in_flight_tenths / 10)
}

#[test]
fn a_gateway_is_told_what_all_of_its_zone_see() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    assert_eq!(in_flight(&ask(&mut fleet, 1, "g1", Some(busy(2)))), Some(2));
    assert_eq!(in_flight(&ask(&mut fleet, 1, "g2", Some(busy(3)))), Some(5));
}

#[test]
fn a_gateway_of_an_older_build_is_told_nothing_of_it() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    ask(&mut fleet, 1, "g1", Some(busy(2)));
    assert_eq!(ask(&mut fleet, 1, "older", None), ResponseParts::default());
}

#[test]
fn words_to_neighbours_carry_what_the_gateways_counted_here_see() {
    let mut fleet = Fleet::founded();
    fleet.run(1.0);
    assert_eq!(fleet.nodes[&1].sights_for_neighbours(), None);
    ask(&mut fleet, 1, "g1", Some(busy(2)));
    let word = fleet.nodes[&1].sights_for_neighbours().unwrap();
    assert_eq!(word.member, 1);
    let sums: Vec<&StatsReport> = word
        .zones
        .values()
        .map(|zone| &zone.replica_stats)
        .collect();
    assert_eq!(sums, [&busy(2)]);
    let parts = RequestParts {
        member_stats: Some(word),
        ..RequestParts::default()
    };
    let words = fleet.nodes[&1].words_for_neighbours();
    fleet.input_with_parts(2, Request::HearGateways(words), parts);
    // These three members have no stores beside them, so they know no zones and are told of no
    // neighbours: each hears all gateways by itself, and counts none by hearsay as well.
    assert_eq!(in_flight(&ask(&mut fleet, 2, "g2", Some(busy(3)))), Some(3));
}
