//! Uneven engines, in arithmetic: each gives the events of its requests at a pace that falls with
//! its batch, after it has read what it does not hold of their prompts.

use luglink_fleet::{Backend, BackendId, BackendList, GatewayLoad, ServiceLoad, Sights};
use luglink_scheduling::{Pool, SharedPart, Wish, Work, place, place_soonest};
use luglink_types::Timestamp;
use std::time::Duration;

pub const ENGINES: usize = 45;
const GATEWAYS: usize = 17;
/// Times that a slow engine's events take.
pub const SLOWNESS: f64 = 6.5;
const SLOTS: u32 = 6;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const TICK_MS: u64 = 5;
const LONE_PAUSE_MS: f64 = 45.0;
const EVENTS: u32 = 12;
const TURNS: u32 = 6;
const SHARED_TOKENS: u32 = 1_500;
const OWN_TOKENS: u32 = 1_000;
const NEW_TOKENS: u32 = 150;
/// Programs that begin in a second: 150 turns.
const PROGRAMS_PER_S: f64 = 25.0;

struct Turn {
    left: u32,
    gateway: usize,
    began_ms: u64,
    reading: f64,
    progress: f64,
    events: u32,
    event_at_ms: u64,
}

/// What happened.
#[derive(Default)]
pub struct Seen {
    pub turn_ms: Vec<u64>,
    /// Sum over ticks of the requests at each engine.
    pub occupied: Vec<f64>,
    /// Turns that began, and how many of them at an engine that had been slow for a second.
    pub began: usize,
    pub began_at_slow: usize,
}

pub struct Run {
    pub until_ms: u64,
    pub by_finish: bool,
    pub seed: u64,
}

/// The engine that is slow, another one for 6 s out of every 12, and for how long it has been.
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
    fn pause_ms(&self, engine: usize, running: usize, now_ms: u64) -> f64 {
        let is_slow = slow(now_ms).is_some_and(|(slow, _)| slow == engine);
        let slowness = if is_slow { SLOWNESS } else { 1.0 };
        let batch = 1.0 + running as f64 / f64::from(SLOTS);
        LONE_PAUSE_MS * batch * slowness / speed(engine)
    }

    pub fn play(&self) -> Seen {
        let mut seen = Seen {
            occupied: vec![0.0; ENGINES],
            ..Seen::default()
        };
        let mut pools: Vec<Pool> = (0..GATEWAYS).map(|_| pool(self.by_finish)).collect();
        let mut engines: Vec<Vec<Turn>> = (0..ENGINES).map(|_| Vec::new()).collect();
        let mut due: Vec<(u64, u32, Option<usize>)> = Vec::new();
        let mut view = Sights::default();
        let mut state = self.seed;
        for now_ms in (0..self.until_ms).step_by(TICK_MS as usize) {
            let now = Timestamp::from_millis(now_ms + 1);
            if now_ms % 200 == 0 {
                let load = zone_load(&engines);
                for pool in &mut pools {
                    pool.follow_zone_load(&load, now);
                    pool.take_view(&view, now);
                }
                let words: Vec<Sights> = pools.iter().map(|pool| pool.sights(now)).collect();
                view = Sights::sum(&words);
            }
            let arrives = PROGRAMS_PER_S * TICK_MS as f64 / 1_000.0;
            if (random(&mut state) % 1_000_000) as f64 / 1e6 < arrives {
                due.push((now_ms, TURNS, None));
            }
            let (ready, later) = due.into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
            due = later;
            for (_, left, holder) in ready {
                let gateway = random(&mut state) as usize % GATEWAYS;
                let draw = random(&mut state);
                let pool = &mut pools[gateway];
                let work = work(draw % 4);
                let place = holder.unwrap_or_else(|| first_place(pool, &engines, &work, draw, now));
                let work = if holder.is_none() {
                    Work {
                        new_tokens: OWN_TOKENS,
                        ..work
                    }
                } else {
                    work
                };
                let cached = id(place);
                let wish = Wish {
                    service: "llm",
                    cached_at: Some(&cached),
                    draw,
                    work: Some(work),
                    tried: &[],
                };
                let chosen = pool.choose(&wish, |_| true, now).unwrap().backend.id;
                let engine = (0..ENGINES).find(|engine| id(*engine) == chosen).unwrap();
                pool.begin(&chosen);
                let reading = if engine == place {
                    work.new_tokens
                } else {
                    work.prompt_tokens
                };
                seen.began += 1;
                let at_slow = |(slow, since_ms)| slow == engine && since_ms >= 1_000;
                seen.began_at_slow += usize::from(slow(now_ms).is_some_and(at_slow));
                engines[engine].push(Turn {
                    left,
                    gateway,
                    began_ms: now_ms,
                    reading: f64::from(reading),
                    progress: 0.0,
                    events: 0,
                    event_at_ms: now_ms,
                });
            }
            for (engine, turns) in engines.iter_mut().enumerate() {
                seen.occupied[engine] += turns.len() as f64;
                let running = turns.len().min(SLOTS as usize);
                let pause_ms = self.pause_ms(engine, running, now_ms);
                for turn in turns.iter_mut().take(running) {
                    if turn.reading > 0.0 {
                        turn.reading -= 250.0 * 10.0 * TICK_MS as f64 / pause_ms;
                        continue;
                    }
                    turn.progress += TICK_MS as f64 / pause_ms;
                    if turn.progress < 1.0 {
                        continue;
                    }
                    turn.progress -= 1.0;
                    let pause = Duration::from_millis(now_ms - turn.event_at_ms);
                    let pool = &mut pools[turn.gateway];
                    match turn.events {
                        0 => pool.succeeded(&id(engine), pause),
                        _ => pool.note_step(&id(engine), pause, now),
                    }
                    turn.events += 1;
                    turn.event_at_ms = now_ms;
                }
                for turn in turns.iter().filter(|turn| turn.events == 0) {
                    let waited = now_ms - turn.began_ms;
                    if waited > 0 && waited % 500 == 0 && waited <= 2_000 {
                        pools[turn.gateway].troubled(&id(engine), now);
                    }
                }
                turns.retain(|turn| {
                    if turn.events < EVENTS {
                        return true;
                    }
                    pools[turn.gateway].end(&id(engine));
                    seen.turn_ms.push(now_ms - turn.began_ms);
                    if turn.left > 1 {
                        due.push((now_ms + 150, turn.left - 1, Some(engine)));
                    }
                    false
                });
            }
        }
        seen
    }
}

fn zone_load(engines: &[Vec<Turn>]) -> GatewayLoad {
    let in_flight: usize = engines.iter().map(Vec::len).sum();
    let service = ServiceLoad {
        service: "llm".to_owned(),
        in_flight_hundredths: in_flight as u32 * 100,
    };
    GatewayLoad {
        services: vec![service],
        ..GatewayLoad::default()
    }
}

/// Where a program begins, by the reports of two engines.
fn first_place(
    pool: &Pool,
    engines: &[Vec<Turn>],
    work: &Work,
    draw: u64,
    now: Timestamp,
) -> usize {
    let drawn = pool.candidates_by_finish("llm", draw, work, 2, now);
    let number = |backend: &Backend| (0..ENGINES).find(|engine| id(*engine) == backend.id);
    let numbers: Vec<usize> = drawn.iter().filter_map(number).collect();
    let fullness: Vec<Option<f64>> = numbers
        .iter()
        .map(|engine| Some(engines[*engine].len() as f64 / f64::from(SLOTS)))
        .collect();
    let seconds: Vec<f64> = drawn
        .iter()
        .filter_map(|backend| Some(pool.expected_at(&backend.id, work, now)?.finish_seconds))
        .collect();
    let placement = if pool.goes_by_finish() {
        place_soonest(&fullness, &seconds, 0.4, 9.0, 0.0)
    } else {
        place(&fullness, 9.0, 0.0)
    };
    match placement {
        luglink_scheduling::Placement::At(position) => numbers[position],
        luglink_scheduling::Placement::Refuse { .. } => numbers[0],
    }
}
