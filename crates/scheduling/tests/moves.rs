//! Turns before replicas of which some keep silent, with and without moves.

use luglink_edge::{Configuration, Route, RouteKind};
use luglink_scheduling::{
    AwaitedEvent, ExtraSends, Features, MoveDecision, RerunLimits, Restart, Stay, Usual,
    WaitQuantiles, Waiting, Waits, cannot_meet_deadline, decide_move, hedge_after,
};
use luglink_types::{FeatureMode, FeatureModes, Timestamp};
use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

const AIM: Duration = Duration::from_millis(200);
const CALLER_WAITS: Duration = Duration::from_secs(4);
/// Time for which a replica keeps its requests silent.
const SILENCE: Duration = Duration::from_secs(6);
/// Middle of the first events of sound replicas, and the spread of their logarithm.
const MEDIAN: Duration = Duration::from_millis(146);
const SPREAD: f64 = 0.59;
/// Nine in ten first events of sound replicas are as quick.
const USUAL: Duration = Duration::from_millis(311);
/// Reading of a prompt elsewhere, and a connection.
const ELSEWHERE: Duration = Duration::from_millis(90);
/// Time for which turns that move keep away from a replica that another one has left.
const TROUBLE_LASTS: Duration = Duration::from_secs(10);
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

/// Replicas that answer each turn after a time of its own, unless they keep silent.
struct Engines {
    seed: u64,
    /// Replicas that keep silent.
    silent: u64,
    slower: f64,
    /// All replicas are four times slower in each second stretch of that length.
    wave: Option<Duration>,
    /// Replicas that turns have moved away from, and when.
    note_failure: HashMap<u64, Timestamp>,
}

impl Engines {
    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005);
        self.seed = self.seed.wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn follow_wave(&mut self, now: Timestamp) {
        if let Some(length) = self.wave {
            let stretches = now.since(Timestamp::ZERO).as_secs() / length.as_secs();
            self.slower = if stretches % 2 == 1 { 4.0 } else { 1.0 };
        }
    }

    fn choose(&mut self) -> u64 {
        (self.draw() * REPLICAS as f64) as u64
    }

    /// Another one, of those that no turn has left lately if there are any.
    fn choose_besides(&mut self, first: u64, now: Timestamp) -> u64 {
        self.note_failure.insert(first, now);
        self.note_failure
            .retain(|_, at| now.since(*at) < TROUBLE_LASTS);
        let sound = (0..REPLICAS).filter(|replica| !self.note_failure.contains_key(replica));
        let sound: Vec<u64> = sound.collect();
        if sound.is_empty() {
            return (first + 1) % REPLICAS;
        }
        sound[(self.draw() * sound.len() as f64) as usize]
    }

    fn first_event(&mut self, replica: u64) -> Duration {
        // The sum of twelve evenly spread numbers is close to a normal one.
        let normal: f64 = (0..12).map(|_| self.draw()).sum::<f64>() - 6.0;
        let sound = MEDIAN.mul_f64((normal * SPREAD).exp() * self.slower);
        if replica < self.silent {
            SILENCE + sound
        } else {
            sound
        }
    }
}

#[derive(Debug, Default)]
struct Day {
    turns: u32,
    /// Without a first event within three times the usual wait and a read elsewhere.
    late: u32,
    at_silent: u32,
    at_silent_late: u32,
    sound: u32,
    sound_moved: u32,
    moved: u32,
}

fn play(engines: &mut Engines, has_moves: bool) -> Day {
    let (mut waits, route, mut day) = (Waits::default(), route(), Day::default());
    for number in 0..SECONDS * TURNS_PER_S {
        let now = Timestamp::from_micros(number * 1_000_000 / TURNS_PER_S);
        engines.follow_wave(now);
        let first = engines.choose();
        let here = engines.first_event(first);
        let waits = waits.route(&route);
        waits.moves.earn();
        let mut waiting = waiting(waits.first_event(AIM, now));
        waiting.outlier_ratio = waits.outlier_ratio();
        let at = moves_at(&waiting).filter(|at| has_moves && *at < here && waits.moves.spend());
        let waited = match at {
            None => here,
            Some(at) => {
                waits.note_abandoned(at, now);
                let other = engines.choose_besides(first, now);
                at + ELSEWHERE + engines.first_event(other)
            }
        };
        // What another replica takes that reads the prompt anew is not what is usual.
        if at.is_none() && here < CALLER_WAITS {
            waits.note_first_event(here, AIM, now);
        } else if at.is_none() {
            waits.note_abandoned(CALLER_WAITS, now);
        }
        let is_late = waited > 3 * USUAL.mul_f64(engines.slower) + ELSEWHERE;
        day.turns += 1;
        day.late += u32::from(is_late);
        day.moved += u32::from(at.is_some());
        if first < engines.silent {
            day.at_silent += 1;
            day.at_silent_late += u32::from(is_late);
        } else {
            day.sound += 1;
            day.sound_moved += u32::from(at.is_some());
        }
    }
    day
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

/// Follows the decisions as a gateway does.
fn moves_at(from: &Waiting) -> Option<Duration> {
    let mut waiting = *from;
    while waiting.waited < SILENCE {
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

fn engines(silent: u64) -> Engines {
    Engines {
        seed: 7,
        silent,
        slower: 1.0,
        wave: None,
        note_failure: HashMap::new(),
    }
}

#[test]
fn turns_at_silent_replicas_are_answered_by_others() {
    let silent = REPLICAS / 10;
    let plain = play(&mut engines(silent), false);
    assert_eq!(plain.at_silent_late, plain.at_silent);
    let moved = play(&mut engines(silent), true);
    // A usual wait at the second replica is one that nine in ten do not exceed.
    assert!(moved.at_silent_late * 10 <= moved.at_silent, "{moved:?}");
    assert!(moved.late * 3 < plain.late, "{moved:?} {plain:?}");
    assert!(moved.sound_moved * 100 <= moved.sound * 2, "{moved:?}");
}

#[test]
fn hardly_a_turn_moves_while_all_replicas_are_well() {
    let day = play(&mut engines(0), true);
    assert!(day.moved * 100 <= day.turns * 3, "{day:?}");
}

#[test]
fn what_is_usual_follows_the_load_and_few_turns_move_meanwhile() {
    let mut slow = engines(0);
    slow.slower = 5.0;
    let day = play(&mut slow, true);
    assert!(day.moved * 100 <= day.turns * 3, "{day:?}");
    // Silent replicas by the half are more than moves may make up for.
    let day = play(&mut engines(REPLICAS / 2), true);
    assert!(day.moved * 5 <= day.turns + 20, "{day:?}");
}

#[test]
fn waves_of_load_move_few_turns() {
    let mut engines = engines(0);
    engines.wave = Some(Duration::from_secs(6));
    let day = play(&mut engines, true);
    assert!(day.moved * 100 <= day.turns * 3, "{day:?}");
}

#[test]
fn nothing_moves_while_many_waits_are_unusual() {
    let mut waiting = waiting(WaitQuantiles::expected(AIM));
    waiting.outlier_ratio = 0.5;
    assert_eq!(moves_at(&waiting), None);
}

#[test]
fn a_turn_that_no_replica_can_answer_in_time_stays() {
    let mut waiting = waiting(WaitQuantiles::expected(AIM));
    waiting.left = Duration::from_millis(250);
    let stays = MoveDecision::Stay(Stay::TooLate);
    assert_eq!(decide_move(&waiting), stays);
}

#[test]
fn a_program_that_is_short_of_time_moves_sooner_but_not_at_once() {
    let usual = WaitQuantiles {
        median: AIM / 2,
        p90: AIM,
    };
    let mut waiting = waiting(usual);
    let calm = moves_at(&waiting).unwrap();
    let mut within = |program_ms| {
        waiting.awaited = AwaitedEvent::FirstEvent {
            program: Some(Duration::from_millis(program_ms)),
        };
        moves_at(&waiting).unwrap()
    };
    assert!(within(520) < calm);
    assert!(within(520) > AIM);
    assert_eq!(within(10_000), calm);
    assert_eq!(within(10), calm, "a program that is late in any case");
}

#[test]
fn a_stream_moves_when_a_pause_is_far_beyond_those_before() {
    let moves_after = |longest_ms, bearable_ms| {
        let mut waiting = waiting(WaitQuantiles::expected(AIM));
        waiting.restart.tokens = 0;
        waiting.awaited = AwaitedEvent::NextEvent {
            longest: Duration::from_millis(longest_ms),
            usual: Some(Duration::from_millis(30)),
            bearable: Some(Duration::from_millis(bearable_ms)),
        };
        moves_at(&waiting).unwrap()
    };
    assert_eq!(moves_after(30, 300), Duration::from_millis(300));
    assert!(moves_after(200, 300) >= Duration::from_millis(800));
    assert!(moves_after(30, 1_000) >= Duration::from_secs(1));
}

#[test]
fn a_few_long_waits_do_not_shift_what_is_usual() {
    let mut usual = Usual::default();
    let now = Timestamp::from_micros(1_000_000);
    for number in 0..100 {
        let ms = if number % 6 == 0 { 6_000 } else { 100 };
        usual.note(Duration::from_millis(ms), now);
    }
    let learned = usual.quantile(0.8, now).unwrap();
    let expected = Duration::from_millis(100)..Duration::from_millis(125);
    assert!(expected.contains(&learned), "{learned:?}");
    let much_later = now.plus(Duration::from_secs(60));
    assert_eq!(usual.quantile(0.8, much_later), None, "it has faded");
}

#[test]
fn only_what_no_replica_can_answer_is_hopeless() {
    let ms = Duration::from_millis;
    assert!(!cannot_meet_deadline(ms(1), None));
    assert!(cannot_meet_deadline(ms(20), Some(ms(40))));
    assert!(!cannot_meet_deadline(ms(50), Some(ms(40))));
}

#[test]
fn second_sends_are_early_where_answers_are_quick_and_bounded_in_number() {
    let ms = Duration::from_millis;
    assert_eq!(hedge_after(None, ms(375)), ms(375));
    assert_eq!(hedge_after(Some(ms(70)), ms(375)), ms(140));
    assert_eq!(hedge_after(Some(ms(900)), ms(375)), ms(375));
    let mut extra = ExtraSends::new(0.05);
    let granted = (0..1_000).filter(|_| {
        extra.earn();
        extra.spend()
    });
    let granted = granted.count();
    assert!((50..=54).contains(&granted), "{granted}");
}

#[test]
fn nothing_changes_where_no_second_replica_is_allowed() {
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
        usual in proptest::option::of(0_u64..5_000),
        bearable in proptest::option::of(0_u64..5_000),
    ) -> AwaitedEvent {
        let ms = Duration::from_millis;
        if is_first {
            AwaitedEvent::FirstEvent { program: program.map(ms) }
        } else {
            AwaitedEvent::NextEvent {
                longest: ms(longest),
                usual: usual.map(ms),
                bearable: bearable.map(ms),
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
    fn nothing_moves_that_may_not(waiting in any_waiting()) {
        let reruns = waiting.reruns;
        if let MoveDecision::Move { .. } = decide_move(&waiting) {
            prop_assert!(reruns.is_repeatable && reruns.has_untried_replica);
            prop_assert!(reruns.may_have_run < reruns.max_attempts);
            prop_assert!(waiting.left > waiting.first_event.median);
        }
    }

    /// However often a request moves, it is never given to more replicas than allowed.
    #[test]
    fn never_more_replicas_than_allowed(waiting in any_waiting()) {
        let mut waiting = waiting;
        waiting.reruns.may_have_run = 1;
        waiting.reruns.has_untried_replica = true;
        waiting.outlier_ratio = 0.0;
        waiting.left = Duration::from_secs(3_600);
        while moves_at(&waiting).is_some() {
            waiting.waited = Duration::ZERO;
            waiting.reruns.may_have_run += 1;
        }
        prop_assert!(waiting.reruns.may_have_run <= waiting.reruns.max_attempts.max(1));
    }

    #[test]
    fn a_look_is_never_due_at_once(waiting in any_waiting()) {
        if let MoveDecision::WaitOn(pause) = decide_move(&waiting) {
            prop_assert!(pause > Duration::ZERO);
        }
    }
}
