//! Who belongs to a group.

use luglink_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// One node of a group: a member and the incarnation of its storage.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Peer {
    /// The control machine.
    pub member: MemberId,
    /// Distinguishes the storages the machine has had. Never used twice.
    pub incarnation: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:x}", self.member, self.incarnation)
    }
}

/// Voters decide; learners only receive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Peers whose votes and acknowledgements count.
    pub voters: BTreeSet<Peer>,
    /// Peers that are being brought up to date.
    pub learners: BTreeSet<Peer>,
}

/// A change by one voter at the most, one at a time, so that any two consecutive majorities
/// overlap. Learners have no part in majorities, so any number may come at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Starts to bring a peer up to date.
    AddLearner(Peer),
    /// Starts to bring several peers up to date; those that are members already stay as they are.
    AddLearners(BTreeSet<Peer>),
    /// Gives a learner a vote. Refused until it has caught up.
    Promote(Peer),
    /// Removes a voter or learner.
    Remove(Peer),
}

impl Membership {
    /// A membership of voters only.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = Peer>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Voters that make a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the peer has a vote.
    #[must_use]
    pub fn is_voter(&self, peer: Peer) -> bool {
        self.voters.contains(&peer)
    }

    /// Whether the peer belongs to the group at all.
    #[must_use]
    pub fn contains(&self, peer: Peer) -> bool {
        self.voters.contains(&peer) || self.learners.contains(&peer)
    }

    /// Every peer.
    pub fn peers(&self) -> impl Iterator<Item = Peer> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// The membership after `change`, or why it is not allowed.
    pub(crate) fn changed(&self, change: MembershipChange) -> Result<Self, &'static str> {
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

    pub(crate) fn size(&self) -> usize {
        (self.voters.len() + self.learners.len()) * size_of::<Peer>()
    }
}
