//! Admission of new programs at engines whose memory does not hold all of them.

mod engine;
mod fleet;

use engine::Engines;
use fleet::{DIGEST, DRAFT, Outcome, Policy, ProgramEnd, ProgramRequest, Zone, arrivals, merge};
use luglink_edge::{Route, RouteKind, Target};
use luglink_scheduling::{
    Capacity, FleetDemand, LocalDemand, NewProgram, ProgramAdmission, Shortage, ZoneRequests,
};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const BURST_FROM_MS: u64 = 15_000;
const BURST_TO_MS: u64 = 21_000;
const RUN_MS: u64 = 34_000;

/// Seeds for different arrivals of the same load.
const SEEDS: [u64; 3] = [1, 11, 21];

/// Digests at five times their rate for six seconds, at engines that have lost a fifth of their
/// replicas.
fn five_times_digests(seed: u64) -> Vec<ProgramRequest> {
    merge(vec![
        arrivals(&DRAFT, 17.5, 0, RUN_MS, seed),
        arrivals(&DIGEST, 9.5, 0, RUN_MS, seed + 1),
        arrivals(&DIGEST, 38.0, BURST_FROM_MS, BURST_TO_MS, seed + 2),
    ])
}

fn is_burst(requested: &ProgramRequest) -> bool {
    (BURST_FROM_MS..BURST_TO_MS).contains(&requested.at)
}

/// Returns the share of the burst's digests that the memory holds in addition to the drafts when
/// the youngest of them have started.
fn expected_share(offered: f64) -> f64 {
    let cycle_ms = 300.0 + DIGEST.pause_ms as f64;
    let seconds = (BURST_TO_MS - BURST_FROM_MS) as f64 / 1_000.0;
    let turns = seconds * 1_000.0 / cycle_ms;
    let size =
        DIGEST.prompt as f64 + DIGEST.growth as f64 * (f64::from(DIGEST.turns) - turns / 2.0);
    let drafts = 17.5 * DRAFT.ideal_ms() as f64 / 1_000.0 * (DRAFT.prompt + DRAFT.growth) as f64;
    let memory = Engines::new(10).memory as f64 - drafts;
    (memory / size / offered).min(1.0)
}

fn print_shares(name: &str, outcome: &Outcome, requested: &[ProgramRequest]) {
    for (kind, priority) in [("drafts", 0), ("digests", 2)] {
        let which =
            |requested: &ProgramRequest| is_burst(requested) && requested.kind.priority == priority;
        let share = |end| outcome.share(requested, end, which);
        println!(
            "{name} {kind}: in time {:.3}, late {:.3}, refused {:.3}; {} tokens read again, {} prompts evicted",
            share(ProgramEnd::InTime),
            share(ProgramEnd::Late),
            share(ProgramEnd::Refused),
            outcome.reread_tokens,
            outcome.evicted_prompts,
        );
    }
}

#[test]
fn excess_programs_do_not_harm_those_that_fit_in_memory() {
    for seed in SEEDS {
        let requested = five_times_digests(seed);
        let unlimited = Zone::new(Policy::AdmitAll).run(&requested);
        let limited = Zone::new(Policy::WorkingSet).run(&requested);
        print_shares("unlimited", &unlimited, &requested);
        print_shares("limited", &limited, &requested);
        let digests =
            |requested: &ProgramRequest| is_burst(requested) && requested.kind.priority == 2;
        let drafts =
            |requested: &ProgramRequest| is_burst(requested) && requested.kind.priority == 0;
        let offered = requested
            .iter()
            .filter(|requested| digests(requested))
            .count() as f64;
        let expected = expected_share(offered);
        println!("expected share {expected:.3}");
        // Without admission control, prompts are evicted and few programs end in time.
        assert!(unlimited.evicted_prompts as f64 > offered);
        assert!(unlimited.share(&requested, ProgramEnd::InTime, digests) < 0.5 * expected);
        let in_time = limited.share(&requested, ProgramEnd::InTime, digests);
        assert!(in_time >= 0.9 * expected, "{seed}: {in_time} of {expected}");
        let in_time = limited.share(&requested, ProgramEnd::InTime, drafts);
        assert!(in_time >= 0.9, "{seed}: {in_time}");
        let evicted_prompts = limited.evicted_prompts as f64;
        assert!(
            evicted_prompts < 0.02 * offered,
            "{seed}: {evicted_prompts}"
        );
    }
}

#[test]
fn admission_recovers_within_two_seconds_after_a_burst() {
    for seed in SEEDS {
        let requested = five_times_digests(seed);
        let limited = Zone::new(Policy::WorkingSet).run(&requested);
        assert!(!limited.refusals.is_empty());
        let recovered = BURST_TO_MS + 2_000;
        let later = |requested: &ProgramRequest| requested.at > recovered;
        assert_eq!(limited.share(&requested, ProgramEnd::Refused, later), 0.0);
        let in_time = limited.share(&requested, ProgramEnd::InTime, later);
        assert!(in_time >= 0.98, "{seed}: {in_time}");
        let asked = requested
            .iter()
            .filter(|requested| later(requested))
            .count();
        let refusals = limited
            .refusals
            .iter()
            .filter(|at| **at > recovered)
            .count();
        assert!(refusals * 50 <= asked, "{seed}: {refusals} of {asked}");
    }
}

#[test]
fn no_program_is_refused_without_a_burst() {
    let requested = merge(vec![
        arrivals(&DRAFT, 17.5, 0, RUN_MS, 1),
        arrivals(&DIGEST, 9.5, 0, RUN_MS, 2),
    ]);
    let limited = Zone::new(Policy::FairShares).run(&requested);
    assert_eq!(limited.refusals.len(), 0);
}

#[test]
fn urgent_programs_are_never_refused_more_often() {
    for factor in [1.0, 4.0, 8.0] {
        let requested = merge(vec![
            arrivals(&DRAFT, 17.5 * factor, 0, 20_000, 4),
            arrivals(&DIGEST, 38.0, 0, 20_000, 5),
        ]);
        let limited = Zone::new(Policy::FairShares).run(&requested);
        let refused = |priority: u8| {
            limited.share(&requested, ProgramEnd::Refused, |requested| {
                requested.kind.priority == priority
            })
        };
        assert!(
            refused(0) <= refused(2),
            "{factor}: {} {}",
            refused(0),
            refused(2)
        );
    }
}

const SERVICE_CAPACITY: Capacity = Capacity {
    tokens: 100_000.0,
    slots: 100.0,
};

fn route(priority: u8) -> Route {
    Route {
        name: format!("route-{priority}"),
        host: "a".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 4_000,
        target_latency_ms: 200,
        priority,
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

fn new_program(route: &Route, unit_draw: f64) -> NewProgram<'_> {
    NewProgram {
        admission_hash: ((unit_draw * 4_294_967_296.0) as u64) << 32,
        route,
        tenant: None,
        prompt_tokens: 1_000,
        remaining: Duration::from_secs(3),
        lifetime: Duration::from_secs(5),
        spread: 0.5,
    }
}

fn demand(tokens: f64, requests: f64) -> FleetDemand {
    FleetDemand {
        peak_tokens: tokens,
        active_programs: tokens / 1_000.0,
        requests_in_flight: requests,
        age: Duration::ZERO,
    }
}

#[test]
fn refusals_name_the_shortage() {
    let route = route(1);
    let mut admission = ProgramAdmission::default();
    let mut refused_for = |tokens: f64, requests: f64| {
        let demand = demand(tokens, requests);
        let new_program = new_program(&route, 0.5);
        let decision = admission.admit(
            &new_program,
            SERVICE_CAPACITY,
            &demand,
            true,
            Timestamp::ZERO,
        );
        decision.refused_for
    };
    assert_eq!(refused_for(10_000.0, 10.0), None);
    assert_eq!(refused_for(120_000.0, 10.0), Some(Shortage::Memory));
    assert_eq!(refused_for(10_000.0, 120.0), Some(Shortage::Slots));
}

#[test]
fn programs_are_admitted_while_the_capacity_is_unknown() {
    let route = route(1);
    let mut admission = ProgramAdmission::default();
    let new_program = new_program(&route, 0.99);
    let demand = demand(1e9, 1e9);
    let decision = admission.admit(
        &new_program,
        Capacity::default(),
        &demand,
        true,
        Timestamp::ZERO,
    );
    assert_eq!(decision.refused_for, None);
}

#[test]
fn retried_programs_precede_new_ones() {
    let route = route(1);
    let mut admission = ProgramAdmission::default();
    // Short of memory, but not full.
    let demand = demand(89_000.0, 10.0);
    let mut ask = |unit_draw: f64, at: u64| {
        let new_program = new_program(&route, unit_draw);
        let now = Timestamp::from_millis(at);
        admission.admit(&new_program, SERVICE_CAPACITY, &demand, false, now)
    };
    let first = ask(0.8, 0);
    assert!((0.25..0.7).contains(&first.share), "{}", first.share);
    assert!(first.refused_for.is_some());
    assert_eq!(ask(0.8, 500).refused_for, None);
    // A new program with a similar draw is still refused.
    assert!(ask(0.801, 600).refused_for.is_some());
}

#[test]
fn a_stale_sum_causes_no_refusals() {
    let mut own = LocalDemand {
        programs: 4.0,
        requests: 2.0,
        ..LocalDemand::default()
    };
    own.tokens[0] = 4_000.0;
    let zone = |age_ms| {
        Some(ZoneRequests {
            requests: 20.0,
            age: Duration::from_millis(age_ms),
        })
    };
    let fresh = FleetDemand::estimate(own, own, 100.0, zone(100));
    let old = FleetDemand::estimate(own, own, 100.0, zone(2_500));
    assert!(fresh.peak_tokens >= 40_000.0, "{fresh:?}");
    assert_eq!(old.peak_tokens, 0.0);
    let alone = FleetDemand::estimate(own, own, 1.0, None);
    assert_eq!(alone.peak_tokens, 4_000.0);
}

proptest! {
    /// Under the same load, an admitted program would be admitted at a more urgent priority too.
    #[test]
    fn more_urgent_programs_get_at_least_the_same_share(
        tokens in 0.0..150_000.0_f64,
        requests in 0.0..150.0_f64,
        unit_draw in 0.0..0.999_f64,
    ) {
        let (urgent, patient) = (route(0), route(2));
        let mut admission = ProgramAdmission::default();
        let demand = demand(tokens, requests);
        let mut ask = |route: &Route| {
            let new_program = new_program(route, unit_draw);
            admission.admit(&new_program, SERVICE_CAPACITY, &demand, false, Timestamp::ZERO).share
        };
        let urgent = ask(&urgent);
        let patient = ask(&patient);
        prop_assert!(urgent >= patient);
    }

    /// The retry delay is at most a third of the caller's remaining time.
    #[test]
    fn retry_delays_are_positive_and_bounded(
        tokens in 100_000.0..1_000_000.0_f64,
        left_ms in 1_u64..10_000,
        spread in 0.0..1.0_f64,
    ) {
        let route = route(1);
        let mut admission = ProgramAdmission::default();
        let remaining = Duration::from_millis(left_ms);
        let new_program = NewProgram { remaining, spread, ..new_program(&route, 0.5) };
        let demand = demand(tokens, 10.0);
        let decision = admission.admit(&new_program, SERVICE_CAPACITY, &demand, false, Timestamp::ZERO);
        prop_assert!(decision.refused_for.is_some());
        prop_assert!(decision.retry_delay <= remaining.mul_f64(1.0 / 3.0));
        prop_assert!(decision.retry_delay > Duration::ZERO);
    }
}
