//! Daemons: what a call costs them, and what the control members cost them.

use crate::capacity::Slope;
use crate::capacity::memory::{Probe, probe_all};
use crate::fleet::{DeploymentLayout, deployment_resources};
use crate::trace::Deployment;
use luglink_control::{Request, Response};
use luglink_daemon::{
    Action, CallRequest, CallTarget, CreateRequest, Daemon, DaemonConfig, EngineEvent, Event,
    OperationId, ProgramDefaults, TicketId,
};
use luglink_program::{ProgramStore, RefundRule, Reply};
use luglink_resources::{Change, Expected, Operation, Replica, Resource, ResourceStore};
use luglink_types::{
    Budget, ChangeId, ChatMessage, DaemonId, EngineId, IdempotencyKey, MemberId, ProgramId, Role,
    Timestamp, TokenUsage,
};
use luglink_wire::{Frame, encode_body};
use std::time::{Duration, Instant};

/// Programs held by the daemon at which costs are measured.
const PROGRAMS: [u64; 4] = [50, 200, 800, 3_200];

/// Replicas in the configuration.
const REPLICAS: [u32; 4] = [25, 100, 300, 610];

const TURN_TOKENS: usize = 300;

/// Parts of an answer.
const PARTS: usize = 300;

/// A daemon whose control members answer at once.
struct Bench {
    daemon: Daemon,
    store: ProgramStore,
    resources: ResourceStore,
    now: Timestamp,
    tickets: u64,
    spent: Duration,
    control_bytes: usize,
    control_messages: u64,
    programs: Vec<ProgramId>,
}

impl Bench {
    fn new(replicas: u32) -> Option<Self> {
        let config = DaemonConfig::new(DaemonId(1), "midrand-a".into(), vec![MemberId(1)]);
        let now = Timestamp::from_millis(1_000_000);
        let mut bench = Self {
            daemon: Daemon::new(config, 5, now).ok()?,
            store: ProgramStore::new(RefundRule::UnusedPart),
            resources: ResourceStore::default(),
            now,
            tickets: 0,
            spent: Duration::ZERO,
            control_bytes: 0,
            control_messages: 0,
            programs: Vec::new(),
        };
        bench.resources.apply(&setup(replicas));
        bench.event(Event::Tick);
        Some(bench)
    }

    fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let begun = Instant::now();
            let actions = self.daemon.handle(event, self.now);
            self.spent += begun.elapsed();
            for action in actions {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Vec<Event> {
        match action {
            Action::Control {
                operation, request, ..
            } => self.respond(operation, *request).into_iter().collect(),
            Action::Dispatch(dispatch) => {
                let attempt = dispatch.attempt;
                let usage = TokenUsage {
                    prompt_tokens: TURN_TOKENS as u64,
                    completion_tokens: PARTS as u64,
                    cached_tokens: 0,
                };
                let end = Event::Engine {
                    attempt,
                    event: EngineEvent::Completed { usage },
                };
                let part = Event::Engine {
                    attempt,
                    event: EngineEvent::Part("abc ".to_owned()),
                };
                // The last of the list comes first.
                let mut events = vec![end];
                events.extend(std::iter::repeat_n(part, PARTS));
                events
            }
            _ => Vec::new(),
        }
    }

    fn respond(&mut self, operation: OperationId, request: Request) -> Option<Event> {
        self.count(encode_body(&request).ok()?.len());
        let response = match request {
            Request::Program(command) => {
                let reply = self.store.apply(self.now, &command);
                if let Reply::Owned(owned) = &reply {
                    self.programs.push(owned.program);
                }
                Response::Program(reply)
            }
            Request::WatchConfiguration { known, .. } if known < self.resources.revision() => {
                Response::Configuration(self.resources.catch_up(known))
            }
            _ => return None,
        };
        self.count(encode_body(&response).ok()?.len());
        let response = Box::new(response);
        Some(Event::Control {
            operation,
            response,
        })
    }

    fn count(&mut self, body: usize) {
        self.control_bytes += body + frame_bytes();
        self.control_messages += 1;
    }

    fn create_programs(&mut self, count: u64) {
        for _ in 0..count {
            self.create();
        }
    }

    /// Makes one call of each program.
    fn call_programs(&mut self) {
        for program in self.programs.clone() {
            self.call(program);
        }
    }

    fn create(&mut self) {
        self.tickets += 1;
        let request = CreateRequest {
            program: ProgramDefaults {
                tenant: "kopano".into(),
                class: "desk".into(),
                model: "agent-llm".into(),
                adapter: None,
                priority: None,
                budget: Budget::default(),
            },
            parent: None,
            key: None,
        };
        let ticket = TicketId(self.tickets);
        self.event(Event::Create { ticket, request });
    }

    fn call(&mut self, program: ProgramId) {
        self.tickets += 1;
        let request = CallRequest {
            target: CallTarget::Existing(program),
            sequence: None,
            key: Some(IdempotencyKey(format!("k{}", self.tickets))),
            messages: vec![ChatMessage {
                role: Role::User,
                content: crate::capacity::cluster::text_of_tokens(TURN_TOKENS),
            }],
            max_output_tokens: None,
            repeatable: true,
            stream: true,
        };
        let ticket = TicketId(self.tickets);
        self.event(Event::Call { ticket, request });
    }
}

/// Bytes of a frame around a body: its length, kind, correlation and the body's length.
fn frame_bytes() -> usize {
    let empty = Frame::request(0, Vec::new());
    luglink_wire::encode_frame(&empty).map_or(0, |bytes| bytes.len())
}

fn setup(replicas: u32) -> Change {
    let replica = |engine: u32| Replica {
        engine: EngineId(engine),
        address: format!("10.0.{}.{}:8000", engine / 250, engine % 250),
        zone: ["midrand-a", "midrand-b", "isando-a", "isando-b"][engine as usize % 4].into(),
    };
    Change {
        change_id: ChangeId("setup".to_owned()),
        operator: "lab".to_owned(),
        expected: Expected::Current,
        operations: deployment_resources(&DeploymentLayout {
            deployment: Deployment::Kopano,
            engines: (0..replicas).map(replica).collect(),
            services: Vec::new(),
            idle_timeout_ms: 900_000,
            max_queued_calls: 512,
        }),
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Memory while programs of one turn are held.
pub(crate) fn hold_programs(programs: u64, look: fn() -> u64) -> Option<u64> {
    let mut bench = Bench::new(100)?;
    bench.create_programs(programs);
    bench.call_programs();
    Some(look())
}

/// Memory of a daemon that has its configuration.
pub(crate) fn hold_replicas(replicas: u64, look: fn() -> u64) -> Option<u64> {
    let bench = Bench::new(u32::try_from(replicas).ok()?)?;
    let bytes = look();
    drop(bench);
    Some(bytes)
}

fn calls_by_programs() -> Vec<Slope> {
    let mut time = Vec::new();
    let mut bytes = Vec::new();
    for programs in PROGRAMS {
        let Some(mut bench) = Bench::new(100) else {
            continue;
        };
        bench.create_programs(programs);
        bench.spent = Duration::ZERO;
        bench.control_bytes = 0;
        bench.call_programs();
        let count = programs as f64;
        time.push((count, micros(bench.spent) / count));
        bytes.push((count, bench.control_bytes as f64 / count));
    }
    vec![
        Slope::fitted(
            "daemon_call_micros",
            "daemon's processor time for a call of 300 tokens each way, parts included",
            "µs",
            "programs held",
            time,
        ),
        Slope::fitted(
            "daemon_call_bytes",
            "bytes between daemon and control members for a call (intent, outcome, replies)",
            "B",
            "programs held",
            bytes,
        ),
        Slope::fitted(
            "daemon_program_memory",
            "memory of a daemon and the state machine beside it, one turn to a program",
            "B",
            "programs held",
            probe_all(Probe::HeldPrograms, &PROGRAMS),
        ),
    ]
}

fn configuration_by_replicas() -> Vec<Slope> {
    let mut snapshot = Vec::new();
    let mut apply = Vec::new();
    for replicas in REPLICAS {
        let Some(mut bench) = Bench::new(replicas) else {
            continue;
        };
        snapshot.push((f64::from(replicas), bench.control_bytes as f64));
        bench.spent = Duration::ZERO;
        // A change of one pool: the daemon sets all its routers up again.
        let pool = setup(replicas).operations.into_iter().find(is_pool);
        let change = Change {
            change_id: ChangeId("again".to_owned()),
            operator: "lab".to_owned(),
            expected: Expected::Current,
            operations: pool.into_iter().collect(),
        };
        bench.resources.apply(&change);
        let catch_up = bench
            .resources
            .catch_up(bench.daemon.configuration().revision());
        let response = Box::new(Response::Configuration(catch_up));
        let watch = OperationId(2);
        bench.event(Event::Control {
            operation: watch,
            response,
        });
        apply.push((f64::from(replicas), micros(bench.spent)));
    }
    vec![
        Slope::fitted(
            "configuration_bytes",
            "bytes of a first configuration, or of a change of one whole pool",
            "B",
            "replicas in the pool",
            snapshot,
        ),
        Slope::fitted(
            "configuration_micros",
            "daemon's processor time to take a change of one pool",
            "µs",
            "replicas in the pool",
            apply,
        ),
        Slope::fitted(
            "daemon_replica_memory",
            "memory of a daemon",
            "B",
            "replicas in the pool",
            probe_all(Probe::Replicas, &REPLICAS.map(u64::from)),
        ),
    ]
}

fn is_pool(operation: &Operation) -> bool {
    matches!(operation, Operation::Set(Resource::ModelPool(_)))
}

/// Bytes of one watch without news, both ways.
fn idle_watch() -> Slope {
    let request = Request::WatchConfiguration {
        known: luglink_types::Revision(100_000),
        hold: true,
    };
    let response = Response::Configuration(luglink_resources::CatchUp::Current);
    let bodies = [
        encode_body(&request).map_or(0, |body| body.len()),
        encode_body(&response).map_or(0, |body| body.len()),
    ];
    let bytes: usize = bodies.iter().map(|body| body + frame_bytes()).sum();
    Slope::fitted(
        "watch_bytes",
        "bytes of one watch without news, both ways",
        "B",
        "(one size)",
        vec![(1.0, bytes as f64)],
    )
}

pub(crate) fn measure() -> Vec<Slope> {
    let mut slopes = calls_by_programs();
    slopes.extend(configuration_by_replicas());
    slopes.push(idle_watch());
    slopes
}
