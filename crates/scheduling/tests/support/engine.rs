//! Model of an engine: it generates the events of the requests in its batch at a pace that falls
//! with the batch, after it has read the tokens of their prompts that it does not hold.

use std::time::Duration;

pub const TICK_MS: u64 = 5;
pub const SLOTS: u32 = 6;
/// Events of an answer.
pub const EVENTS: u32 = 12;
/// Pause between events of a lone request, at speed 1.
const SOLO_PAUSE_MS: f64 = 45.0;
/// Prompt tokens read in the time of an event of ten tokens.
const TOKENS_READ_PER_EVENT: f64 = 2_500.0;
/// Time after which gateways suspect a replica that sends no response head.
const SUSPICION_TIMEOUT_MS: u64 = 500;

pub struct Turn {
    pub gateway: usize,
    pub started_ms: u64,
    pub turns_left: u32,
    tokens_to_read: f64,
    progress: f64,
    events: u32,
    event_at_ms: u64,
}

/// Event of a turn that a gateway observes.
pub enum TurnEvent {
    First { gateway: usize, wait: Duration },
    Event { gateway: usize, pause: Duration },
    Suspected { gateway: usize },
    Ended(Turn),
}

#[derive(Default)]
pub struct Engine {
    turns: Vec<Turn>,
}

impl Engine {
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    pub fn push(&mut self, now_ms: u64, tokens_to_read: u32, gateway: usize, turns_left: u32) {
        self.turns.push(Turn {
            gateway,
            started_ms: now_ms,
            turns_left,
            tokens_to_read: f64::from(tokens_to_read),
            progress: 0.0,
            events: 0,
            event_at_ms: now_ms,
        });
    }

    /// Advances by one tick and returns the events.
    pub fn advance(&mut self, pace: f64, now_ms: u64) -> Vec<TurnEvent> {
        let running = self.turns.len().min(SLOTS as usize);
        let batch = 1.0 + running as f64 / f64::from(SLOTS);
        let generated = TICK_MS as f64 * pace / (SOLO_PAUSE_MS * batch);
        let batch = self.turns.iter_mut().take(running);
        let mut turn_events: Vec<TurnEvent> = batch
            .filter_map(|turn| turn.run(generated, now_ms))
            .collect();
        let suspected = self.turns.iter().filter(|turn| turn.is_suspected(now_ms));
        turn_events.extend(suspected.map(|turn| TurnEvent::Suspected {
            gateway: turn.gateway,
        }));
        let ended = self.turns.extract_if(.., |turn| turn.events == EVENTS);
        turn_events.extend(ended.map(TurnEvent::Ended));
        turn_events
    }
}

impl Turn {
    fn run(&mut self, events: f64, now_ms: u64) -> Option<TurnEvent> {
        if self.tokens_to_read > 0.0 {
            self.tokens_to_read -= TOKENS_READ_PER_EVENT * events;
            return None;
        }
        self.progress += events;
        if self.progress < 1.0 {
            return None;
        }
        self.progress -= 1.0;
        self.events += 1;
        let pause = Duration::from_millis(now_ms - self.event_at_ms);
        self.event_at_ms = now_ms;
        let gateway = self.gateway;
        Some(match self.events {
            1 => TurnEvent::First {
                gateway,
                wait: pause,
            },
            _ => TurnEvent::Event { gateway, pause },
        })
    }

    fn is_suspected(&self, now_ms: u64) -> bool {
        let waited_ms = now_ms - self.started_ms;
        let is_due = waited_ms > 0 && waited_ms.is_multiple_of(SUSPICION_TIMEOUT_MS);
        self.events == 0 && is_due && waited_ms <= 4 * SUSPICION_TIMEOUT_MS
    }
}
