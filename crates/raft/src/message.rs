//! Messages between nodes of a group.

use crate::entry::{Entry, LogIndex, Snapshot, Term};
use crate::membership::Peer;
use crate::read::ReadId;
use serde::{Deserialize, Serialize};

/// Message with its sender, its receiver and the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sending node.
    pub from: Peer,
    /// Receiving node.
    pub to: Peer,
    /// Sender's term; for a pre-vote, the term that the sender would start.
    pub term: Term,
    /// Message content.
    pub message: Message,
}

/// Raft message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. Does not increase any term, so a
    /// partitioned node cannot disrupt the group.
    PreVote {
        /// Index of the last entry in the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// True if the receiver would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the last entry in the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// True if the leader requested this election. Followers then vote even though they had
        /// recent contact with the leader.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// True if the vote is granted.
        granted: bool,
    },
    /// Entries to append. Without entries, the message is a heartbeat.
    Append {
        /// Index of the entry that precedes `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: LogIndex,
        /// Latest read that is waiting for the leadership to be confirmed.
        read: ReadId,
    },
    /// Reply to an append or a snapshot.
    AppendReply {
        /// True if the receiver's log matched at the previous entry.
        accepted: bool,
        /// Index of the last matching entry if accepted, otherwise the next index that the leader
        /// should try.
        index: LogIndex,
        /// Value of `read` in the append.
        read: ReadId,
    },
    /// Snapshot for a follower whose next entry the leader has discarded.
    InstallSnapshot {
        /// Snapshot to install.
        snapshot: Snapshot,
    },
    /// Asks the receiver to start an election immediately.
    TimeoutNow,
}
