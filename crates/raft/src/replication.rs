//! Log replication: appends, commits, snapshots and confirmation of reads.

use crate::entry::{Entry, LogIndex, Snapshot, Term};
use crate::membership::Peer;
use crate::message::Message;
use crate::node::{RaftNode, Role};
use crate::progress::Progress;
use crate::read::ReadId;
use std::time::Duration;

/// Number of election timeouts after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RESEND_ELECTION_TIMEOUTS: u32 = 8;

impl RaftNode {
    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        if !self.is_leader() {
            return;
        }
        if self
            .transfer
            .is_some_and(|transfer| self.now >= transfer.deadline)
        {
            self.transfer = None;
        }
        if self.now >= self.heartbeat_deadline {
            self.heartbeat_deadline = self.now.plus(self.config.heartbeat_interval);
            for peer in self.followers() {
                self.send_heartbeat(peer);
            }
        }
    }

    pub(crate) fn followers(&self) -> Vec<Peer> {
        self.progress.keys().copied().collect()
    }

    /// Adds and removes progress records so that each other peer of the membership has exactly one.
    pub(crate) fn refresh_progress(&mut self) {
        if !self.is_leader() {
            return;
        }
        let next = self.log.last_index() + 1;
        let now = self.now;
        let me = self.me;
        let membership = &self.membership;
        self.progress.retain(|peer, _| membership.contains(*peer));
        for peer in membership.peers().filter(|peer| *peer != me) {
            self.progress
                .entry(peer)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(crate) fn replicate_to_all(&mut self) {
        for peer in self.followers() {
            self.replicate(peer);
        }
        self.advance_commit();
    }

    /// Sends missing entries to the follower, within the append window, or a snapshot.
    fn replicate(&mut self, peer: Peer) {
        loop {
            let Some(progress) = self.progress.get(&peer) else {
                return;
            };
            let next = progress.next_index;
            let window_full = progress.in_flight >= self.config.append_window;
            if window_full || progress.snapshot_sent_at.is_some() || next > self.log.last_index() {
                return;
            }
            if next <= self.log.snapshot_index() {
                self.send_snapshot(peer);
                return;
            }
            let entries = self.log.batch(
                next,
                self.config.append_batch_entries,
                self.config.append_batch_bytes,
            );
            let sent = entries.len() as u64;
            self.send_append(peer, next, entries);
            if let Some(progress) = self.progress.get_mut(&peer) {
                progress.next_index = next + sent;
                progress.in_flight += 1;
            }
        }
    }

    fn send_append(&mut self, peer: Peer, next: LogIndex, entries: Vec<Entry>) {
        let previous_index = next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return;
        };
        let message = Message::Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            read: self.reads.last(),
        };
        self.send(peer, message);
    }

    /// Sends a heartbeat. It refers to the last matched entry, so that the reply reveals lost
    /// appends and replication resumes from the entries that the follower really has. Each reply
    /// also frees a place in the append window, which a lost append would otherwise occupy forever.
    /// If the entries after the last match are discarded, it refers to a later entry.
    fn send_heartbeat(&mut self, peer: Peer) {
        let resend_after = self.config.election_timeout * SNAPSHOT_RESEND_ELECTION_TIMEOUTS;
        let now = self.now;
        let snapshot_index = self.log.snapshot_index();
        let Some(progress) = self.progress.get_mut(&peer) else {
            return;
        };
        let timed_out = |sent_at| now.since(sent_at) > resend_after;
        if progress.snapshot_sent_at.is_some_and(timed_out) {
            progress.snapshot_sent_at = None;
        }
        let next = if progress.match_index >= snapshot_index {
            progress.match_index + 1
        } else {
            progress.next_index.max(snapshot_index + 1)
        };
        self.send_append(peer, next, Vec::new());
    }

    fn send_snapshot(&mut self, peer: Peer) {
        let now = self.now;
        if let Some(progress) = self.progress.get_mut(&peer) {
            progress.snapshot_sent_at = Some(now);
        }
        // The driver fills in the state bytes before it sends the message.
        let snapshot = Snapshot {
            index: self.log.snapshot_index(),
            term: self.log.term_at(self.log.snapshot_index()).unwrap_or(0),
            membership: self.log.membership_at(self.log.snapshot_index()).clone(),
            state: Vec::new(),
        };
        self.send(peer, Message::InstallSnapshot { snapshot });
    }

    pub(crate) fn on_append(
        &mut self,
        from: Peer,
        previous_index: LogIndex,
        previous_term: Term,
        entries: Vec<Entry>,
        commit: LogIndex,
        read: ReadId,
    ) {
        self.follow_leader(from);
        if !self.has_entry(previous_index, previous_term) {
            let index = self.conflict_hint(previous_index);
            let reply = Message::AppendReply {
                accepted: false,
                index,
                read,
            };
            self.send(from, reply);
            return;
        }
        let last_matched = previous_index + entries.len() as u64;
        for entry in entries {
            self.append_from_leader(entry);
        }
        // Only the entries that this append covers are known to match the leader's log.
        self.commit = self.commit.max(commit.min(last_matched));
        let term = self.hard_state.term;
        let reply = Message::AppendReply {
            accepted: true,
            index: last_matched,
            read,
        };
        self.send_after_sync(from, term, reply);
    }

    /// Records contact with the leader of the current term and becomes its follower.
    fn follow_leader(&mut self, leader: Peer) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.last_leader_contact = self.now;
        self.votes.clear();
        self.reset_election_deadline();
    }

    /// Returns true if the log has an entry with this index and term.
    fn has_entry(&self, index: LogIndex, term: Term) -> bool {
        // Entries covered by the snapshot are committed and therefore identical on all nodes.
        index < self.log.snapshot_index() || self.log.term_at(index) == Some(term)
    }

    /// Returns the index that the leader should send next: the one after the last entry if this log
    /// is too short, otherwise the first entry of the conflicting term.
    fn conflict_hint(&self, index: LogIndex) -> LogIndex {
        if index > self.log.last_index() {
            return self.log.last_index() + 1;
        }
        let Some(conflicting_term) = self.log.term_at(index) else {
            return index;
        };
        let mut first = index;
        while first > self.log.snapshot_index() + 1
            && self.log.term_at(first - 1) == Some(conflicting_term)
        {
            first -= 1;
        }
        first
    }

    /// Appends an entry unless the log already has it. Removes conflicting entries first.
    fn append_from_leader(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                debug_assert!(entry.index > self.commit, "a committed entry never changes");
                self.truncate_from(entry.index);
                self.store(entry);
            }
            None => self.store(entry),
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: Peer,
        accepted: bool,
        index: LogIndex,
        read: ReadId,
    ) {
        if !self.is_leader() {
            return;
        }
        let now = self.now;
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact = now;
        progress.confirmed_read = progress.confirmed_read.max(read);
        if accepted {
            let stalled = index <= progress.match_index && progress.next_index > index + 1;
            progress.on_accepted(index.min(last_index));
            if stalled && progress.in_flight == 0 {
                // The follower has fewer entries than were sent, and no append is in flight:
                // appends were lost.
                progress.next_index = progress.match_index + 1;
            }
        } else {
            progress.on_rejected(index);
        }
        self.advance_commit();
        self.replicate(from);
        self.continue_transfer();
    }

    /// Advances the commit index to the last entry that a quorum has stored, if that entry is of
    /// the current term. An entry of an earlier term could still be overwritten after a quorum has
    /// stored it (figure 8 of the Raft paper).
    pub(crate) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let mut durable_indexes: Vec<LogIndex> = self
            .membership
            .voters
            .iter()
            .map(|peer| self.durable_index_of(*peer))
            .collect();
        durable_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(quorum_index) = durable_indexes.get(self.membership.quorum() - 1).copied() else {
            return;
        };
        if quorum_index > self.commit
            && self.log.term_at(quorum_index) == Some(self.hard_state.term)
        {
            self.commit = quorum_index;
            self.step_down_if_removed();
        }
    }

    /// Returns the index of the last entry that the peer is known to have persisted.
    fn durable_index_of(&self, peer: Peer) -> LogIndex {
        if peer == self.me {
            return self.persisted;
        }
        self.progress
            .get(&peer)
            .map_or(0, |progress| progress.match_index)
    }

    fn step_down_if_removed(&mut self) {
        let removed = !self.membership.contains(self.me) && self.membership_index <= self.commit;
        if removed {
            // The heartbeats carry the new commit index, so that the remaining nodes learn that the
            // removal is committed before this node stops leading.
            for peer in self.followers() {
                self.send_heartbeat(peer);
            }
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn on_install_snapshot(&mut self, from: Peer, snapshot: Snapshot) {
        self.follow_leader(from);
        let index = snapshot.index;
        let term = self.hard_state.term;
        if index > self.commit {
            self.log.reset(&snapshot);
            self.membership = snapshot.membership.clone();
            self.membership_index = index;
            self.commit = index;
            self.applied = index;
            self.persisted = index;
            self.ready.entries.clear();
            self.ready.committed.clear();
            self.ready.snapshot = Some(snapshot);
        }
        let reply = Message::AppendReply {
            accepted: true,
            index,
            read: ReadId::default(),
        };
        self.send_after_sync(from, term, reply);
    }

    /// Tells the target of a leadership transfer to start its election once its log is complete.
    pub(crate) fn continue_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        let caught_up = self
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.match_index == last_index);
        if caught_up && !transfer.timeout_now_sent {
            transfer.timeout_now_sent = true;
            let to = transfer.to;
            self.send(to, Message::TimeoutNow);
        }
    }

    /// Returns the latest read for which a quorum has confirmed the leadership.
    pub(crate) fn confirmed_read(&self) -> ReadId {
        let mut confirmed: Vec<ReadId> = self
            .membership
            .voters
            .iter()
            .map(|peer| self.read_confirmed_of(*peer))
            .collect();
        confirmed.sort_unstable_by(|left, right| right.cmp(left));
        confirmed
            .get(self.membership.quorum() - 1)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the latest read for which the peer has confirmed the leadership.
    fn read_confirmed_of(&self, peer: Peer) -> ReadId {
        if peer == self.me {
            return self.reads.last();
        }
        self.progress
            .get(&peer)
            .map_or(ReadId::default(), |progress| progress.confirmed_read)
    }

    /// Sends heartbeats to confirm the leadership for pending reads.
    pub(crate) fn send_read_heartbeats(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        self.heartbeat_deadline = self.now.plus(self.config.heartbeat_interval);
        for peer in self.followers() {
            self.send_heartbeat(peer);
        }
    }

    /// Returns the time since the last reply from `peer`, or `None` if this node does not lead or
    /// `peer` is not one of its followers.
    #[must_use]
    pub fn time_since_contact(&self, peer: Peer) -> Option<Duration> {
        let progress = self.progress.get(&peer)?;
        Some(self.now.since(progress.last_contact))
    }

    /// Returns the voter that replied to this leader most recently, among those that `is_eligible`
    /// accepts. The leader itself is excluded.
    #[must_use]
    pub fn successor(&self, is_eligible: impl Fn(Peer) -> bool) -> Option<Peer> {
        let voters = self.membership.voters.iter().copied();
        voters
            .filter(|peer| *peer != self.me() && is_eligible(*peer))
            .filter_map(|peer| Some((self.time_since_contact(peer)?, peer)))
            .min()
            .map(|(_, peer)| peer)
    }
}
