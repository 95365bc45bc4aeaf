//! Messages between the nodes of a group.

use crate::entry::{Entry, LogIndex, Snapshot, Term};
use crate::membership::Peer;
use crate::read::ReadId;
use serde::{Deserialize, Serialize};

/// A message with its ends and its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: Peer,
    /// Receiver.
    pub to: Peer,
    /// Sender's term; for pre-votes, the term that the sender would start.
    pub term: Term,
    /// The message.
    pub message: Message,
}

/// What nodes say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me? Raises no term, so a cut-off node cannot disturb the others.
    PreVote {
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// That entry's term.
        last_term: Term,
        /// The old leader asked for this election, so followers need not wait for its silence.
        transfer: bool,
    },
    /// Answer to a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries to append; a heartbeat when there are none.
    Append {
        /// Entry before the first of `entries`.
        previous_index: LogIndex,
        /// That entry's term.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Latest read that waits for confirmation of leadership.
        read: ReadId,
    },
    /// Answer to an append.
    AppendReply {
        /// Whether the previous entry matched.
        accepted: bool,
        /// When accepted, the last entry known to match; else a hint where to try next.
        index: LogIndex,
        /// Repeats the read of the append.
        read: ReadId,
    },
    /// A snapshot for a follower whose next entry the leader no longer has.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow,
}
