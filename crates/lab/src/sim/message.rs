//! Messages of a simulated fleet and the events of its clock.

use crate::sim::node::Node;
use luglink_control::{Request, Response};
use luglink_daemon::{Answer, Dispatch, EngineEvent, Event, TicketId};
use luglink_engine_api::{EngineEvents, EngineOrder, OrderResponse};
use luglink_program::ConfirmRelease;
use luglink_raft::Envelope;
use luglink_routing::AttemptId;
use luglink_types::{EngineId, GroupId, Timestamp};

/// A client of a control member: a daemon's process, or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ControlClientId(pub(crate) u64);

impl ControlClientId {
    /// The client number that stands for all operators.
    const OPERATORS: u64 = u64::MAX;

    /// Clients from here on are no daemons: operators and the members themselves.
    const FIRST_OTHER: u64 = u64::MAX - 15;

    /// The operators who repair members; they look at the outcome, not at the answer.
    pub(crate) const REPAIR: Self = Self(u64::MAX - 2);

    /// A member's requests to itself.
    pub(crate) const OWN: Self = Self(u64::MAX - 1);

    pub(crate) fn daemon(index: usize, process: u32) -> Self {
        Self(((index as u64) << 32) | u64::from(process))
    }

    pub(crate) fn operators() -> Self {
        Self(Self::OPERATORS)
    }

    /// Where responses go; `None` when nobody reads them.
    pub(crate) fn node(self) -> Option<Node> {
        if self.0 == Self::OPERATORS {
            return Some(Node::Operators);
        }
        let daemon = usize::try_from(self.0 >> 32).ok()?;
        (self.0 < Self::FIRST_OTHER).then_some(Node::Daemon(daemon))
    }

    pub(crate) fn process(self) -> u32 {
        u32::try_from(self.0 & u64::from(u32::MAX)).unwrap_or_default()
    }
}

/// What one node says to another.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Between control members.
    Peer {
        group: GroupId,
        envelope: Box<Envelope>,
    },
    /// To a control member.
    ControlRequest {
        client: ControlClientId,
        request: u64,
        body: Box<Request>,
    },
    /// From a control member.
    ControlResponse { request: u64, body: Box<Response> },
    /// To an engine or a service.
    Dispatch {
        daemon: usize,
        process: u32,
        dispatch: Box<Dispatch>,
    },
    /// A dispatch's connection was closed by the daemon.
    Cancel {
        daemon: usize,
        process: u32,
        attempt: AttemptId,
    },
    /// What engines and services did for requests of one daemon.
    Stream {
        items: Vec<(AttemptId, EngineEvent)>,
    },
    /// A daemon asks an engine for its events.
    Poll {
        daemon: usize,
        process: u32,
        after: u64,
    },
    /// The engine's events.
    Polled {
        engine: usize,
        events: Box<EngineEvents>,
    },
    /// A control member's order to an engine.
    Order {
        order: Box<EngineOrder>,
        confirm: ConfirmRelease,
    },
    /// The engine's answer.
    Ordered {
        answer: OrderResponse,
        confirm: ConfirmRelease,
    },
    /// A caller's request; the event carries its ticket.
    CallerRequest { event: Box<Event> },
    /// A daemon's answer to a caller.
    CallerAnswer { ticket: TicketId, answer: Answer },
    /// A caller's connection broke, or was never made.
    CallerBroken { ticket: TicketId, connected: bool },
    /// The platform's list of leaving engines.
    Leaving { engines: Vec<EngineId> },
}

impl Message {
    /// A number for each kind, for digests.
    pub(crate) fn code(&self) -> u64 {
        match self {
            Self::Peer { .. } => 1,
            Self::ControlRequest { .. } => 2,
            Self::ControlResponse { .. } => 3,
            Self::Dispatch { .. } => 4,
            Self::Cancel { .. } => 5,
            Self::Stream { .. } => 6,
            Self::Poll { .. } => 7,
            Self::Polled { .. } => 8,
            Self::Order { .. } => 9,
            Self::Ordered { .. } => 10,
            Self::CallerRequest { .. } => 11,
            Self::CallerAnswer { .. } => 12,
            Self::CallerBroken { .. } => 13,
            Self::Leaving { .. } => 14,
        }
    }

    /// Whether the message is one of a connection whose bytes arrive in order or not at all.
    /// Others may be lost, doubled and overtaken: their senders repeat them.
    pub(crate) fn is_ordered(&self) -> bool {
        !matches!(
            self,
            Self::Peer { .. }
                | Self::ControlRequest { .. }
                | Self::ControlResponse { .. }
                | Self::Order { .. }
                | Self::Ordered { .. }
        )
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    pub(crate) from: Node,
    pub(crate) to: Node,
    /// Process of the receiver that the connection was made to.
    pub(crate) process: u32,
    pub(crate) message: Message,
}

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    /// A message arrives.
    Deliver(Box<Delivery>),
    /// A process's timer is due.
    Wake {
        node: Node,
        process: u32,
        at: Timestamp,
    },
    /// A control member's disk has synced.
    Synced { member: usize, process: u32 },
    /// A daemon asks its engines for their events.
    PollEngines { daemon: usize, process: u32 },
    /// A connection that could not be made is given up.
    ConnectTimeout {
        daemon: usize,
        process: u32,
        attempt: AttemptId,
    },
    /// A caller's wait is over.
    Caller { caller: usize, generation: u32 },
    /// A lookup's wait is over.
    Lookup { lookup: usize, generation: u32 },
    /// An operator's wait is over.
    Operator { operator: usize, generation: u32 },
    /// A fault begins or ends.
    Fault { fault: usize, begins: bool },
    /// A stopped process starts again.
    Start { node: Node, process: u32 },
    /// A control member that handed over its leadership stops.
    StopControl { member: usize, process: u32 },
    /// A look at the fleet from outside.
    Look,
}

impl SimEvent {
    /// A number for each kind, for digests.
    pub(crate) fn code(&self) -> u64 {
        match self {
            Self::Deliver(_) => 1,
            Self::Wake { .. } => 2,
            Self::Synced { .. } => 3,
            Self::PollEngines { .. } => 4,
            Self::ConnectTimeout { .. } => 5,
            Self::Caller { .. } => 6,
            Self::Lookup { .. } => 7,
            Self::Operator { .. } => 8,
            Self::Fault { .. } => 9,
            Self::Start { .. } => 10,
            Self::StopControl { .. } => 11,
            Self::Look => 12,
        }
    }
}
