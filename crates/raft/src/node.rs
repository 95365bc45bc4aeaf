//! A node: its state, its entrances, and the work it gives out.

use crate::config::RaftConfig;
use crate::entry::{Entry, HardState, LogIndex, Payload, Snapshot, Term};
use crate::errors::{ProposeError, propose_error::*};
use crate::log::RaftLog;
use crate::membership::{Membership, MembershipChange, Peer};
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use crate::read::{PendingReads, ReadId, ReadOutcome};
use crate::ready::Ready;
use luglink_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::ensure;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}

/// What a node's storage gave back at start.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// End of the latest snapshot; the state itself is the driver's.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// One node of one group.
#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) me: Peer,
    pub(crate) config: RaftConfig,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: Timestamp,
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    pub(crate) membership: Membership,
    pub(crate) membership_index: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<Peer>,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    /// Last entry that is durable here. A leader counts only this of its own log.
    pub(crate) persisted: LogIndex,
    pub(crate) election_deadline: Timestamp,
    pub(crate) heartbeat_due: Timestamp,
    pub(crate) leader_heard_at: Timestamp,
    pub(crate) votes: BTreeSet<Peer>,
    pub(crate) progress: BTreeMap<Peer, Progress>,
    pub(crate) reads: PendingReads,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) ready: Ready,
}

/// A hand-over of leadership under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) to: Peer,
    pub(crate) until: Timestamp,
    pub(crate) asked: bool,
}

impl RaftNode {
    /// A node from its stored state. `seed` drives election timeouts only.
    #[must_use]
    pub fn new(
        me: Peer,
        config: RaftConfig,
        restored: RestoredState,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let log = RaftLog::restored(&restored.snapshot, restored.entries);
        let (membership_index, membership) = {
            let (index, membership) = log.membership();
            (index, membership.clone())
        };
        let snapshot_index = log.snapshot_index();
        let persisted = log.last_index();
        let mut node = Self {
            me,
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            hard_state: restored.hard_state,
            log,
            membership,
            membership_index,
            role: Role::Follower,
            leader: None,
            commit: snapshot_index,
            applied: snapshot_index,
            persisted,
            election_deadline: now,
            heartbeat_due: now,
            leader_heard_at: Timestamp::ZERO,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            reads: PendingReads::default(),
            transfer: None,
            ready: Ready::default(),
        };
        node.reset_election_deadline();
        node
    }

    /// Who this node is.
    #[must_use]
    pub fn me(&self) -> Peer {
        self.me
    }

    /// What this node is doing.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this node leads its term. A cut-off leader may think so for up to one election
    /// timeout, but commits and confirms nothing in that time.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader of the current term, when known.
    #[must_use]
    pub fn leader(&self) -> Option<Peer> {
        self.leader
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Last committed entry.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// The log.
    #[must_use]
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// The latest membership in the log.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// When [`RaftNode::tick`] next has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        if self.is_leader() {
            self.heartbeat_due
        } else {
            self.election_deadline
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Takes a message from another node.
    pub fn step(&mut self, envelope: Envelope, now: Timestamp) {
        self.now = self.now.max(now);
        if envelope.to != self.me {
            // Addressed to an earlier incarnation of this machine.
            return;
        }
        if !self.adopt_term(&envelope) {
            return;
        }
        let Envelope { from, message, .. } = envelope;
        match message {
            Message::PreVote {
                last_index,
                last_term,
            } => self.on_pre_vote(from, envelope.term, last_index, last_term),
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, granted),
            Message::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, last_index, last_term),
            Message::VoteReply { granted } => self.on_vote_reply(from, granted),
            Message::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                read,
            } => self.on_append(from, previous_index, previous_term, entries, commit, read),
            Message::AppendReply {
                accepted,
                index,
                read,
            } => self.on_append_reply(from, accepted, index, read),
            Message::InstallSnapshot { snapshot } => self.on_snapshot(from, snapshot),
            Message::TimeoutNow => self.on_timeout_now(from),
        }
    }

    /// Appends a command. Returns the entry's place; it is in force once that place is among
    /// [`Ready::committed`] with this term.
    ///
    /// # Errors
    /// Nothing was appended.
    pub fn propose(
        &mut self,
        command: Vec<u8>,
        now: Timestamp,
    ) -> Result<(LogIndex, Term), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// Nothing was appended.
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
        now: Timestamp,
    ) -> Result<(LogIndex, Term), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        // A leader must have committed in its own term first, or a change left behind by an
        // earlier leader could take effect beside this one (the 2015 erratum to the thesis).
        let committed_in_term = self.log.term_at(self.commit) == Some(self.hard_state.term);
        ensure!(
            self.membership_index <= self.commit && committed_in_term,
            ChangeInProgressSnafu
        );
        if let MembershipChange::Promote(peer) = change {
            ensure!(
                self.has_caught_up(peer),
                InvalidChangeSnafu {
                    reason: "the learner has not caught up"
                }
            );
        }
        let next = match self.membership.changed(change) {
            Ok(next) => next,
            Err(reason) => return InvalidChangeSnafu { reason }.fail(),
        };
        Ok(self.append_own(Payload::Membership(next)))
    }

    /// Asks for a linearizable read; see [`ReadOutcome`].
    ///
    /// # Errors
    /// This node does not lead.
    pub fn request_read(&mut self, now: Timestamp) -> Result<ReadId, ProposeError> {
        self.now = self.now.max(now);
        ensure!(
            self.is_leader(),
            NotLeaderSnafu {
                leader: self.leader
            }
        );
        // Until an entry of this term is committed, earlier terms may hold commits unknown here:
        // the read then waits for this leader's own first entry.
        let term_start = self.first_index_of_term();
        let read = self.reads.add(self.commit.max(term_start));
        self.heartbeat_due = self.now;
        self.confirm_reads();
        Ok(read)
    }

    /// Hands leadership to a voter, for a planned stop.
    ///
    /// # Errors
    /// This node does not lead or `to` has no vote.
    pub fn transfer_leadership(&mut self, to: Peer, now: Timestamp) -> Result<(), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        ensure!(
            to != self.me && self.membership.is_voter(to),
            InvalidChangeSnafu {
                reason: "the receiver of leadership must be another voter"
            }
        );
        self.transfer = Some(Transfer {
            to,
            until: self.now.plus(self.config.election_timeout),
            asked: false,
        });
        self.continue_transfer();
        Ok(())
    }

    /// Tells the node that everything up to `index` is durable here.
    pub fn on_persisted(&mut self, index: LogIndex) {
        self.persisted = self.persisted.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Tells the node that its driver holds a snapshot up to `index`, so the log before it can go.
    pub fn compact(&mut self, index: LogIndex) {
        if index <= self.applied {
            self.log.compact(index);
        }
    }

    /// Takes the work that has come up.
    #[must_use]
    pub fn take_ready(&mut self) -> Ready {
        self.collect_committed();
        self.collect_reads();
        std::mem::take(&mut self.ready)
    }

    /// Whether a learner or voter is as far as this leader's commit index.
    #[must_use]
    pub fn has_caught_up(&self, peer: Peer) -> bool {
        self.progress
            .get(&peer)
            .is_some_and(|progress| progress.matched >= self.commit && progress.matched > 0)
    }

    /// Followers heard from within one election timeout, this node included when it leads.
    #[must_use]
    pub fn live_peers(&self) -> Vec<Peer> {
        let recent =
            |progress: &&Progress| self.now.since(progress.heard_at) < self.config.election_timeout;
        let followers = self
            .progress
            .iter()
            .filter(|(_, progress)| recent(progress))
            .map(|(peer, _)| *peer);
        followers.chain([self.me]).collect()
    }

    fn ensure_may_propose(&self) -> Result<(), ProposeError> {
        ensure!(
            self.is_leader(),
            NotLeaderSnafu {
                leader: self.leader
            }
        );
        ensure!(self.transfer.is_none(), TransferringSnafu);
        Ok(())
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> (LogIndex, Term) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            appended_at: self.now,
            payload,
        };
        let place = (entry.index, entry.term);
        self.store(entry);
        self.replicate_to_all();
        place
    }

    /// Appends to the log in memory and asks for it to be made durable.
    pub(crate) fn store(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.membership_index = entry.index;
            self.membership = membership.clone();
            self.refresh_progress();
        }
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Cuts the log, also out of what still waits to be made durable.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.ready.entries.retain(|entry| entry.index < index);
        self.persisted = self.persisted.min(index.saturating_sub(1));
        let (membership_index, membership) = self.log.membership();
        self.membership_index = membership_index;
        self.membership = membership.clone();
    }

    pub(crate) fn send(&mut self, to: Peer, message: Message) {
        let term = self.hard_state.term;
        let from = self.me;
        self.ready.messages.push(Envelope {
            from,
            to,
            term,
            message,
        });
    }

    pub(crate) fn send_after_sync(&mut self, to: Peer, term: Term, message: Message) {
        let from = self.me;
        self.ready.messages_after_sync.push(Envelope {
            from,
            to,
            term,
            message,
        });
    }

    /// Half a heartbeat, and a whole one more for each voter that comes before this one: voters
    /// that start together take turns instead of splitting the vote, and the first of them that
    /// is there and has the newest log does not wait for luck.
    fn first_timeout(&mut self) -> Duration {
        let heartbeat = self.config.heartbeat_interval;
        let limit = self.config.election_timeout;
        let turn = self.membership.voters.range(..self.me).count() as f64;
        let jitter = self.random.random_range(0.0..0.25);
        heartbeat.mul_f64(0.5 + turn + jitter).min(limit)
    }

    pub(crate) fn random_election_timeout(&mut self) -> Duration {
        let base = u64::try_from(self.config.election_timeout.as_micros()).unwrap_or(u64::MAX / 4);
        Duration::from_micros(self.random.random_range(base..base.saturating_mul(2)))
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        // A node that has heard no leader since it started asks soon whether there is one to be
        // elected. A pre-vote disturbs nobody: those who hear a leader refuse it. Once it is a
        // candidate it waits the full time, or candidates would split the vote again and again.
        let is_new = self.leader_heard_at == Timestamp::ZERO;
        let timeout = if is_new && self.role != Role::Candidate {
            self.first_timeout()
        } else {
            self.random_election_timeout()
        };
        self.election_deadline = self.now.plus(timeout);
    }

    fn collect_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.ready.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    fn collect_reads(&mut self) {
        let outcomes: Vec<ReadOutcome> = if self.is_leader() {
            let confirmed = self.confirmed_read();
            let ready = self.reads.take_ready(confirmed, self.applied);
            ready.into_iter().map(ReadOutcome::Ready).collect()
        } else {
            let lost = self.reads.take_all();
            lost.into_iter().map(ReadOutcome::Lost).collect()
        };
        self.ready.reads.extend(outcomes);
    }

    fn first_index_of_term(&self) -> LogIndex {
        let term = self.hard_state.term;
        let mut index = self.log.last_index();
        while index > self.log.snapshot_index() + 1 && self.log.term_at(index - 1) == Some(term) {
            index -= 1;
        }
        index
    }
}
