//! What programs under way need until they end, and what a zone has under way now.

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

/// Plays a program of five turns of 100 ms with pauses of as much, from 1,000 to 1,400 tokens.
fn play(table: &mut ProgramTable, program: u64, from_ms: u64) -> u64 {
    let route = route();
    for turn in 0..5 {
        let begins = from_ms + turn * 200;
        let turn = TurnStarted {
            program,
            route: &route,
            service: "s",
            prompt_tokens: 1_000 + 100 * turn,
            is_first_turn: turn == 0,
        };
        table.begin_turn(&turn, at(begins));
        table.end_turn(program, Duration::from_millis(100), at(begins + 100));
    }
    from_ms + 1_000
}

#[test]
fn a_program_that_begins_needs_what_others_came_to_need() {
    let mut table = ProgramTable::default();
    let mut now = 0;
    for program in 0..20 {
        now = play(&mut table, program, now);
    }
    // All have ended.
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
    // Nothing of it at another service.
    assert_eq!(table.demand("other", at(now)).programs, 0.0);
}

#[test]
fn a_program_that_pauses_is_under_way_until_it_does_not_come_back() {
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
fn a_sum_that_rises_is_taken_further_and_a_steady_one_as_it_is() {
    let mut steady = ZoneTrend::default();
    assert!(steady.now(at(0)).is_none());
    let mut rising = ZoneTrend::default();
    for news in 0..8 {
        steady.take(50.0, at(news * 250));
        rising.take(50.0 + 10.0 * news as f64, at(news * 250));
    }
    let now = at(7 * 250);
    assert_eq!(steady.now(now).unwrap().requests, 50.0);
    // It rises by 40 in a second, and is behind by about that.
    let ahead = rising.now(now).unwrap().requests - 120.0;
    assert!((30.0..=40.0).contains(&ahead), "{ahead}");
    // A gap says nothing of the trend.
    rising.take(10.0, at(20_000));
    assert_eq!(rising.now(at(20_000)).unwrap().requests, 10.0);
}
