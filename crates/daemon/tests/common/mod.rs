//! A daemon with control members and a configuration that answer at once, and engines that do
//! what a test says.
#![allow(dead_code)] // Each test file uses some of it.

use luglink_control::{Request, Response};
use luglink_daemon::{
    Action, Answer, CallRequest, CallTarget, CreateRequest, Daemon, DaemonConfig, Dispatch,
    EngineEvent, Event, OperationId, ProgramDefaults, TicketId,
};
use luglink_program::{ProgramStore, RefundRule};
use luglink_resources::{
    Change, ModelPool, Operation, ProgramClass, Replica, Resource, ResourceStore,
    RevisionPrecondition, Service, Tenant,
};
use luglink_routing::AttemptId;
use luglink_types::{
    Budget, ChangeId, ChatMessage, DaemonId, EngineId, IdempotencyKey, MemberId, Priority,
    ProgramId, Refusal, Role, Timestamp, TokenUsage,
};
use std::time::Duration;

/// Engines of the one model.
pub const ENGINES: u32 = 2;

/// The plain service's only replica.
pub const SERVICE: EngineId = EngineId(9);

/// A daemon and everything around it.
pub struct Harness {
    pub daemon: Daemon,
    pub store: ProgramStore,
    pub resources: ResourceStore,
    pub now: Timestamp,
    pub dispatches: Vec<Dispatch>,
    pub cancelled: Vec<AttemptId>,
    pub answers: Vec<(TicketId, Answer)>,
    pub drained: bool,
    /// Responses of the control members are kept back while this is set.
    pub hold_control: bool,
    held: Vec<(OperationId, Response)>,
    tickets: u64,
}

pub fn config() -> DaemonConfig {
    let mut config = DaemonConfig::new(DaemonId(1), "a".into(), vec![MemberId(1)]);
    config.engine_silence = Duration::from_secs(5);
    config
}

impl Harness {
    /// A daemon that has its configuration.
    pub fn start(config: DaemonConfig) -> Self {
        let mut harness = Self::without_configuration(config);
        harness.configure();
        harness.event(Event::Tick);
        assert!(harness.daemon.is_ready());
        harness
    }

    pub fn without_configuration(config: DaemonConfig) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        Self {
            daemon: Daemon::new(config, 5, now).unwrap(),
            store: ProgramStore::new(RefundRule::UnusedPart),
            resources: ResourceStore::default(),
            now,
            dispatches: Vec::new(),
            cancelled: Vec::new(),
            answers: Vec::new(),
            drained: false,
            hold_control: false,
            held: Vec::new(),
            tickets: 0,
        }
    }

    fn configure(&mut self) {
        let replica = |engine: u32| Replica {
            engine: EngineId(engine),
            address: format!("10.0.0.1:{}", 8_000 + engine),
            zone: "a".into(),
        };
        let resources = vec![
            Resource::Tenant(Tenant {
                name: "t".into(),
                weight: 1,
                max_concurrent_calls: 0,
                tokens_per_second: 0,
            }),
            Resource::Class(ProgramClass {
                name: "c".into(),
                priority: Priority::Normal,
                budget: String::new(),
                idle_timeout_ms: 600_000,
                max_queued_calls: 1_000,
            }),
            Resource::ModelPool(ModelPool {
                name: "m".into(),
                version: "1".to_owned(),
                cost_per_token_micros: 0,
                max_output_tokens: 100,
                minimum_serving: 1,
                replicas: (0..ENGINES).map(replica).collect(),
            }),
            Resource::Service(Service {
                name: "s".into(),
                replicas: vec![replica(SERVICE.0)],
            }),
        ];
        self.resources.apply(&Change {
            change_id: ChangeId("setup".to_owned()),
            operator: "test".to_owned(),
            expected: RevisionPrecondition::Current,
            operations: resources.into_iter().map(Operation::Set).collect(),
        });
    }

    /// Lets something happen, and everything that follows from it.
    pub fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.daemon.handle(event, self.now) {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Answer { ticket, answer } => self.answers.push((ticket, answer)),
            Action::Dispatch(dispatch) => self.dispatches.push(*dispatch),
            Action::Cancel { attempt } => self.cancelled.push(attempt),
            Action::Drained => self.drained = true,
            Action::Control {
                operation, request, ..
            } => {
                let response = self.respond(*request)?;
                if self.hold_control {
                    self.held.push((operation, response));
                    return None;
                }
                return Some(Event::Control {
                    operation,
                    response: Box::new(response),
                });
            }
        }
        None
    }

    fn respond(&mut self, request: Request) -> Option<Response> {
        match request {
            Request::Program(command) => {
                Some(Response::Program(self.store.apply(self.now, &command)))
            }
            Request::WatchConfiguration { known, .. } if known < self.resources.revision() => {
                Some(Response::Configuration(self.resources.catch_up(known)))
            }
            _ => None,
        }
    }

    /// Gives out the responses that were kept back.
    pub fn release_control(&mut self) {
        self.hold_control = false;
        for (operation, response) in std::mem::take(&mut self.held) {
            self.event(Event::Control {
                operation,
                response: Box::new(response),
            });
        }
    }

    /// Lets time pass in steps, as a running process does.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now.plus(time);
        while self.now < end {
            self.now = self.now.plus(Duration::from_millis(50));
            self.event(Event::Tick);
        }
    }

    pub fn ticket(&mut self) -> TicketId {
        self.tickets += 1;
        TicketId(self.tickets)
    }

    pub fn create(&mut self) -> ProgramId {
        let ticket = self.ticket();
        let request = CreateRequest {
            program: defaults(),
            parent: None,
            key: None,
        };
        self.event(Event::Create { ticket, request });
        match self.answer_of(ticket) {
            Some(Answer::Created(owned)) => owned.program,
            other => panic!("expected a program, got {other:?}"),
        }
    }

    /// Sends a call of a program.
    pub fn call(&mut self, program: ProgramId, key: &str, repeatable: bool) -> TicketId {
        let ticket = self.ticket();
        let request = CallRequest {
            target: CallTarget::Existing(program),
            sequence: None,
            key: Some(IdempotencyKey(key.to_owned())),
            messages: vec![ChatMessage {
                role: Role::User,
                content: format!("ask {key}"),
            }],
            max_output_tokens: Some(20),
            repeatable,
            stream: false,
        };
        self.event(Event::Call { ticket, request });
        ticket
    }

    /// An engine answers a dispatch in full.
    pub fn complete(&mut self, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        self.engine(attempt, EngineEvent::Part("whole ".to_owned()));
        self.engine(
            attempt,
            EngineEvent::Completed {
                usage: TokenUsage {
                    prompt_tokens: 2,
                    completion_tokens: 1,
                    cached_tokens: 0,
                },
            },
        );
    }

    pub fn engine(&mut self, attempt: AttemptId, event: EngineEvent) {
        self.event(Event::Engine { attempt, event });
    }

    /// The final answer to a request, if it has come.
    pub fn answer_of(&self, ticket: TicketId) -> Option<Answer> {
        let own = self.answers.iter().filter(|(other, _)| *other == ticket);
        own.map(|(_, answer)| answer.clone())
            .find(|answer| !matches!(answer, Answer::Part(_)))
    }

    pub fn refusal_of(&self, ticket: TicketId) -> Refusal {
        match self.answer_of(ticket) {
            Some(Answer::Refused(refusal)) => refusal,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    pub fn is_completed(&self, ticket: TicketId) -> bool {
        matches!(self.answer_of(ticket), Some(Answer::Completed { .. }))
    }
}

pub fn defaults() -> ProgramDefaults {
    ProgramDefaults {
        tenant: "t".into(),
        class: "c".into(),
        model: "m".into(),
        adapter: None,
        priority: None,
        budget: Budget::default(),
    }
}
