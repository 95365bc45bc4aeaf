//! Software versions of replicas. Versions have no order.
//!
//! Like incarnations, they are sent after the list to processes that request them, so that builds
//! without versions decode the same lists and compare the same fingerprints.

use crate::attribute_history::ReplicaAttribute;
use crate::backend::BackendId;
use crate::backend_list::BackendList;
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};

/// Version of a replica's software, as the list names it. Only replicas with equal versions
/// continue each other's streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(pub String);

impl std::fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Software version of one incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaVersion {
    /// The replica.
    pub replica: BackendId,
    /// The incarnation that has the version.
    pub incarnation: Incarnation,
    /// Its version.
    pub version: SoftwareVersion,
}

/// Summary of the software versions that a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownReplicaVersions {
    /// Version sum of its list, see [`BackendList::version_sum`].
    pub sum: u64,
}

impl ReplicaAttribute for ReplicaVersion {
    fn sum_of(list: &BackendList) -> u64 {
        list.version_sum()
    }

    fn of(list: &BackendList, replica: &BackendId) -> Option<Self> {
        list.version_of(replica)
    }

    fn replica(&self) -> &BackendId {
        &self.replica
    }
}
