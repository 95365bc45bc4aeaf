//! The rules for those who write to and read from several stores.

use crate::protocol::Chain;
use luglink_fleet::{StoreName, StoreView, owners};
use std::collections::BTreeSet;

/// How many copies there are, from the losses that a deployment tolerates at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replication {
    tolerated_losses: usize,
}

impl Replication {
    /// Copies that survive the loss of `tolerated_losses` disks at once.
    #[must_use]
    pub fn surviving(tolerated_losses: usize) -> Self {
        Self { tolerated_losses }
    }

    /// Stores that each write goes to. Any two sets of [`Replication::quorum`] among them have
    /// one in common, so that of two reservations at least one sees the other.
    #[must_use]
    pub fn copies(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Stores that must have a write on disk before it counts.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.tolerated_losses + 1
    }

    /// Stores that give out a tenant's quota: at least one outlasts the losses that are tolerated.
    #[must_use]
    pub fn quota_owners(&self) -> usize {
        self.tolerated_losses + 1
    }

    /// The stores that a program's state goes to.
    #[must_use]
    pub fn owners(&self, view: &StoreView, program: &str) -> Vec<StoreName> {
        owners(view, program, self.copies())
    }
}

/// Collects the words of stores that lack a turn, until it is sure that there is none.
#[derive(Debug, Default)]
pub struct AbsenceProof {
    lacking: BTreeSet<StoreName>,
}

impl AbsenceProof {
    /// Takes a store's answer. One that may not have been filled yet proves nothing.
    pub fn record(&mut self, view: &StoreView, store: &StoreName, chain: &Chain) {
        if let Chain::Absent { incarnation } = chain
            && view.is_authoritative(store, *incarnation)
        {
            self.lacking.insert(store.clone());
        }
    }

    /// Whether no store can hold the turn: it would be on at least a quorum of the disks that
    /// ever counted, so fewer than a quorum may be left unasked.
    #[must_use]
    pub fn is_certain(&self, view: &StoreView, replication: Replication) -> bool {
        let unasked = view.len() - self.lacking.len().min(view.len());
        !view.is_empty() && unasked < replication.quorum()
    }
}
