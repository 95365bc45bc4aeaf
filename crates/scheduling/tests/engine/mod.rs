//! An arithmetic stand-in for the engines of a zone: memory, slots and reading speed, in steps.

/// Length of a step, in milliseconds.
pub const STEP_MS: u64 = 10;

/// What one program does.
#[derive(Clone, Debug)]
pub struct Work {
    pub id: usize,
    pub priority: u8,
    /// Tokens of its prompt in the turn at hand.
    pub prompt: u64,
    pub growth: u64,
    pub turns_left: u32,
    pub pause_ms: u64,
}

#[derive(Clone, Debug)]
enum State {
    Pausing { until: u64 },
    Waiting,
    Running { to_read: u64, decode_ms: u64 },
}

struct Held {
    work: Work,
    state: State,
    is_cached: bool,
    used: u64,
}

/// What happened to a program in a step.
pub enum Event {
    TurnStarted(Work),
    TurnEnds(Work),
}

pub struct Engines {
    pub memory: u64,
    pub slots: usize,
    pub read_per_ms: u64,
    pub decode_ms: u64,
    programs: Vec<Held>,
    /// Tokens read again, and prompts that gave way.
    pub read_again: u64,
    pub gave_way: u64,
}

impl Engines {
    /// Replicas with 16 slots, memory for 135,554 tokens, that read 54 tokens a millisecond.
    pub fn new(replicas: u64) -> Self {
        Self {
            memory: replicas * 135_554,
            slots: replicas as usize * 16,
            read_per_ms: replicas * 54,
            decode_ms: 300,
            programs: Vec::new(),
            read_again: 0,
            gave_way: 0,
        }
    }

    pub fn begin(&mut self, work: Work, now: u64) {
        self.programs.push(Held {
            work,
            state: State::Pausing { until: now },
            is_cached: false,
            used: now,
        });
    }

    pub fn requests(&self) -> usize {
        self.programs
            .iter()
            .filter(|held| !matches!(held.state, State::Pausing { .. }))
            .count()
    }

    pub fn step(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for held in &mut self.programs {
            if matches!(held.state, State::Pausing { until } if until <= now) {
                held.state = State::Waiting;
                events.push(Event::TurnStarted(held.work.clone()));
            }
        }
        self.start_waiting(now);
        self.give_way();
        self.run(now, &mut events);
        self.programs.retain(|held| held.work.turns_left > 0);
        events
    }

    fn start_waiting(&mut self, now: u64) {
        let is_running = |held: &&Held| matches!(held.state, State::Running { .. });
        let mut running = self.programs.iter().filter(is_running).count();
        let mut used: u64 = self
            .programs
            .iter()
            .filter(is_running)
            .map(|held| held.work.prompt)
            .sum();
        self.programs
            .sort_by_key(|held| (held.work.priority, held.used));
        for held in self
            .programs
            .iter_mut()
            .filter(|held| matches!(held.state, State::Waiting))
        {
            if running < self.slots && used + held.work.prompt <= self.memory {
                running += 1;
                used += held.work.prompt;
                let is_first = held.work.growth == 0 || held.used == now;
                let to_read = if held.is_cached {
                    held.work.growth
                } else {
                    held.work.prompt
                };
                self.read_again += if held.is_cached || is_first {
                    0
                } else {
                    to_read
                };
                held.state = State::Running {
                    to_read,
                    decode_ms: self.decode_ms,
                };
                held.is_cached = false;
            }
        }
    }

    /// The prompts that were used longest ago give way to those that are read.
    fn give_way(&mut self) {
        let needs = |held: &&Held| held.is_cached || matches!(held.state, State::Running { .. });
        let mut used: u64 = self
            .programs
            .iter()
            .filter(needs)
            .map(|held| held.work.prompt)
            .sum();
        self.programs.sort_by_key(|held| held.used);
        for held in self.programs.iter_mut().filter(|held| held.is_cached) {
            if used <= self.memory {
                return;
            }
            used -= held.work.prompt;
            held.is_cached = false;
            self.gave_way += 1;
        }
    }

    fn run(&mut self, now: u64, events: &mut Vec<Event>) {
        let mut reads = self.read_per_ms * STEP_MS;
        for held in &mut self.programs {
            let State::Running { to_read, decode_ms } = &mut held.state else {
                continue;
            };
            let read = reads.min(*to_read);
            reads -= read;
            *to_read -= read;
            if *to_read == 0 {
                *decode_ms = decode_ms.saturating_sub(STEP_MS);
            }
            if *decode_ms == 0 {
                held.work.turns_left -= 1;
                held.work.prompt += held.work.growth;
                held.state = State::Pausing {
                    until: now + held.work.pause_ms,
                };
                (held.is_cached, held.used) = (true, now);
                events.push(Event::TurnEnds(held.work.clone()));
            }
        }
    }
}
