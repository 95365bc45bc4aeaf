//! A program as its owner holds it.

use crate::call::CallId;
use luglink_program::{Owned, ProgramSpec};
use luglink_routing::PrefixHasher;
use luglink_types::{ChatMessage, EngineId, Epoch, Sequence, Timestamp};
use std::collections::VecDeque;

/// What the owner knows.
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

    /// Adds messages to the history.
    pub(crate) fn append(&mut self, messages: impl IntoIterator<Item = ChatMessage>) {
        for message in messages {
            self.prefix.push(&message);
            self.history_bytes += message.content.len();
            self.history.push(message);
        }
    }

    /// Takes the group's history in place of this copy.
    pub(crate) fn replace_history(&mut self, history: Vec<ChatMessage>) {
        self.prefix = PrefixHasher::new(self.spec.model.as_str(), self.spec.adapter.as_deref());
        self.history.clear();
        self.history_bytes = 0;
        self.append(history);
    }

    /// The program's deadline, if it has one.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.spec
            .budget
            .deadline()
            .map_or(Timestamp::MAX, |deadline| self.created_at.plus(deadline))
    }
}

/// Whether the daemon owns the program yet.
#[derive(Clone, Debug)]
pub(crate) enum Ownership {
    /// The control members have been asked.
    Acquiring,
    /// The daemon owns it.
    Held(Box<HeldProgram>),
}

/// A program that the daemon serves or wants to serve.
#[derive(Clone, Debug)]
pub(crate) struct ServedProgram {
    pub(crate) ownership: Ownership,
    /// The call that is past waiting.
    pub(crate) current: Option<CallId>,
    /// Calls that wait for it.
    pub(crate) waiting: VecDeque<CallId>,
    pub(crate) last_used_at: Timestamp,
    /// Claims that were refused since the program was last held.
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
