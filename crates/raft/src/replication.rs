//! Replication: appends, commits, snapshots and confirmation of reads.

use crate::entry::{Entry, LogIndex, Snapshot, Term};
use crate::membership::Peer;
use crate::message::Message;
use crate::node::{RaftNode, Role};
use crate::progress::Progress;
use crate::read::ReadId;
use std::time::Duration;

/// Wait before a snapshot that was not answered is offered again, in election timeouts.
const SNAPSHOT_RESEND_TIMEOUTS: u32 = 8;

impl RaftNode {
    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        if !self.is_leader() {
            return;
        }
        if self
            .transfer
            .is_some_and(|transfer| self.now >= transfer.until)
        {
            self.transfer = None;
        }
        if self.now >= self.heartbeat_due {
            self.heartbeat_due = self.now.plus(self.config.heartbeat_interval);
            for peer in self.followers() {
                self.send_heartbeat(peer);
            }
        }
    }

    pub(crate) fn followers(&self) -> Vec<Peer> {
        self.progress.keys().copied().collect()
    }

    /// Keeps exactly one progress record for each other peer of the membership.
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

    /// Sends what the follower lacks, within the window.
    fn replicate(&mut self, peer: Peer) {
        loop {
            let Some(progress) = self.progress.get(&peer) else {
                return;
            };
            let next = progress.next;
            let window_full = progress.in_flight >= self.config.append_window;
            if window_full || progress.snapshot_sent_at.is_some() || next > self.log.last_index() {
                return;
            }
            if next <= self.log.snapshot_index() {
                self.request_snapshot_for(peer);
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
                progress.next = next + sent;
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

    /// A heartbeat probes at the last matched entry, so that lost appends are noticed: the
    /// window is reopened and sending goes on from what the follower really has.
    fn send_heartbeat(&mut self, peer: Peer) {
        let resend_after = self.config.election_timeout * SNAPSHOT_RESEND_TIMEOUTS;
        let now = self.now;
        let snapshot_index = self.log.snapshot_index();
        let Some(progress) = self.progress.get_mut(&peer) else {
            return;
        };
        let timed_out = |sent_at| now.since(sent_at) > resend_after;
        if progress.snapshot_sent_at.is_some_and(timed_out) {
            progress.snapshot_sent_at = None;
        }
        let probe = if progress.matched >= snapshot_index {
            progress.matched + 1
        } else {
            progress.next.max(snapshot_index + 1)
        };
        self.send_append(peer, probe, Vec::new());
    }

    fn request_snapshot_for(&mut self, peer: Peer) {
        let now = self.now;
        if let Some(progress) = self.progress.get_mut(&peer) {
            progress.snapshot_sent_at = Some(now);
        }
        // The state itself is the driver's: it fills in the bytes before it sends.
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
        self.follow(from);
        if !self.matches(previous_index, previous_term) {
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
            self.append_received(entry);
        }
        // Only entries that this append vouched for are known to be the leader's.
        self.commit = self.commit.max(commit.min(last_matched));
        let term = self.hard_state.term;
        let reply = Message::AppendReply {
            accepted: true,
            index: last_matched,
            read,
        };
        self.send_after_sync(from, term, reply);
    }

    fn follow(&mut self, leader: Peer) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = self.now;
        self.votes.clear();
        self.reset_election_deadline();
    }

    fn matches(&self, index: LogIndex, term: Term) -> bool {
        // What the snapshot covers is committed, hence equal everywhere.
        index < self.log.snapshot_index() || self.log.term_at(index) == Some(term)
    }

    /// The next index a leader should try: before this node's end, or before the whole
    /// conflicting term.
    fn conflict_hint(&self, index: LogIndex) -> LogIndex {
        if index > self.log.last_index() {
            return self.log.last_index() + 1;
        }
        let Some(conflicting) = self.log.term_at(index) else {
            return index;
        };
        let mut first = index;
        while first > self.log.snapshot_index() + 1
            && self.log.term_at(first - 1) == Some(conflicting)
        {
            first -= 1;
        }
        first
    }

    fn append_received(&mut self, entry: Entry) {
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
        progress.heard_at = now;
        progress.confirmed_read = progress.confirmed_read.max(read);
        if accepted {
            let stalled = index <= progress.matched && progress.next > index + 1;
            progress.accepted(index.min(last_index));
            if stalled && progress.in_flight == 0 {
                // A heartbeat was answered with nothing on the way: appends were lost.
                progress.next = progress.matched + 1;
            }
        } else {
            progress.rejected(index);
        }
        self.advance_commit();
        self.replicate(from);
        self.continue_transfer();
    }

    /// Commits what a quorum has stored, if the entry is of this term: entries of earlier terms
    /// could otherwise be committed and overwritten (figure 8 of the paper).
    pub(crate) fn advance_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let mut stored: Vec<LogIndex> = self
            .membership
            .voters
            .iter()
            .map(|peer| self.stored_by(*peer))
            .collect();
        stored.sort_unstable_by(|left, right| right.cmp(left));
        let Some(candidate) = stored.get(self.membership.quorum() - 1).copied() else {
            return;
        };
        if candidate > self.commit && self.log.term_at(candidate) == Some(self.hard_state.term) {
            self.commit = candidate;
            self.step_down_if_removed();
        }
    }

    fn stored_by(&self, peer: Peer) -> LogIndex {
        if peer == self.me {
            return self.persisted;
        }
        self.progress
            .get(&peer)
            .map_or(0, |progress| progress.matched)
    }

    fn step_down_if_removed(&mut self) {
        let removed = !self.membership.contains(self.me) && self.membership_index <= self.commit;
        if removed {
            // The others learn of the commit first, so that none of them has to find out alone.
            for peer in self.followers() {
                self.send_heartbeat(peer);
            }
            self.become_follower(self.hard_state.term, None);
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: Peer, snapshot: Snapshot) {
        self.follow(from);
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

    pub(crate) fn continue_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(transfer) = self.transfer.as_mut() else {
            return;
        };
        let caught_up = self
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched == last_index);
        if caught_up && !transfer.asked {
            transfer.asked = true;
            let to = transfer.to;
            self.send(to, Message::TimeoutNow);
        }
    }

    /// Latest read that a quorum has confirmed by answering a later append.
    pub(crate) fn confirmed_read(&self) -> ReadId {
        let mut confirmed: Vec<ReadId> = self
            .membership
            .voters
            .iter()
            .map(|peer| self.read_confirmed_by(*peer))
            .collect();
        confirmed.sort_unstable_by(|left, right| right.cmp(left));
        confirmed
            .get(self.membership.quorum() - 1)
            .copied()
            .unwrap_or_default()
    }

    fn read_confirmed_by(&self, peer: Peer) -> ReadId {
        if peer == self.me {
            return self.reads.last();
        }
        self.progress
            .get(&peer)
            .map_or(ReadId::default(), |progress| progress.confirmed_read)
    }

    pub(crate) fn confirm_reads(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        self.heartbeat_due = self.now.plus(self.config.heartbeat_interval);
        for peer in self.followers() {
            self.send_heartbeat(peer);
        }
    }

    /// How long the leader has gone without hearing from `peer`.
    #[must_use]
    pub fn time_since_contact(&self, peer: Peer) -> Option<Duration> {
        let progress = self.progress.get(&peer)?;
        Some(self.now.since(progress.heard_at))
    }

    /// The other voter that the leader heard from last, among those that `fits` accepts.
    #[must_use]
    pub fn successor(&self, fits: impl Fn(Peer) -> bool) -> Option<Peer> {
        let voters = self.membership.voters.iter().copied();
        voters
            .filter(|peer| *peer != self.me() && fits(*peer))
            .filter_map(|peer| Some((self.time_since_contact(peer)?, peer)))
            .min()
            .map(|(_, peer)| peer)
    }
}
