//! Leader election: pre-vote, votes, terms and check-quorum.

use crate::entry::{HardState, LogIndex, Payload, Term};
use crate::membership::Peer;
use crate::message::{Envelope, Message};
use crate::node::{RaftNode, Role};

impl RaftNode {
    /// Compares the message's term with the local term and updates the local term. Returns true if
    /// the message should be processed.
    pub(crate) fn check_term(&mut self, envelope: &Envelope) -> bool {
        let Envelope {
            from,
            term,
            ref message,
            ..
        } = *envelope;
        match message {
            // Pre-votes never change a term and get a reply for any term.
            Message::PreVote { .. } => return true,
            // A granted reply carries the term that this node would start; it does not change the
            // local term. A rejection with a later term shows that this node is behind.
            Message::PreVoteReply { granted } if *granted => return true,
            Message::Vote { transfer, .. }
                if term > self.hard_state.term
                // A follower in contact with its leader ignores vote requests, so that a node with
                // a bad connection cannot depose a leader that the majority can reach.
                && !transfer && self.has_recent_leader_contact() =>
            {
                return false;
            }
            _ => {}
        }
        if term > self.hard_state.term {
            let leader = matches!(
                message,
                Message::Append { .. } | Message::InstallSnapshot { .. }
            )
            .then_some(from);
            self.become_follower(term, leader);
        }
        if term < self.hard_state.term {
            self.reject_stale_term(from, message);
            return false;
        }
        true
    }

    /// Rejects an append or a snapshot of an earlier term.
    fn reject_stale_term(&mut self, to: Peer, message: &Message) {
        // A stale leader learns the new term from any reply.
        if let Message::Append { read, .. } = message {
            let reply = Message::AppendReply {
                accepted: false,
                index: self.log.last_index(),
                read: *read,
            };
            self.send(to, reply);
        }
        if matches!(message, Message::InstallSnapshot { .. }) {
            let reply = Message::AppendReply {
                accepted: false,
                index: self.log.last_index(),
                read: crate::read::ReadId::default(),
            };
            self.send(to, reply);
        }
    }

    /// Returns true if this node leads or had contact with its leader within the election timeout.
    fn has_recent_leader_contact(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        self.leader.is_some()
            && self.now.since(self.last_leader_contact) < self.config.election_timeout
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<Peer>) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
            });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.progress.clear();
        self.transfer = None;
        self.reset_election_deadline();
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.membership.is_voter(self.me) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.me);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let next_term = self.hard_state.term + 1;
        for peer in self.other_voters() {
            let message = Message::PreVote {
                last_index,
                last_term,
            };
            self.ready.messages.push(Envelope {
                from: self.me,
                to: peer,
                term: next_term,
                message,
            });
        }
        if self.has_quorum_of_votes() {
            self.start_election(false);
        }
    }

    fn start_election(&mut self, transfer: bool) {
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(self.me),
        });
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.me);
        self.reset_election_deadline();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.other_voters() {
            let message = Message::Vote {
                last_index,
                last_term,
                transfer,
            };
            // The node's own vote must be persisted before the request is sent. Otherwise the
            // node could lose it in a crash and vote for another candidate in the same term.
            self.send_after_sync(peer, self.hard_state.term, message);
        }
        if self.has_quorum_of_votes() {
            self.become_leader();
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: Peer,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = term > self.hard_state.term
            && !self.has_recent_leader_contact()
            && self.log_is_current(last_index, last_term);
        let reply_term = if granted { term } else { self.hard_state.term };
        self.ready.messages.push(Envelope {
            from: self.me,
            to: from,
            term: reply_term,
            message: Message::PreVoteReply { granted },
        });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, from: Peer, granted: bool) {
        if self.role != Role::PreCandidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if self.has_quorum_of_votes() {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote(&mut self, from: Peer, last_index: LogIndex, last_term: Term) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        // A node outside the membership has an empty or foreign log; its vote must not count.
        let granted = can_vote
            && self.role == Role::Follower
            && self.membership.is_voter(self.me)
            && self.log_is_current(last_index, last_term);
        if granted {
            self.set_hard_state(HardState {
                term: self.hard_state.term,
                voted_for: Some(from),
            });
            self.reset_election_deadline();
        }
        let term = self.hard_state.term;
        self.send_after_sync(from, term, Message::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: Peer, granted: bool) {
        if self.role != Role::Candidate || !granted || !self.membership.is_voter(from) {
            return;
        }
        self.votes.insert(from);
        if self.has_quorum_of_votes() {
            self.become_leader();
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: Peer) {
        if self.leader == Some(from) && self.membership.is_voter(self.me) {
            self.start_election(true);
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.progress.clear();
        self.refresh_progress();
        self.heartbeat_deadline = self.now;
        self.append_as_leader(Payload::Empty);
    }

    /// Makes a leader that cannot reach a quorum step down. It cannot commit anything, and its
    /// clients should look for the leader that the other nodes may have elected.
    pub(crate) fn check_quorum(&mut self) {
        let live = self
            .live_peers()
            .into_iter()
            .filter(|peer| self.membership.is_voter(*peer))
            .count();
        if live < self.membership.quorum() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<Peer> {
        let me = self.me;
        let voters = self.membership.voters.iter().copied();
        voters.filter(|peer| *peer != me).collect()
    }

    fn has_quorum_of_votes(&self) -> bool {
        let voters = self
            .votes
            .iter()
            .filter(|peer| self.membership.is_voter(**peer));
        voters.count() >= self.membership.quorum()
    }

    /// Returns true if a log with this last entry is at least as up to date as the local log.
    fn log_is_current(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.ready.hard_state = Some(hard_state);
        }
    }
}
