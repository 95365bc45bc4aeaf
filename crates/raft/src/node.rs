//! Raft node: its state, its public operations and the work that it hands out.

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

/// Role of a node in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Asks the voters whether an election would succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// Persisted state of a node, read at startup.
#[derive(Clone, Debug, Default)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Position of the latest snapshot. Its state bytes are not used by the node.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Node of a Raft group.
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
    /// Index of the last entry persisted on this node. A leader counts only entries up to it
    /// towards a quorum.
    pub(crate) persisted: LogIndex,
    pub(crate) election_deadline: Timestamp,
    pub(crate) heartbeat_deadline: Timestamp,
    pub(crate) last_leader_contact: Timestamp,
    pub(crate) votes: BTreeSet<Peer>,
    pub(crate) progress: BTreeMap<Peer, Progress>,
    pub(crate) reads: PendingReads,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) ready: Ready,
}

/// Leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) to: Peer,
    pub(crate) deadline: Timestamp,
    pub(crate) timeout_now_sent: bool,
}

impl RaftNode {
    /// Creates a node from its persisted state. `seed` only affects election timeouts.
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
            heartbeat_deadline: now,
            last_leader_contact: Timestamp::ZERO,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            reads: PendingReads::default(),
            transfer: None,
            ready: Ready::default(),
        };
        node.reset_election_deadline();
        node
    }

    /// Returns the identity of this node.
    #[must_use]
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Returns the role of this node.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns true if this node leads its term. A partitioned leader keeps this role for up to one
    /// election timeout, but commits no entries and confirms no reads in that time.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<Peer> {
        self.leader
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the index of the last committed entry.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the time at which [`RaftNode::tick`] must be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        if self.is_leader() {
            self.heartbeat_deadline
        } else {
            self.election_deadline
        }
    }

    /// Advances the clock: sends due heartbeats or starts a due election.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Processes a message from another node.
    pub fn step(&mut self, envelope: Envelope, now: Timestamp) {
        self.now = self.now.max(now);
        if envelope.to != self.me {
            // The message is addressed to an earlier incarnation of this member.
            return;
        }
        if !self.check_term(&envelope) {
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
            Message::InstallSnapshot { snapshot } => self.on_install_snapshot(from, snapshot),
            Message::TimeoutNow => self.on_timeout_now(from),
        }
    }

    /// Appends a command and returns the index and term of its entry. The command is committed once
    /// [`Ready::committed`] contains an entry with this index and term.
    ///
    /// # Errors
    /// This node is not the leader or is transferring its leadership. Nothing was appended.
    pub fn propose(
        &mut self,
        command: Vec<u8>,
        now: Timestamp,
    ) -> Result<(LogIndex, Term), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Appends a membership change and returns the index and term of its entry.
    ///
    /// # Errors
    /// This node is not the leader or is transferring its leadership, an earlier change is not
    /// committed, or the change is invalid. Nothing was appended.
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
        now: Timestamp,
    ) -> Result<(LogIndex, Term), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        // A leader must first commit an entry of its own term. Otherwise an uncommitted change of
        // an earlier leader could take effect in parallel with this one (see the 2015 erratum to
        // the Raft thesis).
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
        let next = match self.membership.with_change(change) {
            Ok(next) => next,
            Err(reason) => return InvalidChangeSnafu { reason }.fail(),
        };
        Ok(self.append_as_leader(Payload::Membership(next)))
    }

    /// Requests a linearizable read. Its outcome is returned in [`Ready::reads`].
    ///
    /// # Errors
    /// This node is not the leader.
    pub fn request_read(&mut self, now: Timestamp) -> Result<ReadId, ProposeError> {
        self.now = self.now.max(now);
        ensure!(
            self.is_leader(),
            NotLeaderSnafu {
                leader: self.leader
            }
        );
        // Until an entry of this term is committed, the leader may not know the latest commit index
        // of earlier terms. The read therefore waits for the first entry of this term.
        let term_start = self.first_index_of_term();
        let read = self.reads.add(self.commit.max(term_start));
        self.heartbeat_deadline = self.now;
        self.send_read_heartbeats();
        Ok(read)
    }

    /// Starts to transfer leadership to the voter `to`, for example before a planned stop.
    ///
    /// # Errors
    /// This node is not the leader, a transfer is already in progress, or `to` is this node or not
    /// a voter.
    pub fn transfer_leadership(&mut self, to: Peer, now: Timestamp) -> Result<(), ProposeError> {
        self.now = self.now.max(now);
        self.ensure_may_propose()?;
        ensure!(
            to != self.me && self.membership.is_voter(to),
            InvalidChangeSnafu {
                reason: "the transfer target must be another voter"
            }
        );
        self.transfer = Some(Transfer {
            to,
            deadline: self.now.plus(self.config.election_timeout),
            timeout_now_sent: false,
        });
        self.continue_transfer();
        Ok(())
    }

    /// Records that all entries up to `index` are persisted on this node.
    pub fn on_persisted(&mut self, index: LogIndex) {
        self.persisted = self.persisted.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Discards the log up to `index`, for which the driver has stored a snapshot.
    pub fn compact(&mut self, index: LogIndex) {
        if index <= self.applied {
            self.log.compact(index);
        }
    }

    /// Returns the pending work and clears it.
    #[must_use]
    pub fn take_ready(&mut self) -> Ready {
        self.collect_committed();
        self.collect_reads();
        std::mem::take(&mut self.ready)
    }

    /// Returns true if this node leads and the peer has stored the log up to the commit index.
    #[must_use]
    pub fn has_caught_up(&self, peer: Peer) -> bool {
        self.progress
            .get(&peer)
            .is_some_and(|progress| progress.match_index >= self.commit && progress.match_index > 0)
    }

    /// Returns the peers that replied within the last election timeout, and this node.
    #[must_use]
    pub fn live_peers(&self) -> Vec<Peer> {
        let recent = |progress: &&Progress| {
            self.now.since(progress.last_contact) < self.config.election_timeout
        };
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

    /// Appends an entry to the leader's own log and replicates it.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> (LogIndex, Term) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            appended_at: self.now,
            payload,
        };
        let index_and_term = (entry.index, entry.term);
        self.store(entry);
        self.replicate_to_all();
        index_and_term
    }

    /// Appends an entry to the in-memory log and to the entries that the driver must persist.
    pub(crate) fn store(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.membership_index = entry.index;
            self.membership = membership.clone();
            self.refresh_progress();
        }
        self.ready.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Removes all entries from `index` on, from the log and from the entries to persist.
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

    /// Returns the election timeout of a node without contact with a leader since its start:
    /// half a heartbeat interval, plus one interval for each voter that precedes this node. Voters
    /// that start together then start their elections one after the other instead of splitting the
    /// vote, and the first available voter with an up-to-date log is elected without further delay.
    fn startup_timeout(&mut self) -> Duration {
        let heartbeat = self.config.heartbeat_interval;
        let max_timeout = self.config.election_timeout;
        let position = self.membership.voters.range(..self.me).count() as f64;
        let jitter = self.random.random_range(0.0..0.25);
        heartbeat.mul_f64(0.5 + position + jitter).min(max_timeout)
    }

    pub(crate) fn random_election_timeout(&mut self) -> Duration {
        let base = u64::try_from(self.config.election_timeout.as_micros()).unwrap_or(u64::MAX / 4);
        Duration::from_micros(self.random.random_range(base..base.saturating_mul(2)))
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        // A node without contact with a leader since it started sends a pre-vote after a short
        // time. This does not disrupt the group: nodes in contact with a leader reject it. A
        // candidate waits for the full timeout; otherwise candidates could split the vote
        // repeatedly.
        let has_heard_no_leader = self.last_leader_contact == Timestamp::ZERO;
        let timeout = if has_heard_no_leader && self.role != Role::Candidate {
            self.startup_timeout()
        } else {
            self.random_election_timeout()
        };
        self.election_deadline = self.now.plus(timeout);
    }

    /// Moves newly committed entries to the pending work.
    fn collect_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.ready.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    /// Moves confirmed reads, or all reads after a loss of leadership, to the pending work.
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

    /// Returns the index of the first entry of the current term.
    fn first_index_of_term(&self) -> LogIndex {
        let term = self.hard_state.term;
        let mut index = self.log.last_index();
        while index > self.log.snapshot_index() + 1 && self.log.term_at(index - 1) == Some(term) {
            index -= 1;
        }
        index
    }
}
