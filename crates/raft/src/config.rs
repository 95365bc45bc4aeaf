//! Timing and batch limits of a Raft node.

use crate::errors::{ConfigError, config_error::*};
use snafu::ensure;
use std::time::Duration;

/// Timing and batch limits. All members of a group should agree on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a follower starts an election; the longest is twice that.
    pub election_timeout: Duration,
    /// Entries in one append message at the most.
    pub append_batch_entries: usize,
    /// Bytes of entry payloads in one append message, passed by at most one entry.
    pub append_batch_bytes: usize,
    /// Append messages on the way to one follower at the most.
    pub append_window: usize,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(600),
            append_batch_entries: 256,
            append_batch_bytes: 1 << 20,
            append_window: 16,
        }
    }
}

/// An election timeout below this many heartbeats would let one lost message depose a leader.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

impl RaftConfig {
    /// Checks that the values can work together.
    ///
    /// # Errors
    /// Names the first value that breaks a rule.
    pub fn validate(&self) -> Result<(), ConfigError> {
        ensure!(!self.heartbeat_interval.is_zero(), HeartbeatSnafu);
        ensure!(
            self.election_timeout >= self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION,
            ElectionTimeoutSnafu {
                minimum: self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION
            }
        );
        ensure!(
            self.append_batch_entries > 0 && self.append_batch_bytes > 0 && self.append_window > 0,
            BatchSnafu
        );
        Ok(())
    }
}
