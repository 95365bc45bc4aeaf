//! Turns that this gateway has seen lately. A turn never changes, so a copy is as good as the
//! stores' word while it is kept at all.

use luglink_turns::{TurnId, TurnRecord};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A bounded cache of turns; the oldest give way.
#[derive(Debug)]
pub(crate) struct TurnCache {
    capacity: usize,
    bytes: usize,
    turns: HashMap<TurnId, (Rc<TurnRecord>, Instant)>,
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

    /// A turn that is certainly still kept: one that was seen within half of its retention.
    fn get(&self, id: &TurnId) -> Option<Rc<TurnRecord>> {
        let (turn, seen) = self.turns.get(id)?;
        let certain = Duration::from_millis(turn.retention_ms / 2);
        (seen.elapsed() < certain).then(|| Rc::clone(turn))
    }

    /// A turn with all its ancestors, oldest first and itself last, when all are here.
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
