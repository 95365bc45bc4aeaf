//! Fair shares of a capacity that is less than the demand.

mod engine;
mod fleet;

use fleet::{DIGEST, DRAFT, Policy, ProgramEnd, ProgramRequest, Zone, arrivals, merge};
use luglink_scheduling::{Demand, TenantDemands, max_min_shares};
use luglink_types::{TenantName, Timestamp};
use proptest::prelude::*;

const TENANTS: usize = 87;
const HOT: usize = 7;
const HOT_FROM_MS: u64 = 10_000;
const HOT_TO_MS: u64 = 30_000;
const RUN_MS: u64 = 34_000;

/// Load, relative to the normal one, at which the engines are almost fully used.
const NEARLY_FULL_FACTOR: f64 = 2.0;

/// Load of many tenants, one of which sends `factor` times its normal load for some time.
fn workload(factor: f64, seed: u64) -> Vec<ProgramRequest> {
    let (drafts, digests) = (17.5 * NEARLY_FULL_FACTOR, 9.5 * NEARLY_FULL_FACTOR);
    let mut normal = merge(vec![
        arrivals(&DRAFT, drafts, 0, RUN_MS, seed),
        arrivals(&DIGEST, digests, 0, RUN_MS, seed + 1),
    ]);
    for (position, requested) in normal.iter_mut().enumerate() {
        requested.tenant = Some(position * 31 % TENANTS);
    }
    let more = (factor - 1.0) / TENANTS as f64;
    let mut hot_tenant = Vec::new();
    if more > 0.0 {
        hot_tenant = merge(vec![
            arrivals(&DRAFT, drafts * more, HOT_FROM_MS, HOT_TO_MS, seed + 2),
            arrivals(&DIGEST, digests * more, HOT_FROM_MS, HOT_TO_MS, seed + 3),
        ]);
    }
    for requested in &mut hot_tenant {
        requested.tenant = Some(HOT);
    }
    merge(vec![normal, hot_tenant])
}

fn is_other(requested: &ProgramRequest) -> bool {
    requested.tenant != Some(HOT) && (HOT_FROM_MS..HOT_TO_MS).contains(&requested.at)
}

/// Returns the mean share of the other tenants' programs that end in time, over several seeds.
fn served(policy: Policy, factor: f64) -> f64 {
    let seeds = [1, 11, 21];
    let shares = seeds.map(|seed| {
        let requested = workload(factor, seed);
        let outcome = Zone::new(policy).run(&requested);
        outcome.share(&requested, ProgramEnd::InTime, is_other)
    });
    let served = shares.iter().sum::<f64>() / seeds.len() as f64;
    println!("{policy:?} at {factor}: {served:.3} of {shares:.3?}");
    served
}

#[test]
fn a_tenant_at_twelve_times_its_load_does_not_harm_others() {
    let normal_load = served(Policy::FairShares, 1.0);
    let high_load = served(Policy::FairShares, 12.0);
    assert!(
        high_load >= normal_load - 0.02,
        "{high_load} of {normal_load}"
    );
}

#[test]
fn without_fair_shares_other_tenants_lose() {
    let normal_load = served(Policy::WorkingSet, 1.0);
    let high_load = served(Policy::WorkingSet, 12.0);
    assert!(
        high_load < normal_load - 0.02,
        "{high_load} of {normal_load}"
    );
}

#[test]
fn the_largest_demand_is_reduced_first() {
    let mut tenants = TenantDemands::default();
    let (large, small) = (TenantName::from("large"), TenantName::from("small"));
    let now = Timestamp::from_millis(1_000);
    tenants.note(Some(&large), 90.0, now);
    tenants.note(Some(&small), 10.0, now);
    tenants.note(None, 20.0, now);
    assert_eq!(tenants.served_share(Some(&small), 0.5, now), 1.0);
    assert_eq!(tenants.served_share(None, 0.5, now), 1.0);
    let share = tenants.served_share(Some(&large), 0.5, now);
    assert!((share - 30.0 / 90.0).abs() < 1e-9, "{share}");
    // Each tenant gets its demand while there is capacity.
    assert_eq!(tenants.served_share(Some(&large), 1.0, now), 1.0);
}

#[test]
fn tracked_tenants_are_bounded_and_the_largest_stay() {
    let mut tenants = TenantDemands::default();
    let now = Timestamp::from_millis(1_000);
    let large = TenantName::from("large");
    tenants.note(Some(&large), 1_000.0, now);
    for number in 0..5_000 {
        let name = TenantName::from(format!("t{number}").as_str());
        tenants.note(Some(&name), 1.0, now);
    }
    assert!(tenants.len() <= 1_024);
    assert!(tenants.served_share(Some(&large), 0.5, now) < 1.0);
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let demand = (0.0..100.0_f64, 0.1..10.0_f64);
    let demand = demand.prop_map(|(amount, weight)| Demand { amount, weight });
    prop::collection::vec(demand, 0..20)
}

/// Tolerance for rounding.
const TOLERANCE: f64 = 1e-6;

proptest! {
    #[test]
    fn shares_stay_within_demands_and_capacity(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        prop_assert_eq!(shares.len(), demands.len());
        let sum: f64 = shares.iter().sum();
        let asked: f64 = demands.iter().map(|demand| demand.amount).sum();
        prop_assert!(sum <= capacity + TOLERANCE);
        // Unused shares are lent: no capacity is left while a party asks for it.
        prop_assert!(sum >= capacity.min(asked) - TOLERANCE);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share >= 0.0 && *share <= demand.amount + TOLERANCE);
        }
    }

    /// A party that gets less than its demand gets no less for its weight than any other.
    #[test]
    fn shares_are_max_min_fair(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        for (share, demand) in shares.iter().zip(&demands) {
            if *share >= demand.amount - TOLERANCE {
                continue;
            }
            let level = share / demand.weight;
            for (other, of) in shares.iter().zip(&demands) {
                prop_assert!(other / of.weight <= level + TOLERANCE);
            }
        }
    }

    #[test]
    fn more_capacity_reduces_no_share(
        demands in demands(),
        capacity in 0.0..500.0_f64,
        more in 0.0..100.0_f64,
    ) {
        let before = max_min_shares(&demands, capacity);
        let after = max_min_shares(&demands, capacity + more);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!(*after >= before - TOLERANCE);
        }
    }

    /// A party that asks for more takes nothing from one that asks for its fair share or less.
    #[test]
    fn demands_within_the_fair_share_are_met(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        let weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for (share, demand) in shares.iter().zip(&demands) {
            if demand.amount <= capacity * demand.weight / weights {
                prop_assert!(*share >= demand.amount - TOLERANCE);
            }
        }
    }
}
