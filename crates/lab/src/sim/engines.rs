//! Engines in the simulator: the emulator's core in virtual time.

use crate::engine::{EngineCore, EngineOutput, EngineRequest};
use crate::observe::Execution;
use crate::sim::config::SimConfig;
use crate::sim::local_clock::LocalClock;
use crate::sim::message::{Delivery, Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::{World, derive_seed};
use luglink_daemon::{ChatDispatch, Dispatch, DispatchBody, EngineEvent};
use luglink_engine_api::{EngineOrder, OrderResponse};
use luglink_program::ConfirmRelease;
use luglink_routing::AttemptId;
use luglink_types::{EngineId, Timestamp};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// The connection that a request came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Connection {
    pub(crate) daemon: usize,
    pub(crate) process: u32,
    pub(crate) attempt: AttemptId,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct EngineProcess {
    pub(crate) core: Option<EngineCore>,
    clock: LocalClock,
    pub(crate) process: u32,
    connections: BTreeMap<u64, Connection>,
    last_request: u64,
    wake_at: Option<Timestamp>,
    pub(crate) hung: Option<Vec<Delivery>>,
    pub(crate) drop_events: bool,
    pub(crate) silent: bool,
}

impl EngineProcess {
    pub(crate) fn new(config: &SimConfig, random: &mut impl Rng) -> Self {
        Self {
            core: None,
            clock: LocalClock::new(config.clocks, random),
            process: 0,
            connections: BTreeMap::new(),
            last_request: 0,
            wake_at: None,
            hung: None,
            drop_events: false,
            silent: false,
        }
    }
}

impl World {
    pub(crate) fn start_engine(&mut self, engine: usize) {
        if self.engines[engine].core.is_some() {
            return;
        }
        let config = self.config.engine.clone();
        let state = &mut self.engines[engine];
        state.process += 1;
        let seed = derive_seed(
            self.config.seed,
            100_000 + engine as u64,
            u64::from(state.process),
        );
        state.core = Some(EngineCore::new(config, seed));
        state.silent = false;
        state.hung = None;
        state.wake_at = None;
    }

    /// The engine dies and its cache with it.
    pub(crate) fn crash_engine(&mut self, engine: usize, silent: bool) {
        let now = self.now;
        let state = &mut self.engines[engine];
        let Some(core) = state.core.take() else {
            return;
        };
        state.silent = silent;
        state.hung = None;
        self.retired_caches.push(core.cache_use(now));
        let connections = std::mem::take(&mut state.connections);
        if silent {
            return;
        }
        for connection in connections.into_values() {
            self.tell_daemon(Node::Engine(engine), connection, EngineEvent::Broken);
        }
    }

    /// Says something on a request's connection.
    pub(crate) fn tell_daemon(&mut self, from: Node, connection: Connection, event: EngineEvent) {
        let items = vec![(connection.attempt, event)];
        self.stream(from, connection.daemon, connection.process, items);
    }

    fn stream(
        &mut self,
        from: Node,
        daemon: usize,
        process: u32,
        items: Vec<(AttemptId, EngineEvent)>,
    ) {
        // The connection died with the process at its other end.
        if self.daemons[daemon].process == process {
            self.send(from, Node::Daemon(daemon), Message::Stream { items });
        }
    }

    pub(crate) fn deliver_to_engine(&mut self, engine: usize, delivery: Delivery) {
        let state = &mut self.engines[engine];
        if state.core.is_none() || state.process != delivery.process {
            self.refused_by_engine(engine, &delivery);
            return;
        }
        if let Some(waiting) = &mut state.hung {
            waiting.push(delivery);
            return;
        }
        let from = delivery.from;
        match delivery.message {
            Message::Dispatch {
                daemon,
                process,
                dispatch,
            } => self.submit(engine, daemon, process, *dispatch),
            Message::Cancel {
                daemon,
                process,
                attempt,
            } => self.cancel(
                engine,
                Connection {
                    daemon,
                    process,
                    attempt,
                },
            ),
            Message::Poll {
                daemon,
                process,
                after,
            } => self.polled(engine, daemon, process, after),
            Message::Order { order, confirm } => self.ordered(engine, from, &order, confirm),
            _ => {}
        }
        self.rearm_engine(engine);
    }

    /// The process that was asked is gone. A connection that was never made proves that the
    /// request was not sent; one that was reset proves nothing.
    fn refused_by_engine(&mut self, engine: usize, delivery: &Delivery) {
        let Message::Dispatch {
            daemon,
            process,
            dispatch,
        } = &delivery.message
        else {
            return;
        };
        let connection = Connection {
            daemon: *daemon,
            process: *process,
            attempt: dispatch.attempt,
        };
        let state = &self.engines[engine];
        if state.silent {
            // Nobody answers at all; the daemon's connection attempt runs out of time.
            let event = SimEvent::ConnectTimeout {
                daemon: *daemon,
                process: *process,
                attempt: dispatch.attempt,
            };
            return self.schedule_in(Duration::from_secs(2), event);
        }
        let was_connected = state.process != delivery.process;
        let event = if was_connected {
            EngineEvent::Broken
        } else {
            EngineEvent::NotSent
        };
        self.tell_daemon(Node::Engine(engine), connection, event);
    }

    fn submit(&mut self, engine: usize, daemon: usize, process: u32, dispatch: Dispatch) {
        let connection = Connection {
            daemon,
            process,
            attempt: dispatch.attempt,
        };
        let DispatchBody::Chat(chat) = dispatch.body else {
            return;
        };
        let now = self.now;
        let state = &mut self.engines[engine];
        state.last_request += 1;
        let id = state.last_request;
        let request = engine_request(id, chat.clone());
        let expired = state.clock.at(now) > chat.start_by;
        let Some(core) = &mut state.core else {
            return;
        };
        if expired || core.submit(&request, now).is_err() {
            return self.tell_daemon(Node::Engine(engine), connection, EngineEvent::Rejected);
        }
        state.connections.insert(id, connection);
        let mut execution =
            Execution::of(&request, chat.sequence.0, u64::from(chat.attempt_number.0));
        execution.engine = engine_id(engine);
        execution.at = now;
        if !self.config.keep_prompts {
            execution.prompt = Vec::new();
        }
        self.history.executions.push(execution);
    }

    fn cancel(&mut self, engine: usize, closed: Connection) {
        let now = self.now;
        let state = &mut self.engines[engine];
        let request = state
            .connections
            .iter()
            .find(|(_, connection)| **connection == closed)
            .map(|(request, _)| *request);
        if let (Some(request), Some(core)) = (request, &mut state.core) {
            state.connections.remove(&request);
            core.cancel(request, now);
        }
    }

    fn polled(&mut self, engine: usize, daemon: usize, process: u32, after: u64) {
        let now = self.now;
        let state = &self.engines[engine];
        let Some(core) = &state.core else {
            return;
        };
        if state.drop_events || self.daemons[daemon].process != process {
            return;
        }
        let events = Box::new(core.events(after, now));
        let message = Message::Polled { engine, events };
        self.send(Node::Engine(engine), Node::Daemon(daemon), message);
    }

    fn ordered(&mut self, engine: usize, from: Node, order: &EngineOrder, confirm: ConfirmRelease) {
        let now = self.now;
        let Some(core) = &mut self.engines[engine].core else {
            return;
        };
        let answer: OrderResponse = core.order(order, now);
        self.send(
            Node::Engine(engine),
            from,
            Message::Ordered { answer, confirm },
        );
    }

    pub(crate) fn wake_engine(&mut self, engine: usize, process: u32, at: Timestamp) {
        let now = self.now;
        let state = &mut self.engines[engine];
        if state.process != process || state.wake_at != Some(at) {
            return;
        }
        state.wake_at = None;
        if state.hung.is_some() {
            return;
        }
        let Some(core) = &mut state.core else {
            return;
        };
        let outputs = core.advance(now);
        self.pass_on(engine, outputs);
        self.rearm_engine(engine);
    }

    /// Sends what a step said, one message for each daemon.
    fn pass_on(&mut self, engine: usize, outputs: Vec<EngineOutput>) {
        let mut by_daemon: BTreeMap<(usize, u32), Vec<(AttemptId, EngineEvent)>> = BTreeMap::new();
        for output in outputs {
            let (request, event) = match output {
                EngineOutput::Token { request, text, .. } => (request, EngineEvent::Part(text)),
                EngineOutput::Finished { request, usage, .. } => {
                    (request, EngineEvent::Completed { usage })
                }
            };
            let connections = &mut self.engines[engine].connections;
            let connection = if matches!(event, EngineEvent::Completed { .. }) {
                connections.remove(&request)
            } else {
                connections.get(&request).copied()
            };
            if let Some(connection) = connection {
                by_daemon
                    .entry((connection.daemon, connection.process))
                    .or_default()
                    .push((connection.attempt, event));
            }
        }
        for ((daemon, process), items) in by_daemon {
            self.stream(Node::Engine(engine), daemon, process, items);
        }
    }

    pub(crate) fn rearm_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let Some(next) = state.core.as_ref().and_then(EngineCore::next_event_at) else {
            return;
        };
        let at = next.max(self.now.plus(Duration::from_micros(1)));
        if state.wake_at.is_none_or(|wake| at < wake) {
            state.wake_at = Some(at);
            let process = state.process;
            let node = Node::Engine(engine);
            self.schedule(at, SimEvent::Wake { node, process, at });
        }
    }

    /// The engine goes on after a hang.
    pub(crate) fn thaw_engine(&mut self, engine: usize) {
        let Some(waiting) = self.engines[engine].hung.take() else {
            return;
        };
        self.engines[engine].wake_at = None;
        for delivery in waiting {
            self.deliver_to_engine(engine, delivery);
        }
        self.rearm_engine(engine);
    }
}

pub(crate) fn engine_id(index: usize) -> EngineId {
    EngineId(u32::try_from(index).unwrap_or(u32::MAX))
}

fn engine_request(id: u64, chat: ChatDispatch) -> EngineRequest {
    EngineRequest {
        id,
        program: Some(chat.program),
        epoch: chat.epoch,
        priority: chat.priority.rank(),
        model: chat.model.0,
        adapter: chat.adapter,
        messages: chat.messages,
        max_tokens: chat.max_output_tokens,
    }
}
