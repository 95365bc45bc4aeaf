//! Quorum rules for clients that write to and read from several stores.

use crate::protocol::Chain;
use luglink_fleet::{StoreName, StoreView, owners, settled_owners};
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

    /// Returns the quorum that a request about a program needs under a view.
    #[must_use]
    pub fn joint_quorum(&self, view: &StoreView, program: &str) -> JointQuorum {
        let settled = settled_owners(view, program, self.copies());
        JointQuorum {
            counting: settled
                .iter()
                .filter(|name| view.is_settled(name))
                .cloned()
                .collect(),
            settled,
            next: self.owners(view, program),
            needed: self.quorum(),
            acknowledged: BTreeSet::new(),
        }
    }
}

/// Collects the stores that acknowledged a request until they are a quorum of the program's owners
/// both in the settled configuration and in the one that follows it.
///
/// All requests about a program under views with the same settled configuration therefore meet in a
/// store that has its present disk since before that configuration was settled, and all requests
/// under later views meet in the configuration that follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointQuorum {
    settled: Vec<StoreName>,
    /// Owners in the settled configuration whose present disks belong to it.
    counting: Vec<StoreName>,
    next: Vec<StoreName>,
    needed: usize,
    acknowledged: BTreeSet<StoreName>,
}

impl JointQuorum {
    /// Returns the stores to send the request to.
    #[must_use]
    pub fn stores(&self) -> Vec<StoreName> {
        let others = self.settled.iter().filter(|name| !self.next.contains(name));
        self.next.iter().chain(others).cloned().collect()
    }

    /// Records that a store acknowledged the request.
    pub fn record(&mut self, store: &StoreName) {
        self.acknowledged.insert(store.clone());
    }

    /// Returns the number of stores that have acknowledged the request.
    #[must_use]
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Returns true if enough stores have acknowledged the request.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let is_quorum = |stores: &[StoreName]| {
            let acknowledged = stores
                .iter()
                .filter(|name| self.acknowledged.contains(*name));
            acknowledged.count() >= self.needed
        };
        is_quorum(&self.counting) && is_quorum(&self.next)
    }

    /// Returns true if enough stores could acknowledge the request under this view.
    #[must_use]
    pub fn is_possible(&self) -> bool {
        self.counting.len() >= self.needed && self.next.len() >= self.needed
    }
}

/// Collects stores that do not have a turn until their number proves that no store has it.
///
/// Like a write, the proof needs the settled configuration and the one that follows it: the turn may have
/// been committed since the latter was settled, which the client may not know yet.
#[derive(Debug, Default)]
pub struct AbsenceProof {
    settled_without_turn: BTreeSet<StoreName>,
    writable_without_turn: BTreeSet<StoreName>,
}

impl AbsenceProof {
    /// Records a store's response. It counts for each configuration to which the store's disk belongs
    /// ([`StoreView::is_authoritative`]).
    pub fn record(&mut self, view: &StoreView, store: &StoreName, chain: &Chain) {
        let Chain::Absent { incarnation } = chain else {
            return;
        };
        if view.is_authoritative(store, *incarnation) {
            self.settled_without_turn.insert(store.clone());
        }
        let mut writable = view.writable();
        if writable.any(|(name, member)| name == store && member.incarnation == *incarnation) {
            self.writable_without_turn.insert(store.clone());
        }
    }

    /// Returns true if no store can have the turn. A committed turn was written to at least a
    /// quorum of the stores in either configuration, including those that have lost their disk
    /// since. It therefore cannot exist if fewer of these stores than a quorum have not been recorded
    /// as lacking it. With fewer stores than copies, the deployment is still being founded, and other
    /// gateways may know more of them.
    #[must_use]
    pub fn is_certain(&self, view: &StoreView, replication: Replication) -> bool {
        let is_certain = |stores: usize, without_turn: &BTreeSet<StoreName>| {
            let remaining = stores - without_turn.len().min(stores);
            stores >= replication.copies() && remaining < replication.quorum()
        };
        is_certain(view.settled_names().count(), &self.settled_without_turn)
            && is_certain(view.writable().count(), &self.writable_without_turn)
    }
}
