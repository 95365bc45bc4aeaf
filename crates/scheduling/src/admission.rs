//! Which new programs are let in, by the memory and the slots that those under way need.
//!
//! Answers the load of more programs than the engines' memory holds. Programs that pause for
//! their tools then lose their cached prompts, and the turns that read them again take the time
//! of those that wait: overload feeds itself, and nearly nobody ends in time. So programs are let
//! in while what those under way need until they end fits. This leads, since it counts a program
//! from its beginning and not from when it makes others late, and it recovers as soon as programs
//! end. Programs that have begun are not asked.
//!
//! Each kind of request has a limit, lower the less urgent it is, and below the limit a range in
//! which a falling share of its programs is let in, so that many gateways with the same view do
//! not all open and close at once. A program's place in that share is drawn from its name, the
//! same at each gateway; it falls with each refusal, so that who comes back goes before new ones.

use crate::program_table::OwnDemand;
use crate::shares::TenantDemands;
use luglink_edge::{Configuration, Route};
use luglink_types::{TenantName, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Share of the engines' memory that programs may need: above it, differences between replicas
/// make prompts give way at the fuller ones.
const LIMIT: f64 = 0.95;

/// Share of the limit from which some programs are refused.
const SHORT_FROM: f64 = 0.9;

/// Share of the limit that is kept for each more urgent kind of request.
const KEPT_FOR_URGENT: f64 = 0.17;

/// Most kinds for which some is kept.
const MOST_URGENT_KINDS: usize = 3;

/// Time for which room is kept for a kind after its last program.
const URGENT_MEMORY: Duration = Duration::from_secs(10);

/// Share of the room that tenants do not get for what they ask beyond their fair share, so that
/// they are refused before the others are.
const KEPT_FROM_EXCESS: f64 = 0.25;

/// Share of its demand from which a tenant's fair share is near enough to it: a gateway sees so few
/// programs of a tenant that chance makes some ask for twice as much as others.
const EXCESS_SHARE: f64 = 0.5;

/// Share of what all ask for to which the fair shares add up while room is short.
const SERVED_WHEN_SHORT: f64 = 0.85;

/// What is left of a program's place after each refusal: one that was refused once is let in
/// while a quarter of the new ones are.
const PLACE_AFTER_REFUSAL: f64 = 0.25;

/// Time for which a refused program is remembered: longer than callers are told to wait.
const REFUSED_MEMORY: Duration = Duration::from_secs(10);

/// Most refused programs that are remembered.
const MOST_REFUSED: usize = 8_192;

/// Shortest pause after a refusal: a round trip and some turns of others.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a refusal, in shares of the time that the caller has left: a later one
/// would leave too little to be served in.
const LONGEST_PAUSE_SHARE: f64 = 1.0 / 3.0;

/// Age from which the sum of the zone says nothing of the present.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Programs of this gateway from which its own count weighs as much as the sum of its zone: the
/// sum is late by about a second, the own count is off by its square root.
const EVEN_TRUST: f64 = 256.0;

/// The engines' room for the callers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Tokens of memory.
    pub tokens: f64,
    /// Requests that are worked on at once.
    pub slots: f64,
}

/// Requests that all gateways of the zone have under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRequests {
    /// How many.
    pub requests: f64,
    /// Time since the sum was told.
    pub age: Duration,
}

/// What the programs under way of all gateways of a zone need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetDemand {
    /// Tokens that they need in memory at once from now until they end.
    pub peak_tokens: f64,
    /// Programs, those that pause included.
    pub active_programs: f64,
    /// Their turns under way.
    pub requests_in_flight: f64,
    /// Age of the oldest figure in it.
    pub age: Duration,
}

impl FleetDemand {
    /// Estimates it from what one of `gateways` sees itself and from the requests of all of them.
    /// Without a sum that is fresh the own figures are scaled, after taking their chance error
    /// off: to refuse nobody by mistake goes before.
    /// `usual` is the average of `own`.
    #[must_use]
    pub fn estimate(
        own: OwnDemand,
        usual: OwnDemand,
        gateways: f64,
        zone: Option<ZoneRequests>,
    ) -> Self {
        if gateways <= 1.0 {
            return Self::of(&own, Duration::ZERO);
        }
        let zone = zone.filter(|zone| zone.age < STALE_AFTER);
        let Some(zone) = zone.filter(|_| usual.requests > 0.0) else {
            let certain = (own.programs - 2.0 * own.programs.sqrt()).max(0.0);
            let share = certain / own.programs.max(1.0);
            return Self::of(&own.times(gateways * share), Duration::ZERO);
        };
        let trust = own.programs / (own.programs + EVEN_TRUST);
        let by_zone = usual.times(zone.requests / usual.requests);
        let together = by_zone.towards(&own.times(gateways), trust);
        Self::of(&together, zone.age)
    }

    fn of(demand: &OwnDemand, age: Duration) -> Self {
        Self {
            peak_tokens: demand.peak(),
            active_programs: demand.programs,
            requests_in_flight: demand.requests,
            age,
        }
    }
}

/// A program that has not begun.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram<'request> {
    /// Stands for the program, the same on each try and at each gateway.
    pub admission_hash: u64,
    /// Its route.
    pub route: &'request Route,
    /// For whom it comes.
    pub tenant: Option<&'request TenantName>,
    /// Tokens of its first prompt.
    pub prompt_tokens: u64,
    /// Time that its caller has left.
    pub remaining: Duration,
    /// Usual time from a program's beginning to its end.
    pub lifetime: Duration,
    /// From 0 to 1; keeps those that are refused together from coming back together.
    pub spread: f64,
}

/// Why a program is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The engines' memory.
    Memory,
    /// The engines' slots.
    Slots,
    /// Its tenant's fair share of either.
    FairShare,
}

impl Shortage {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Slots => "slots",
            Self::FairShare => "fair_share",
        }
    }
}

/// Whether a program may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// What is too short, when it may not.
    pub refused_for: Option<Shortage>,
    /// How full its kind's room is; above 1 nobody of the kind is let in.
    pub fullness: f64,
    /// Share of its kind that is let in.
    pub share: f64,
    /// Share of its tenant's programs that is let in.
    pub tenant_share: f64,
    /// When it may come back, if it is refused.
    pub retry_delay: Duration,
}

impl AdmissionDecision {
    /// Whether fewer of its tenant's programs are let in than of others.
    #[must_use]
    pub fn is_above_fair_share(&self) -> bool {
        self.tenant_share < self.share
    }
}

/// A program that was refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    times: i32,
    at: Timestamp,
}

/// Lets new programs of a service in.
#[derive(Clone, Debug, Default)]
pub struct ProgramAdmission {
    /// When each kind was last asked for.
    kinds: BTreeMap<u8, Timestamp>,
    refused: HashMap<u64, Refused>,
    tenants: BTreeMap<u8, TenantDemands>,
}

impl ProgramAdmission {
    /// Whether a program may begin. With `fair_shares`, who asks for more than its fair share is
    /// refused before the others.
    pub fn admit(
        &mut self,
        newcomer: &NewProgram<'_>,
        room: Capacity,
        demand: &FleetDemand,
        fair_shares: bool,
        now: Timestamp,
    ) -> AdmissionDecision {
        let priority = newcomer.route.priority;
        self.kinds.insert(priority, now);
        let limit = self.limit(priority, now);
        let memory = fullness(
            demand.peak_tokens,
            newcomer.prompt_tokens as f64,
            room.tokens,
        );
        let slots = fullness(demand.requests_in_flight, 1.0, room.slots);
        let fullness = memory.max(slots) / limit;
        let share = share_at(fullness);
        let tenant_share = self.tenant_share(newcomer, fullness, fair_shares, now);
        let drawn = drawn(newcomer.admission_hash);
        let place = drawn * self.favour(newcomer.admission_hash, now);
        // Coming back helps nobody beyond a fair share.
        let is_admitted = if tenant_share < share {
            drawn < tenant_share
        } else {
            place < tenant_share
        };
        let refused_for = match (is_admitted, place < share) {
            (true, _) => None,
            (false, true) => Some(Shortage::FairShare),
            (false, false) if memory >= slots => Some(Shortage::Memory),
            (false, false) => Some(Shortage::Slots),
        };
        self.remember(newcomer.admission_hash, is_admitted, now);
        AdmissionDecision {
            refused_for,
            fullness,
            share,
            tenant_share,
            retry_delay: retry_delay(newcomer, fullness),
        }
    }

    /// Share of the room that a kind may need together with all that is under way.
    fn limit(&self, priority: u8, now: Timestamp) -> f64 {
        let more_urgent = self.kinds.range(..priority);
        let lately = more_urgent.filter(|(_, seen)| now.since(**seen) < URGENT_MEMORY);
        let kinds = lately.count().min(MOST_URGENT_KINDS);
        LIMIT * (1.0 - KEPT_FOR_URGENT * kinds as f64)
    }

    fn tenant_share(
        &mut self,
        newcomer: &NewProgram<'_>,
        fullness: f64,
        fair_shares: bool,
        now: Timestamp,
    ) -> f64 {
        let share = share_at(fullness);
        if !fair_shares {
            return share;
        }
        let tenants = self.tenants.entry(newcomer.route.priority).or_default();
        tenants.note(newcomer.tenant, newcomer.prompt_tokens.max(1) as f64, now);
        let early = share_at(fullness / (1.0 - KEPT_FROM_EXCESS));
        if early >= 1.0 {
            return 1.0;
        }
        let fair = tenants.served_share(newcomer.tenant, SERVED_WHEN_SHORT, now);
        if fair > EXCESS_SHARE {
            return share;
        }
        share * fair.max(early)
    }

    /// What is left of a program's place after its refusals.
    fn favour(&self, program: u64, now: Timestamp) -> f64 {
        let refused = self.refused.get(&program);
        let refused = refused.filter(|refused| now.since(refused.at) < REFUSED_MEMORY);
        let times = refused.map_or(0, |refused| refused.times);
        PLACE_AFTER_REFUSAL.powi(times)
    }

    fn remember(&mut self, program: u64, is_admitted: bool, now: Timestamp) {
        if is_admitted {
            self.refused.remove(&program);
            return;
        }
        if self.refused.len() >= MOST_REFUSED {
            self.refused
                .retain(|_, refused| now.since(refused.at) < REFUSED_MEMORY);
        }
        if self.refused.len() >= MOST_REFUSED && !self.refused.contains_key(&program) {
            return;
        }
        let refused = self
            .refused
            .entry(program)
            .or_insert(Refused { times: 0, at: now });
        refused.times += 1;
        refused.at = now;
    }

    /// Forgets kinds that are not in force any more.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let priorities: Vec<u8> = configuration
            .routes
            .iter()
            .map(|route| route.priority)
            .collect();
        self.kinds
            .retain(|priority, _| priorities.contains(priority));
        self.tenants
            .retain(|priority, _| priorities.contains(priority));
    }
}

/// Share of new programs that is let in at a fullness.
fn share_at(fullness: f64) -> f64 {
    ((1.0 - fullness) / (1.0 - SHORT_FROM)).clamp(0.0, 1.0)
}

/// The place that a program has drawn, from 0 to below 1: the upper half of the draw.
fn drawn(program: u64) -> f64 {
    (program >> 32) as f64 / 4_294_967_296.0
}

/// How full the room is with a newcomer in it; 0 where no room is known, since others decide then.
fn fullness(under_way: f64, own: f64, room: f64) -> f64 {
    if room <= 0.0 {
        return 0.0;
    }
    (under_way + own) / room
}

/// When room is expected: programs end at the rate of one lifetime, until those that are too many
/// have.
fn retry_delay(newcomer: &NewProgram<'_>, fullness: f64) -> Duration {
    let too_many = (1.0 - SHORT_FROM / fullness.max(SHORT_FROM)).max(0.0);
    let room_in = newcomer.lifetime.mul_f64(too_many);
    let spread = room_in.max(SHORTEST_PAUSE).mul_f64(0.5 + newcomer.spread);
    spread.min(newcomer.remaining.mul_f64(LONGEST_PAUSE_SHARE))
}
