//! Finds a turn and the turns that it goes on from on several stores.

use luglink_fleet::{StoreName, StoreView};
use luglink_turns::{AbsenceProof, Chain, Replication, TurnId, TurnRecord};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where a chain is.
#[derive(Clone, Debug)]
pub(crate) enum ChainAnswer {
    /// The turn, last, and its ancestors, oldest first.
    Found(Vec<Rc<TurnRecord>>),
    /// There is no such turn.
    Absent,
    /// Nobody can tell now.
    Unknown,
}

/// Puts a chain together from what several stores have of it.
#[derive(Default)]
pub(crate) struct ChainSearch {
    head: Option<Rc<TurnRecord>>,
    ancestors: BTreeMap<TurnId, Rc<TurnRecord>>,
    absence: AbsenceProof,
    /// Whether any store has answered.
    pub(crate) has_answer: bool,
}

impl ChainSearch {
    /// Takes what a store has.
    pub(crate) fn note(&mut self, view: &StoreView, store: &StoreName, chain: Chain) {
        self.has_answer = true;
        self.absence.note(view, store, &chain);
        if let Chain::Found { turn, ancestors } = chain {
            self.head = Some(Rc::new(*turn));
            for ancestor in ancestors {
                self.ancestors
                    .insert(ancestor.id.clone(), Rc::new(ancestor));
            }
        }
    }

    /// Whether the turn and all that it goes on from were found.
    pub(crate) fn is_complete(&self) -> bool {
        self.head.as_ref().is_some_and(|head| {
            let mut ancestors = head.ancestors.iter();
            ancestors.all(|ancestor| self.ancestors.contains_key(ancestor))
        })
    }

    /// Whether enough stores lack the turn for certain.
    pub(crate) fn is_absent(&self, view: &StoreView, replication: Replication) -> bool {
        self.head.is_none() && self.absence.is_certain(view, replication)
    }

    /// The turn, last, and its ancestors, oldest first, once all were found.
    pub(crate) fn complete(&self) -> Option<Vec<Rc<TurnRecord>>> {
        if !self.is_complete() {
            return None;
        }
        let head = self.head.as_ref()?;
        let ancestors = head.ancestors.iter();
        let mut chain: Vec<Rc<TurnRecord>> = ancestors
            .filter_map(|ancestor| self.ancestors.get(ancestor).cloned())
            .collect();
        chain.push(Rc::clone(head));
        Some(chain)
    }
}
