//! Daemons in the simulator: the real logic between simulated callers, engines and members.

use crate::observe::Isolation;
use crate::sim::config::SimConfig;
use crate::sim::control::{member_id, member_index};
use crate::sim::injection::RESTART_TIME;
use crate::sim::local_clock::LocalClock;
use crate::sim::message::{ControlClientId, Delivery, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::{World, derive_seed};
use luglink_daemon::{
    Action, Answer, Daemon, DaemonConfig, Dispatch, DispatchBody, EngineEvent, Event, OperationId,
    TicketId,
};
use luglink_daemon_server::EngineEventReader;
use luglink_engine_api::EngineEvents;
use luglink_routing::AttemptId;
use luglink_types::{DaemonId, EngineId, MemberId, Revision, Timestamp, ZoneName};
use luglink_wire::encode_body;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One daemon.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) logic: Option<Daemon>,
    pub(crate) process: u32,
    /// Callers that wait for this process, and which zone they are in.
    pub(crate) tickets: BTreeMap<TicketId, Node>,
    /// Requests at engines and services.
    attempts: BTreeMap<AttemptId, Node>,
    readers: BTreeMap<EngineId, EngineEventReader>,
    wake_at: Option<Timestamp>,
    clock: LocalClock,
    pub(crate) hung: Option<Vec<Delivery>>,
    pub(crate) draining: bool,
    /// Since when it cannot be reached or does not run.
    pub(crate) isolated_since: Option<Timestamp>,
    /// The process and revision that were noted last.
    pub(crate) noted: Option<(u32, Revision)>,
    /// Bytes and messages between it and the control members.
    pub(crate) control_traffic: ControlTraffic,
}

/// Traffic between a daemon and the control members, as frames on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Messages, both ways.
    pub messages: u64,
    /// Bytes, both ways.
    pub bytes: u64,
}

impl ControlTraffic {
    /// Counts a message. The frame around a body is a few bytes of the same size for all.
    fn count<T: serde::Serialize>(&mut self, body: &T) {
        self.messages += 1;
        let length = encode_body(body).map_or(0, |bytes| bytes.len());
        self.bytes += length as u64 + FRAME_BYTES;
    }
}

/// Length, kind, correlation and body length of a frame.
const FRAME_BYTES: u64 = 17;

impl DaemonProcess {
    pub(crate) fn new(config: &SimConfig, random: &mut impl Rng) -> Self {
        Self {
            logic: None,
            process: 0,
            tickets: BTreeMap::new(),
            attempts: BTreeMap::new(),
            readers: BTreeMap::new(),
            wake_at: None,
            clock: LocalClock::new(config.clocks, random),
            hung: None,
            draining: false,
            isolated_since: None,
            noted: None,
            control_traffic: ControlTraffic::default(),
        }
    }
}

impl World {
    fn daemon_config(&self, daemon: usize) -> DaemonConfig {
        let zone = &self.config.topology.zones[self.config.topology.zone_of(daemon)];
        let members: Vec<MemberId> = (0..self.config.control_members).map(member_id).collect();
        let id = DaemonId(u32::try_from(daemon).unwrap_or(u32::MAX));
        let mut config = DaemonConfig::new(id, ZoneName::from(zone.name.as_str()), members);
        config.program_groups = self.config.program_groups;
        config.router.policy = self.config.policy;
        config.router.max_requests_per_replica = self.config.max_requests_per_replica;
        config.max_queued_calls = self.config.max_queued_calls;
        config.engine_silence_timeout = self.config.engine_silence_timeout;
        config
    }

    pub(crate) fn start_daemon(&mut self, daemon: usize) {
        if self.daemons[daemon].logic.is_some() {
            return;
        }
        let config = self.daemon_config(daemon);
        self.daemons[daemon].process += 1;
        let process = self.daemons[daemon].process;
        let seed = derive_seed(self.config.seed, 1_000 + daemon as u64, u64::from(process));
        let local = self.daemons[daemon].clock.at(self.now);
        match Daemon::new(config, seed, local) {
            Ok(logic) => {
                let state = &mut self.daemons[daemon];
                state.logic = Some(logic);
                state.draining = false;
                state.wake_at = None;
                state.readers.clear();
                self.daemon_event(daemon, Event::Tick);
                self.schedule_in(
                    self.config.poll_interval,
                    SimEvent::PollEngines { daemon, process },
                );
            }
            Err(error) => self.problems.push(format!("daemon/{daemon}: {error}")),
        }
    }

    /// Ends the process at once. Whoever was connected to it notices, unless the machine went
    /// silent with it.
    pub(crate) fn crash_daemon(&mut self, daemon: usize, silent: bool, planned: bool) {
        let state = &mut self.daemons[daemon];
        let Some(logic) = state.logic.take() else {
            return;
        };
        self.retired_counters.push(logic.counters());
        let process = state.process;
        state.hung = None;
        let tickets = std::mem::take(&mut state.tickets);
        let attempts = std::mem::take(&mut state.attempts);
        if planned {
            let cut: Vec<String> = tickets
                .keys()
                .filter_map(|ticket| self.request_of(*ticket))
                .collect();
            self.history.cut_by_stop.extend(cut);
        }
        if silent {
            return;
        }
        let from = Node::Daemon(daemon);
        for (ticket, to) in tickets {
            let connected = true;
            self.send(from, to, Message::CallerBroken { ticket, connected });
        }
        for (attempt, to) in attempts {
            let message = Message::Cancel {
                daemon,
                process,
                attempt,
            };
            self.send(from, to, message);
        }
    }

    /// Begins a planned stop; the process ends once every request in flight is answered.
    pub(crate) fn begin_daemon_stop(&mut self, daemon: usize) {
        if self.daemons[daemon].logic.is_some() {
            self.daemons[daemon].draining = true;
            self.daemon_event(daemon, Event::Drain);
        }
    }

    pub(crate) fn deliver_to_daemon(&mut self, daemon: usize, delivery: Delivery) {
        let state = &mut self.daemons[daemon];
        if state.logic.is_none() || state.process != delivery.process {
            self.refused_by_daemon(daemon, delivery);
            return;
        }
        if let Some(waiting) = &mut state.hung {
            waiting.push(delivery);
            return;
        }
        match delivery.message {
            Message::ControlResponse { request, body } => {
                if self.config.count_traffic {
                    state.control_traffic.count(body.as_ref());
                }
                let event = Event::Control {
                    operation: OperationId(request),
                    response: body,
                };
                self.daemon_event(daemon, event);
            }
            Message::Stream { items } => {
                for (attempt, event) in items {
                    let is_part = matches!(event, EngineEvent::Part(_));
                    if !is_part {
                        self.daemons[daemon].attempts.remove(&attempt);
                    }
                    self.daemon_event(daemon, Event::Engine { attempt, event });
                }
            }
            Message::Polled { engine, events } => self.take_events(daemon, engine, *events),
            Message::CallerRequest { event } => {
                if let Some(ticket) = ticket_of(&event) {
                    self.daemons[daemon].tickets.insert(ticket, delivery.from);
                }
                if let Event::CallerGone { ticket } = *event {
                    self.daemons[daemon].tickets.remove(&ticket);
                }
                self.daemon_event(daemon, *event);
            }
            Message::Leaving { engines } => {
                self.daemon_event(daemon, Event::Leaving { engines });
            }
            _ => {}
        }
    }

    /// Nobody listens at the daemon's address: callers notice at once.
    fn refused_by_daemon(&mut self, daemon: usize, delivery: Delivery) {
        let Message::CallerRequest { event } = &delivery.message else {
            return;
        };
        if let Some(ticket) = ticket_of(event) {
            let connected = self.daemons[daemon].process != delivery.process;
            let message = Message::CallerBroken { ticket, connected };
            self.send(Node::Daemon(daemon), delivery.from, message);
        }
    }

    pub(crate) fn daemon_event(&mut self, daemon: usize, event: Event) {
        let state = &mut self.daemons[daemon];
        let local = state.clock.at(self.now);
        let Some(logic) = &mut state.logic else {
            return;
        };
        let actions = logic.handle(event, local);
        let mut drained = false;
        for action in actions {
            drained |= action == Action::Drained;
            self.carry_out(daemon, action);
        }
        if drained {
            let process = self.daemons[daemon].process;
            self.crash_daemon(daemon, false, true);
            let node = Node::Daemon(daemon);
            return self.schedule_in(RESTART_TIME, SimEvent::Start { node, process });
        }
        self.rearm_daemon(daemon);
    }

    fn rearm_daemon(&mut self, daemon: usize) {
        let state = &mut self.daemons[daemon];
        let Some(logic) = &state.logic else {
            return;
        };
        let deadline = state.clock.when(logic.next_deadline());
        let at = deadline.max(self.now.plus(Duration::from_micros(1)));
        if state.wake_at.is_none_or(|wake| at < wake) {
            state.wake_at = Some(at);
            let process = state.process;
            let node = Node::Daemon(daemon);
            self.schedule(at, SimEvent::Wake { node, process, at });
        }
    }

    pub(crate) fn wake_daemon(&mut self, daemon: usize, process: u32, at: Timestamp) {
        let state = &mut self.daemons[daemon];
        if state.process != process || state.wake_at != Some(at) {
            return;
        }
        state.wake_at = None;
        if state.hung.is_none() {
            self.daemon_event(daemon, Event::Tick);
        }
    }

    fn carry_out(&mut self, daemon: usize, action: Action) {
        let from = Node::Daemon(daemon);
        let process = self.daemons[daemon].process;
        match action {
            Action::Answer { ticket, answer } => self.answer_caller(daemon, ticket, answer),
            Action::Control {
                member,
                operation,
                request,
            } => {
                if self.config.count_traffic {
                    let traffic = &mut self.daemons[daemon].control_traffic;
                    traffic.count(request.as_ref());
                }
                let message = Message::ControlRequest {
                    client: ControlClientId::daemon(daemon, process),
                    request: operation.0,
                    body: request,
                };
                self.send(from, Node::Control(member_index(member)), message);
            }
            Action::Dispatch(dispatch) => self.dispatch(daemon, process, dispatch),
            Action::Cancel { attempt } => {
                if let Some(to) = self.daemons[daemon].attempts.remove(&attempt) {
                    let message = Message::Cancel {
                        daemon,
                        process,
                        attempt,
                    };
                    self.send(from, to, message);
                }
            }
            Action::Drained => {}
        }
    }

    fn answer_caller(&mut self, daemon: usize, ticket: TicketId, answer: Answer) {
        let is_part = matches!(answer, Answer::Part(_));
        let tickets = &mut self.daemons[daemon].tickets;
        let to = if is_part {
            tickets.get(&ticket).copied()
        } else {
            tickets.remove(&ticket)
        };
        if let Some(to) = to {
            let message = Message::CallerAnswer { ticket, answer };
            self.send(Node::Daemon(daemon), to, message);
        }
    }

    fn dispatch(&mut self, daemon: usize, process: u32, dispatch: Box<Dispatch>) {
        let from = Node::Daemon(daemon);
        let attempt = dispatch.attempt;
        let index = dispatch.engine.0 as usize;
        let to = match dispatch.body {
            DispatchBody::Chat(_) => Node::Engine(index),
            DispatchBody::Lookup(_) => Node::Service(index - self.engines.len()),
        };
        // Half of the requests need a new connection; one through a cut is never made.
        if self.network.is_cut(from, to) && self.random.random_bool(0.5) {
            self.faults.cut_messages += 1;
            let event = SimEvent::ConnectTimeout {
                daemon,
                process,
                attempt,
            };
            return self.schedule_in(CONNECT_TIMEOUT, event);
        }
        self.daemons[daemon].attempts.insert(attempt, to);
        let message = Message::Dispatch {
            daemon,
            process,
            dispatch,
        };
        self.send(from, to, message);
    }

    pub(crate) fn connect_timed_out(&mut self, daemon: usize, process: u32, attempt: AttemptId) {
        if self.daemons[daemon].process == process {
            let event = EngineEvent::NotSent;
            self.daemon_event(daemon, Event::Engine { attempt, event });
        }
    }

    pub(crate) fn poll_engines(&mut self, daemon: usize, process: u32) {
        let state = &self.daemons[daemon];
        if state.process != process {
            return;
        }
        let Some(logic) = &state.logic else {
            return;
        };
        let replicas: BTreeSet<EngineId> = logic
            .engine_replicas()
            .iter()
            .map(|replica| replica.engine)
            .collect();
        let hung = state.hung.is_some();
        for engine in replicas {
            if hung {
                break;
            }
            let reader = self.daemons[daemon].readers.get(&engine);
            let after = reader.copied().unwrap_or_default().last();
            let message = Message::Poll {
                daemon,
                process,
                after,
            };
            let to = Node::Engine(engine.0 as usize);
            self.send(Node::Daemon(daemon), to, message);
        }
        self.schedule_in(
            self.config.poll_interval,
            SimEvent::PollEngines { daemon, process },
        );
    }

    fn take_events(&mut self, daemon: usize, engine: usize, events: EngineEvents) {
        let engine = EngineId(u32::try_from(engine).unwrap_or(u32::MAX));
        let reader = self.daemons[daemon].readers.entry(engine).or_default();
        for event in reader.convert(engine, events) {
            self.daemon_event(daemon, event);
        }
    }

    /// The process goes on after a hang: everything that waited comes at once.
    pub(crate) fn thaw_daemon(&mut self, daemon: usize) {
        let Some(waiting) = self.daemons[daemon].hung.take() else {
            return;
        };
        self.daemons[daemon].wake_at = None;
        self.daemon_event(daemon, Event::Tick);
        for delivery in waiting {
            self.deliver_to_daemon(daemon, delivery);
        }
    }

    /// Notes from when to when faults kept a daemon from the others.
    pub(crate) fn note_isolations(&mut self) {
        for daemon in 0..self.daemons.len() {
            let state = &self.daemons[daemon];
            let away = state.logic.is_none()
                || state.hung.is_some()
                || self.network.is_isolated(Node::Daemon(daemon));
            let since = state.isolated_since;
            match since {
                None if away => self.daemons[daemon].isolated_since = Some(self.now),
                Some(from) if !away => {
                    self.daemons[daemon].isolated_since = None;
                    self.history.isolations.push(Isolation {
                        daemon: u32::try_from(daemon).unwrap_or(u32::MAX),
                        from,
                        until: self.now,
                    });
                }
                _ => {}
            }
        }
    }
}

/// The ticket of a caller's request.
fn ticket_of(event: &Event) -> Option<TicketId> {
    match event {
        Event::Create { ticket, .. }
        | Event::Call { ticket, .. }
        | Event::View { ticket, .. }
        | Event::End { ticket, .. }
        | Event::Lookup { ticket, .. } => Some(*ticket),
        _ => None,
    }
}
