//! Seeded generators of traces with the shape of the two deployments.

use crate::trace::event::{CallEvent, LookupEvent, ProgramEvent, TraceEvent};
use luglink_types::{Budget, Priority};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::str::FromStr;

/// One of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Channel manager, Gauteng: short programs at a desk, overbookings with helper agents.
    Kopano,
    /// Public Documentation Hub, Dakar: long conversations and archive walks.
    Hub,
}

impl Deployment {
    /// Zones.
    #[must_use]
    pub const fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Kopano => &["midrand-a", "midrand-b", "isando-a", "isando-b"],
            Self::Hub => &["plateau", "diamniadio", "almadies"],
        }
    }

    /// A zone drawn at random.
    pub(crate) fn any_zone(self, random: &mut impl Rng) -> String {
        let zones = self.zones();
        zones[random.random_range(0..zones.len())].to_owned()
    }

    /// Model pool.
    #[must_use]
    pub const fn model(self) -> &'static str {
        match self {
            Self::Kopano => "agent-llm",
            Self::Hub => "model-pool",
        }
    }

    /// Plain service.
    #[must_use]
    pub const fn service(self) -> &'static str {
        match self {
            Self::Kopano => "channel-api",
            Self::Hub => "portal-app",
        }
    }

    /// Tenant.
    #[must_use]
    pub const fn tenant(self) -> &'static str {
        match self {
            Self::Kopano => "kopano",
            Self::Hub => "hub",
        }
    }

    /// The deployment's name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.tenant()
    }

    /// Program classes and their priorities.
    #[must_use]
    pub const fn classes(self) -> &'static [(&'static str, Priority)] {
        match self {
            Self::Kopano => &[
                ("desk", Priority::Interactive),
                ("overbooking", Priority::Normal),
                ("sync", Priority::Background),
            ],
            Self::Hub => &[
                ("counter", Priority::Interactive),
                ("archive", Priority::Normal),
            ],
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "kopano" => Ok(Self::Kopano),
            "hub" => Ok(Self::Hub),
            _ => Err(format!("`{text}` is not kopano or hub")),
        }
    }
}

/// Size of a generated trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GeneratorConfig {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed.
    pub seed: u64,
    /// Time in which programs begin.
    pub span_ms: u64,
    /// Programs that begin in a second, on average. Sub-programs come on top.
    pub programs_per_second: f64,
    /// Plain lookups in a second, on average.
    pub lookups_per_second: f64,
    /// Factor on every tool pause; less than one for short demonstrations.
    pub pause_factor: f64,
}

/// Generates a trace.
#[must_use]
pub fn generate(config: &GeneratorConfig) -> Vec<TraceEvent> {
    let mut generator = Generator {
        config: *config,
        random: ChaCha8Rng::seed_from_u64(config.seed),
        events: Vec::new(),
        programs: 0,
        requests: 0,
    };
    generator.run();
    generator.events
}

/// Pause of a caller between its last answer and its departure.
const DEPARTURE_MS: u64 = 100;

struct Generator {
    config: GeneratorConfig,
    random: ChaCha8Rng,
    events: Vec<TraceEvent>,
    programs: u64,
    requests: u64,
}

/// Shape of one class of programs.
#[derive(Clone, Copy)]
struct Shape {
    class: &'static str,
    priority: Priority,
    calls: (u64, u64),
    first_input: (u64, u64),
    next_input: (u64, u64),
    output: (u64, u64),
    pause_ms: (u64, u64),
    deadline_ms: u64,
    abandoned_per_mille: u32,
}

const DESK: Shape = Shape {
    class: "desk",
    priority: Priority::Interactive,
    calls: (3, 8),
    first_input: (900, 2_200),
    next_input: (120, 700),
    output: (40, 180),
    pause_ms: (150, 2_500),
    deadline_ms: 120_000,
    abandoned_per_mille: 40,
};

const OVERBOOKING: Shape = Shape {
    class: "overbooking",
    priority: Priority::Normal,
    calls: (4, 10),
    first_input: (1_500, 4_000),
    next_input: (200, 1_200),
    output: (80, 300),
    pause_ms: (300, 4_000),
    deadline_ms: 240_000,
    abandoned_per_mille: 20,
};

const SYNC: Shape = Shape {
    class: "sync",
    priority: Priority::Background,
    calls: (1, 3),
    first_input: (400, 1_500),
    next_input: (100, 500),
    output: (30, 120),
    pause_ms: (100, 800),
    deadline_ms: 300_000,
    abandoned_per_mille: 10,
};

const COUNTER: Shape = Shape {
    class: "counter",
    priority: Priority::Interactive,
    calls: (6, 18),
    first_input: (1_500, 4_000),
    next_input: (150, 900),
    output: (80, 260),
    pause_ms: (1_500, 15_000),
    deadline_ms: 600_000,
    abandoned_per_mille: 60,
};

const ARCHIVE: Shape = Shape {
    class: "archive",
    priority: Priority::Normal,
    calls: (10, 30),
    first_input: (3_000, 9_000),
    next_input: (400, 2_400),
    output: (60, 220),
    pause_ms: (300, 3_500),
    deadline_ms: 900_000,
    abandoned_per_mille: 40,
};

impl Generator {
    fn run(&mut self) {
        let mut at_ms = 0.0;
        loop {
            at_ms += self.exponential(self.config.programs_per_second);
            if at_ms >= self.config.span_ms as f64 {
                break;
            }
            self.program_tree(at_ms as u64);
        }
        let mut at_ms = 0.0;
        loop {
            at_ms += self.exponential(self.config.lookups_per_second);
            if at_ms >= self.config.span_ms as f64 {
                break;
            }
            self.lookup(at_ms as u64);
        }
    }

    /// Milliseconds to the next of events that come `per_second` on average.
    fn exponential(&mut self, per_second: f64) -> f64 {
        if per_second <= 0.0 {
            return f64::INFINITY;
        }
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        -uniform.ln() / per_second * 1_000.0
    }

    fn program_tree(&mut self, at_ms: u64) {
        let draw = self.random.random_range(0..100);
        let shape = match self.config.deployment {
            Deployment::Kopano if draw < 60 => DESK,
            Deployment::Kopano if draw < 80 => OVERBOOKING,
            Deployment::Kopano => SYNC,
            Deployment::Hub if draw < 65 => COUNTER,
            Deployment::Hub => ARCHIVE,
        };
        let zone = self.config.deployment.any_zone(&mut self.random);
        let parent = self.program(&shape, at_ms, &zone, None);
        if shape.class == OVERBOOKING.class {
            let helpers = self.random.random_range(1..=3);
            for _ in 0..helpers {
                let delay = self.random.random_range(200..2_000);
                let helper = Shape {
                    calls: (2, 4),
                    ..SYNC
                };
                let helper = Shape {
                    class: OVERBOOKING.class,
                    priority: OVERBOOKING.priority,
                    ..helper
                };
                self.program(&helper, at_ms + delay, &zone, Some(parent.clone()));
            }
        }
    }

    fn program(&mut self, shape: &Shape, at_ms: u64, zone: &str, parent: Option<String>) -> String {
        self.programs += 1;
        let program = format!("p{}", self.programs);
        let calls = self.between(shape.calls);
        self.events.push(TraceEvent::Program(ProgramEvent {
            program: program.clone(),
            at_ms,
            tenant: self.config.deployment.tenant().to_owned(),
            class: shape.class.to_owned(),
            model: self.config.deployment.model().to_owned(),
            priority: shape.priority,
            zone: zone.to_owned(),
            parent,
            budget: Budget {
                calls: 200,
                tokens: 400_000,
                retries: 20,
                deadline_ms: shape.deadline_ms,
                ..Budget::default()
            },
        }));
        for index in 0..calls {
            self.call(shape, &program, index == 0);
        }
        let abandoned = self.random.random_range(0..1_000) < shape.abandoned_per_mille;
        self.events
            .push(TraceEvent::departure(&program, abandoned, DEPARTURE_MS));
        program
    }

    fn call(&mut self, shape: &Shape, program: &str, first: bool) {
        self.requests += 1;
        let input_tokens = if first {
            self.between(shape.first_input)
        } else {
            self.between(shape.next_input)
        };
        let pause = if first { 0 } else { self.pause(shape.pause_ms) };
        let output_tokens = self.between(shape.output);
        self.events.push(TraceEvent::Call(CallEvent {
            program: program.to_owned(),
            request: format!("r{}", self.requests),
            after_ms: pause,
            input_tokens,
            output_tokens,
            repeatable: self.random.random_range(0..100) < 85,
        }));
    }

    /// Pauses are mostly short with a long tail.
    fn pause(&mut self, (low, high): (u64, u64)) -> u64 {
        let uniform: f64 = self.random.random_range(0.0..1.0);
        let pause = low as f64 + (high - low) as f64 * uniform.powi(3);
        (pause * self.config.pause_factor) as u64
    }

    fn lookup(&mut self, at_ms: u64) {
        self.requests += 1;
        let zone = self.config.deployment.any_zone(&mut self.random);
        self.events.push(TraceEvent::Lookup(LookupEvent {
            request: format!("l{}", self.requests),
            at_ms,
            service: self.config.deployment.service().to_owned(),
            zone,
            repeatable: self.random.random_range(0..100) < 80,
        }));
    }

    fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        self.random.random_range(low..=high)
    }
}
