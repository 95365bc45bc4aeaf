//! Turns at replicas of which some stall, with and without moves.

use luglink_edge::{Configuration, Route, RouteKind};
use luglink_scheduling::{
    AwaitedEvent, ExtraSendBudget, Features, MoveDecision, RerunLimits, Restart, Stay,
    WaitHistogram, WaitQuantiles, Waiting, Waits, cannot_meet_deadline, decide_move, hedge_after,
};
use luglink_types::{FeatureMode, FeatureModes, Timestamp};
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

const TARGET_LATENCY: Duration = Duration::from_millis(200);
const CALLER_WAITS: Duration = Duration::from_secs(4);
/// Time for which a stalled replica sends nothing.
const STALL_TIME: Duration = Duration::from_secs(6);
/// Median of the first events of healthy replicas, and the standard deviation of their logarithm.
const MEDIAN: Duration = Duration::from_millis(146);
const SPREAD: f64 = 0.59;
/// 90th percentile of the first events of healthy replicas.
const P90_WAIT: Duration = Duration::from_millis(311);
/// Time to connect to another replica and read a prompt there.
const RESTART_TIME: Duration = Duration::from_millis(90);
/// Time for which turns that move avoid a replica that another one has left.
const AVOIDANCE_TIME: Duration = Duration::from_secs(10);
const REPLICAS: u64 = 40;
const TURNS_PER_S: u64 = 10;
const SECONDS: u64 = 2_000;

fn route() -> Route {
    Route {
        name: "turns".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/turns/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: 200,
        priority: 1,
        targets: Vec::new(),
        max_attempts: 2,
        keeps_history: false,
        retention_ms: 60_000,
        resumable: true,
        gap_aim_ms: None,
        public: false,
    }
}

/// Replicas that answer each turn after a random time, unless they are stalled.
struct Engines {
    seed: u64,
    /// Number of stalled replicas.
    stalled: u64,
    slowdown: f64,
    /// All replicas are four times slower in every second interval of that length.
    wave: Option<Duration>,
    /// Replicas that turns have left, and when.
    left_replicas: HashMap<u64, Timestamp>,
}

impl Engines {
    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005);
        self.seed = self.seed.wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn follow_wave(&mut self, now: Timestamp) {
        if let Some(length) = self.wave {
            let intervals = now.since(Timestamp::ZERO).as_secs() / length.as_secs();
            self.slowdown = if intervals % 2 == 1 { 4.0 } else { 1.0 };
        }
    }

    fn choose(&mut self) -> u64 {
        (self.draw() * REPLICAS as f64) as u64
    }

    /// Chooses another replica, if possible one that no turn has left recently.
    fn choose_other(&mut self, first: u64, now: Timestamp) -> u64 {
        self.left_replicas.insert(first, now);
        self.left_replicas
            .retain(|_, at| now.since(*at) < AVOIDANCE_TIME);
        let healthy = (0..REPLICAS).filter(|replica| !self.left_replicas.contains_key(replica));
        let healthy: Vec<u64> = healthy.collect();
        if healthy.is_empty() {
            return (first + 1) % REPLICAS;
        }
        healthy[(self.draw() * healthy.len() as f64) as usize]
    }

    fn first_event(&mut self, replica: u64) -> Duration {
        // The sum of twelve uniform random numbers is close to a normal one.
        let normal: f64 = (0..12).map(|_| self.draw()).sum::<f64>() - 6.0;
        let healthy_wait = MEDIAN.mul_f64((normal * SPREAD).exp() * self.slowdown);
        if replica < self.stalled {
            STALL_TIME + healthy_wait
        } else {
            healthy_wait
        }
    }
}

#[derive(Debug, Default)]
struct ReplayStats {
    turns: u32,
    /// Turns without a first event within three times the 90th percentile and the time to read a
    /// prompt elsewhere.
    late: u32,
    at_stalled: u32,
    at_stalled_late: u32,
    healthy: u32,
    healthy_moved: u32,
    moved: u32,
}

fn replay(engines: &mut Engines, moves_enabled: bool) -> ReplayStats {
    let (mut waits, route, mut stats) = (Waits::default(), route(), ReplayStats::default());
    for number in 0..SECONDS * TURNS_PER_S {
        let now = Timestamp::from_micros(number * 1_000_000 / TURNS_PER_S);
        engines.follow_wave(now);
        let first = engines.choose();
        let here = engines.first_event(first);
        let waits = waits.route(&route);
        waits.moves.earn();
        let mut waiting = waiting(waits.first_event(TARGET_LATENCY, now));
        waiting.outlier_ratio = waits.outlier_ratio();
        let at =
            move_time(&waiting).filter(|at| moves_enabled && *at < here && waits.moves.spend());
        let waited = match at {
            None => here,
            Some(at) => {
                waits.note_abandoned(at, now);
                let other = engines.choose_other(first, now);
                at + RESTART_TIME + engines.first_event(other)
            }
        };
        // The time of another replica, which reads the prompt again, is not part of the
        // distribution.
        if at.is_none() && here < CALLER_WAITS {
            waits.note_first_event(here, TARGET_LATENCY, now);
        } else if at.is_none() {
            waits.note_abandoned(CALLER_WAITS, now);
        }
        let is_late = waited > 3 * P90_WAIT.mul_f64(engines.slowdown) + RESTART_TIME;
        stats.turns += 1;
        stats.late += u32::from(is_late);
        stats.moved += u32::from(at.is_some());
        if first < engines.stalled {
            stats.at_stalled += 1;
            stats.at_stalled_late += u32::from(is_late);
        } else {
            stats.healthy += 1;
            stats.healthy_moved += u32::from(at.is_some());
        }
    }
    stats
}

fn waiting(first_event: WaitQuantiles) -> Waiting {
    Waiting {
        awaited: AwaitedEvent::FirstEvent { program: None },
        waited: Duration::ZERO,
        left: CALLER_WAITS,
        first_event,
        outlier_ratio: 0.0,
        restart: Restart {
            tokens: 3_590,
            step: Some(Duration::from_millis(5)),
        },
        reruns: RerunLimits {
            is_repeatable: true,
            may_have_run: 1,
            max_attempts: 2,
            has_untried_replica: true,
        },
    }
}

/// Applies the decisions as a gateway does. Returns the time of the move.
fn move_time(from: &Waiting) -> Option<Duration> {
    let mut waiting = *from;
    while waiting.waited < STALL_TIME {
        match decide_move(&waiting) {
            MoveDecision::Move { .. } => return Some(waiting.waited),
            MoveDecision::Stay(_) => return None,
            MoveDecision::WaitOn(pause) => {
                assert!(!pause.is_zero(), "{waiting:?}");
                waiting.waited += pause;
                waiting.left = waiting.left.saturating_sub(pause);
            }
        }
    }
    None
}

fn engines(stalled: u64) -> Engines {
    Engines {
        seed: 7,
        stalled,
        slowdown: 1.0,
        wave: None,
        left_replicas: HashMap::new(),
    }
}

#[test]
fn turns_at_stalled_replicas_are_answered_by_others() {
    let stalled = REPLICAS / 10;
    let without_moves = replay(&mut engines(stalled), false);
    assert_eq!(without_moves.at_stalled_late, without_moves.at_stalled);
    let with_moves = replay(&mut engines(stalled), true);
    // Nine in ten waits at the second replica do not exceed the 90th percentile.
    assert!(
        with_moves.at_stalled_late * 10 <= with_moves.at_stalled,
        "{with_moves:?}"
    );
    assert!(
        with_moves.late * 3 < without_moves.late,
        "{with_moves:?} {without_moves:?}"
    );
    assert!(
        with_moves.healthy_moved * 100 <= with_moves.healthy * 2,
        "{with_moves:?}"
    );
}

#[test]
fn few_turns_move_while_all_replicas_are_healthy() {
    let stats = replay(&mut engines(0), true);
    assert!(stats.moved * 100 <= stats.turns * 3, "{stats:?}");
}

#[test]
fn quantiles_follow_the_load_and_few_turns_move() {
    let mut slow = engines(0);
    slow.slowdown = 5.0;
    let stats = replay(&mut slow, true);
    assert!(stats.moved * 100 <= stats.turns * 3, "{stats:?}");
    // Moves cannot make up for half of the replicas being stalled.
    let stats = replay(&mut engines(REPLICAS / 2), true);
    assert!(stats.moved * 5 <= stats.turns + 20, "{stats:?}");
}

#[test]
fn few_turns_move_during_waves_of_load() {
    let mut engines = engines(0);
    engines.wave = Some(Duration::from_secs(6));
    let stats = replay(&mut engines, true);
    assert!(stats.moved * 100 <= stats.turns * 3, "{stats:?}");
}

#[test]
fn nothing_moves_while_many_waits_are_outliers() {
    let mut waiting = waiting(WaitQuantiles::expected(TARGET_LATENCY));
    waiting.outlier_ratio = 0.5;
    assert_eq!(move_time(&waiting), None);
}

#[test]
fn a_turn_that_no_replica_can_answer_in_time_stays() {
    let mut waiting = waiting(WaitQuantiles::expected(TARGET_LATENCY));
    waiting.left = Duration::from_millis(250);
    let stays = MoveDecision::Stay(Stay::TooLate);
    assert_eq!(decide_move(&waiting), stays);
}

#[test]
fn an_urgent_program_moves_sooner_but_not_at_once() {
    let quantiles = WaitQuantiles {
        median: TARGET_LATENCY / 2,
        p90: TARGET_LATENCY,
    };
    let mut waiting = waiting(quantiles);
    let relaxed = move_time(&waiting).unwrap();
    let mut within = |program_ms| {
        waiting.awaited = AwaitedEvent::FirstEvent {
            program: Some(Duration::from_millis(program_ms)),
        };
        move_time(&waiting).unwrap()
    };
    assert!(within(520) < relaxed);
    assert!(within(520) > TARGET_LATENCY);
    assert_eq!(within(10_000), relaxed);
    assert_eq!(within(10), relaxed, "a program that is late in any case");
}

#[test]
fn a_stream_moves_after_a_pause_far_longer_than_before() {
    let moves_after = |longest_ms, target_gap_ms| {
        let mut waiting = waiting(WaitQuantiles::expected(TARGET_LATENCY));
        waiting.restart.tokens = 0;
        waiting.awaited = AwaitedEvent::NextEvent {
            longest: Duration::from_millis(longest_ms),
            p90_pause: Some(Duration::from_millis(30)),
            target_gap: Some(Duration::from_millis(target_gap_ms)),
        };
        move_time(&waiting).unwrap()
    };
    assert_eq!(moves_after(30, 300), Duration::from_millis(300));
    assert!(moves_after(200, 300) >= Duration::from_millis(800));
    assert!(moves_after(30, 1_000) >= Duration::from_secs(1));
}

#[test]
fn a_few_long_waits_do_not_shift_the_quantile() {
    let mut histogram = WaitHistogram::default();
    let now = Timestamp::from_micros(1_000_000);
    for number in 0..100 {
        let ms = if number % 6 == 0 { 6_000 } else { 100 };
        histogram.note(Duration::from_millis(ms), now);
    }
    let learned = histogram.quantile(0.8, now).unwrap();
    let expected = Duration::from_millis(100)..Duration::from_millis(125);
    assert!(expected.contains(&learned), "{learned:?}");
    let much_later = now.plus(Duration::from_secs(60));
    assert_eq!(
        histogram.quantile(0.8, much_later),
        None,
        "old waits have decayed"
    );
}

#[test]
fn only_deadlines_below_the_fastest_answer_cannot_be_met() {
    let ms = Duration::from_millis;
    assert!(!cannot_meet_deadline(ms(1), None));
    assert!(cannot_meet_deadline(ms(20), Some(ms(40))));
    assert!(!cannot_meet_deadline(ms(50), Some(ms(40))));
}

#[test]
fn hedges_are_early_for_quick_answers_and_limited_in_number() {
    let ms = Duration::from_millis;
    assert_eq!(hedge_after(None, ms(375)), ms(375));
    assert_eq!(hedge_after(Some(ms(70)), ms(375)), ms(140));
    assert_eq!(hedge_after(Some(ms(900)), ms(375)), ms(375));
    let mut extra = ExtraSendBudget::new(0.05);
    let granted = (0..1_000).filter(|_| {
        extra.earn();
        extra.spend()
    });
    let granted = granted.count();
    assert!((50..=54).contains(&granted), "{granted}");
}

#[test]
fn moves_and_hedges_need_a_second_attempt() {
    let configuration = |route: &Route| Configuration {
        routes: vec![route.clone()],
        ..Configuration::default()
    };
    let (movable, mut single, mut once) = (route(), route(), route());
    single.max_attempts = 1;
    once.resumable = false;
    let auto = Features::default();
    assert!(auto.moves(&movable) && auto.early_hedge(&configuration(&movable)));
    assert!(!auto.moves(&single) && !auto.early_hedge(&configuration(&single)));
    assert!(!auto.moves(&once));
    let switches = FeatureModes {
        moves: FeatureMode::Off,
        ..FeatureModes::default()
    };
    let off = Features::new(switches, false);
    assert!(!off.moves(&movable) && !off.early_hedge(&configuration(&movable)));
}

prop_compose! {
    fn any_awaited()(
        is_first: bool,
        program in proptest::option::of(0_u64..20_000),
        longest in 0_u64..5_000,
        p90_pause in proptest::option::of(0_u64..5_000),
        target_gap in proptest::option::of(0_u64..5_000),
    ) -> AwaitedEvent {
        let ms = Duration::from_millis;
        if is_first {
            AwaitedEvent::FirstEvent { program: program.map(ms) }
        } else {
            AwaitedEvent::NextEvent {
                longest: ms(longest),
                p90_pause: p90_pause.map(ms),
                target_gap: target_gap.map(ms),
            }
        }
    }
}

prop_compose! {
    fn any_waiting()(
        awaited in any_awaited(),
        waited in 0_u64..10_000,
        left in 0_u64..10_000,
        median in 0_u64..2_000,
        more in 0_u64..2_000,
        tokens in 0_u64..200_000,
        step in proptest::option::of(0_u64..100),
        outlier_ratio in 0.0..1.0_f64,
        is_repeatable: bool,
        may_have_run in 1_u32..5,
        max_attempts in 0_u32..5,
        has_untried_replica: bool,
    ) -> Waiting {
        let ms = Duration::from_millis;
        Waiting {
            awaited,
            waited: ms(waited),
            left: ms(left),
            first_event: WaitQuantiles { median: ms(median), p90: ms(median + more) },
            outlier_ratio,
            restart: Restart { tokens, step: step.map(ms) },
            reruns: RerunLimits { is_repeatable, may_have_run, max_attempts, has_untried_replica },
        }
    }
}

proptest! {
    #[test]
    fn only_permitted_requests_move(waiting in any_waiting()) {
        let reruns = waiting.reruns;
        if let MoveDecision::Move { .. } = decide_move(&waiting) {
            prop_assert!(reruns.is_repeatable && reruns.has_untried_replica);
            prop_assert!(reruns.may_have_run < reruns.max_attempts);
            prop_assert!(waiting.left > waiting.first_event.median);
        }
    }

    /// However often a request moves, it is never sent to more replicas than allowed.
    #[test]
    fn requests_never_reach_more_replicas_than_allowed(waiting in any_waiting()) {
        let mut waiting = waiting;
        waiting.reruns.may_have_run = 1;
        waiting.reruns.has_untried_replica = true;
        waiting.outlier_ratio = 0.0;
        waiting.left = Duration::from_secs(3_600);
        while move_time(&waiting).is_some() {
            waiting.waited = Duration::ZERO;
            waiting.reruns.may_have_run += 1;
        }
        prop_assert!(waiting.reruns.may_have_run <= waiting.reruns.max_attempts.max(1));
    }

    #[test]
    fn decisions_are_never_repeated_immediately(waiting in any_waiting()) {
        if let MoveDecision::WaitOn(pause) = decide_move(&waiting) {
            prop_assert!(pause > Duration::ZERO);
        }
    }
}
