//! Max-min fair shares of a capacity that is less than the demand.
//!
//! If one tenant sends many times its normal load, the others, who ask for no more than before,
//! must get what they got before. With max-min fair shares, no tenant gets more than it asks for,
//! unused shares are lent to others, and a tenant can get more only from one that has less relative
//! to its weight.

use luglink_types::{TenantName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Time in which a recorded demand decays to about a third. A gateway of a large fleet gets a
/// program of each tenant only now and then; a shorter time would show no difference between
/// tenants.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Maximum number of tracked tenants. At the maximum, the half with the smallest demands is
/// removed.
const MAX_TENANTS: usize = 1_024;

/// Demand of one party.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Amount, in any unit.
    pub amount: f64,
    /// Relative share while several parties ask for more.
    pub weight: f64,
}

/// Returns the weighted max-min fair shares of a capacity, in the order of the demands.
#[must_use]
pub fn max_min_shares(demands: &[Demand], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let level = |demand: &Demand| demand.amount / demand.weight;
    order.sort_by(|left, right| level(&demands[*left]).total_cmp(&level(&demands[*right])));
    let mut left = capacity.max(0.0);
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut shares = vec![0.0; demands.len()];
    for position in order {
        let demand = demands[position];
        let fair = left * (demand.weight / weights).clamp(0.0, 1.0);
        let share = demand.amount.min(fair);
        shares[position] = share;
        left -= share;
        weights -= demand.weight;
    }
    shares
}

/// Recent demand of a tenant, as of a time.
#[derive(Clone, Copy, Debug)]
struct RecentDemand {
    amount: f64,
    at: Timestamp,
}

impl RecentDemand {
    fn at(self, now: Timestamp) -> f64 {
        self.amount * (-now.since(self.at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Recent demand of each tenant at this gateway.
#[derive(Clone, Debug, Default)]
pub struct TenantDemands {
    demands: HashMap<Option<TenantName>, RecentDemand>,
}

impl TenantDemands {
    /// Records work that a tenant asks for, served or not.
    pub fn note(&mut self, tenant: Option<&TenantName>, amount: f64, now: Timestamp) {
        if self.demands.len() >= MAX_TENANTS {
            self.remove_smallest(now);
        }
        let demand = self.demands.entry(tenant.cloned()).or_insert(RecentDemand {
            amount: 0.0,
            at: now,
        });
        demand.amount = demand.at(now) + amount;
        demand.at = now;
    }

    /// Returns the share of its demand that a tenant gets if the share `served` of the total demand
    /// can be met.
    #[must_use]
    pub fn served_share(&self, tenant: Option<&TenantName>, served: f64, now: Timestamp) -> f64 {
        let (tenants, demands): (Vec<_>, Vec<_>) = self
            .demands
            .iter()
            .map(|(name, demand)| (name.as_ref(), equal_weight_demand(demand.at(now))))
            .unzip();
        let all: f64 = demands.iter().map(|demand| demand.amount).sum();
        let shares = max_min_shares(&demands, served * all);
        let position = tenants.iter().position(|name| *name == tenant);
        match position.map(|position| (shares[position], demands[position].amount)) {
            Some((share, amount)) if amount > 0.0 => (share / amount).clamp(0.0, 1.0),
            _ => served,
        }
    }

    /// Returns the number of tracked tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Returns true if no tenant is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }

    fn remove_smallest(&mut self, now: Timestamp) {
        let mut amounts: Vec<f64> = self.demands.values().map(|demand| demand.at(now)).collect();
        amounts.sort_by(f64::total_cmp);
        let median = amounts.get(amounts.len() / 2).copied().unwrap_or(0.0);
        self.demands.retain(|_, demand| demand.at(now) > median);
    }
}

/// Gives every tenant the same weight.
fn equal_weight_demand(amount: f64) -> Demand {
    Demand {
        amount,
        weight: 1.0,
    }
}
