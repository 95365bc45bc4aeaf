//! Leases of the gateways that follow the crash reports of a store.
//!
//! While its lease lasts, a gateway trusts that it knows all reports that the store has acknowledged.
//! So the store acknowledges a report once every gateway with a lease has it, or its lease has ended.
//! A gateway that is cut off or does not run delays this for at most one lease.

use crate::crash_parts::{CrashResponse, LogPosition};
use crate::node::RequestToken;
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a lease lasts, from the time at which the store receives the request for it.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);

/// Time for which a gateway trusts in a lease, from the time at which it sends the request. The
/// difference covers clocks that run at different speeds.
pub const LEASE_TRUST: Duration = Duration::from_millis(900);

/// Time for which a store holds a request for a lease without new reports. A lease outlasts two
/// such requests.
pub const LEASE_HOLD: Duration = Duration::from_millis(250);

/// Maximum number of reports whose acknowledgement waits. Further ones are not acknowledged.
const MAX_WAITING: usize = 1 << 12;

#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Number of reports that the gateway has.
    known: u64,
    ends_at: Timestamp,
}

/// Response that waits until the gateways with a lease have the reports up to `needed`.
#[derive(Clone, Debug)]
struct WaitingResponse {
    token: RequestToken,
    needed: u64,
    response: CrashResponse,
}

/// Leases of one store's followers, by client.
#[derive(Clone, Debug, Default)]
pub struct FollowerLeases {
    leases: BTreeMap<u64, Lease>,
    waiting: Vec<WaitingResponse>,
    /// Time until which leases of an earlier process of the store may last.
    unknown_until: Timestamp,
}

impl FollowerLeases {
    /// Creates the leases of a store that has just started. Those of an earlier process may last, also
    /// if its disk was lost.
    #[must_use]
    pub fn after_start(now: Timestamp) -> Self {
        Self {
            unknown_until: now.plus(LEASE_DURATION),
            ..Self::default()
        }
    }

    /// Grants a client a lease. It has the reports before `position`, and `latest` is the position of
    /// the store.
    pub fn grant(
        &mut self,
        client: u64,
        position: LogPosition,
        latest: LogPosition,
        now: Timestamp,
    ) {
        let is_same_epoch = position.epoch == latest.epoch;
        let lease = Lease {
            known: if is_same_epoch { position.next } else { 0 },
            ends_at: now.plus(LEASE_DURATION),
        };
        self.leases.insert(client, lease);
    }

    /// Ends the lease of a client that has disconnected, and drops its waiting responses.
    pub fn end(&mut self, client: u64) {
        self.leases.remove(&client);
        self.waiting
            .retain(|waiting| waiting.token.client != client);
    }

    /// Number of leases, some of which may have ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns true if there are no leases.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Keeps the response to a report until the other clients with a lease have the report.
    pub fn hold(&mut self, token: RequestToken, response: CrashResponse) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push(WaitingResponse {
                token,
                needed: response.position.next,
                response,
            });
        }
    }

    /// Removes and returns the responses that need not wait any longer.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(RequestToken, CrashResponse)> {
        self.leases.retain(|_, lease| lease.ends_at > now);
        if self.waiting.is_empty() || now < self.unknown_until {
            return Vec::new();
        }
        let leases = &self.leases;
        let is_due = |waiting: &mut WaitingResponse| {
            let mut others = leases
                .iter()
                .filter(|(client, _)| **client != waiting.token.client);
            others.all(|(_, lease)| lease.known >= waiting.needed)
        };
        let due = self.waiting.extract_if(.., is_due);
        due.map(|waiting| (waiting.token, waiting.response))
            .collect()
    }
}
