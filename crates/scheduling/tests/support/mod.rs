//! Replay of programs at engines of different speed.

mod engine;

use engine::{EVENTS, Engine, SLOTS, TICK_MS, TurnEvent};
use luglink_fleet::{
    Backend, BackendId, BackendList, GatewayLoad, Incarnation, ServiceLoad, StatsReport,
};
use luglink_scheduling::{Placement, Pool, RoutingRequest, SharedPart, Work, place, place_soonest};
use luglink_types::Timestamp;

pub const ENGINES: usize = 45;
/// Factor by which events of a slow engine take longer.
pub const SLOWNESS: f64 = 6.5;
const GATEWAYS: usize = 17;
const VIEW_INTERVAL_MS: u64 = 200;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Programs that start in a second, which makes 150 turns.
const PROGRAMS_PER_S: u64 = 25;
const TURNS: u32 = 6;
const TOOL_TIME_MS: u64 = 150;
const SHARED_TOKENS: u32 = 1_500;
const OWN_TOKENS: u32 = 1_000;
const NEW_TOKENS: u32 = 150;

/// Results of a replay.
#[derive(Default)]
pub struct ReplayStats {
    pub turn_ms: Vec<u64>,
    /// Sum over ticks of the requests at each engine.
    pub request_ticks: Vec<usize>,
    /// Turns that started, and how many of them at an engine that had been slow for a second.
    pub started: usize,
    pub started_at_slow: usize,
}

pub struct Run {
    pub until_ms: u64,
    pub by_finish: bool,
    pub seed: u64,
}

/// Returns the engine that is slow, another one for 6 s out of every 12, and the time since it
/// turned slow.
pub fn slow(now_ms: u64) -> Option<(usize, u64)> {
    let since_ms = (now_ms % 12_000).checked_sub(6_000)?;
    Some((now_ms as usize / 12_000 * 4 % ENGINES, since_ms))
}

pub fn speed(engine: usize) -> f64 {
    SPEEDS[engine % SPEEDS.len()]
}

pub fn id(engine: usize) -> BackendId {
    BackendId(format!("i-{engine:08x}"))
}

pub fn backends() -> Vec<Backend> {
    let backend = |engine| Backend {
        id: id(engine),
        service: "llm".to_owned(),
        address: ([10, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        slots: SLOTS,
        draining: false,
        incarnation: Incarnation::UNKNOWN,
        version: None,
    };
    (0..ENGINES).map(backend).collect()
}

pub fn work(part: u64) -> Work {
    Work {
        prompt_tokens: SHARED_TOKENS + OWN_TOKENS,
        new_tokens: NEW_TOKENS,
        shared: Some(SharedPart {
            id: part,
            tokens: SHARED_TOKENS,
        }),
        events: f64::from(EVENTS),
        tokens_per_event: 10,
    }
}

pub fn pool(by_finish: bool) -> Pool {
    let mut pool = Pool::new("a");
    pool.apply(&BackendList::default().changes_to(&BackendList::new(backends())));
    pool.set_expected_finish(by_finish);
    pool
}

pub fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

impl Run {
    /// Runs programs of several turns; each turn reaches a random gateway.
    pub fn run(&self) -> ReplayStats {
        let mut replay = Replay::new(self);
        for now_ms in (0..self.until_ms).step_by(TICK_MS as usize) {
            if now_ms % VIEW_INTERVAL_MS == 0 {
                replay.share_view(now_ms);
            }
            replay.begin_turns(now_ms);
            for engine in 0..ENGINES {
                replay.advance(engine, now_ms);
            }
        }
        replay.stats
    }
}

/// Turn that is due.
struct DueTurn {
    at_ms: u64,
    turns_left: u32,
    holder: Option<usize>,
}

struct Replay {
    pools: Vec<Pool>,
    engines: Vec<Engine>,
    due: Vec<DueTurn>,
    view: StatsReport,
    random: u64,
    stats: ReplayStats,
}

impl Replay {
    fn new(run: &Run) -> Self {
        Self {
            pools: (0..GATEWAYS).map(|_| pool(run.by_finish)).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            due: Vec::new(),
            view: StatsReport::default(),
            random: run.seed,
            stats: ReplayStats {
                request_ticks: vec![0; ENGINES],
                ..ReplayStats::default()
            },
        }
    }

    /// Gives the gateways the sum of the previous interval, and takes the current one.
    fn share_view(&mut self, now_ms: u64) {
        let now = at(now_ms);
        let load = zone_load(&self.engines);
        for pool in &mut self.pools {
            pool.follow_zone_load(&load, now);
            pool.set_zone_view(&self.view, now);
        }
        let reports: Vec<StatsReport> = self
            .pools
            .iter()
            .map(|pool| pool.replica_stats(now))
            .collect();
        self.view = StatsReport::sum(&reports);
    }

    fn begin_turns(&mut self, now_ms: u64) {
        let in_a_million = PROGRAMS_PER_S * TICK_MS * 1_000;
        if random(&mut self.random) % 1_000_000 < in_a_million {
            self.due.push(DueTurn {
                at_ms: now_ms,
                turns_left: TURNS,
                holder: None,
            });
        }
        let due = std::mem::take(&mut self.due);
        let (ready, later) = due.into_iter().partition(|due| due.at_ms <= now_ms);
        self.due = later;
        for due in ready {
            self.begin(&due, now_ms);
        }
    }

    fn begin(&mut self, due: &DueTurn, now_ms: u64) {
        let gateway = random(&mut self.random) as usize % GATEWAYS;
        let draw = random(&mut self.random);
        let mut work = work(draw % 4);
        let pool = &mut self.pools[gateway];
        let prompt_holder = match due.holder {
            Some(holder) => holder,
            None => {
                let prompt_holder = start_replica(pool, &self.engines, &work, draw, at(now_ms));
                work.new_tokens = OWN_TOKENS;
                prompt_holder
            }
        };
        let cached = id(prompt_holder);
        let request = RoutingRequest {
            service: "llm",
            cached_at: Some(&cached),
            draw,
            work: Some(work),
            tried: &[],
            origin: None,
        };
        let chosen = pool.choose(&request, |_| true, at(now_ms)).unwrap().backend;
        pool.begin(&chosen.id);
        let engine = engine_number(&chosen);
        self.stats.started += 1;
        let at_slow = |(slow, since_ms)| slow == engine && since_ms >= 1_000;
        self.stats.started_at_slow += usize::from(slow(now_ms).is_some_and(at_slow));
        let tokens_to_read = if engine == prompt_holder {
            work.new_tokens
        } else {
            work.prompt_tokens
        };
        self.engines[engine].push(now_ms, tokens_to_read, gateway, due.turns_left);
    }

    fn advance(&mut self, engine: usize, now_ms: u64) {
        self.stats.request_ticks[engine] += self.engines[engine].len();
        let is_slow = slow(now_ms).is_some_and(|(slow, _)| slow == engine);
        let pace = speed(engine) / if is_slow { SLOWNESS } else { 1.0 };
        let (id, now) = (id(engine), at(now_ms));
        for event in self.engines[engine].advance(pace, now_ms) {
            match event {
                TurnEvent::Event { gateway, pause } => {
                    self.pools[gateway].note_step(&id, pause, now)
                }
                TurnEvent::First { gateway, wait } => self.pools[gateway].succeeded(&id, wait),
                TurnEvent::Suspected { gateway } => self.pools[gateway].note_failure(&id, now),
                TurnEvent::Ended(turn) => {
                    self.pools[turn.gateway].end(&id);
                    self.stats.turn_ms.push(now_ms - turn.started_ms);
                    if turn.turns_left > 1 {
                        self.due.push(DueTurn {
                            at_ms: now_ms + TOOL_TIME_MS,
                            turns_left: turn.turns_left - 1,
                            holder: Some(engine),
                        });
                    }
                }
            }
        }
    }
}

fn at(now_ms: u64) -> Timestamp {
    Timestamp::from_millis(now_ms + 1)
}

fn engine_number(backend: &Backend) -> usize {
    let number = (0..ENGINES).find(|engine| id(*engine) == backend.id);
    number.unwrap()
}

fn zone_load(engines: &[Engine]) -> GatewayLoad {
    let in_flight: usize = engines.iter().map(Engine::len).sum();
    let service = ServiceLoad {
        service: "llm".to_owned(),
        in_flight_hundredths: in_flight as u32 * 100,
    };
    GatewayLoad {
        services: vec![service],
        ..GatewayLoad::default()
    }
}

/// Returns the engine at which a program starts, by the reports of two engines.
fn start_replica(pool: &Pool, engines: &[Engine], work: &Work, draw: u64, now: Timestamp) -> usize {
    let drawn = pool.candidates_by_finish("llm", draw, work, 2, now);
    let numbers: Vec<usize> = drawn.iter().map(engine_number).collect();
    let fullness: Vec<Option<f64>> = numbers
        .iter()
        .map(|engine| Some(engines[*engine].len() as f64 / f64::from(SLOTS)))
        .collect();
    let seconds: Vec<f64> = drawn
        .iter()
        .filter_map(|backend| Some(pool.expected_at(&backend.id, work, now)?.finish_seconds))
        .collect();
    let placement = if pool.uses_expected_finish(now) {
        place_soonest(&fullness, &seconds, 0.4, 9.0, 0.0)
    } else {
        place(&fullness, 9.0, 0.0)
    };
    match placement {
        Placement::At(position) => numbers[position],
        Placement::Refuse { .. } => numbers[0],
    }
}
