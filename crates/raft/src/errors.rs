//! Errors of this crate.

use crate::membership::Peer;
use snafu::Snafu;
use std::time::Duration;

/// A configuration that cannot work.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), module)]
pub enum ConfigError {
    /// The heartbeat interval is zero.
    #[snafu(display("heartbeat_interval must be above zero"))]
    Heartbeat,
    /// The election timeout is too short.
    #[snafu(display("election_timeout must be at least {minimum:?}"))]
    ElectionTimeout {
        /// The shortest that works with the heartbeat interval.
        minimum: Duration,
    },
    /// A batch limit is zero.
    #[snafu(display("append batch limits and window must be above zero"))]
    Batch,
}

/// A proposal that was not taken; nothing was appended.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), module)]
pub enum ProposeError {
    /// This node does not lead.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, when it is known.
        leader: Option<Peer>,
    },
    /// An earlier membership change is not committed yet.
    #[snafu(display("a membership change is under way"))]
    ChangeInProgress,
    /// The change contradicts the current membership.
    #[snafu(display("the membership does not allow this change: {reason}"))]
    InvalidChange {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// Leadership is being handed over.
    #[snafu(display("leadership is being transferred"))]
    Transferring,
}
