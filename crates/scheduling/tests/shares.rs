//! Fair shares of a capacity that is less than the demand.

mod engine;
mod fleet;

use fleet::{DIGEST, DRAFT, End, Wanted, Way, Zone, arrivals, together};
use luglink_scheduling::{Demand, TenantDemands, max_min_shares};
use luglink_types::{TenantName, Timestamp};
use proptest::prelude::*;

const TENANTS: usize = 87;
const HOT: usize = 7;
const HOT_FROM_MS: u64 = 10_000;
const HOT_TO_MS: u64 = 30_000;
const DAY_MS: u64 = 34_000;

/// Load, relative to the normal one, at which the engines are almost fully used.
const NEARLY_FULL: f64 = 2.0;

/// Load of many tenants, one of which sends `times` its normal load for some time.
fn day(times: f64, seed: u64) -> Vec<Wanted> {
    let (drafts, digests) = (17.5 * NEARLY_FULL, 9.5 * NEARLY_FULL);
    let mut usual = together(vec![
        arrivals(&DRAFT, drafts, 0, DAY_MS, seed),
        arrivals(&DIGEST, digests, 0, DAY_MS, seed + 1),
    ]);
    for (position, wanted) in usual.iter_mut().enumerate() {
        wanted.tenant = Some(position * 31 % TENANTS);
    }
    let more = (times - 1.0) / TENANTS as f64;
    let mut hot = Vec::new();
    if more > 0.0 {
        hot = together(vec![
            arrivals(&DRAFT, drafts * more, HOT_FROM_MS, HOT_TO_MS, seed + 2),
            arrivals(&DIGEST, digests * more, HOT_FROM_MS, HOT_TO_MS, seed + 3),
        ]);
    }
    for wanted in &mut hot {
        wanted.tenant = Some(HOT);
    }
    together(vec![usual, hot])
}

fn is_other(wanted: &Wanted) -> bool {
    wanted.tenant != Some(HOT) && (HOT_FROM_MS..HOT_TO_MS).contains(&wanted.at)
}

/// Returns the mean share of the other tenants' programs that end in time, over several seeds.
fn served(way: Way, times: f64) -> f64 {
    let seeds = [1, 11, 21];
    let shares = seeds.map(|seed| {
        let wanted = day(times, seed);
        let outcome = Zone::new(way).play(&wanted);
        outcome.share(&wanted, End::InTime, is_other)
    });
    let served = shares.iter().sum::<f64>() / seeds.len() as f64;
    println!("{way:?} at {times}: {served:.3} of {shares:.3?}");
    served
}

#[test]
fn a_tenant_at_twelve_times_does_not_cost_the_others() {
    let quiet = served(Way::FairShares, 1.0);
    let loud = served(Way::FairShares, 12.0);
    assert!(loud >= quiet - 0.02, "{loud} of {quiet}");
}

#[test]
fn without_shares_the_others_pay() {
    let quiet = served(Way::WorkingSet, 1.0);
    let loud = served(Way::WorkingSet, 12.0);
    assert!(loud < quiet - 0.02, "{loud} of {quiet}");
}

#[test]
fn who_asks_for_most_is_refused_first() {
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
    // Everyone gets its demand while there is capacity.
    assert_eq!(tenants.served_share(Some(&large), 1.0, now), 1.0);
}

#[test]
fn no_more_tenants_are_remembered_than_allowed_and_those_that_ask_for_most_stay() {
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
const SLACK: f64 = 1e-6;

proptest! {
    #[test]
    fn nobody_gets_more_than_asked_for_and_all_together_no_more_than_there_is(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        prop_assert_eq!(shares.len(), demands.len());
        let sum: f64 = shares.iter().sum();
        let asked: f64 = demands.iter().map(|demand| demand.amount).sum();
        prop_assert!(sum <= capacity + SLACK);
        // Unused shares are lent: no capacity is left while someone asks for it.
        prop_assert!(sum >= capacity.min(asked) - SLACK);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share >= 0.0 && *share <= demand.amount + SLACK);
        }
    }

    /// A party that gets less than its demand gets no less for its weight than any other.
    #[test]
    fn nobody_could_get_more_except_from_who_has_less(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        for (share, demand) in shares.iter().zip(&demands) {
            if *share >= demand.amount - SLACK {
                continue;
            }
            let level = share / demand.weight;
            for (other, of) in shares.iter().zip(&demands) {
                prop_assert!(other / of.weight <= level + SLACK);
            }
        }
    }

    #[test]
    fn more_capacity_takes_nothing_from_anybody(
        demands in demands(),
        capacity in 0.0..500.0_f64,
        more in 0.0..100.0_f64,
    ) {
        let before = max_min_shares(&demands, capacity);
        let after = max_min_shares(&demands, capacity + more);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!(*after >= before - SLACK);
        }
    }

    /// A party that asks for more takes nothing from one that asks for its fair share or less.
    #[test]
    fn who_asks_for_no_more_than_a_fair_share_gets_it(
        demands in demands(),
        capacity in 0.0..500.0_f64,
    ) {
        let shares = max_min_shares(&demands, capacity);
        let weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for (share, demand) in shares.iter().zip(&demands) {
            if demand.amount <= capacity * demand.weight / weights {
                prop_assert!(*share >= demand.amount - SLACK);
            }
        }
    }
}
