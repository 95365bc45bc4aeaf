//! Raft consensus (Ongaro and Ousterhout, 2014) as a pure state machine.
//!
//! [`RaftNode`] takes messages, proposals and the current time, and returns a [`Ready`]: state to
//! persist, messages to send and committed entries to apply. It performs no I/O and reads no
//! clock; its randomness comes from a seed. It implements the basic protocol with pre-vote,
//! check-quorum, read-index, learners, single-server membership changes, snapshots and leadership
//! transfer.
//!
//! A node is identified by a [`Peer`]: a member and the incarnation of its storage. A machine that
//! loses its disk restarts with a new incarnation, which no membership contains. It cannot vote
//! until the leader has added it as a learner, brought it up to date and promoted it. If an empty
//! node could vote at once, a second failure after the repair could elect a leader that lacks
//! committed entries.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod election;
mod entry;
mod errors;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod read;
mod ready;
mod replication;

pub use config::RaftConfig;
pub use entry::{Entry, HardState, LogIndex, Payload, Snapshot, Term};
pub use errors::{ConfigError, ProposeError};
pub use log::RaftLog;
pub use membership::{Membership, MembershipChange, Peer};
pub use message::{Envelope, Message};
pub use node::{RaftNode, RestoredState, Role};
pub use read::{ReadId, ReadOutcome};
pub use ready::Ready;
