//! Cache of recently seen turns. Turns are immutable, so a cached copy is valid for as long as the
//! stores are certain to retain the turn.

use luglink_turns::{TurnId, TurnRecord};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Cache of turns with a maximum size in bytes. The oldest turns are evicted first.
#[derive(Debug)]
pub(crate) struct TurnCache {
    /// Maximum number of bytes.
    capacity: usize,
    bytes: usize,
    turns: HashMap<TurnId, (Rc<TurnRecord>, Instant)>,
    /// Identifiers in the order of insertion.
    order: VecDeque<TurnId>,
}

impl TurnCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bytes: 0,
            turns: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn insert(&mut self, turn: Rc<TurnRecord>) {
        if self.turns.contains_key(&turn.id) {
            return;
        }
        self.bytes += turn.size();
        self.order.push_back(turn.id.clone());
        self.turns.insert(turn.id.clone(), (turn, Instant::now()));
        while self.bytes > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some((turn, _)) = self.turns.remove(&oldest) {
                self.bytes -= turn.size();
            }
        }
    }

    /// Returns a turn that was inserted within half of its retention time, so that the stores are
    /// certain to retain it still.
    fn get(&self, id: &TurnId) -> Option<Rc<TurnRecord>> {
        let (turn, inserted_at) = self.turns.get(id)?;
        let max_age = Duration::from_millis(turn.retention_ms / 2);
        (inserted_at.elapsed() < max_age).then(|| Rc::clone(turn))
    }

    /// Returns the ancestors of a turn, oldest first, followed by the turn, if all are cached.
    pub(crate) fn chain(&self, id: &TurnId) -> Option<Vec<Rc<TurnRecord>>> {
        let turn = self.get(id)?;
        let mut chain = Vec::with_capacity(turn.ancestors.len() + 1);
        for ancestor in &turn.ancestors {
            chain.push(Rc::clone(&self.turns.get(ancestor)?.0));
        }
        chain.push(turn);
        Some(chain)
    }
}
