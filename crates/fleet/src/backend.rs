//! Replicas as the platform's list names them.

use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Names a replica. Most starts of one have another identifier; see [`Incarnation`] for the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId(pub String);

impl BackendId {
    /// Spreads identifiers evenly over 64 bits, the same in every process.
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
    /// Names the replica.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
    /// Its life. It travels behind the list, so that builds without it read the same list.
    #[serde(skip)]
    pub incarnation: Incarnation,
}

impl Backend {
    /// Differs between replicas that differ in anything but their lives. All builds compute the
    /// same, whether they know of incarnations or not.
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

    /// The share of this replica in a sum over the incarnations of a list.
    pub(crate) fn incarnation_hash(&self) -> u64 {
        match self.incarnation {
            Incarnation::UNKNOWN => 0,
            Incarnation(start) => xxh3_64_with_seed(self.id.0.as_bytes(), start),
        }
    }
}
