//! Fair shares of what is there while it is less than what is asked for.
//!
//! Answers the load of one tenant that sends many times its usual: the others, who ask for no
//! more than before, must get what they got before. Shares are max-min fair: nobody gets more
//! than asked for, what one does not use is lent to the others, and nobody can get more except
//! from somebody who has less for their weight.

use luglink_types::{TenantName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Time in which what a tenant asked for is forgotten but for a third. A gateway of a large fleet
/// gets a program of a tenant now and then only; a shorter time would see no difference between
/// tenants.
const MEMORY: Duration = Duration::from_secs(30);

/// Most tenants that are remembered; beyond them those that asked for least are forgotten.
const MOST_TENANTS: usize = 1_024;

/// What somebody asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// How much, in any unit.
    pub amount: f64,
    /// How much one gets for another one's 1 while both ask for more.
    pub weight: f64,
}

/// The weighted max-min fair shares of a capacity, in the order of the demands.
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

/// What a tenant asked for lately, as of a time.
#[derive(Clone, Copy, Debug)]
struct Asked {
    amount: f64,
    at: Timestamp,
}

impl Asked {
    fn at(self, now: Timestamp) -> f64 {
        self.amount * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// What each tenant asked of this gateway lately.
#[derive(Clone, Debug, Default)]
pub struct TenantDemands {
    asked: HashMap<Option<TenantName>, Asked>,
}

impl TenantDemands {
    /// Notes work that a tenant asks for, served or not.
    pub fn note(&mut self, tenant: Option<&TenantName>, amount: f64, now: Timestamp) {
        if self.asked.len() >= MOST_TENANTS {
            self.forget_least(now);
        }
        let asked = self.asked.entry(tenant.cloned()).or_insert(Asked {
            amount: 0.0,
            at: now,
        });
        asked.amount = asked.at(now) + amount;
        asked.at = now;
    }

    /// The share of its demand that a tenant gets when `served` of all that is asked for can be.
    #[must_use]
    pub fn served_share(&self, tenant: Option<&TenantName>, served: f64, now: Timestamp) -> f64 {
        let (tenants, demands): (Vec<_>, Vec<_>) = self
            .asked
            .iter()
            .map(|(name, asked)| (name.as_ref(), equal(asked.at(now))))
            .unzip();
        let all: f64 = demands.iter().map(|demand| demand.amount).sum();
        let shares = max_min_shares(&demands, served * all);
        let position = tenants.iter().position(|name| *name == tenant);
        match position.map(|position| (shares[position], demands[position].amount)) {
            Some((share, amount)) if amount > 0.0 => (share / amount).clamp(0.0, 1.0),
            _ => served,
        }
    }

    /// Tenants that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.asked.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    fn forget_least(&mut self, now: Timestamp) {
        let mut amounts: Vec<f64> = self.asked.values().map(|asked| asked.at(now)).collect();
        amounts.sort_by(f64::total_cmp);
        let median = amounts.get(amounts.len() / 2).copied().unwrap_or(0.0);
        self.asked.retain(|_, asked| asked.at(now) > median);
    }
}

/// All tenants weigh the same.
fn equal(amount: f64) -> Demand {
    Demand {
        amount,
        weight: 1.0,
    }
}
