//! Timing and batching parameters of a Raft node.

use crate::errors::{ConfigError, config_error::*};
use snafu::ensure;
use std::time::Duration;

/// Timing and batching parameters. All members of a group should use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact from a leader after which a follower starts an election. The
    /// actual timeout is random, up to twice this value.
    pub election_timeout: Duration,
    /// Maximum number of entries in one append message.
    pub append_batch_entries: usize,
    /// Payload bytes at which an append message takes no further entry. The last entry may exceed
    /// the limit.
    pub append_batch_bytes: usize,
    /// Maximum number of unacknowledged append messages per follower.
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

/// Minimum ratio of election timeout to heartbeat interval. With a smaller ratio, a single lost
/// heartbeat can depose a leader.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

impl RaftConfig {
    /// Checks that the values are consistent with each other.
    ///
    /// # Errors
    /// Returns the first rule that is violated.
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
