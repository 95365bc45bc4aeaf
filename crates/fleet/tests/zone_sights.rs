//! Sums of what gateways see, at members that hear all gateways of a zone and at those that hear
//! some.

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

fn sight(replica: u32, in_flight: u32, samples: u32, step_micros: u32) -> ReplicaStats {
    ReplicaStats {
        replica: ReplicaKey(replica),
        in_flight_tenths: in_flight * 10,
        samples_tenths: samples * 10,
        step_micros,
        ..ReplicaStats::default()
    }
}

fn trouble(replica: u32, troubles: u32) -> ReplicaStats {
    ReplicaStats {
        replica: ReplicaKey(replica),
        failures_tenths: troubles * 10,
        reporting_gateways: 1,
        ..ReplicaStats::default()
    }
}

fn of(name: &str, is_counted_here: bool) -> StatsSource<'_> {
    StatsSource {
        name,
        zone: "z",
        is_counted_here,
    }
}

fn in_flight(replica_stats: &StatsReport, replica: u32) -> u32 {
    let all = replica_stats.0.iter();
    let of_replica = all.filter(|sight| sight.replica == ReplicaKey(replica));
    of_replica.map(|sight| sight.in_flight_tenths / 10).sum()
}

#[test]
fn gateways_are_summed_and_their_samples_weighed() {
    let mut table = StatsTable::default();
    table.note(
        of("g1", true),
        StatsReport(vec![sight(7, 2, 1, 1_000)]),
        NOW,
    );
    table.note(
        of("g2", false),
        StatsReport(vec![sight(7, 3, 3, 5_000)]),
        NOW,
    );
    let sum = table.sum("z", NOW, LIMIT);
    assert_eq!(sum.replica_stats.0, [sight(7, 5, 4, 4_000)]);
    assert_eq!(table.sum("elsewhere", NOW, LIMIT).replica_stats.0, []);
}

#[test]
fn a_newer_word_of_a_gateway_replaces_the_one_before() {
    let mut table = StatsTable::default();
    table.note(of("g1", true), StatsReport(vec![sight(7, 9, 0, 0)]), NOW);
    table.note(
        of("g1", true),
        StatsReport(vec![sight(8, 2, 0, 0)]),
        later(300),
    );
    let sum = table.sum("z", later(300), LIMIT);
    assert_eq!(in_flight(&sum.replica_stats, 7), 0);
    assert_eq!(in_flight(&sum.replica_stats, 8), 2);
}

#[test]
fn old_evidence_counts_for_less_and_then_for_nothing() {
    let mut table = StatsTable::default();
    let word = StatsReport(vec![trouble(7, 4)]);
    table.note(of("g1", true), word, NOW);
    let troubles = |table: &mut StatsTable, at: Timestamp| {
        let sum = table.sum("z", at, LIMIT);
        let first = sum
            .replica_stats
            .0
            .first()
            .map(|sight| sight.failures_tenths);
        (first, sum.age)
    };
    assert_eq!(troubles(&mut table, NOW), (Some(40), Duration::ZERO));
    let half = Duration::from_millis(500);
    assert_eq!(troubles(&mut table, later(500)), (Some(20), half));
    assert_eq!(troubles(&mut table, later(1_000)), (None, Duration::ZERO));
}

#[test]
fn members_of_a_large_zone_know_the_same_sum_and_count_nobody_twice() {
    let mut members: [StatsTable; 3] = Default::default();
    for member in &mut members {
        member.set_has_zone_peers(true);
    }
    for gateway in 0..30_usize {
        let name = format!("g{gateway}");
        for (number, member) in members.iter_mut().enumerate() {
            // Two of the members hear it, and one of them counts it.
            let is_counted_here = gateway % 3 == number;
            if is_counted_here || (gateway + 1) % 3 == number {
                let word = StatsReport(vec![sight(7, 1, 0, 0)]);
                member.note(of(&name, is_counted_here), word, NOW);
            }
        }
    }
    for round in 0..3 {
        let now = later(100 * round);
        let words: Vec<_> = (0..)
            .zip(&members)
            .map(|(ip, m)| m.counted(ip, now, LIMIT))
            .collect();
        for (ip, member) in (0..).zip(&mut members) {
            for word in words.iter().filter(|word| word.member != ip) {
                member.note_zone_peer(word.clone(), now);
            }
        }
    }
    for member in &mut members {
        let sum = member.sum("z", later(300), LIMIT);
        assert_eq!(in_flight(&sum.replica_stats, 7), 30);
    }
}

#[test]
fn a_neighbour_that_falls_silent_is_left_out() {
    let mut table = StatsTable::default();
    table.set_has_zone_peers(true);
    let mut other = StatsTable::default();
    other.note(of("g1", true), StatsReport(vec![sight(7, 4, 0, 0)]), NOW);
    table.note_zone_peer(other.counted(2, later(300), LIMIT), later(300));
    assert_eq!(
        in_flight(&table.sum("z", later(300), LIMIT).replica_stats, 7),
        4
    );
    // Its word is a second old by then: 300 ms at the neighbour, 700 ms here.
    assert_eq!(table.sum("z", later(1_000), LIMIT).replica_stats.0, []);
}

#[test]
fn sums_are_bounded_and_keep_what_gateways_witness() {
    let mut table = StatsTable::default();
    for gateway in 0..40 {
        let name = format!("g{gateway}");
        let busy = (0..60).map(|replica| sight(gateway * 60 + replica, 9, 0, 0));
        table.note(of(&name, true), StatsReport(busy.collect()), NOW);
    }
    table.note(
        of("witness", true),
        StatsReport(vec![trouble(1_000_000, 1)]),
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
fn evidence_that_a_neighbour_tells_fades_as_fast_as_what_gateways_say_here() {
    let mut other = StatsTable::default();
    other.note(of("g1", true), StatsReport(vec![trouble(7, 10)]), NOW);
    let mut table = StatsTable::default();
    table.set_has_zone_peers(true);
    table.note_zone_peer(other.counted(2, later(500), LIMIT), later(500));
    let sum = table.sum("z", later(800), LIMIT);
    assert_eq!(sum.replica_stats.0[0].failures_tenths, 20);
    assert_eq!(sum.age, Duration::from_millis(800));
}
