//! Memory that running programs need until they end, and requests that a zone has in flight.

use luglink_edge::{Route, RouteKind, Target};
use luglink_scheduling::{ProgramTable, TurnStarted, ZoneTrend};
use luglink_types::Timestamp;
use std::time::Duration;

fn route() -> Route {
    Route {
        name: "route".to_owned(),
        host: "a".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: 200,
        priority: 1,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        keeps_history: true,
        retention_ms: 60_000,
        resumable: false,
        public: false,
        gap_aim_ms: None,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Runs a program of five turns of 100 ms with pauses of the same length and prompts from 1,000 to
/// 1,400 tokens.
fn run_program(table: &mut ProgramTable, program: u64, from_ms: u64) -> u64 {
    let route = route();
    for turn in 0..5 {
        let start_ms = from_ms + turn * 200;
        let turn = TurnStarted {
            program,
            route: &route,
            service: "s",
            prompt_tokens: 1_000 + 100 * turn,
            is_first_turn: turn == 0,
        };
        table.begin_turn(&turn, at(start_ms));
        table.end_turn(program, Duration::from_millis(100), at(start_ms + 100));
    }
    from_ms + 1_000
}

#[test]
fn a_new_program_is_projected_to_need_what_others_did() {
    let mut table = ProgramTable::default();
    let mut now = 0;
    for program in 0..20 {
        now = run_program(&mut table, program, now);
    }
    // All programs have ended.
    now += 2_000;
    assert_eq!(table.demand("s", at(now)).peak(), 0.0);
    let route = route();
    let first = TurnStarted {
        program: 99,
        route: &route,
        service: "s",
        prompt_tokens: 1_000,
        is_first_turn: true,
    };
    table.begin_turn(&first, at(now));
    let demand = table.demand("s", at(now));
    assert_eq!((demand.programs, demand.requests), (1.0, 1.0));
    assert_eq!(demand.tokens[0], 1_000.0);
    assert!((1_200.0..1_500.0).contains(&demand.peak()), "{demand:?}");
    // It does not count at another service.
    assert_eq!(table.demand("other", at(now)).programs, 0.0);
}

#[test]
fn a_paused_program_counts_until_it_expires() {
    let mut table = ProgramTable::default();
    let route = route();
    let first = TurnStarted {
        program: 1,
        route: &route,
        service: "s",
        prompt_tokens: 1_000,
        is_first_turn: true,
    };
    table.begin_turn(&first, at(0));
    table.end_turn(1, Duration::from_millis(100), at(100));
    assert!(table.knows(1));
    let pausing = table.demand("s", at(150));
    assert_eq!(pausing.requests, 0.0);
    assert!(pausing.peak() > 0.0);
    assert_eq!(table.demand("s", at(5_000)).programs, 0.0);
    assert!(!table.knows(1));
}

#[test]
fn rising_sums_are_extrapolated_and_steady_ones_kept() {
    let mut steady = ZoneTrend::default();
    assert!(steady.now(at(0)).is_none());
    let mut rising = ZoneTrend::default();
    for interval in 0..8 {
        steady.take(50.0, at(interval * 250));
        rising.take(50.0 + 10.0 * interval as f64, at(interval * 250));
    }
    let now = at(7 * 250);
    assert_eq!(steady.now(now).unwrap().requests, 50.0);
    // The sum rises by 40 per second and lags by about that.
    let ahead = rising.now(now).unwrap().requests - 120.0;
    assert!((30.0..=40.0).contains(&ahead), "{ahead}");
    // A gap gives no information on the trend.
    rising.take(10.0, at(20_000));
    assert_eq!(rising.now(at(20_000)).unwrap().requests, 10.0);
}
