//! Raft (Ongaro and Ousterhout, 2014) as a pure state machine.
//!
//! [`RaftNode`] takes messages, proposals and the time, and gives out a [`Ready`]: what to make
//! durable, what to send, what is committed. It does no I/O and reads no clock; randomness comes
//! from the seed it is given. Beyond the basic protocol: pre-vote, check-quorum, read-index,
//! learners, one-at-a-time membership change, snapshots, leadership transfer.
//!
//! A node is a [`Peer`]: a member and the incarnation of its storage. A machine that lost its
//! disk comes back under a new incarnation, which no membership contains: it cannot vote until
//! the leader has added it as a learner, brought it up to date and promoted it. Without this a
//! second failure right after a repair could elect a leader without committed entries.
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
