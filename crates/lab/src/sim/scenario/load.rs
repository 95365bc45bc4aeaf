//! Small loads for scenarios: a few short programs, plain lookups, and changes.

use crate::trace::{
    CallEvent, ChangeEvent, ChangeSet, Deployment, ExpectedRevision, LookupEvent, ProgramEvent,
    TraceEvent,
};
use luglink_types::Budget;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Shape of a small load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadShape {
    /// Root programs.
    pub(crate) programs: u64,
    /// Calls of a program.
    pub(crate) calls: (u64, u64),
    /// Tokens of an answer.
    pub(crate) output_tokens: (u64, u64),
    /// Pause before a call, in milliseconds.
    pub(crate) pause_ms: (u64, u64),
    /// Time in which programs begin, in milliseconds.
    pub(crate) span_ms: u64,
    /// Calls and lookups that may run twice, in hundredths.
    pub(crate) repeatable_percent: u32,
    /// Programs that are abandoned, in hundredths.
    pub(crate) abandoned_percent: u32,
    /// Programs that start a sub-program, in hundredths.
    pub(crate) parents_percent: u32,
    /// Plain lookups.
    pub(crate) lookups: u64,
    /// Calls that a program's budget allows; `None` for more than it makes.
    pub(crate) budget_calls: Option<u64>,
}

impl LoadShape {
    /// Enough of everything for a fault to hit something.
    pub(crate) const MIXED: Self = Self {
        programs: 8,
        calls: (2, 6),
        output_tokens: (4, 24),
        pause_ms: (50, 2_500),
        span_ms: 12_000,
        repeatable_percent: 50,
        abandoned_percent: 20,
        parents_percent: 30,
        lookups: 16,
        budget_calls: None,
    };
}

/// Builds the load of a scenario.
pub(crate) struct LoadBuilder<'a> {
    random: &'a mut ChaCha8Rng,
    deployment: Deployment,
    prefix: String,
    programs: u64,
    requests: u64,
    events: Vec<TraceEvent>,
}

impl<'a> LoadBuilder<'a> {
    pub(crate) fn new(deployment: Deployment, random: &'a mut ChaCha8Rng) -> Self {
        Self {
            random,
            deployment,
            prefix: deployment.as_str().to_owned(),
            programs: 0,
            requests: 0,
            events: Vec::new(),
        }
    }

    /// Adds programs and lookups of a shape.
    pub(crate) fn add(&mut self, shape: &LoadShape) {
        for _ in 0..shape.programs {
            let at_ms = self.random.random_range(0..shape.span_ms.max(1));
            let parent = self.program(shape, at_ms, None);
            if self.percent(shape.parents_percent) {
                let later = at_ms + self.random.random_range(50..1_500);
                self.program(shape, later, Some(parent));
            }
        }
        for _ in 0..shape.lookups {
            self.lookup(shape);
        }
    }

    /// Adds a change of a class's budget.
    pub(crate) fn change(&mut self, number: u64, at_ms: u64, expected: ExpectedRevision) {
        let classes = self.deployment.classes();
        let (class, _) = classes[self.random.random_range(0..classes.len())];
        let mut fields = serde_json::Map::new();
        // Above what any program of a scenario asks for, and different for each change.
        let tokens = 10_000_000 + number;
        fields.insert("tokens".to_owned(), tokens.into());
        self.events.push(TraceEvent::Change(ChangeEvent {
            at_ms,
            operator: format!("operator-{}", number % 4),
            change_id: format!("change-{number}"),
            expected_revision: expected,
            set: ChangeSet {
                kind: "budget".to_owned(),
                name: class.to_owned(),
                fields,
            },
        }));
    }

    pub(crate) fn events(self) -> Vec<TraceEvent> {
        self.events
    }

    fn program(&mut self, shape: &LoadShape, at_ms: u64, parent: Option<String>) -> String {
        self.programs += 1;
        let program = format!("{}-p{}", self.prefix, self.programs);
        let classes = self.deployment.classes();
        let (class, priority) = classes[self.random.random_range(0..classes.len())];
        let zone = self.deployment.any_zone(self.random);
        self.events.push(TraceEvent::Program(ProgramEvent {
            program: program.clone(),
            at_ms,
            tenant: self.deployment.tenant().to_owned(),
            class: class.to_owned(),
            model: self.deployment.model().to_owned(),
            priority,
            zone,
            parent,
            budget: Budget {
                calls: shape.budget_calls.unwrap_or(60),
                tokens: 60_000,
                retries: 12,
                deadline_ms: 240_000,
                ..Budget::default()
            },
        }));
        let calls = self.between(shape.calls);
        for _ in 0..calls {
            self.call(shape, &program);
        }
        let after_ms = self.random.random_range(0..400);
        let abandoned = self.percent(shape.abandoned_percent);
        let event = TraceEvent::departure(&program, abandoned, after_ms);
        self.events.push(event);
        program
    }

    fn call(&mut self, shape: &LoadShape, program: &str) {
        self.requests += 1;
        let call = CallEvent {
            program: program.to_owned(),
            request: format!("{}-r{}", self.prefix, self.requests),
            after_ms: self.between(shape.pause_ms),
            input_tokens: self.random.random_range(10..160),
            output_tokens: self.between(shape.output_tokens),
            repeatable: self.percent(shape.repeatable_percent),
        };
        self.events.push(TraceEvent::Call(call));
    }

    fn lookup(&mut self, shape: &LoadShape) {
        self.requests += 1;
        let lookup = LookupEvent {
            request: format!("{}-l{}", self.prefix, self.requests),
            at_ms: self.random.random_range(0..shape.span_ms.max(1)),
            service: self.deployment.service().to_owned(),
            zone: self.deployment.any_zone(self.random),
            repeatable: self.percent(shape.repeatable_percent),
        };
        self.events.push(TraceEvent::Lookup(lookup));
    }

    fn percent(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        self.random.random_range(low..=high)
    }
}
