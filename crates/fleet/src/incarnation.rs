//! Incarnations of replicas: a replica may restart under its old identifier.
//!
//! Builds without incarnations decode the same lists and compare the same fingerprints. So the
//! incarnation of a replica is not part of a list's encoding and hash. It is sent after the list to
//! processes that request it, and compared by a separate sum.

use crate::attribute_history::ReplicaAttribute;
use crate::backend::BackendId;
use crate::backend_list::BackendList;
use serde::{Deserialize, Serialize};

/// One run of a replica, identified by its start time in Unix milliseconds; 0 if that is unknown.
/// A later run has a higher value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Incarnation of a replica that does not report its start time.
    pub const UNKNOWN: Self = Self(0);

    /// Returns true if both incarnations are known and this one is later than `other`.
    #[must_use]
    pub fn is_after(self, other: Self) -> bool {
        other != Self::UNKNOWN && self > other
    }
}

/// Incarnation of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIncarnation {
    /// The replica.
    pub replica: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Summary of the incarnations that a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnations {
    /// Incarnation sum of its list, see [`BackendList::incarnation_sum`].
    pub sum: u64,
}

impl ReplicaAttribute for ReplicaIncarnation {
    fn sum_of(list: &BackendList) -> u64 {
        list.incarnation_sum()
    }

    fn of(list: &BackendList, replica: &BackendId) -> Option<Self> {
        list.incarnation_of(replica)
    }

    fn replica(&self) -> &BackendId {
        &self.replica
    }
}
