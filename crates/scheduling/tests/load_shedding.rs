//! Admission of new programs under load.

use luglink_edge::{Configuration, Route, RouteKind, Target};
use luglink_scheduling::{LoadShedder, ShedDecision};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const TARGET_MS: u64 = 200;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: TARGET_MS,
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

/// Records a delay every 20 ms for `seconds`. Returns the end of that time.
fn record_delays(
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

/// Returns how many of 1,000 programs are admitted.
fn admitted_programs(shedder: &mut LoadShedder, route: &Route, now: Timestamp) -> usize {
    let draws = (0..1_000_u64).map(|program| program * (u64::MAX / 1_000));
    draws
        .filter(|draw| shedder.admit(route, *draw, now) == ShedDecision::Admit)
        .count()
}

#[test]
fn all_programs_are_admitted_while_first_events_are_in_time() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    assert_eq!(
        admitted_programs(&mut shedder, &route, Timestamp::ZERO),
        1_000
    );
    let now = record_delays(
        &mut shedder,
        &route,
        TARGET_MS * 9 / 10,
        Timestamp::ZERO,
        10,
    );
    assert_eq!(admitted_programs(&mut shedder, &route, now), 1_000);
}

#[test]
fn the_admitted_share_falls_while_late_but_not_to_zero() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let soon = record_delays(&mut shedder, &route, 3 * TARGET_MS, Timestamp::ZERO, 1);
    let first = admitted_programs(&mut shedder, &route, soon);
    let later = record_delays(&mut shedder, &route, 3 * TARGET_MS, soon, 1);
    let second = admitted_programs(&mut shedder, &route, later);
    assert!(second < first && first < 1_000, "{first} then {second}");
    let much_later = record_delays(&mut shedder, &route, 3 * TARGET_MS, later, 60);
    let last = admitted_programs(&mut shedder, &route, much_later);
    assert!((250..=350).contains(&last), "{last}");
}

#[test]
fn all_programs_are_admitted_again_after_the_load_falls() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let now = record_delays(&mut shedder, &route, 3 * TARGET_MS, Timestamp::ZERO, 10);
    let now = record_delays(&mut shedder, &route, TARGET_MS / 4, now, 5);
    assert_eq!(admitted_programs(&mut shedder, &route, now), 1_000);
}

#[test]
fn an_unused_route_recovers() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let mut now = record_delays(&mut shedder, &route, 3 * TARGET_MS, Timestamp::ZERO, 10);
    for _ in 0..60 {
        now = now.plus(Duration::from_millis(250));
        admitted_programs(&mut shedder, &route, now);
    }
    assert_eq!(admitted_programs(&mut shedder, &route, now), 1_000);
}

#[test]
fn a_late_route_does_not_affect_another_one() {
    let mut shedder = LoadShedder::default();
    let now = record_delays(
        &mut shedder,
        &route("late"),
        3 * TARGET_MS,
        Timestamp::ZERO,
        10,
    );
    assert_eq!(admitted_programs(&mut shedder, &route("other"), now), 1_000);
}

#[test]
fn refusals_include_a_retry_delay() {
    let (mut shedder, route) = (LoadShedder::default(), route("r"));
    let now = record_delays(&mut shedder, &route, 3 * TARGET_MS, Timestamp::ZERO, 10);
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
    /// Repeated attempts do not get a program admitted, and an admitted one stays admitted when
    /// more programs are.
    #[test]
    fn decisions_are_the_same_on_each_attempt(draw: u64, seconds in 0_u64..10) {
        let (mut shedder, route) = (LoadShedder::default(), route("r"));
        let now = record_delays(&mut shedder, &route, 3 * TARGET_MS, Timestamp::ZERO, seconds);
        let first = shedder.admit(&route, draw, now);
        prop_assert_eq!(shedder.admit(&route, draw, now), first);
        let later = record_delays(&mut shedder, &route, TARGET_MS / 4, now, 1);
        if first == ShedDecision::Admit {
            prop_assert_eq!(shedder.admit(&route, draw, later), ShedDecision::Admit);
        }
    }
}

#[test]
fn removed_routes_are_forgotten() {
    let (mut shedder, removed, stays) = (LoadShedder::default(), route("gone"), route("stays"));
    let now = record_delays(&mut shedder, &removed, 3 * TARGET_MS, Timestamp::ZERO, 10);
    let now = record_delays(&mut shedder, &stays, 3 * TARGET_MS, now, 10);
    let configuration = Configuration {
        routes: vec![stays.clone()],
        ..Configuration::default()
    };
    shedder.keep_only(&configuration);
    assert_eq!(admitted_programs(&mut shedder, &removed, now), 1_000);
    assert!(admitted_programs(&mut shedder, &stays, now) < 1_000);
}
