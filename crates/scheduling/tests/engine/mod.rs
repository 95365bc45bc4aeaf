//! Model of a zone's engines with memory, slots and reading speed, in discrete steps.

/// Length of a step, in milliseconds.
pub const STEP_MS: u64 = 10;

/// Work of one program.
#[derive(Clone, Debug)]
pub struct Work {
    pub id: usize,
    pub priority: u8,
    /// Prompt tokens of the current turn.
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

struct RunningProgram {
    work: Work,
    state: State,
    is_cached: bool,
    last_used: u64,
}

/// Change of a program in a step.
pub enum Event {
    TurnStarted(Work),
    TurnEnded(Work),
}

pub struct Engines {
    pub memory: u64,
    pub slots: usize,
    pub read_per_ms: u64,
    pub decode_ms: u64,
    programs: Vec<RunningProgram>,
    /// Tokens read again, and evicted prompts.
    pub reread_tokens: u64,
    pub evicted_prompts: u64,
}

impl Engines {
    /// Creates replicas with 16 slots and memory for 135,554 tokens, which read 54 tokens a
    /// millisecond.
    pub fn new(replicas: u64) -> Self {
        Self {
            memory: replicas * 135_554,
            slots: replicas as usize * 16,
            read_per_ms: replicas * 54,
            decode_ms: 300,
            programs: Vec::new(),
            reread_tokens: 0,
            evicted_prompts: 0,
        }
    }

    pub fn begin(&mut self, work: Work, now: u64) {
        self.programs.push(RunningProgram {
            work,
            state: State::Pausing { until: now },
            is_cached: false,
            last_used: now,
        });
    }

    pub fn requests(&self) -> usize {
        self.programs
            .iter()
            .filter(|program| !matches!(program.state, State::Pausing { .. }))
            .count()
    }

    pub fn step(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for program in &mut self.programs {
            if matches!(program.state, State::Pausing { until } if until <= now) {
                program.state = State::Waiting;
                events.push(Event::TurnStarted(program.work.clone()));
            }
        }
        self.start_waiting(now);
        self.evict_prompts();
        self.run(now, &mut events);
        self.programs.retain(|program| program.work.turns_left > 0);
        events
    }

    fn start_waiting(&mut self, now: u64) {
        let is_running = |program: &&RunningProgram| matches!(program.state, State::Running { .. });
        let mut running = self.programs.iter().filter(is_running).count();
        let mut used: u64 = self
            .programs
            .iter()
            .filter(is_running)
            .map(|program| program.work.prompt)
            .sum();
        self.programs
            .sort_by_key(|program| (program.work.priority, program.last_used));
        for program in self
            .programs
            .iter_mut()
            .filter(|program| matches!(program.state, State::Waiting))
        {
            if running < self.slots && used + program.work.prompt <= self.memory {
                running += 1;
                used += program.work.prompt;
                let is_first = program.work.growth == 0 || program.last_used == now;
                let to_read = if program.is_cached {
                    program.work.growth
                } else {
                    program.work.prompt
                };
                self.reread_tokens += if program.is_cached || is_first {
                    0
                } else {
                    to_read
                };
                program.state = State::Running {
                    to_read,
                    decode_ms: self.decode_ms,
                };
                program.is_cached = false;
            }
        }
    }

    /// Evicts the least recently used prompts for those that are read.
    fn evict_prompts(&mut self) {
        let needs = |program: &&RunningProgram| {
            program.is_cached || matches!(program.state, State::Running { .. })
        };
        let mut used: u64 = self
            .programs
            .iter()
            .filter(needs)
            .map(|program| program.work.prompt)
            .sum();
        self.programs.sort_by_key(|program| program.last_used);
        for program in self.programs.iter_mut().filter(|program| program.is_cached) {
            if used <= self.memory {
                return;
            }
            used -= program.work.prompt;
            program.is_cached = false;
            self.evicted_prompts += 1;
        }
    }

    fn run(&mut self, now: u64, events: &mut Vec<Event>) {
        let mut reads = self.read_per_ms * STEP_MS;
        for program in &mut self.programs {
            let State::Running { to_read, decode_ms } = &mut program.state else {
                continue;
            };
            let read = reads.min(*to_read);
            reads -= read;
            *to_read -= read;
            if *to_read == 0 {
                *decode_ms = decode_ms.saturating_sub(STEP_MS);
            }
            if *decode_ms == 0 {
                program.work.turns_left -= 1;
                program.work.prompt += program.work.growth;
                program.state = State::Pausing {
                    until: now + program.work.pause_ms,
                };
                (program.is_cached, program.last_used) = (true, now);
                events.push(Event::TurnEnded(program.work.clone()));
            }
        }
    }
}
