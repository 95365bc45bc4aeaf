//! Gateways that wait for the next crash report.

use luglink_turns::{CrashRequest, LEASE_HOLD, LogPosition, RequestToken};
use std::time::{Duration, Instant};

/// Maximum time for which a request for new crash reports without a lease is held.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Request for the crash reports from a position on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Follower {
    pub(crate) token: RequestToken,
    position: LogPosition,
    has_lease: bool,
    since: Instant,
}

impl Follower {
    pub(crate) fn new(token: RequestToken, position: LogPosition, has_lease: bool) -> Self {
        Self {
            token,
            position,
            has_lease,
            since: Instant::now(),
        }
    }

    /// Returns the held request.
    pub(crate) fn request(&self) -> CrashRequest {
        match self.has_lease {
            true => CrashRequest::FollowLeased(self.position),
            false => CrashRequest::Follow(self.position),
        }
    }

    fn max_hold(&self) -> Duration {
        match self.has_lease {
            true => LEASE_HOLD,
            false => MAX_HOLD,
        }
    }
}

/// Held requests.
#[derive(Debug, Default)]
pub(crate) struct Followers(Vec<Follower>);

impl Followers {
    /// Holds a request. It replaces an earlier one of the same client.
    pub(crate) fn add(&mut self, follower: Follower) {
        self.remove(follower.token.client);
        self.0.push(follower);
    }

    /// Drops the request of a client that has disconnected.
    pub(crate) fn remove(&mut self, client: u64) {
        self.0.retain(|follower| follower.token.client != client);
    }

    /// Removes and returns the requests that wait for an earlier position, or long enough.
    pub(crate) fn take_due(&mut self, position: LogPosition) -> Vec<Follower> {
        let is_due = |follower: &mut Follower| {
            follower.position != position || follower.since.elapsed() >= follower.max_hold()
        };
        self.0.extract_if(.., is_due).collect()
    }
}
