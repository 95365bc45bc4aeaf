//! Membership planning: the next step towards the target number of live voters.
//!
//! Steps are taken one at a time, and each is safe by itself. A voter that is silent or leaving is
//! replaced before it is removed, so that acknowledged entries never have fewer copies than
//! configured.

use crate::config::ManagedConfig;
use luglink_raft::{MembershipChange, Peer, RaftNode};
use luglink_types::MemberId;
use std::collections::BTreeSet;

/// A step of the leader to repair the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MembershipStep {
    /// Change the membership of the group.
    Change(MembershipChange),
    /// Transfer leadership to another voter, because the leader itself is to be removed.
    TransferLeadership(Peer),
}

/// State of the membership from which the leader plans the next step.
pub(crate) struct MembershipPlanner<'leader> {
    pub(crate) raft: &'leader RaftNode,
    /// Peers that ask for admission.
    pub(crate) candidates: &'leader [Peer],
    /// Members whose machines are being taken out of service.
    pub(crate) leaving: &'leader BTreeSet<MemberId>,
    pub(crate) managed: &'leader ManagedConfig,
}

impl MembershipPlanner<'_> {
    /// Returns the next step; `None` if there is none to take now.
    pub(crate) fn next_step(&self) -> Option<MembershipStep> {
        let change = self.admission().or_else(|| self.leaving_learner());
        if let Some(change) = change {
            return Some(MembershipStep::Change(change));
        }
        self.voter_step()
            .or_else(|| self.expired_learner().map(MembershipStep::Change))
    }

    fn is_leaving(&self, peer: Peer) -> bool {
        self.leaving.contains(&peer.member)
    }

    fn is_silent(&self, peer: Peer) -> bool {
        peer != self.raft.me()
            && self
                .raft
                .time_since_contact(peer)
                .is_none_or(|silence| silence >= self.managed.member_timeout)
    }

    /// Returns the addition of all candidates as learners. An earlier incarnation of a candidate
    /// cannot return, so its removal comes first.
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

    /// Returns the next step towards the target number of voters that are neither silent nor
    /// leaving.
    fn voter_step(&self) -> Option<MembershipStep> {
        let membership = self.raft.membership();
        let mut voters = membership.voters.iter().copied();
        let outgoing = voters.find(|peer| self.is_silent(*peer) || self.is_leaving(*peer));
        let too_few = membership.voters.len() < self.managed.voters;
        let too_many = membership.voters.len() > self.managed.voters;
        match (outgoing, self.promotable_learner()) {
            (Some(voter), _) if too_many => self.voter_removal(voter),
            (_, Some(learner)) if too_few => {
                Some(MembershipStep::Change(MembershipChange::Promote(learner)))
            }
            (Some(_), Some(learner)) if !too_many => {
                Some(MembershipStep::Change(MembershipChange::Promote(learner)))
            }
            _ => None,
        }
    }

    /// Returns a learner that is live, caught up and not leaving.
    fn promotable_learner(&self) -> Option<Peer> {
        let mut learners = self.raft.membership().learners.iter().copied();
        learners.find(|peer| {
            !self.is_silent(*peer) && !self.is_leaving(*peer) && self.raft.has_caught_up(*peer)
        })
    }

    /// Returns the removal of a voter that has been replaced. The leader does not remove itself: it
    /// transfers leadership to another voter first.
    fn voter_removal(&self, voter: Peer) -> Option<MembershipStep> {
        if voter != self.raft.me() {
            return Some(MembershipStep::Change(MembershipChange::Remove(voter)));
        }
        self.raft
            .successor(|peer| !self.is_leaving(peer) && !self.is_silent(peer))
            .map(MembershipStep::TransferLeadership)
    }

    /// Returns the removal of a learner that has been silent for `forget_timeout`.
    fn expired_learner(&self) -> Option<MembershipChange> {
        let mut learners = self.raft.membership().learners.iter().copied();
        learners
            .find(|peer| {
                self.raft
                    .time_since_contact(*peer)
                    .is_some_and(|silence| silence >= self.managed.forget_timeout)
            })
            .map(MembershipChange::Remove)
    }
}
