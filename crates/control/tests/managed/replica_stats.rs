//! Replica statistics of gateways, as members aggregate and relay them.

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

/// Sends the request of a gateway for which nothing is new, and returns the optional parts of the
/// response at the end of the hold.
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
    let Request::Observe(mut observer_request) = observe(name, gateway(), known) else {
        panic!("expected an observer's request");
    };
    observer_request.is_counted_here = true;
    let parts = RequestParts {
        replica_stats,
        ..RequestParts::default()
    };
    let asked = fleet.input_with_parts(member, Request::Observe(observer_request), parts);
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

fn in_flight(received: &ResponseParts) -> Option<u32> {
    let replica_stats = &received.zone_stats.as_ref()?.replica_stats;
    replica_stats
        .0
        .first()
        .map(|stats| stats.in_flight_tenths / 10)
}

#[test]
fn gateways_receive_the_aggregated_statistics_of_their_zone() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    assert_eq!(in_flight(&ask(&mut fleet, 1, "g1", Some(busy(2)))), Some(2));
    assert_eq!(in_flight(&ask(&mut fleet, 1, "g2", Some(busy(3)))), Some(5));
}

#[test]
fn a_gateway_of_an_older_build_receives_no_statistics() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    ask(&mut fleet, 1, "g1", Some(busy(2)));
    assert_eq!(ask(&mut fleet, 1, "older", None), ResponseParts::default());
}

#[test]
fn reports_to_zone_peers_carry_the_statistics_of_counted_gateways() {
    let mut fleet = Fleet::bootstrapped();
    fleet.run(1.0);
    assert_eq!(fleet.nodes[&1].stats_for_zone_peers(), None);
    ask(&mut fleet, 1, "g1", Some(busy(2)));
    let stats = fleet.nodes[&1].stats_for_zone_peers().unwrap();
    assert_eq!(stats.member, 1);
    let sums: Vec<&StatsReport> = stats
        .zones
        .values()
        .map(|zone| &zone.replica_stats)
        .collect();
    assert_eq!(sums, [&busy(2)]);
    let parts = RequestParts {
        member_stats: Some(stats),
        ..RequestParts::default()
    };
    let presences = fleet.nodes[&1].presences_for_zone_peers();
    fleet.input_with_parts(2, Request::RelayGatewayPresences(presences), parts);
    // These members have no stores on their machines, so their zones are unknown and they have no
    // zone peers: each counts only the gateways that report to it, and no relayed ones.
    assert_eq!(in_flight(&ask(&mut fleet, 2, "g2", Some(busy(3)))), Some(3));
}
