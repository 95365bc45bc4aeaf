//! The world of one run: every process, the network between them, and what was seen.

use crate::engine::CacheUse;
use crate::observe::History;
use crate::replay::ReplayPlan;
use crate::sim::callers::Caller;
use crate::sim::clock::EventNumber;
use crate::sim::config::SimConfig;
use crate::sim::control::ControlProcess;
use crate::sim::daemons::{ControlTraffic, DaemonProcess};
use crate::sim::digest::TraceDigest;
use crate::sim::engines::EngineProcess;
use crate::sim::faults::{FaultCounts, SimFault};
use crate::sim::look::PlatformList;
use crate::sim::lookups::LookupCaller;
use crate::sim::message::{Delivery, Message, SimEvent};
use crate::sim::network::{Network, Transmission};
use crate::sim::node::Node;
use crate::sim::operators::Operator;
use crate::sim::services::ServiceProcess;
use luglink_daemon::{DaemonCounters, TicketId};
use luglink_types::Timestamp;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What is to happen in a run.
#[derive(Clone, Debug, Default)]
pub struct SimPlan {
    /// Programs, lookups and changes.
    pub replay: ReplayPlan,
    /// Faults.
    pub faults: Vec<SimFault>,
}

/// What a run gives.
#[derive(Clone, Debug, Default)]
pub struct SimResult {
    /// What was seen.
    pub history: History,
    /// What the engines say of their caches.
    pub caches: Vec<CacheUse>,
    /// Faults that really happened.
    pub faults: FaultCounts,
    /// When the trace began.
    pub base: Timestamp,
    /// Virtual time that the run took.
    pub elapsed: Duration,
    /// Digest of the event trace.
    pub digest: String,
    /// Events that happened.
    pub events: u64,
    /// What the daemons counted, all processes together.
    pub counters: DaemonCounters,
    /// Times without a leader of some group that the run brought about, longest first.
    pub leaderless: Vec<Duration>,
    /// Traffic between each daemon and the control members, if it was counted.
    pub control_traffic: Vec<ControlTraffic>,
    /// Trouble of the run itself, such as a data folder that could not be opened again.
    pub problems: Vec<String>,
}

/// Who waits for an answer of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    Caller(usize),
    Lookup(usize),
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The fleet starts and takes its configuration.
    Starting,
    /// The trace runs.
    Running,
    /// Every fault has ended and memory is being released.
    Settling { since: Timestamp },
    /// The end.
    Finished,
}

/// The world of one run.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) config: SimConfig,
    pub(crate) now: Timestamp,
    pub(crate) stage: Stage,
    /// When the trace began.
    pub(crate) base: Timestamp,
    pub(crate) random: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) control: Vec<ControlProcess>,
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) engines: Vec<EngineProcess>,
    pub(crate) services: Vec<ServiceProcess>,
    pub(crate) callers: Vec<Caller>,
    pub(crate) lookups: Vec<LookupCaller>,
    pub(crate) operators: Vec<Operator>,
    pub(crate) tickets: BTreeMap<TicketId, Waiter>,
    pub(crate) last_ticket: TicketId,
    pub(crate) plan: SimPlan,
    pub(crate) history: History,
    pub(crate) faults: FaultCounts,
    pub(crate) problems: Vec<String>,
    pub(crate) leaderless: Vec<Duration>,
    pub(crate) leader_gaps: BTreeMap<luglink_types::GroupId, Timestamp>,
    pub(crate) retired_counters: Vec<DaemonCounters>,
    pub(crate) retired_caches: Vec<CacheUse>,
    /// What the platform has said, oldest first.
    pub(crate) platform: Vec<PlatformList>,
    /// Messages that wait for the end of a cut.
    held: Vec<Delivery>,
    events: HashMap<EventNumber, SimEvent>,
    last_event: EventNumber,
    scheduled: Vec<(Timestamp, EventNumber)>,
    digest: TraceDigest,
}

/// Gives the parts of a run different seeds.
pub(crate) fn derive_seed(seed: u64, part: u64, number: u64) -> u64 {
    let mixed = seed
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .wrapping_add(part.wrapping_mul(0xD1B5_4A32_D192_ED03))
        .wrapping_add(number.wrapping_mul(0x8CB9_2BA7_2F3D_8DD7));
    mixed ^ (mixed >> 29)
}

impl World {
    pub(crate) fn new(config: SimConfig, plan: SimPlan) -> Self {
        let seed = config.seed;
        let network = Network::new(&config, derive_seed(seed, 1, 0));
        let mut world = Self {
            now: Timestamp::ZERO,
            stage: Stage::Starting,
            base: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(derive_seed(seed, 2, 0)),
            network,
            control: Vec::new(),
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            callers: Vec::new(),
            lookups: Vec::new(),
            operators: Vec::new(),
            tickets: BTreeMap::new(),
            last_ticket: TicketId::default(),
            plan,
            history: History::default(),
            faults: FaultCounts::default(),
            problems: Vec::new(),
            leaderless: Vec::new(),
            leader_gaps: BTreeMap::new(),
            retired_counters: Vec::new(),
            retired_caches: Vec::new(),
            platform: Vec::new(),
            held: Vec::new(),
            events: HashMap::new(),
            last_event: 0,
            scheduled: Vec::new(),
            digest: TraceDigest::default(),
            config,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        self.control = (0..self.config.control_members)
            .map(|_| ControlProcess::new(&self.config, &mut self.random))
            .collect();
        self.daemons = (0..self.config.daemons())
            .map(|_| DaemonProcess::new(&self.config, &mut self.random))
            .collect();
        self.engines = (0..self.config.all_engines())
            .map(|_| EngineProcess::new(&self.config, &mut self.random))
            .collect();
        self.services = (0..self.config.all_services())
            .map(|_| ServiceProcess::default())
            .collect();
        let plan = &self.plan.replay;
        self.callers = plan.programs.iter().cloned().map(Caller::new).collect();
        self.lookups = plan
            .lookups
            .iter()
            .cloned()
            .map(LookupCaller::new)
            .collect();
        self.operators = vec![self.first_operator()];
        let changes = self.plan.replay.changes.clone();
        self.operators
            .extend(changes.into_iter().map(Operator::new));
    }

    /// Starts every process and the first operator.
    pub(crate) fn begin(&mut self) {
        for member in 0..self.control.len() {
            self.start_control(member);
        }
        for engine in 0..self.engines.len() {
            self.start_engine(engine);
        }
        for daemon in 0..self.daemons.len() {
            self.start_daemon(daemon);
        }
        self.begin_operator(0);
        self.schedule(self.now, SimEvent::Look);
    }

    /// Lets one event happen.
    pub(crate) fn happen(&mut self, number: EventNumber, now: Timestamp) {
        let Some(event) = self.events.remove(&number) else {
            return;
        };
        self.now = now;
        self.note_in_digest(&event);
        match event {
            SimEvent::Deliver(delivery) => self.deliver(*delivery),
            SimEvent::Wake { node, process, at } => self.wake(node, process, at),
            SimEvent::Synced { member, process } => self.synced(member, process),
            SimEvent::PollEngines { daemon, process } => self.poll_engines(daemon, process),
            SimEvent::ConnectTimeout {
                daemon,
                process,
                attempt,
            } => self.connect_timed_out(daemon, process, attempt),
            SimEvent::Caller { caller, generation } => self.caller_wakes(caller, generation),
            SimEvent::Lookup { lookup, generation } => self.lookup_wakes(lookup, generation),
            SimEvent::Operator {
                operator,
                generation,
            } => self.operator_wakes(operator, generation),
            SimEvent::Fault { fault, begins } => self.fault(fault, begins),
            SimEvent::Start { node, process } => self.start_again(node, process),
            SimEvent::StopControl { member, process } => self.stop_control(member, process),
            SimEvent::Look => self.look(),
        }
    }

    fn note_in_digest(&mut self, event: &SimEvent) {
        let mut facts = vec![event.code()];
        match event {
            SimEvent::Deliver(delivery) => facts.extend([
                delivery.from.code(),
                delivery.to.code(),
                delivery.message.code(),
            ]),
            SimEvent::Wake { node, .. } => facts.push(node.code()),
            _ => {}
        }
        self.digest.note(self.now, &facts);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery.to {
            Node::Control(member) => self.deliver_to_control(member, delivery),
            Node::Daemon(daemon) => self.deliver_to_daemon(daemon, delivery),
            Node::Engine(engine) => self.deliver_to_engine(engine, delivery),
            Node::Service(service) => self.deliver_to_service(service, delivery),
            Node::Callers(_) => self.deliver_to_callers(delivery.message),
            Node::Operators => self.deliver_to_operators(delivery),
        }
    }

    fn wake(&mut self, node: Node, process: u32, at: Timestamp) {
        match node {
            Node::Control(member) => self.wake_control(member, process, at),
            Node::Daemon(daemon) => self.wake_daemon(daemon, process, at),
            Node::Engine(engine) => self.wake_engine(engine, process, at),
            Node::Service(service) => self.wake_service(service, process),
            Node::Callers(_) | Node::Operators => {}
        }
    }

    /// Starts a process that is down, if it is still the same one that went down.
    fn start_again(&mut self, node: Node, process: u32) {
        match node {
            Node::Control(member) if self.control[member].process == process => {
                self.start_control(member);
            }
            Node::Daemon(daemon) if self.daemons[daemon].process == process => {
                self.start_daemon(daemon);
            }
            Node::Engine(engine) if self.engines[engine].process == process => {
                self.start_engine(engine);
            }
            _ => {}
        }
    }

    pub(crate) fn schedule(&mut self, at: Timestamp, event: SimEvent) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.scheduled.push((at, self.last_event));
    }

    pub(crate) fn schedule_in(&mut self, wait: Duration, event: SimEvent) {
        let at = self.now.plus(wait);
        self.schedule(at, event);
    }

    pub(crate) fn take_scheduled(&mut self) -> Vec<(Timestamp, EventNumber)> {
        std::mem::take(&mut self.scheduled)
    }

    /// Sends a message over the network.
    pub(crate) fn send(&mut self, from: Node, to: Node, message: Message) {
        let process = self.process_of(to);
        self.transmit(Delivery {
            from,
            to,
            process,
            message,
        });
    }

    fn transmit(&mut self, delivery: Delivery) {
        let ordered = delivery.message.is_ordered();
        let transmission = self.network.transmit(
            self.now,
            delivery.from,
            delivery.to,
            ordered,
            &mut self.faults,
        );
        match transmission {
            Transmission::Arrives(times) => {
                for at in times {
                    self.schedule(at, SimEvent::Deliver(Box::new(delivery.clone())));
                }
            }
            Transmission::Held => self.held.push(delivery),
            Transmission::Lost => {}
        }
    }

    /// Sends what waited for the end of a cut, in order.
    pub(crate) fn release_held(&mut self) {
        for delivery in std::mem::take(&mut self.held) {
            self.transmit(delivery);
        }
    }

    /// Number of the process that runs at a node now.
    pub(crate) fn process_of(&self, node: Node) -> u32 {
        match node {
            Node::Control(member) => self.control[member].process,
            Node::Daemon(daemon) => self.daemons[daemon].process,
            Node::Engine(engine) => self.engines[engine].process,
            Node::Service(_) | Node::Callers(_) | Node::Operators => 0,
        }
    }

    pub(crate) fn new_ticket(&mut self, waiter: Waiter) -> TicketId {
        self.last_ticket.0 += 1;
        self.tickets.insert(self.last_ticket, waiter);
        self.last_ticket
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Everything that the run gave.
    pub(crate) fn take_result(&mut self) -> SimResult {
        let mut caches = std::mem::take(&mut self.retired_caches);
        let now = self.now;
        let running = self
            .engines
            .iter()
            .filter_map(|engine| engine.core.as_ref());
        caches.extend(running.map(|core| core.cache_use(now)));
        let mut counters = DaemonCounters::default();
        let running = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.logic.as_ref())
            .map(luglink_daemon::Daemon::counters);
        for one in self.retired_counters.iter().copied().chain(running) {
            counters = counters.plus(&one);
        }
        self.leaderless
            .sort_unstable_by(|left, right| right.cmp(left));
        let outcome = format!(
            "{:?}{:?}{:?}",
            self.history.calls, self.history.lookups, self.history.changes
        );
        self.digest.note_text(&outcome);
        SimResult {
            history: std::mem::take(&mut self.history),
            caches,
            faults: self.faults.clone(),
            base: self.base,
            elapsed: self.now.since(self.base),
            digest: self.digest.finish(),
            events: self.digest.events(),
            counters,
            leaderless: std::mem::take(&mut self.leaderless),
            control_traffic: self.daemons.iter().map(|it| it.control_traffic).collect(),
            problems: std::mem::take(&mut self.problems),
        }
    }
}
