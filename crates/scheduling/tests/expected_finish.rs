//! Choice between replicas that differ in speed and turn slow.

mod support;

use luglink_fleet::{BackendId, BackendList, ReplicaKey, ReplicaStats, StatsReport};
use luglink_scheduling::{
    AnswerLengths, CandidateScope, Pool, PromptParts, ReplicaState, RoutingRequest, Work, expect,
};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{ENGINES, ReplayStats, Run, SLOWNESS, backends, id, pool, random, slow, speed, work};

const UNTIL_MS: u64 = 72_000;

/// Maximum load of an engine relative to its share by speed.
const MAX_LOAD_RATIO: f64 = 1.25;

fn run(by_finish: bool, seed: u64) -> ReplayStats {
    let run = Run {
        until_ms: UNTIL_MS,
        by_finish,
        seed,
    };
    let stats = run.run();
    println!(
        "seed {seed}, by finish {by_finish}: mean {:.0} ms, 99th percentile {} ms, maximum load {:.2} of the share by speed, \
         turns started at slow engines {} of {:.0}",
        mean(&stats.turn_ms),
        percentile(&stats.turn_ms, 0.99),
        max_load_ratio(&stats),
        stats.started_at_slow,
        max_turns_at_slow(&stats),
    );
    stats
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len() as f64
}

fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted[(sorted.len() as f64 * share) as usize]
}

/// Returns the maximum load of an engine relative to its share by speed.
fn max_load_ratio(stats: &ReplayStats) -> f64 {
    let requests = stats.request_ticks.iter().sum::<usize>() as f64;
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let shares = (0..ENGINES).map(|engine| {
        let speed_share = requests * speed(engine) / speeds;
        stats.request_ticks[engine] as f64 / speed_share
    });
    shares.fold(0.0, f64::max)
}

/// Returns the maximum number of turns for engines that have been slow for a second, by their share
/// and the bound.
fn max_turns_at_slow(stats: &ReplayStats) -> f64 {
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let per_ms = stats.started as f64 / UNTIL_MS as f64;
    let turns = (0..UNTIL_MS).filter_map(|at_ms| {
        let (engine, since_ms) = slow(at_ms)?;
        (since_ms >= 1_000).then(|| per_ms * speed(engine) / SLOWNESS / speeds)
    });
    MAX_LOAD_RATIO * turns.sum::<f64>()
}

const SEEDS: [u64; 3] = [1, 88_172_645_463_325_252, 7_777_777];

#[test]
fn the_busiest_engine_has_little_more_than_its_speed_earns() {
    for seed in SEEDS {
        assert!(max_load_ratio(&run(false, seed)) > MAX_LOAD_RATIO);
        assert!(max_load_ratio(&run(true, seed)) <= MAX_LOAD_RATIO);
    }
}

#[test]
fn turns_leave_a_slow_engine_within_a_second() {
    for seed in SEEDS {
        let by_load = run(false, seed);
        assert!(by_load.started_at_slow as f64 > max_turns_at_slow(&by_load));
        let stats = run(true, seed);
        assert!(stats.started_at_slow as f64 <= max_turns_at_slow(&stats));
        assert!(percentile(&stats.turn_ms, 0.99) < percentile(&by_load.turn_ms, 0.99));
        assert!(mean(&stats.turn_ms) < mean(&by_load.turn_ms));
    }
}

fn request(work: Work) -> RoutingRequest<'static> {
    RoutingRequest {
        service: "llm",
        work: Some(work),
        ..RoutingRequest::default()
    }
}

/// Returns a view with the requests and the pause between events of each engine.
fn view(of: impl Fn(usize) -> (u32, u32)) -> StatsReport {
    let stats = |engine| {
        let (requests, step_millis) = of(engine);
        ReplicaStats {
            replica: ReplicaKey::of(&id(engine)),
            in_flight_tenths: requests * 10,
            samples_tenths: 200,
            step_micros: step_millis * 1_000,
            ..ReplicaStats::default()
        }
    };
    StatsReport((0..ENGINES).map(stats).collect())
}

/// Marks all engines as used, so that all are compared.
fn use_all(pool: &mut Pool) {
    for engine in 0..ENGINES {
        pool.note_connected(&id(engine));
    }
}

fn chosen(pool: &Pool, request: &RoutingRequest<'_>, now: Timestamp) -> BackendId {
    pool.choose(request, |_| true, now).unwrap().backend.id
}

const NOW: Timestamp = Timestamp::from_millis(10_000);

#[test]
fn gateways_with_the_same_stale_view_spread_their_requests() {
    // One looks best, and a third of all look nearly as good.
    let stale = view(|engine| match engine % 3 {
        _ if engine == 5 => (0, 30),
        2 => (1, 32),
        _ => (2, 60),
    });
    let mut placed = vec![0; ENGINES];
    let mut state = 99;
    for _ in 0..68 {
        let mut pool = pool(true);
        use_all(&mut pool);
        pool.set_zone_view(&stale, NOW);
        let request = RoutingRequest {
            draw: random(&mut state),
            ..request(work(1))
        };
        let engine = chosen(&pool, &request, NOW.plus(Duration::from_millis(200)));
        placed[(0..ENGINES).find(|other| id(*other) == engine).unwrap()] += 1;
    }
    let max_placed = placed.iter().max().unwrap();
    let good: u32 = (0..ENGINES)
        .filter(|engine| engine % 3 == 2)
        .map(|engine| placed[engine])
        .sum();
    // Fifteen are nearly as good, and each would get 4 or 5 of 68; none gets three times that.
    assert!(*max_placed <= 13, "{placed:?}");
    assert!(good >= 54, "{placed:?}");
}

#[test]
fn a_turn_stays_with_its_prompt_until_the_cost_is_much_higher() {
    let holder = id(4);
    let request = RoutingRequest {
        cached_at: Some(&holder),
        ..request(work(1))
    };
    let stays_at = |pause| {
        let mut pool = pool(true);
        use_all(&mut pool);
        let replica_stats = view(|engine| (2, if engine == 4 { pause } else { 40 }));
        pool.set_zone_view(&replica_stats, NOW);
        let choice = pool.choose(&request, |_| true, NOW).unwrap();
        let relocation = choice.basis.unwrap().relocation;
        assert_eq!(relocation.is_none(), choice.backend.id == holder);
        choice.backend.id == holder
    };
    assert!(stays_at(40));
    assert!(stays_at(55));
    assert!(!stays_at(260));
}

#[test]
fn failures_seen_by_one_gateway_alone_eject_no_replica() {
    let holder = id(4);
    let request = RoutingRequest {
        cached_at: Some(&holder),
        ..request(work(1))
    };
    let stays_with = |reporting_gateways, failures_tenths| {
        let mut pool = pool(true);
        use_all(&mut pool);
        let mut replica_stats = view(|_| (2, 40));
        replica_stats.0[4].reporting_gateways = reporting_gateways;
        replica_stats.0[4].failures_tenths = failures_tenths;
        // A replica that hangs sends no events.
        replica_stats.0[4].samples_tenths = 10;
        pool.set_zone_view(&replica_stats, NOW);
        chosen(&pool, &request, NOW) == holder
    };
    assert!(stays_with(1, 100));
    assert!(!stays_with(5, 100));
    assert!(stays_with(5, 1));
}

#[test]
fn a_failing_replica_is_tried_again_later() {
    let mut pool = pool(true);
    for _ in 0..8 {
        pool.note_failure(&id(4), NOW);
    }
    let soon = pool.expected_at(&id(4), &work(1), NOW).unwrap();
    let later = NOW.plus(Duration::from_secs(30));
    let later = pool.expected_at(&id(4), &work(1), later).unwrap();
    let other = pool.expected_at(&id(5), &work(1), NOW).unwrap();
    assert!(soon.finish_seconds > 2.0 * other.finish_seconds);
    assert!(later.finish_seconds < 1.05 * other.finish_seconds);
}

#[test]
fn recent_statistics_are_reported() {
    let mut pool = pool(true);
    pool.begin(&id(1));
    for _ in 0..4 {
        pool.note_step(&id(1), Duration::from_millis(30), NOW);
    }
    pool.note_failure(&id(2), NOW);
    let replica_stats = pool.replica_stats(NOW).0;
    assert_eq!(replica_stats.len(), 2);
    let of = |engine| {
        let key = ReplicaKey::of(&id(engine));
        *replica_stats
            .iter()
            .find(|stats| stats.replica == key)
            .unwrap()
    };
    assert_eq!((of(1).in_flight_tenths, of(1).samples_tenths), (10, 40));
    assert_eq!((of(1).step_micros, of(1).reporting_gateways), (30_000, 0));
    assert_eq!((of(2).failures_tenths, of(2).reporting_gateways), (10, 1));
    pool.end(&id(1));
    assert!(
        pool.replica_stats(NOW.plus(Duration::from_secs(20)))
            .0
            .is_empty()
    );
}

#[test]
fn requests_since_the_view_are_added_to_it() {
    let mut pool = pool(true);
    use_all(&mut pool);
    pool.begin(&id(3));
    pool.set_zone_view(&view(|_| (3, 40)), NOW);
    let before = pool.expected_at(&id(3), &work(1), NOW).unwrap();
    for _ in 0..6 {
        pool.begin(&id(3));
    }
    let after = pool.expected_at(&id(3), &work(1), NOW).unwrap();
    assert!(after.finish_seconds > 1.3 * before.finish_seconds);
}

#[test]
fn programs_with_the_same_shared_part_start_at_few_replicas() {
    let mut homes = BTreeSet::new();
    let mut state = 5;
    for _ in 0..400 {
        let mut pool = pool(true);
        pool.set_zone_view(&StatsReport::default(), NOW);
        let drawn = pool.candidates_by_finish("llm", random(&mut state), &work(7), 2, NOW);
        assert_eq!(drawn.len(), 2);
        homes.extend(drawn.into_iter().map(|backend| backend.id));
    }
    // The working set has 16 replicas while the load is unknown, and half of it serves one part.
    assert!(homes.len() <= 8, "{}", homes.len());
    let mut pool = pool(true);
    pool.set_zone_view(&StatsReport::default(), NOW);
    let other_part = pool.candidates_by_finish("llm", 1, &work(8), 16, NOW);
    assert!(
        other_part
            .iter()
            .any(|backend| !homes.contains(&backend.id))
    );
}

#[test]
fn a_recently_read_shared_part_need_not_be_read_again() {
    let mut pool = pool(true);
    pool.note_connected(&id(3));
    pool.note_connected(&id(6));
    pool.note_shared_part(&id(3), 7, NOW);
    let at = |engine, now| pool.expected_at(&id(engine), &work(7), now).unwrap();
    assert!(at(3, NOW).first_event_seconds < at(6, NOW).first_event_seconds);
    let later = NOW.plus(Duration::from_secs(60));
    assert_eq!(at(3, later), at(6, later));
}

#[test]
fn work_is_ignored_without_expected_finish() {
    let mut pool = pool(false);
    use_all(&mut pool);
    pool.set_zone_view(&view(|engine| (engine as u32, 40 + engine as u32)), NOW);
    for draw in 0..200 {
        let with_work = RoutingRequest {
            draw,
            ..request(work(1))
        };
        let without_work = RoutingRequest {
            work: None,
            ..with_work.clone()
        };
        let with_work = pool.choose(&with_work, |_| false, NOW);
        assert_eq!(with_work, pool.choose(&without_work, |_| false, NOW));
        assert!(with_work.unwrap().basis.is_none());
    }
}

#[test]
fn a_stale_view_falls_back_to_the_choice_by_load() {
    let mut by_finish = pool(true);
    let mut by_load = pool(false);
    for pool in [&mut by_finish, &mut by_load] {
        use_all(pool);
        pool.set_zone_view(&view(|engine| (engine as u32, 40)), NOW);
    }
    let late = NOW.plus(Duration::from_secs(3));
    assert!(by_finish.uses_expected_finish(NOW) && !by_finish.uses_expected_finish(late));
    for draw in 0..50 {
        let request = RoutingRequest {
            draw,
            ..request(work(1))
        };
        let choice = by_finish.choose(&request, |_| false, late);
        assert_eq!(choice, by_load.choose(&request, |_| false, late));
        let candidates = by_finish.candidates_by_finish("llm", draw, &work(1), 2, late);
        let by_load = by_load.candidates("llm", draw, CandidateScope::Home, 2, late);
        assert_eq!(candidates, by_load);
    }
}

#[test]
fn prompt_descriptions_are_parsed() {
    let read = |usage, parts| PromptParts::read(Some(usage), Some(parts)).unwrap();
    let prompt = read("1460,300", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    assert_eq!(
        (prompt.tokens, prompt.shared.unwrap().tokens),
        (1_460, 1_210)
    );
    let other = read("1400,300", "5c1e07a2:800,91bd3f06:410,11:190");
    assert_eq!(other.shared, prompt.shared);
    assert_ne!(
        read("9,1", "5c1e07a2:800,2:410,11:190").shared,
        prompt.shared
    );
    assert_eq!(read("9,1", "5c1e07a2:800").shared, None);
    assert_eq!(read("9,1", "not hex:1").shared, None);
    assert_eq!(read("", "5c:8,91:4").tokens, 12);
    assert_eq!(PromptParts::read(None, None), None);
    assert_eq!(PromptParts::read(Some("x"), Some("5c")), None);
}

#[test]
fn answer_lengths_are_learned_and_capped_at_the_maximum() {
    let mut lengths = AnswerLengths::default();
    assert!((lengths.expected("draft", 200, 10) - 10.0).abs() < 1e-9);
    for _ in 0..300 {
        lengths.note("draft", 6);
    }
    assert!((lengths.expected("draft", 200, 10) - 6.0).abs() < 0.1);
    assert!((lengths.expected("draft", 30, 10) - 3.0).abs() < 1e-9);
}

proptest! {
    #[test]
    fn draining_and_tried_replicas_are_never_chosen(
        draining in proptest::collection::vec(any::<bool>(), ENGINES),
        tried in proptest::collection::vec(0..ENGINES, 0..12),
        held in 0..ENGINES,
        loads in proptest::collection::vec((0_u32..40, 1_u32..400), ENGINES),
        draw in any::<u64>(),
    ) {
        let mut listed = backends();
        for (backend, draining) in listed.iter_mut().zip(&draining) {
            backend.draining = *draining;
        }
        let mut pool = pool(true);
        use_all(&mut pool);
        let before = BackendList::new(backends());
        pool.apply(&before.changes_to(&BackendList::new(listed)));
        pool.set_zone_view(&view(|engine| loads[engine]), NOW);
        let tried: Vec<BackendId> = tried.into_iter().map(id).collect();
        let held = id(held);
        let request = RoutingRequest { tried: &tried, cached_at: Some(&held), draw, ..request(work(1)) };
        if let Some(choice) = pool.choose(&request, |_| false, NOW) {
            prop_assert!(!choice.backend.draining);
            prop_assert!(!tried.contains(&choice.backend.id));
        }
    }

    #[test]
    fn cost_rises_with_load_failures_and_tokens_to_read(
        requests in 0.0..60.0_f64,
        more in 0.0..20.0_f64,
        pause_seconds in 0.001..1.0_f64,
        failure_ratio in 0.0..0.9_f64,
        tokens_to_read in 0_u32..20_000,
        slots in 1_u32..64,
    ) {
        let state = ReplicaState {
            slots,
            requests,
            measured_at_requests: 2.0,
            pause_seconds,
            failure_ratio,
            is_near: true,
            tokens_to_read,
        };
        let cost = |state: ReplicaState| expect(&work(1), &state).finish_seconds;
        let least = cost(state);
        prop_assert!(least.is_finite() && least > 0.0);
        let busier = cost(ReplicaState { requests: requests + more, ..state });
        let failing = cost(ReplicaState { failure_ratio: failure_ratio + 0.1, ..state });
        let reading = cost(ReplicaState { tokens_to_read: tokens_to_read + 500, ..state });
        let slower = cost(ReplicaState { pause_seconds: pause_seconds * 2.0, ..state });
        let farther = cost(ReplicaState { is_near: false, ..state });
        prop_assert!(busier >= least);
        prop_assert!([failing, reading, slower, farther].iter().all(|cost| *cost > least));
    }
}
