//! A zone's gateways before the arithmetic engines: each lets programs in by what it knows.

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
/// Time between two sums of the zone's requests, and over which these are averaged.
const NEWS_MS: u64 = 250;
const AVERAGED_MS: f64 = 1_000.0;
/// Retries of a caller.
const RETRIES: u32 = 1;

/// A kind of program.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u8,
    pub turns: u32,
    pub prompt: u64,
    pub growth: u64,
    pub pause_ms: u64,
}

/// Three turns.
pub const DRAFT: Kind = Kind {
    name: "draft",
    priority: 0,
    turns: 3,
    prompt: 3_590,
    growth: 1_030,
    pause_ms: 390,
};
/// Eleven turns.
pub const DIGEST: Kind = Kind {
    name: "digest",
    priority: 2,
    turns: 11,
    prompt: 3_074,
    growth: 514,
    pause_ms: 350,
};

impl Kind {
    /// Its time on idle engines, in milliseconds.
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

/// A program that callers want.
#[derive(Clone)]
pub struct Wanted {
    pub at: u64,
    pub kind: Kind,
    pub tenant: Option<usize>,
}

/// What became of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    InTime,
    Late,
    Refused,
}

/// How programs are let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    All,
    WorkingSet,
    FairShares,
}

#[derive(Default)]
struct Gateway {
    programs: ProgramTable,
    intake: ProgramAdmission,
}

/// What came of a load. Each test file looks at some of it.
#[allow(dead_code)]
pub struct Outcome {
    pub ends: Vec<End>,
    pub read_again: u64,
    pub gave_way: u64,
    /// Refusals with their times, those of programs that were let in later included.
    pub refusals: Vec<u64>,
}

impl Outcome {
    pub fn share(&self, wanted: &[Wanted], end: End, which: impl Fn(&Wanted) -> bool) -> f64 {
        let chosen: Vec<usize> = (0..wanted.len()).filter(|id| which(&wanted[*id])).collect();
        let such = chosen.iter().filter(|id| self.ends[**id] == end).count();
        such as f64 / chosen.len().max(1) as f64
    }
}

pub struct Zone {
    way: Way,
    engines: Engines,
    gateways: Vec<Gateway>,
    average: f64,
    trend: ZoneTrend,
    draws: u64,
}

impl Zone {
    pub fn new(way: Way) -> Self {
        Self {
            way,
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

    /// Plays programs in the order of their times.
    pub fn play(mut self, wanted: &[Wanted]) -> Outcome {
        let last = wanted.last().map_or(0, |wanted| wanted.at);
        let mut ends = vec![End::Late; wanted.len()];
        let mut arrivals: Vec<(u64, usize, u32)> = Vec::new();
        let mut refusals = Vec::new();
        let mut next = 0;
        let mut began_turn = vec![0; wanted.len()];
        for now in (0..last + 30_000).step_by(STEP_MS as usize) {
            while next < wanted.len() && wanted[next].at <= now {
                arrivals.push((now, next, 0));
                next += 1;
            }
            let (due, rest) = arrivals.into_iter().partition(|(at, _, _)| *at <= now);
            arrivals = rest;
            let due: Vec<(u64, usize, u32)> = due;
            for (_, id, tries) in due {
                match self.ask(&wanted[id], id, now) {
                    None => self.engines.begin(work(id, &wanted[id].kind), now),
                    Some(retry_delay) => {
                        refusals.push(now);
                        ends[id] = End::Refused;
                        if tries < RETRIES {
                            arrivals.push((now + retry_delay.as_millis() as u64, id, tries + 1));
                        }
                    }
                }
            }
            for event in self.engines.step(now) {
                match event {
                    Event::TurnStarted(work) => {
                        began_turn[work.id] = now;
                        self.note_turn(&work, &wanted[work.id].kind, now);
                    }
                    Event::TurnEnds(work) => {
                        let taken = Duration::from_millis(now - began_turn[work.id]);
                        self.end_turn(&work, taken, now);
                        let Wanted { at, kind, .. } = &wanted[work.id];
                        let is_over = work.turns_left == 0;
                        let in_time = now <= at + 2 * kind.ideal_ms();
                        ends[work.id] = if is_over && in_time {
                            End::InTime
                        } else {
                            End::Late
                        };
                    }
                }
            }
            self.tell(now);
        }
        Outcome {
            ends,
            read_again: self.engines.read_again,
            gave_way: self.engines.gave_way,
            refusals,
        }
    }

    fn ask(&mut self, wanted: &Wanted, id: usize, now: u64) -> Option<Duration> {
        if self.way == Way::All {
            return None;
        }
        let spread = (self.draw() >> 32) as f64 / f64::from(u32::MAX);
        let position = (self.draw() % GATEWAYS as u64) as usize;
        let time = Timestamp::from_millis(now);
        let room = Capacity {
            tokens: self.engines.memory as f64,
            slots: self.engines.slots as f64,
        };
        let gateway = &mut self.gateways[position];
        let own = gateway.programs.demand("s", time);
        let usual = gateway.programs.average_demand("s");
        let demand = FleetDemand::estimate(own, usual, GATEWAYS as f64, self.trend.now(time));
        let route = wanted.kind.route();
        let tenant = wanted
            .tenant
            .map(|tenant| TenantName::from(format!("t{tenant}").as_str()));
        let newcomer = NewProgram {
            admission_hash: xxh3_64(&id.to_le_bytes()),
            route: &route,
            tenant: tenant.as_ref(),
            prompt_tokens: wanted.kind.prompt,
            remaining: Duration::from_secs(4),
            lifetime: gateway.programs.lifetime(&route.name),
            spread,
        };
        let fair_shares = self.way == Way::FairShares;
        let entry = gateway
            .intake
            .admit(&newcomer, room, &demand, fair_shares, time);
        entry.refused_for.map(|_| entry.retry_delay)
    }

    /// Each turn reaches any gateway.
    fn note_turn(&mut self, work: &Work, kind: &Kind, now: u64) {
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

    fn tell(&mut self, now: u64) {
        let weight = STEP_MS as f64 / AVERAGED_MS;
        self.average += weight * (self.engines.requests() as f64 - self.average);
        if now.is_multiple_of(NEWS_MS) {
            self.trend.take(self.average, Timestamp::from_millis(now));
        }
    }
}

fn work(id: usize, kind: &Kind) -> Work {
    Work {
        id,
        priority: kind.priority,
        prompt: kind.prompt,
        growth: kind.growth,
        turns_left: kind.turns,
        pause_ms: kind.pause_ms,
    }
}

/// Programs of a kind at random times of an even rate.
pub fn arrivals(kind: &Kind, per_s: f64, from_ms: u64, to_ms: u64, seed: u64) -> Vec<Wanted> {
    let mut at = from_ms as f64;
    let mut draws = seed;
    let mut wanted = Vec::new();
    loop {
        draws = xxh3_64(&draws.to_le_bytes());
        let uniform = ((draws >> 32) as f64 + 1.0) / 4_294_967_297.0;
        at -= uniform.ln() * 1_000.0 / per_s;
        if at >= to_ms as f64 {
            return wanted;
        }
        wanted.push(Wanted {
            at: at as u64,
            kind: kind.clone(),
            tenant: None,
        });
    }
}

/// Several loads as one.
pub fn together(loads: Vec<Vec<Wanted>>) -> Vec<Wanted> {
    let mut all: Vec<Wanted> = loads.into_iter().flatten().collect();
    all.sort_by_key(|wanted| wanted.at);
    all
}
