//! State of programs at the daemon that owns them.

use crate::call::CallId;
use luglink_program::{Owned, ProgramSpec};
use luglink_routing::PrefixHasher;
use luglink_types::{ChatMessage, EngineId, Epoch, Sequence, Timestamp};
use std::collections::VecDeque;

/// State of an owned program.
#[derive(Clone, Debug)]
pub(crate) struct HeldProgram {
    pub(crate) epoch: Epoch,
    pub(crate) spec: ProgramSpec,
    pub(crate) next_sequence: Sequence,
    pub(crate) history: Vec<ChatMessage>,
    pub(crate) history_bytes: usize,
    pub(crate) prefix: PrefixHasher,
    pub(crate) created_at: Timestamp,
    pub(crate) previous_engine: Option<EngineId>,
    pub(crate) attained_tokens: u64,
}

impl HeldProgram {
    pub(crate) fn new(owned: Owned) -> Self {
        let mut held = Self {
            epoch: owned.epoch,
            prefix: PrefixHasher::new(owned.spec.model.as_str(), owned.spec.adapter.as_deref()),
            spec: owned.spec,
            next_sequence: owned.next_sequence,
            history: Vec::new(),
            history_bytes: 0,
            created_at: Timestamp::from_micros(owned.created_at_micros),
            previous_engine: owned.engines.last().copied(),
            attained_tokens: 0,
        };
        held.append(owned.history);
        held
    }

    /// Appends messages to the history.
    pub(crate) fn append(&mut self, messages: impl IntoIterator<Item = ChatMessage>) {
        for message in messages {
            self.prefix.push(&message);
            self.history_bytes += message.content.len();
            self.history.push(message);
        }
    }

    /// Replaces the history with the one stored by the program's group.
    pub(crate) fn replace_history(&mut self, history: Vec<ChatMessage>) {
        self.prefix = PrefixHasher::new(self.spec.model.as_str(), self.spec.adapter.as_deref());
        self.history.clear();
        self.history_bytes = 0;
        self.append(history);
    }

    /// Returns the program's deadline, or `Timestamp::MAX` if it has none.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.spec
            .budget
            .deadline()
            .map_or(Timestamp::MAX, |deadline| self.created_at.plus(deadline))
    }
}

/// State of the daemon's ownership of a program.
#[derive(Clone, Debug)]
pub(crate) enum Ownership {
    /// A claim has been sent to the control members.
    Acquiring,
    /// The daemon owns it.
    Held(Box<HeldProgram>),
}

/// A program that the daemon owns or is acquiring.
#[derive(Clone, Debug)]
pub(crate) struct ServedProgram {
    pub(crate) ownership: Ownership,
    /// Call that is queued or in flight.
    pub(crate) current: Option<CallId>,
    /// Calls that wait for the current one or for ownership.
    pub(crate) waiting: VecDeque<CallId>,
    pub(crate) last_used_at: Timestamp,
    /// Refused claims since the program was last owned.
    pub(crate) refused_claims: u32,
}

impl ServedProgram {
    pub(crate) fn acquiring(now: Timestamp) -> Self {
        Self {
            ownership: Ownership::Acquiring,
            current: None,
            waiting: VecDeque::new(),
            last_used_at: now,
            refused_claims: 0,
        }
    }

    pub(crate) fn held(&self) -> Option<&HeldProgram> {
        match &self.ownership {
            Ownership::Held(held) => Some(held),
            Ownership::Acquiring => None,
        }
    }

    pub(crate) fn held_mut(&mut self) -> Option<&mut HeldProgram> {
        match &mut self.ownership {
            Ownership::Held(held) => Some(held),
            Ownership::Acquiring => None,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.current.is_none() && self.waiting.is_empty()
    }
}
