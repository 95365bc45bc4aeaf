//! Error types.

use crate::membership::Peer;
use snafu::Snafu;
use std::time::Duration;

/// Invalid [`crate::RaftConfig`].
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), module)]
pub enum ConfigError {
    /// The heartbeat interval is zero.
    #[snafu(display("heartbeat_interval must be greater than zero"))]
    Heartbeat,
    /// The election timeout is too short for the heartbeat interval.
    #[snafu(display("election_timeout must be at least {minimum:?}"))]
    ElectionTimeout {
        /// Shortest election timeout allowed with the heartbeat interval.
        minimum: Duration,
    },
    /// A batch limit or the append window is zero.
    #[snafu(display(
        "append_batch_entries, append_batch_bytes and append_window must be greater than zero"
    ))]
    Batch,
}

/// Rejected proposal. Nothing was appended to the log.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), module)]
pub enum ProposeError {
    /// This node is not the leader.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// Current leader, if known.
        leader: Option<Peer>,
    },
    /// A previous membership change is not committed yet.
    #[snafu(display("a membership change is in progress"))]
    ChangeInProgress,
    /// The change is not possible with the current membership.
    #[snafu(display("invalid membership change: {reason}"))]
    InvalidChange {
        /// Violated rule.
        reason: &'static str,
    },
    /// A leadership transfer is in progress.
    #[snafu(display("a leadership transfer is in progress"))]
    Transferring,
}
