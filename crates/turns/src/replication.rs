//! Quorum rules for clients that write to and read from several stores.

use crate::protocol::Chain;
use luglink_fleet::{StoreName, StoreView, owners};
use std::collections::BTreeSet;

/// Number of copies, derived from the number of simultaneous losses that a deployment tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replication {
    tolerated_losses: usize,
}

impl Replication {
    /// Creates a replication that survives the loss of `tolerated_losses` disks at once.
    #[must_use]
    pub fn surviving(tolerated_losses: usize) -> Self {
        Self { tolerated_losses }
    }

    /// Number of stores that each write is sent to. Any two quorums ([`Replication::quorum`]) of
    /// them have a store in common, so that of two reservations at least one sees the other.
    #[must_use]
    pub fn copies(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Number of stores that must have a write on disk before it is committed.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.tolerated_losses + 1
    }

    /// Number of stores that grant a tenant's quota. At least one survives the tolerated losses.
    #[must_use]
    pub fn quota_owners(&self) -> usize {
        self.tolerated_losses + 1
    }

    /// Returns the stores that own the state of a program.
    #[must_use]
    pub fn owners(&self, view: &StoreView, program: &str) -> Vec<StoreName> {
        owners(view, program, self.copies())
    }
}

/// Collects stores that do not have a turn until their number proves that no store has it.
#[derive(Debug, Default)]
pub struct AbsenceProof {
    stores_without_turn: BTreeSet<StoreName>,
}

impl AbsenceProof {
    /// Records a store's response. The response counts only if the store has the same disk as in
    /// the view and has received all records that it owns ([`StoreView::is_authoritative`]).
    pub fn record(&mut self, view: &StoreView, store: &StoreName, chain: &Chain) {
        if let Chain::Absent { incarnation } = chain
            && view.is_authoritative(store, *incarnation)
        {
            self.stores_without_turn.insert(store.clone());
        }
    }

    /// Returns true if no store can have the turn. A committed turn was written to at least a
    /// quorum of the view's stores, including lost ones. It therefore cannot exist if fewer stores
    /// than a quorum have not been recorded as lacking it.
    #[must_use]
    pub fn is_certain(&self, view: &StoreView, replication: Replication) -> bool {
        let remaining = view.len() - self.stores_without_turn.len().min(view.len());
        !view.is_empty() && remaining < replication.quorum()
    }
}
