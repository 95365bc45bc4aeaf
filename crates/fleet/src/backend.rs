//! Replicas as the platform lists them.

use crate::incarnation::Incarnation;
use crate::software_version::{ReplicaVersion, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Identifier of a replica. A replica usually gets a new one when it restarts; [`Incarnation`]
/// distinguishes restarts under the same identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId(pub String);

impl BackendId {
    /// Returns a 64-bit hash that is the same in every process and build.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

impl std::fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Backend {
    /// Identifier.
    pub id: BackendId,
    /// Service that the replica belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// True if the replica is shutting down and must not get new requests.
    pub draining: bool,
    /// Its incarnation, sent after the list, so that builds without incarnations can decode the
    /// same list.
    #[serde(skip)]
    pub incarnation: Incarnation,
    /// Version of its software, sent after the list like the incarnation; `None` if it is not
    /// known.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

impl Backend {
    /// Returns a hash of all fields except the incarnation and the software version. Builds without
    /// these compute the same value.
    pub(crate) fn hash_value(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.id.hash(&mut hasher);
        self.service.hash(&mut hasher);
        self.address.hash(&mut hasher);
        self.zone.hash(&mut hasher);
        self.slots.hash(&mut hasher);
        self.draining.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the term of this replica in the incarnation sum of a list.
    pub(crate) fn incarnation_hash(&self) -> u64 {
        match self.incarnation {
            Incarnation::UNKNOWN => 0,
            Incarnation(start) => xxh3_64_with_seed(self.id.0.as_bytes(), start),
        }
    }

    /// Returns the term of this replica in the version sum of a list.
    pub(crate) fn version_hash(&self) -> u64 {
        let Some(version) = &self.version else {
            return 0;
        };
        let mut hasher = Xxh3::new();
        self.id.hash(&mut hasher);
        self.incarnation.hash(&mut hasher);
        version.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the software version with the incarnation that has it, if it is known.
    pub(crate) fn replica_version(&self) -> Option<ReplicaVersion> {
        let version = self.version.clone()?;
        Some(ReplicaVersion {
            replica: self.id.clone(),
            incarnation: self.incarnation,
            version,
        })
    }

    /// Fills in what an earlier entry of the same replica says and this one does not: a decoded
    /// entry has neither an incarnation nor a software version.
    pub fn complete_from(&mut self, earlier: &Self) {
        if self.incarnation < earlier.incarnation {
            self.incarnation = earlier.incarnation;
            self.version.clone_from(&earlier.version);
        } else if self.incarnation == earlier.incarnation && self.version.is_none() {
            self.version.clone_from(&earlier.version);
        }
    }
}
