//! Sums of replica statistics, at members that get the reports of all gateways of a zone and at
//! members that get those of some.

use luglink_fleet::{
    BackendId, MAX_REPLICA_STATS, ReplicaKey, ReplicaStats, StatsReport, StatsSource, StatsTable,
};
use luglink_types::Timestamp;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(1);

const NOW: Timestamp = Timestamp::from_millis(50_000);

fn later(milliseconds: u64) -> Timestamp {
    NOW.plus(Duration::from_millis(milliseconds))
}

fn stats(replica: u32, in_flight: u32, samples: u32, step_micros: u32) -> ReplicaStats {
    ReplicaStats {
        replica: ReplicaKey(replica),
        in_flight_tenths: in_flight * 10,
        samples_tenths: samples * 10,
        step_micros,
        ..ReplicaStats::default()
    }
}

fn failed(replica: u32, failures: u32) -> ReplicaStats {
    ReplicaStats {
        replica: ReplicaKey(replica),
        failures_tenths: failures * 10,
        reporting_gateways: 1,
        ..ReplicaStats::default()
    }
}

fn source(name: &str, is_counted_here: bool) -> StatsSource<'_> {
    StatsSource {
        name,
        zone: "z",
        is_counted_here,
    }
}

fn in_flight(replica_stats: &StatsReport, replica: u32) -> u32 {
    let all = replica_stats.0.iter();
    let of_replica = all.filter(|stats| stats.replica == ReplicaKey(replica));
    of_replica.map(|stats| stats.in_flight_tenths / 10).sum()
}

#[test]
fn in_flight_is_summed_and_step_times_are_averaged_by_samples() {
    let mut table = StatsTable::default();
    table.note(
        source("g1", true),
        StatsReport(vec![stats(7, 2, 1, 1_000)]),
        NOW,
    );
    table.note(
        source("g2", false),
        StatsReport(vec![stats(7, 3, 3, 5_000)]),
        NOW,
    );
    let sum = table.sum("z", NOW, LIMIT);
    assert_eq!(sum.replica_stats.0, [stats(7, 5, 4, 4_000)]);
    assert_eq!(table.sum("elsewhere", NOW, LIMIT).replica_stats.0, []);
}

#[test]
fn a_newer_report_of_a_gateway_replaces_the_previous_one() {
    let mut table = StatsTable::default();
    table.note(
        source("g1", true),
        StatsReport(vec![stats(7, 9, 0, 0)]),
        NOW,
    );
    table.note(
        source("g1", true),
        StatsReport(vec![stats(8, 2, 0, 0)]),
        later(300),
    );
    let sum = table.sum("z", later(300), LIMIT);
    assert_eq!(in_flight(&sum.replica_stats, 7), 0);
    assert_eq!(in_flight(&sum.replica_stats, 8), 2);
}

#[test]
fn the_weight_of_failures_decreases_to_zero_with_age() {
    let mut table = StatsTable::default();
    let report = StatsReport(vec![failed(7, 4)]);
    table.note(source("g1", true), report, NOW);
    let failures = |table: &mut StatsTable, at: Timestamp| {
        let sum = table.sum("z", at, LIMIT);
        let first = sum
            .replica_stats
            .0
            .first()
            .map(|stats| stats.failures_tenths);
        (first, sum.age)
    };
    assert_eq!(failures(&mut table, NOW), (Some(40), Duration::ZERO));
    let half = Duration::from_millis(500);
    assert_eq!(failures(&mut table, later(500)), (Some(20), half));
    assert_eq!(failures(&mut table, later(1_000)), (None, Duration::ZERO));
}

#[test]
fn members_of_a_large_zone_have_the_same_sum_and_count_each_gateway_once() {
    let mut members: [StatsTable; 3] = Default::default();
    for member in &mut members {
        member.set_has_zone_peers(true);
    }
    for gateway in 0..30_usize {
        let name = format!("g{gateway}");
        for (number, member) in members.iter_mut().enumerate() {
            // The gateway reports to two members, one of which counts it.
            let is_counted_here = gateway % 3 == number;
            if is_counted_here || (gateway + 1) % 3 == number {
                let report = StatsReport(vec![stats(7, 1, 0, 0)]);
                member.note(source(&name, is_counted_here), report, NOW);
            }
        }
    }
    for round in 0..3 {
        let now = later(100 * round);
        let sums: Vec<_> = (0..)
            .zip(&members)
            .map(|(ip, m)| m.counted(ip, now, LIMIT))
            .collect();
        for (ip, member) in (0..).zip(&mut members) {
            for sum in sums.iter().filter(|sum| sum.member != ip) {
                member.note_zone_peer(sum.clone(), now);
            }
        }
    }
    for member in &mut members {
        let sum = member.sum("z", later(300), LIMIT);
        assert_eq!(in_flight(&sum.replica_stats, 7), 30);
    }
}

#[test]
fn outdated_sums_of_another_member_are_ignored() {
    let mut table = StatsTable::default();
    table.set_has_zone_peers(true);
    let mut other = StatsTable::default();
    other.note(
        source("g1", true),
        StatsReport(vec![stats(7, 4, 0, 0)]),
        NOW,
    );
    table.note_zone_peer(other.counted(2, later(300), LIMIT), later(300));
    assert_eq!(
        in_flight(&table.sum("z", later(300), LIMIT).replica_stats, 7),
        4
    );
    // The reports are a second old by then: 300 ms at the other member, 700 ms here.
    assert_eq!(table.sum("z", later(1_000), LIMIT).replica_stats.0, []);
}

#[test]
fn sums_are_bounded_and_keep_replicas_with_failures() {
    let mut table = StatsTable::default();
    for gateway in 0..40 {
        let name = format!("g{gateway}");
        let busy = (0..60).map(|replica| stats(gateway * 60 + replica, 9, 0, 0));
        table.note(source(&name, true), StatsReport(busy.collect()), NOW);
    }
    table.note(
        source("witness", true),
        StatsReport(vec![failed(1_000_000, 1)]),
        NOW,
    );
    let sum = table.sum("z", NOW, LIMIT);
    assert_eq!(sum.replica_stats.0.len(), MAX_REPLICA_STATS);
    assert_eq!(sum.replica_stats.0[0].replica, ReplicaKey(1_000_000));
}

#[test]
fn a_replica_has_the_same_key_at_all_gateways() {
    let key = ReplicaKey::of(&BackendId("i-1".to_owned()));
    assert_eq!(key, ReplicaKey::of(&BackendId("i-1".to_owned())));
    assert_ne!(key, ReplicaKey::of(&BackendId("i-2".to_owned())));
}

#[test]
fn failures_that_another_member_sends_lose_weight_as_fast_as_direct_ones() {
    let mut other = StatsTable::default();
    other.note(source("g1", true), StatsReport(vec![failed(7, 10)]), NOW);
    let mut table = StatsTable::default();
    table.set_has_zone_peers(true);
    table.note_zone_peer(other.counted(2, later(500), LIMIT), later(500));
    let sum = table.sum("z", later(800), LIMIT);
    assert_eq!(sum.replica_stats.0[0].failures_tenths, 20);
    assert_eq!(sum.age, Duration::from_millis(800));
}
