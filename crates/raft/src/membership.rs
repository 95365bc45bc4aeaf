//! Membership of a Raft group.

use luglink_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Identity of a node of a group: a member and the incarnation of its storage.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Peer {
    /// Member that the node runs on.
    pub member: MemberId,
    /// Identifies the current storage of the machine. A machine with new storage gets a new
    /// incarnation; values are never reused.
    pub incarnation: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.member, self.incarnation)
    }
}

/// Nodes of a group. Voters form quorums; learners only receive the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Peers whose votes and acknowledgements count towards a quorum.
    pub voters: BTreeSet<Peer>,
    /// Peers that replicate the log without a vote.
    pub learners: BTreeSet<Peer>,
}

/// Membership change. A change adds or removes at most one voter, and only one change is in
/// progress at a time, so that the quorums of consecutive memberships overlap. Learners are not
/// part of quorums, so any number can be added at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a peer as a learner.
    AddLearner(Peer),
    /// Adds several peers as learners. Peers that are already members are unchanged.
    AddLearners(BTreeSet<Peer>),
    /// Promotes a learner to a voter. Rejected until the learner has caught up.
    Promote(Peer),
    /// Removes a voter or a learner.
    Remove(Peer),
}

impl Membership {
    /// Creates a membership that has only voters.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = Peer>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns true if the peer is a voter.
    #[must_use]
    pub fn is_voter(&self, peer: Peer) -> bool {
        self.voters.contains(&peer)
    }

    /// Returns true if the peer is a voter or a learner.
    #[must_use]
    pub fn contains(&self, peer: Peer) -> bool {
        self.voters.contains(&peer) || self.learners.contains(&peer)
    }

    /// Iterates over all voters and learners.
    pub fn peers(&self) -> impl Iterator<Item = Peer> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// Returns the membership after `change`, or the rule that the change violates.
    pub(crate) fn with_change(&self, change: MembershipChange) -> Result<Self, &'static str> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(peer) => {
                if self.contains(peer) {
                    return Err("the peer is already a member");
                }
                next.learners.insert(peer);
            }
            MembershipChange::AddLearners(peers) => {
                let new = peers.into_iter().filter(|peer| !self.contains(*peer));
                next.learners.extend(new);
            }
            MembershipChange::Promote(peer) => {
                if !next.learners.remove(&peer) {
                    return Err("the peer is not a learner");
                }
                next.voters.insert(peer);
            }
            MembershipChange::Remove(peer) => {
                if !self.contains(peer) {
                    return Err("the peer is not a member");
                }
                if self.voters.len() == 1 && self.is_voter(peer) {
                    return Err("the last voter cannot be removed");
                }
                next.voters.remove(&peer);
                next.learners.remove(&peer);
            }
        }
        Ok(next)
    }

    /// Returns the approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        (self.voters.len() + self.learners.len()) * size_of::<Peer>()
    }
}
