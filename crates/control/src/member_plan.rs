//! Which members vote: the next step towards as many live voters as are wanted.
//!
//! One step at a time, each safe by itself. A voter that is silent, or whose machine is to be
//! taken away, is replaced before it is removed, so that the group never has fewer copies of what
//! it has acknowledged than it was asked for.

use crate::config::ManagedConfig;
use luglink_raft::{MembershipChange, Peer, RaftNode};
use luglink_types::MemberId;
use std::collections::BTreeSet;

/// What the leader does next about the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberStep {
    /// Change who belongs to the group.
    Change(MembershipChange),
    /// Let another member lead, because the leader's own machine is to be taken away.
    TransferLeadership(Peer),
}

/// What the leader knows about the members.
pub(crate) struct MemberPlan<'leader> {
    pub(crate) raft: &'leader RaftNode,
    /// Peers that ask to be let in.
    pub(crate) candidates: &'leader [Peer],
    /// Members whose machines are to be taken away.
    pub(crate) leaving: &'leader BTreeSet<MemberId>,
    pub(crate) managed: &'leader ManagedConfig,
}

impl MemberPlan<'_> {
    /// The next step; `None` when the group is as it should be.
    pub(crate) fn next_step(&self) -> Option<MemberStep> {
        let change = self.admission().or_else(|| self.leaving_learner());
        if let Some(change) = change {
            return Some(MemberStep::Change(change));
        }
        self.step_of_voters()
            .or_else(|| self.gone_learner().map(MemberStep::Change))
    }

    fn is_leaving(&self, peer: Peer) -> bool {
        self.leaving.contains(&peer.member)
    }

    fn is_silent(&self, peer: Peer) -> bool {
        peer != self.raft.me()
            && self
                .raft
                .time_since_contact(peer)
                .is_none_or(|silence| silence >= self.managed.member_silence)
    }

    /// Lets all candidates in. An earlier incarnation of one never comes back, so that goes first.
    fn admission(&self) -> Option<MembershipChange> {
        let membership = self.raft.membership();
        let wanted = self
            .candidates
            .iter()
            .copied()
            .filter(|candidate| !self.is_leaving(*candidate));
        let earlier = wanted.clone().find_map(|candidate| {
            membership
                .peers()
                .find(|peer| peer.member == candidate.member && *peer != candidate)
        });
        if let Some(earlier) = earlier {
            return Some(MembershipChange::Remove(earlier));
        }
        let new: BTreeSet<Peer> = wanted
            .filter(|candidate| !membership.contains(*candidate))
            .collect();
        (!new.is_empty()).then_some(MembershipChange::AddLearners(new))
    }

    fn leaving_learner(&self) -> Option<MembershipChange> {
        let mut learners = self.raft.membership().learners.iter().copied();
        learners
            .find(|peer| self.is_leaving(*peer))
            .map(MembershipChange::Remove)
    }

    fn step_of_voters(&self) -> Option<MemberStep> {
        let membership = self.raft.membership();
        let mut voters = membership.voters.iter().copied();
        let outgoing = voters.find(|peer| self.is_silent(*peer) || self.is_leaving(*peer));
        let too_few = membership.voters.len() < self.managed.voters;
        let too_many = membership.voters.len() > self.managed.voters;
        match (outgoing, self.spare()) {
            (Some(voter), _) if too_many => self.dismissal(voter),
            (_, Some(spare)) if too_few => {
                Some(MemberStep::Change(MembershipChange::Promote(spare)))
            }
            (Some(_), Some(spare)) if !too_many => {
                Some(MemberStep::Change(MembershipChange::Promote(spare)))
            }
            _ => None,
        }
    }

    /// A learner that may become a voter.
    fn spare(&self) -> Option<Peer> {
        let mut learners = self.raft.membership().learners.iter().copied();
        learners.find(|peer| {
            !self.is_silent(*peer) && !self.is_leaving(*peer) && self.raft.has_caught_up(*peer)
        })
    }

    /// Removes a voter that has been replaced. The leader does not remove itself: another voter
    /// leads first.
    fn dismissal(&self, voter: Peer) -> Option<MemberStep> {
        if voter != self.raft.me() {
            return Some(MemberStep::Change(MembershipChange::Remove(voter)));
        }
        self.raft
            .successor(|peer| !self.is_leaving(peer) && !self.is_silent(peer))
            .map(MemberStep::TransferLeadership)
    }

    fn gone_learner(&self) -> Option<MembershipChange> {
        let mut learners = self.raft.membership().learners.iter().copied();
        learners
            .find(|peer| {
                self.raft
                    .time_since_contact(*peer)
                    .is_some_and(|silence| silence >= self.managed.forget_after)
            })
            .map(MembershipChange::Remove)
    }
}
