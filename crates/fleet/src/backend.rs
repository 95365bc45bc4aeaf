//! Replicas as the platform's list names them.

use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// One start of a replica; another start has another identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId(pub String);

impl BackendId {
    /// Spreads identifiers evenly over 64 bits, the same in every process.
    #[must_use]
    pub fn spread(&self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

impl std::fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Names this start of the replica.
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
}

impl Backend {
    /// Differs between replicas that differ in anything.
    pub(crate) fn hash_value(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
