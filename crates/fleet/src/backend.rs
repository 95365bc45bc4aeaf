//! Replicas as the platform lists them.

use crate::incarnation::Incarnation;
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
}

impl Backend {
    /// Returns a hash of all fields except the incarnation. Builds with and without incarnations
    /// compute the same value.
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
}
