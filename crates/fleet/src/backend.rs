//! Replicas as the platform's list names them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// One start of a replica; another start has another identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId(pub String);

impl std::fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

/// All replicas, as one look at the platform's list showed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendList {
    backends: Vec<Backend>,
    fingerprint: u64,
}

impl BackendList {
    /// A list in a canonical order.
    #[must_use]
    pub fn new(mut backends: Vec<Backend>) -> Self {
        backends.sort();
        let text = format!("{backends:?}");
        Self {
            fingerprint: xxh3_64(text.as_bytes()),
            backends,
        }
    }

    /// The replicas.
    #[must_use]
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Differs between lists that differ.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}

/// The list as a control member passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Fingerprint of the list.
    pub fingerprint: u64,
    /// Time since the platform showed it.
    pub age: Duration,
    /// The list, unless the asker has it.
    pub list: Option<BackendList>,
}
