//! Gateways that wait for the next crash report.

use luglink_turns::{LogPosition, RequestToken};
use std::time::{Duration, Instant};

/// Maximum time for which a request for new crash reports is held.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Request for the crash reports from a position on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Follower {
    pub(crate) token: RequestToken,
    pub(crate) position: LogPosition,
    since: Instant,
}

impl Follower {
    pub(crate) fn new(token: RequestToken, position: LogPosition) -> Self {
        Self {
            token,
            position,
            since: Instant::now(),
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
            follower.position != position || follower.since.elapsed() >= MAX_HOLD
        };
        self.0.extract_if(.., is_due).collect()
    }
}
