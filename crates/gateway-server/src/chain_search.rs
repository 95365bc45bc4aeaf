//! Search for a turn and its ancestors across several turn stores.

use luglink_fleet::{StoreName, StoreView};
use luglink_turns::{AbsenceProof, Chain, Replication, TurnId, TurnRecord};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Result of looking up a turn and its ancestors.
#[derive(Clone, Debug)]
pub(crate) enum ChainLookup {
    /// The ancestors, oldest first, followed by the turn itself.
    Found(Vec<Rc<TurnRecord>>),
    /// The turn does not exist.
    Absent,
    /// The stores that answered do not suffice to tell whether the turn exists.
    Unknown,
}

/// Assembles a chain from the responses of several stores.
#[derive(Default)]
pub(crate) struct ChainSearch {
    head: Option<Rc<TurnRecord>>,
    ancestors: BTreeMap<TurnId, Rc<TurnRecord>>,
    absence: AbsenceProof,
    /// True once any store has answered.
    pub(crate) has_answer: bool,
}

impl ChainSearch {
    /// Adds the response of a store.
    pub(crate) fn add_response(&mut self, view: &StoreView, store: &StoreName, chain: Chain) {
        self.has_answer = true;
        self.absence.record(view, store, &chain);
        if let Chain::Found { turn, ancestors } = chain {
            self.head = Some(Rc::new(*turn));
            for ancestor in ancestors {
                self.ancestors
                    .insert(ancestor.id.clone(), Rc::new(ancestor));
            }
        }
    }

    /// Returns true if the turn and all its ancestors were found.
    pub(crate) fn is_complete(&self) -> bool {
        self.head.as_ref().is_some_and(|head| {
            let mut ancestors = head.ancestors.iter();
            ancestors.all(|ancestor| self.ancestors.contains_key(ancestor))
        })
    }

    /// Returns true if so many stores lack the turn that no other store can hold it.
    pub(crate) fn is_absent(&self, view: &StoreView, replication: Replication) -> bool {
        self.head.is_none() && self.absence.is_certain(view, replication)
    }

    /// Returns the ancestors, oldest first, followed by the turn, once all of them were found.
    pub(crate) fn complete_chain(&self) -> Option<Vec<Rc<TurnRecord>>> {
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
