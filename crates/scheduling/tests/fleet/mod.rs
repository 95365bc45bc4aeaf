//! Model of a zone's gateways in front of modelled engines: each admits programs by its own
//! observations.

use crate::engine::{Engines, Event, STEP_MS, Work};
use luglink_edge::{Route, RouteKind, Target};
use luglink_scheduling::{
    Capacity, FleetDemand, NewProgram, ProgramAdmission, ProgramTable, TurnStarted, ZoneTrend,
};
use luglink_types::{TenantName, Timestamp};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const GATEWAYS: usize = 18;
const REPLICAS: u64 = 10;
/// Interval between two sums of the zone's requests, and time constant of their average.
const SUM_INTERVAL_MS: u64 = 250;
const TIME_CONSTANT_MS: f64 = 1_000.0;
/// Number of retries of a caller.
const RETRIES: u32 = 1;

/// Kind of program.
#[derive(Clone)]
pub struct ProgramKind {
    pub name: &'static str,
    pub priority: u8,
    pub turns: u32,
    pub prompt: u64,
    pub growth: u64,
    pub pause_ms: u64,
}

/// Program of three turns.
pub const DRAFT: ProgramKind = ProgramKind {
    name: "draft",
    priority: 0,
    turns: 3,
    prompt: 3_590,
    growth: 1_030,
    pause_ms: 390,
};
/// Program of eleven turns.
pub const DIGEST: ProgramKind = ProgramKind {
    name: "digest",
    priority: 2,
    turns: 11,
    prompt: 3_074,
    growth: 514,
    pause_ms: 350,
};

impl ProgramKind {
    /// Returns the program's time on idle engines, in milliseconds.
    pub fn ideal_ms(&self) -> u64 {
        u64::from(self.turns) * (300 + self.pause_ms)
    }

    fn route(&self) -> Route {
        Route {
            name: self.name.to_owned(),
            host: "a".to_owned(),
            path_prefix: "/x/".to_owned(),
            kind: RouteKind::Streaming,
            timeout_ms: 4_000,
            target_latency_ms: 500,
            priority: self.priority,
            targets: vec![Target {
                service: "s".to_owned(),
                weight: 1,
            }],
            max_attempts: 1,
            keeps_history: false,
            retention_ms: 60_000,
            resumable: true,
            public: false,
            gap_aim_ms: None,
        }
    }
}

/// Program that a caller wants to run.
#[derive(Clone)]
pub struct ProgramRequest {
    pub at: u64,
    pub kind: ProgramKind,
    pub tenant: Option<usize>,
}

/// End of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramEnd {
    InTime,
    Late,
    Refused,
}

/// Admission policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    AdmitAll,
    WorkingSet,
    FairShares,
}

#[derive(Default)]
struct Gateway {
    programs: ProgramTable,
    admission: ProgramAdmission,
}

/// Result of a load. Each test file uses a part of it.
#[allow(dead_code)]
pub struct Outcome {
    pub ends: Vec<ProgramEnd>,
    pub reread_tokens: u64,
    pub evicted_prompts: u64,
    /// Times of all refusals, including those of programs that were admitted later.
    pub refusals: Vec<u64>,
}

impl Outcome {
    pub fn share(
        &self,
        requested: &[ProgramRequest],
        end: ProgramEnd,
        which: impl Fn(&ProgramRequest) -> bool,
    ) -> f64 {
        let chosen: Vec<usize> = (0..requested.len())
            .filter(|id| which(&requested[*id]))
            .collect();
        let such = chosen.iter().filter(|id| self.ends[**id] == end).count();
        such as f64 / chosen.len().max(1) as f64
    }
}

pub struct Zone {
    policy: Policy,
    engines: Engines,
    gateways: Vec<Gateway>,
    average: f64,
    trend: ZoneTrend,
    draws: u64,
}

impl Zone {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            engines: Engines::new(REPLICAS),
            gateways: (0..GATEWAYS).map(|_| Gateway::default()).collect(),
            average: 0.0,
            trend: ZoneTrend::default(),
            draws: 7,
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxh3_64(&self.draws.to_le_bytes())
    }

    /// Runs programs in the order of their times.
    pub fn run(mut self, requested: &[ProgramRequest]) -> Outcome {
        let last = requested.last().map_or(0, |requested| requested.at);
        let mut ends = vec![ProgramEnd::Late; requested.len()];
        let mut arrivals: Vec<(u64, usize, u32)> = Vec::new();
        let mut refusals = Vec::new();
        let mut next = 0;
        let mut turn_started_at = vec![0; requested.len()];
        for now in (0..last + 30_000).step_by(STEP_MS as usize) {
            while next < requested.len() && requested[next].at <= now {
                arrivals.push((now, next, 0));
                next += 1;
            }
            let (due, rest) = arrivals.into_iter().partition(|(at, _, _)| *at <= now);
            arrivals = rest;
            let due: Vec<(u64, usize, u32)> = due;
            for (_, id, tries) in due {
                match self.ask(&requested[id], id, now) {
                    None => self.engines.begin(work(id, &requested[id].kind), now),
                    Some(retry_delay) => {
                        refusals.push(now);
                        ends[id] = ProgramEnd::Refused;
                        if tries < RETRIES {
                            arrivals.push((now + retry_delay.as_millis() as u64, id, tries + 1));
                        }
                    }
                }
            }
            for event in self.engines.step(now) {
                match event {
                    Event::TurnStarted(work) => {
                        turn_started_at[work.id] = now;
                        self.note_turn(&work, &requested[work.id].kind, now);
                    }
                    Event::TurnEnded(work) => {
                        let taken = Duration::from_millis(now - turn_started_at[work.id]);
                        self.end_turn(&work, taken, now);
                        let ProgramRequest { at, kind, .. } = &requested[work.id];
                        let is_over = work.turns_left == 0;
                        let in_time = now <= at + 2 * kind.ideal_ms();
                        ends[work.id] = if is_over && in_time {
                            ProgramEnd::InTime
                        } else {
                            ProgramEnd::Late
                        };
                    }
                }
            }
            self.share_sum(now);
        }
        Outcome {
            ends,
            reread_tokens: self.engines.reread_tokens,
            evicted_prompts: self.engines.evicted_prompts,
            refusals,
        }
    }

    fn ask(&mut self, requested: &ProgramRequest, id: usize, now: u64) -> Option<Duration> {
        if self.policy == Policy::AdmitAll {
            return None;
        }
        let spread = (self.draw() >> 32) as f64 / f64::from(u32::MAX);
        let position = (self.draw() % GATEWAYS as u64) as usize;
        let time = Timestamp::from_millis(now);
        let capacity = Capacity {
            tokens: self.engines.memory as f64,
            slots: self.engines.slots as f64,
        };
        let gateway = &mut self.gateways[position];
        let local = gateway.programs.demand("s", time);
        let average = gateway.programs.average_demand("s");
        let demand = FleetDemand::estimate(local, average, GATEWAYS as f64, self.trend.now(time));
        let route = requested.kind.route();
        let tenant = requested
            .tenant
            .map(|tenant| TenantName::from(format!("t{tenant}").as_str()));
        let new_program = NewProgram {
            admission_hash: xxh3_64(&id.to_le_bytes()),
            route: &route,
            tenant: tenant.as_ref(),
            prompt_tokens: requested.kind.prompt,
            remaining: Duration::from_secs(4),
            lifetime: gateway.programs.lifetime(&route.name),
            spread,
        };
        let fair_shares = self.policy == Policy::FairShares;
        let decision = gateway
            .admission
            .admit(&new_program, capacity, &demand, fair_shares, time);
        decision.refused_for.map(|_| decision.retry_delay)
    }

    /// Records the start of a turn at its gateway; each turn reaches any of them.
    fn note_turn(&mut self, work: &Work, kind: &ProgramKind, now: u64) {
        let position = self.turn_gateway(work.id, work.turns_left);
        let turn = TurnStarted {
            program: work.id as u64,
            route: &kind.route(),
            service: "s",
            prompt_tokens: work.prompt,
            is_first_turn: work.turns_left == kind.turns,
        };
        self.gateways[position]
            .programs
            .begin_turn(&turn, Timestamp::from_millis(now));
    }

    fn end_turn(&mut self, work: &Work, taken: Duration, now: u64) {
        let position = self.turn_gateway(work.id, work.turns_left + 1);
        let programs = &mut self.gateways[position].programs;
        programs.end_turn(work.id as u64, taken, Timestamp::from_millis(now));
    }

    fn turn_gateway(&self, id: usize, turns_left: u32) -> usize {
        (xxh3_64(
            &[id as u64, u64::from(turns_left)]
                .map(u64::to_le_bytes)
                .concat(),
        ) % GATEWAYS as u64) as usize
    }

    fn share_sum(&mut self, now: u64) {
        let weight = STEP_MS as f64 / TIME_CONSTANT_MS;
        self.average += weight * (self.engines.requests() as f64 - self.average);
        if now.is_multiple_of(SUM_INTERVAL_MS) {
            self.trend.take(self.average, Timestamp::from_millis(now));
        }
    }
}

fn work(id: usize, kind: &ProgramKind) -> Work {
    Work {
        id,
        priority: kind.priority,
        prompt: kind.prompt,
        growth: kind.growth,
        turns_left: kind.turns,
        pause_ms: kind.pause_ms,
    }
}

/// Returns programs of a kind at random times with a constant mean rate.
pub fn arrivals(
    kind: &ProgramKind,
    per_s: f64,
    from_ms: u64,
    to_ms: u64,
    seed: u64,
) -> Vec<ProgramRequest> {
    let mut at = from_ms as f64;
    let mut draws = seed;
    let mut requested = Vec::new();
    loop {
        draws = xxh3_64(&draws.to_le_bytes());
        let uniform = ((draws >> 32) as f64 + 1.0) / 4_294_967_297.0;
        at -= uniform.ln() * 1_000.0 / per_s;
        if at >= to_ms as f64 {
            return requested;
        }
        requested.push(ProgramRequest {
            at: at as u64,
            kind: kind.clone(),
            tenant: None,
        });
    }
}

/// Merges several loads.
pub fn merge(loads: Vec<Vec<ProgramRequest>>) -> Vec<ProgramRequest> {
    let mut all: Vec<ProgramRequest> = loads.into_iter().flatten().collect();
    all.sort_by_key(|requested| requested.at);
    all
}
