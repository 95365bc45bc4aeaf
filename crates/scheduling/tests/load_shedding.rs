//! Which new programs are let in under load.

use luglink_edge::{Configuration, Route, RouteKind, Target};
use luglink_scheduling::{LoadShedder, ShedDecision};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const AIM_MS: u64 = 200;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: AIM_MS,
        priority: 1,
        targets: vec![Target {
            service: "s".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        keeps_history: true,
        retention_ms: 60_000,
        resumable: false,
        gap_aim_ms: None,
        public: false,
    }
}

/// Notes a delay every 20 ms for `seconds`. Returns when that ends.
fn run(
    shedder: &mut LoadShedder,
    route: &Route,
    delay_ms: u64,
    from: Timestamp,
    seconds: u64,
) -> Timestamp {
    let mut now = from;
    for _ in 0..seconds * 50 {
        now = now.plus(Duration::from_millis(20));
        shedder.note_delay(route, Duration::from_millis(delay_ms), now);
    }
    now
}

/// Of 1,000 programs, how many are let in.
fn let_in(shedder: &mut LoadShedder, route: &Route, now: Timestamp) -> usize {
    let draws = (0..1_000_u64).map(|program| program * (u64::MAX / 1_000));
    draws
        .filter(|draw| shedder.admit(route, *draw, now) == ShedDecision::Admit)
        .count()
}

#[test]
fn everyone_is_let_in_while_first_events_are_in_time() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    assert_eq!(let_in(&mut shedder, &route, Timestamp::ZERO), 1_000);
    let now = run(&mut shedder, &route, AIM_MS * 9 / 10, Timestamp::ZERO, 10);
    assert_eq!(let_in(&mut shedder, &route, now), 1_000);
}

#[test]
fn fewer_are_let_in_the_longer_they_come_late_but_never_none() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let soon = run(&mut shedder, &route, 3 * AIM_MS, Timestamp::ZERO, 1);
    let first = let_in(&mut shedder, &route, soon);
    let later = run(&mut shedder, &route, 3 * AIM_MS, soon, 1);
    let second = let_in(&mut shedder, &route, later);
    assert!(second < first && first < 1_000, "{first} then {second}");
    let much_later = run(&mut shedder, &route, 3 * AIM_MS, later, 60);
    let last = let_in(&mut shedder, &route, much_later);
    assert!((250..=350).contains(&last), "{last}");
}

#[test]
fn all_are_let_in_again_once_the_load_has_fallen() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let now = run(&mut shedder, &route, 3 * AIM_MS, Timestamp::ZERO, 10);
    let now = run(&mut shedder, &route, AIM_MS / 4, now, 5);
    assert_eq!(let_in(&mut shedder, &route, now), 1_000);
}

#[test]
fn a_route_that_nobody_uses_forgets_that_it_was_late() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let mut now = run(&mut shedder, &route, 3 * AIM_MS, Timestamp::ZERO, 10);
    for _ in 0..60 {
        now = now.plus(Duration::from_millis(250));
        let_in(&mut shedder, &route, now);
    }
    assert_eq!(let_in(&mut shedder, &route, now), 1_000);
}

#[test]
fn a_late_route_does_not_cost_another_one_its_programs() {
    let mut shedder = LoadShedder::default();
    let now = run(
        &mut shedder,
        &route("late"),
        3 * AIM_MS,
        Timestamp::ZERO,
        10,
    );
    assert_eq!(let_in(&mut shedder, &route("other"), now), 1_000);
}

#[test]
fn who_is_refused_is_told_when_to_come_back() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let now = run(&mut shedder, &route, 3 * AIM_MS, Timestamp::ZERO, 10);
    let pause = |draw| match shedder.admit(&route, draw, now) {
        ShedDecision::Refuse { retry_delay, .. } => retry_delay,
        ShedDecision::Admit => Duration::ZERO,
    };
    let pauses: Vec<Duration> = [0.2, 0.4, 0.9]
        .map(|place: f64| (place * u64::MAX as f64) as u64)
        .map(pause)
        .to_vec();
    assert_eq!(pauses[0], Duration::ZERO);
    assert!(pauses[1] >= Duration::from_millis(200), "{pauses:?}");
    assert!(
        pauses[2] > pauses[1] && pauses[2] <= Duration::from_secs(2),
        "{pauses:?}"
    );
}

proptest! {
    /// A program is not let in by trying again, and one that was let in stays so when more are.
    #[test]
    fn programs_are_treated_alike_at_each_try(draw: u64, seconds in 0_u64..10) {
        let (mut shedder, route) = (LoadShedder::default(), route("r"));
        let now = run(&mut shedder, &route, 3 * AIM_MS, Timestamp::ZERO, seconds);
        let first = shedder.admit(&route, draw, now);
        prop_assert_eq!(shedder.admit(&route, draw, now), first);
        let later = run(&mut shedder, &route, AIM_MS / 4, now, 1);
        if first == ShedDecision::Admit {
            prop_assert_eq!(shedder.admit(&route, draw, later), ShedDecision::Admit);
        }
    }
}

#[test]
fn a_route_that_is_not_in_force_any_more_is_forgotten() {
    let (mut shedder, gone, stays) = (LoadShedder::default(), route("gone"), route("stays"));
    let now = run(&mut shedder, &gone, 3 * AIM_MS, Timestamp::ZERO, 10);
    let now = run(&mut shedder, &stays, 3 * AIM_MS, now, 10);
    let configuration = Configuration {
        routes: vec![stays.clone()],
        ..Configuration::default()
    };
    shedder.keep_only(&configuration);
    assert_eq!(let_in(&mut shedder, &gone, now), 1_000);
    assert!(let_in(&mut shedder, &stays, now) < 1_000);
}
