//! Admission of new programs by the memory and slots that running programs need.
//!
//! A program that pauses for a tool call leaves its cached prompt in engine memory. If more
//! programs run than the memory holds, paused programs lose their cached prompts, and reading these
//! again takes time from the turns that wait: overload reinforces itself, and few programs end in
//! time. New programs are therefore admitted only while the projected need of all running programs
//! fits. The projection counts a program from its start instead of reacting to late answers, and
//! recovers as soon as programs end. Programs that have started are not checked again.
//!
//! Each priority has a utilization limit, which is lower for less urgent priorities. Below the
//! limit is a range in which a falling share of programs is admitted, so that gateways with the
//! same view do not all open and close at once. A program's draw decides whether it is part of that
//! share. The draw depends on the program's name and is the same at each gateway. Each refusal
//! lowers it, so that returning programs go before new ones.

use crate::program_table::LocalDemand;
use crate::shares::TenantDemands;
use luglink_edge::{Configuration, Route};
use luglink_types::{TenantName, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Maximum share of the engines' memory or slots that programs may need. Above it, differences
/// between replicas cause evictions at the fuller ones.
const MAX_UTILIZATION: f64 = 0.95;

/// Fullness, relative to the limit, above which some programs are refused.
const PARTIAL_ADMISSION_THRESHOLD: f64 = 0.9;

/// Share of the limit that is reserved for each more urgent priority.
const URGENT_RESERVE_RATIO: f64 = 0.17;

/// Maximum number of more urgent priorities with a reserve.
const MAX_URGENT_RESERVES: usize = 3;

/// Time for which a priority keeps its reserve after its last program.
const URGENT_RESERVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Share of the capacity that is withheld from tenants above their fair share, so that they are
/// refused before others.
const EXCESS_RESERVE_RATIO: f64 = 0.25;

/// A tenant exceeds its fair share if that share covers at most this part of its demand. A gateway
/// sees so few programs of each tenant that some ask for twice as much as others by chance.
const MAX_EXCESS_SERVED_RATIO: f64 = 0.5;

/// Sum of the fair shares, relative to the total demand, while capacity is short.
const SERVED_DEMAND_RATIO: f64 = 0.85;

/// Factor on a program's draw for each refusal. After one refusal, a program is admitted as soon as
/// a quarter of the new ones are.
const REFUSAL_DRAW_FACTOR: f64 = 0.25;

/// Time for which a refused program is remembered; longer than the retry delays that callers get.
const REFUSAL_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of refused programs that are remembered.
const MAX_REFUSED_PROGRAMS: usize = 8_192;

/// Minimum retry delay after a refusal: a round trip and some turns of other programs.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay relative to the caller's remaining time. A longer delay leaves too little
/// time to be served.
const MAX_RETRY_DELAY_RATIO: f64 = 1.0 / 3.0;

/// Age from which the zone's sum is stale.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Number of local programs at which the local estimate weighs as much as the zone's sum. The sum
/// lags by about a second; the error of the local count is its square root.
const EQUAL_WEIGHT_PROGRAMS: f64 = 256.0;

/// Capacity of the engines for the callers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Memory in tokens.
    pub tokens: f64,
    /// Number of requests served concurrently.
    pub slots: f64,
}

/// Requests in flight at all gateways of the zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRequests {
    /// Number of requests.
    pub requests: f64,
    /// Time since the sum was received.
    pub age: Duration,
}

/// Demand of the running programs of all gateways of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetDemand {
    /// Peak memory need in tokens from now until the programs end.
    pub peak_tokens: f64,
    /// Number of programs, including paused ones.
    pub active_programs: f64,
    /// Number of turns in flight.
    pub requests_in_flight: f64,
    /// Age of the oldest figure in the estimate.
    pub age: Duration,
}

impl FleetDemand {
    /// Estimates the demand of all `gateways` from the local demand and the requests of the zone.
    /// Without a fresh sum of the zone, the local demand is scaled by the number of gateways after
    /// its statistical error is subtracted, because avoiding wrong refusals takes precedence.
    /// `average` is the average of `local`.
    #[must_use]
    pub fn estimate(
        local: LocalDemand,
        average: LocalDemand,
        gateways: f64,
        zone: Option<ZoneRequests>,
    ) -> Self {
        if gateways <= 1.0 {
            return Self::from_demand(&local, Duration::ZERO);
        }
        let zone = zone.filter(|zone| zone.age < STALE_AFTER);
        let Some(zone) = zone.filter(|_| average.requests > 0.0) else {
            let lower_bound = (local.programs - 2.0 * local.programs.sqrt()).max(0.0);
            let share = lower_bound / local.programs.max(1.0);
            return Self::from_demand(&local.scaled(gateways * share), Duration::ZERO);
        };
        let local_weight = local.programs / (local.programs + EQUAL_WEIGHT_PROGRAMS);
        let zone_estimate = average.scaled(zone.requests / average.requests);
        let combined = zone_estimate.interpolate(&local.scaled(gateways), local_weight);
        Self::from_demand(&combined, zone.age)
    }

    fn from_demand(demand: &LocalDemand, age: Duration) -> Self {
        Self {
            peak_tokens: demand.peak(),
            active_programs: demand.programs,
            requests_in_flight: demand.requests,
            age,
        }
    }
}

/// Program that asks to start.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram<'request> {
    /// Hash of the program's name, the same on each attempt and at each gateway. Its upper half is
    /// the program's draw.
    pub admission_hash: u64,
    /// Route of the program.
    pub route: &'request Route,
    /// Tenant of the program.
    pub tenant: Option<&'request TenantName>,
    /// Length of the first prompt in tokens.
    pub prompt_tokens: u64,
    /// Remaining time of the caller.
    pub remaining: Duration,
    /// Typical time from a program's start to its end.
    pub lifetime: Duration,
    /// Random number from 0 to 1 that spreads the retries of programs that are refused together.
    pub spread: f64,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Memory of the engines.
    Memory,
    /// Slots of the engines.
    Slots,
    /// Fair share of the tenant.
    FairShare,
}

impl Shortage {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Slots => "slots",
            Self::FairShare => "fair_share",
        }
    }
}

/// Decision on whether a program may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Reason for the refusal; `None` if the program is admitted.
    pub refused_for: Option<Shortage>,
    /// Utilization relative to the limit of the priority; above 1 no program of the priority is
    /// admitted.
    pub fullness: f64,
    /// Share of the priority's programs that is admitted.
    pub share: f64,
    /// Share of the tenant's programs that is admitted.
    pub tenant_share: f64,
    /// Time after which a refused program should retry.
    pub retry_delay: Duration,
}

impl AdmissionDecision {
    /// Returns true if a smaller share is admitted of this tenant's programs than of others.
    #[must_use]
    pub fn is_above_fair_share(&self) -> bool {
        self.tenant_share < self.share
    }
}

/// Refusals of one program.
#[derive(Clone, Copy, Debug)]
struct RefusalRecord {
    count: i32,
    at: Timestamp,
}

/// Admission control for the new programs of one service.
#[derive(Clone, Debug, Default)]
pub struct ProgramAdmission {
    /// Time of the last program of each priority.
    last_seen: BTreeMap<u8, Timestamp>,
    refusals: HashMap<u64, RefusalRecord>,
    tenants: BTreeMap<u8, TenantDemands>,
}

impl ProgramAdmission {
    /// Decides whether a program may start. With `fair_shares`, tenants above their fair share are
    /// refused before others.
    pub fn admit(
        &mut self,
        new_program: &NewProgram<'_>,
        capacity: Capacity,
        demand: &FleetDemand,
        fair_shares: bool,
        now: Timestamp,
    ) -> AdmissionDecision {
        let priority = new_program.route.priority;
        self.last_seen.insert(priority, now);
        let limit = self.utilization_limit(priority, now);
        let memory = utilization(
            demand.peak_tokens,
            new_program.prompt_tokens as f64,
            capacity.tokens,
        );
        let slots = utilization(demand.requests_in_flight, 1.0, capacity.slots);
        let fullness = memory.max(slots) / limit;
        let share = admitted_share(fullness);
        let tenant_share = self.tenant_share(new_program, fullness, fair_shares, now);
        let unit_draw = unit_draw(new_program.admission_hash);
        let weighted_draw = unit_draw * self.draw_factor(new_program.admission_hash, now);
        // Earlier refusals give no precedence beyond the fair share.
        let is_admitted = if tenant_share < share {
            unit_draw < tenant_share
        } else {
            weighted_draw < tenant_share
        };
        let refused_for = match (is_admitted, weighted_draw < share) {
            (true, _) => None,
            (false, true) => Some(Shortage::FairShare),
            (false, false) if memory >= slots => Some(Shortage::Memory),
            (false, false) => Some(Shortage::Slots),
        };
        self.record_decision(new_program.admission_hash, is_admitted, now);
        AdmissionDecision {
            refused_for,
            fullness,
            share,
            tenant_share,
            retry_delay: retry_delay(new_program, fullness),
        }
    }

    /// Returns the maximum utilization for a priority, including everything in flight.
    fn utilization_limit(&self, priority: u8, now: Timestamp) -> f64 {
        let more_urgent = self.last_seen.range(..priority);
        let active = more_urgent.filter(|(_, seen)| now.since(**seen) < URGENT_RESERVE_TIMEOUT);
        let reserves = active.count().min(MAX_URGENT_RESERVES);
        MAX_UTILIZATION * (1.0 - URGENT_RESERVE_RATIO * reserves as f64)
    }

    fn tenant_share(
        &mut self,
        new_program: &NewProgram<'_>,
        fullness: f64,
        fair_shares: bool,
        now: Timestamp,
    ) -> f64 {
        let share = admitted_share(fullness);
        if !fair_shares {
            return share;
        }
        let tenants = self.tenants.entry(new_program.route.priority).or_default();
        tenants.note(
            new_program.tenant,
            new_program.prompt_tokens.max(1) as f64,
            now,
        );
        let reduced_share = admitted_share(fullness / (1.0 - EXCESS_RESERVE_RATIO));
        if reduced_share >= 1.0 {
            return 1.0;
        }
        let served_share = tenants.served_share(new_program.tenant, SERVED_DEMAND_RATIO, now);
        if served_share > MAX_EXCESS_SERVED_RATIO {
            return share;
        }
        share * served_share.max(reduced_share)
    }

    /// Returns the factor on a program's draw for its earlier refusals.
    fn draw_factor(&self, program: u64, now: Timestamp) -> f64 {
        let refused = self.refusals.get(&program);
        let refused = refused.filter(|refused| now.since(refused.at) < REFUSAL_RETENTION);
        let count = refused.map_or(0, |refused| refused.count);
        REFUSAL_DRAW_FACTOR.powi(count)
    }

    fn record_decision(&mut self, program: u64, is_admitted: bool, now: Timestamp) {
        if is_admitted {
            self.refusals.remove(&program);
            return;
        }
        if self.refusals.len() >= MAX_REFUSED_PROGRAMS {
            self.refusals
                .retain(|_, refused| now.since(refused.at) < REFUSAL_RETENTION);
        }
        if self.refusals.len() >= MAX_REFUSED_PROGRAMS && !self.refusals.contains_key(&program) {
            return;
        }
        let refused = self
            .refusals
            .entry(program)
            .or_insert(RefusalRecord { count: 0, at: now });
        refused.count += 1;
        refused.at = now;
    }

    /// Removes priorities that no configured route has.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let priorities: Vec<u8> = configuration
            .routes
            .iter()
            .map(|route| route.priority)
            .collect();
        self.last_seen
            .retain(|priority, _| priorities.contains(priority));
        self.tenants
            .retain(|priority, _| priorities.contains(priority));
    }
}

/// Returns the share of new programs that is admitted at a fullness.
fn admitted_share(fullness: f64) -> f64 {
    ((1.0 - fullness) / (1.0 - PARTIAL_ADMISSION_THRESHOLD)).clamp(0.0, 1.0)
}

/// Returns a program's draw as a number from 0 to below 1, taken from its upper half.
fn unit_draw(program: u64) -> f64 {
    (program >> 32) as f64 / 4_294_967_296.0
}

/// Returns the utilization with the new program included, or 0 if the capacity is unknown, which
/// leaves the decision to other checks.
fn utilization(in_flight: f64, added: f64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return 0.0;
    }
    (in_flight + added) / capacity
}

/// Returns the expected time until capacity is free. Each program ends within one lifetime, so that
/// the excess programs end within their share of a lifetime.
fn retry_delay(new_program: &NewProgram<'_>, fullness: f64) -> Duration {
    let excess =
        (1.0 - PARTIAL_ADMISSION_THRESHOLD / fullness.max(PARTIAL_ADMISSION_THRESHOLD)).max(0.0);
    let free_after = new_program.lifetime.mul_f64(excess);
    let delay = free_after
        .max(MIN_RETRY_DELAY)
        .mul_f64(0.5 + new_program.spread);
    delay.min(new_program.remaining.mul_f64(MAX_RETRY_DELAY_RATIO))
}
