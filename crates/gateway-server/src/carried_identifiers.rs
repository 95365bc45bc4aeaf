//! Identifiers of the requests that a connection to a replica has carried.
//!
//! A replica may send more than one response to a request, the second one in the place of the response
//! to a later request. Only the identifier tells them apart, so no connection carries the same one
//! twice.

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of requests on one connection. Further ones use another connection.
const MAX_REQUESTS: usize = 512;

/// Hashes of the identifiers that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedIdentifiers(Vec<u64>);

impl CarriedIdentifiers {
    /// Returns true if the connection may carry a request with this identifier.
    pub(crate) fn may_carry(&self, identifier: &str) -> bool {
        !self.is_full() && !self.0.contains(&xxh3_64(identifier.as_bytes()))
    }

    pub(crate) fn add(&mut self, identifier: &str) {
        self.0.push(xxh3_64(identifier.as_bytes()));
    }

    /// Returns true if the connection may carry no further request.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
