//! Which replica gets a request when replicas are unequal, and turn slow.

mod support;

use luglink_fleet::{BackendId, BackendList, ReplicaKey, ReplicaStats, StatsReport};
use luglink_scheduling::{
    AnswerLengths, CandidateScope, Pool, PromptParts, ReplicaState, RoutingRequest, Work, expect,
};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{ENGINES, Run, SLOWNESS, Seen, backends, id, pool, random, slow, speed, work};

const UNTIL_MS: u64 = 72_000;

/// Times what its speed earns that an engine may have.
const BOUND: f64 = 1.25;

fn play(by_finish: bool, seed: u64) -> Seen {
    let run = Run {
        until_ms: UNTIL_MS,
        by_finish,
        seed,
    };
    let seen = run.play();
    println!(
        "seed {seed}, by finish {by_finish}: mean {:.0} ms, 99th percentile {} ms, busiest {:.2} of earned, \
         begun at slow ones {} of {:.0}",
        mean(&seen.turn_ms),
        percentile(&seen.turn_ms, 0.99),
        busiest(&seen),
        seen.began_at_slow,
        earned_at_slow(&seen),
    );
    seen
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len() as f64
}

fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted[(sorted.len() as f64 * share) as usize]
}

/// Most requests at an engine over what its speed earns.
fn busiest(seen: &Seen) -> f64 {
    let requests = seen.occupied.iter().sum::<usize>() as f64;
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let shares = (0..ENGINES).map(|engine| {
        let earned = requests * speed(engine) / speeds;
        seen.occupied[engine] as f64 / earned
    });
    shares.fold(0.0, f64::max)
}

/// Turns that engines earn, with the bound, while they have been slow for a second.
fn earned_at_slow(seen: &Seen) -> f64 {
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let per_ms = seen.began as f64 / UNTIL_MS as f64;
    let earned = (0..UNTIL_MS).filter_map(|at_ms| {
        let (engine, since_ms) = slow(at_ms)?;
        (since_ms >= 1_000).then(|| per_ms * speed(engine) / SLOWNESS / speeds)
    });
    BOUND * earned.sum::<f64>()
}

const SEEDS: [u64; 3] = [1, 88_172_645_463_325_252, 7_777_777];

#[test]
fn the_busiest_engine_has_little_more_than_its_speed_earns() {
    for seed in SEEDS {
        assert!(busiest(&play(false, seed)) > BOUND);
        assert!(busiest(&play(true, seed)) <= BOUND);
    }
}

#[test]
fn turns_leave_an_engine_within_a_second_of_its_turning_slow() {
    for seed in SEEDS {
        let plain = play(false, seed);
        assert!(plain.began_at_slow as f64 > earned_at_slow(&plain));
        let seen = play(true, seed);
        assert!(seen.began_at_slow as f64 <= earned_at_slow(&seen));
        assert!(percentile(&seen.turn_ms, 0.99) < percentile(&plain.turn_ms, 0.99));
        assert!(mean(&seen.turn_ms) < mean(&plain.turn_ms));
    }
}

fn wish(work: Work) -> RoutingRequest<'static> {
    RoutingRequest {
        service: "llm",
        work: Some(work),
        ..RoutingRequest::default()
    }
}

/// A view in which every engine has so many requests and such a pause between events.
fn view(of: impl Fn(usize) -> (u32, u32)) -> StatsReport {
    let sight = |engine| {
        let (requests, step_millis) = of(engine);
        ReplicaStats {
            replica: ReplicaKey::of(&id(engine)),
            in_flight_tenths: requests * 10,
            samples_tenths: 200,
            step_micros: step_millis * 1_000,
            ..ReplicaStats::default()
        }
    };
    StatsReport((0..ENGINES).map(sight).collect())
}

/// Marks all engines as used, so that all are weighed.
fn use_all(pool: &mut Pool) {
    for engine in 0..ENGINES {
        pool.note_connected(&id(engine));
    }
}

fn chosen(pool: &Pool, wish: &RoutingRequest<'_>, now: Timestamp) -> BackendId {
    pool.choose(wish, |_| true, now).unwrap().backend.id
}

const NOW: Timestamp = Timestamp::from_millis(10_000);

#[test]
fn gateways_that_hold_the_same_stale_view_spread() {
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
        let wish = RoutingRequest {
            draw: random(&mut state),
            ..wish(work(1))
        };
        let engine = chosen(&pool, &wish, NOW.plus(Duration::from_millis(200)));
        placed[(0..ENGINES).find(|other| id(*other) == engine).unwrap()] += 1;
    }
    let most = placed.iter().max().unwrap();
    let good: u32 = (0..ENGINES)
        .filter(|engine| engine % 3 == 2)
        .map(|engine| placed[engine])
        .sum();
    // Fifteen are nearly as good, and each would get 4 or 5 of 68; none gets three times that.
    assert!(*most <= 13, "{placed:?}");
    assert!(good >= 54, "{placed:?}");
}

#[test]
fn a_turn_stays_where_its_prompt_is_until_that_costs_much_more() {
    let holder = id(4);
    let wish = RoutingRequest {
        cached_at: Some(&holder),
        ..wish(work(1))
    };
    let stays_at = |pause| {
        let mut pool = pool(true);
        use_all(&mut pool);
        let replica_stats = view(|engine| (2, if engine == 4 { pause } else { 40 }));
        pool.set_zone_view(&replica_stats, NOW);
        let choice = pool.choose(&wish, |_| true, NOW).unwrap();
        let relocation = choice.basis.unwrap().relocation;
        assert_eq!(relocation.is_none(), choice.backend.id == holder);
        choice.backend.id == holder
    };
    assert!(stays_at(40));
    assert!(stays_at(55));
    assert!(!stays_at(260));
}

#[test]
fn one_gateway_s_word_of_trouble_alone_ejects_no_replica() {
    let holder = id(4);
    let wish = RoutingRequest {
        cached_at: Some(&holder),
        ..wish(work(1))
    };
    let stays_with = |reporting_gateways, failures_tenths| {
        let mut pool = pool(true);
        use_all(&mut pool);
        let mut replica_stats = view(|_| (2, 40));
        replica_stats.0[4].reporting_gateways = reporting_gateways;
        replica_stats.0[4].failures_tenths = failures_tenths;
        // A replica that hangs gives no events.
        replica_stats.0[4].samples_tenths = 10;
        pool.set_zone_view(&replica_stats, NOW);
        chosen(&pool, &wish, NOW) == holder
    };
    assert!(stays_with(1, 100));
    assert!(!stays_with(5, 100));
    assert!(stays_with(5, 1));
}

#[test]
fn a_replica_in_trouble_is_tried_again_after_a_while() {
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
fn what_a_gateway_sees_is_told_while_it_is_new() {
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
            .find(|sight| sight.replica == key)
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
fn own_requests_since_the_view_count_besides_it() {
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
fn programs_with_the_same_shared_part_begin_at_a_few_replicas() {
    let mut homes = BTreeSet::new();
    let mut state = 5;
    for _ in 0..400 {
        let mut pool = pool(true);
        pool.set_zone_view(&StatsReport::default(), NOW);
        let drawn = pool.candidates_by_finish("llm", random(&mut state), &work(7), 2, NOW);
        assert_eq!(drawn.len(), 2);
        homes.extend(drawn.into_iter().map(|backend| backend.id));
    }
    // The working set is 16 while nothing is known of the load, and half of it is for one part.
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
fn a_shared_part_that_a_replica_has_read_lately_is_not_counted_again() {
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
fn without_the_feature_what_a_request_asks_for_changes_nothing() {
    let mut pool = pool(false);
    use_all(&mut pool);
    pool.set_zone_view(&view(|engine| (engine as u32, 40 + engine as u32)), NOW);
    for draw in 0..200 {
        let told = RoutingRequest {
            draw,
            ..wish(work(1))
        };
        let untold = RoutingRequest {
            work: None,
            ..told.clone()
        };
        let told = pool.choose(&told, |_| false, NOW);
        assert_eq!(told, pool.choose(&untold, |_| false, NOW));
        assert!(told.unwrap().basis.is_none());
    }
}

#[test]
fn without_a_view_of_the_present_the_plain_way_holds() {
    let mut told = pool(true);
    let mut plain = pool(false);
    for pool in [&mut told, &mut plain] {
        use_all(pool);
        pool.set_zone_view(&view(|engine| (engine as u32, 40)), NOW);
    }
    let late = NOW.plus(Duration::from_secs(3));
    assert!(told.uses_expected_finish(NOW) && !told.uses_expected_finish(late));
    for draw in 0..50 {
        let wish = RoutingRequest {
            draw,
            ..wish(work(1))
        };
        let choice = told.choose(&wish, |_| false, late);
        assert_eq!(choice, plain.choose(&wish, |_| false, late));
        let candidates = told.candidates_by_finish("llm", draw, &work(1), 2, late);
        let plain = plain.candidates("llm", draw, CandidateScope::Home, 2, late);
        assert_eq!(candidates, plain);
    }
}

#[test]
fn prompts_are_read_as_callers_tell_of_them() {
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
fn the_length_of_answers_is_learned_and_never_above_the_most() {
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
        let wish = RoutingRequest { tried: &tried, cached_at: Some(&held), draw, ..wish(work(1)) };
        if let Some(choice) = pool.choose(&wish, |_| false, NOW) {
            prop_assert!(!choice.backend.draining);
            prop_assert!(!tried.contains(&choice.backend.id));
        }
    }

    #[test]
    fn cost_rises_with_load_trouble_and_what_must_be_read(
        requests in 0.0..60.0_f64,
        more in 0.0..20.0_f64,
        pause_seconds in 0.001..1.0_f64,
        trouble in 0.0..0.9_f64,
        tokens_to_read in 0_u32..20_000,
        slots in 1_u32..64,
    ) {
        let state = ReplicaState {
            slots,
            requests,
            measured_at_requests: 2.0,
            pause_seconds,
            trouble,
            is_near: true,
            tokens_to_read,
        };
        let cost = |state: ReplicaState| expect(&work(1), &state).finish_seconds;
        let least = cost(state);
        prop_assert!(least.is_finite() && least > 0.0);
        let busier = cost(ReplicaState { requests: requests + more, ..state });
        let note_failure = cost(ReplicaState { trouble: trouble + 0.1, ..state });
        let reading = cost(ReplicaState { tokens_to_read: tokens_to_read + 500, ..state });
        let slower = cost(ReplicaState { pause_seconds: pause_seconds * 2.0, ..state });
        let farther = cost(ReplicaState { is_near: false, ..state });
        prop_assert!(busier >= least);
        prop_assert!([note_failure, reading, slower, farther].iter().all(|cost| *cost > least));
    }
}
