//! Processes the pending work of consensus: persists entries, sends messages, applies committed
//! entries.

use crate::errors::ControlError;
use crate::machine::encode_snapshot;
use crate::node::{ControlNode, Output};
use crate::store::Record;
use luglink_raft::{Envelope, LogIndex, Message, Ready, Snapshot};
use luglink_storage::Disk;
use luglink_types::GroupId;

impl<D: Disk> ControlNode<D> {
    /// Processes the pending work of all groups. Returns false if there was none.
    pub(crate) fn flush_once(&mut self) -> Result<bool, ControlError> {
        let mut work: Vec<(GroupId, Ready)> = Vec::new();
        for (id, group) in &mut self.groups {
            let ready = group.raft.take_ready();
            if !ready.is_empty() {
                work.push((*id, ready));
            }
        }
        if work.is_empty() {
            self.abandon_pending();
            return Ok(false);
        }
        for (id, ready) in &mut work {
            let messages = std::mem::take(&mut ready.messages);
            self.send_all(*id, messages)?;
        }
        self.persist(&work)?;
        for (id, ready) in work {
            self.finish_ready(id, ready)?;
        }
        self.abandon_pending();
        Ok(true)
    }

    /// Persists the hard states and entries of all groups with one sync.
    fn persist(&mut self, work: &[(GroupId, Ready)]) -> Result<(), ControlError> {
        let mut records = Vec::new();
        for (group, ready) in work {
            let group = *group;
            if let Some(state) = ready.hard_state {
                records.push(Record::HardState { group, state });
            }
            if let Some(snapshot) = &ready.snapshot {
                self.store.reset_to_snapshot(group, snapshot)?;
            }
            if !ready.entries.is_empty() {
                records.push(Record::Entries {
                    group,
                    entries: ready.entries.clone(),
                });
            }
        }
        self.store.append(&records)
    }

    fn finish_ready(&mut self, id: GroupId, ready: Ready) -> Result<(), ControlError> {
        self.send_all(id, ready.messages_after_sync)?;
        let Some(group) = self.groups.get_mut(&id) else {
            return Ok(());
        };
        if let Some(snapshot) = &ready.snapshot {
            group.install(snapshot)?;
        }
        let answers = group.apply(&ready.committed)?;
        let reads = group.answer_reads(&ready.reads);
        if let Some(last) = ready.entries.last() {
            group.raft.on_persisted(last.index);
        }
        for (token, response) in answers.into_iter().chain(reads) {
            self.reply(token, response);
        }
        self.snapshot_if_due(id, ready.committed.last().map(|entry| entry.index))
    }

    /// Writes a snapshot of the group's state and compacts its log, if the log has reached
    /// `snapshot_entries`.
    fn snapshot_if_due(
        &mut self,
        id: GroupId,
        applied: Option<LogIndex>,
    ) -> Result<(), ControlError> {
        let Some(group) = self.groups.get_mut(&id) else {
            return Ok(());
        };
        let Some(index) = applied else {
            return Ok(());
        };
        if group.raft.log().len() < self.config.snapshot_entries {
            return Ok(());
        }
        let snapshot = Snapshot {
            index,
            term: group.raft.log().term_at(index).unwrap_or(0),
            membership: group.raft.log().membership_at(index).clone(),
            state: encode_snapshot(&group.state_machine)?,
        };
        self.store.save_snapshot(id, &snapshot)?;
        group.raft.compact(index);
        Ok(())
    }

    fn send_all(&mut self, group: GroupId, messages: Vec<Envelope>) -> Result<(), ControlError> {
        for mut envelope in messages {
            if let Message::InstallSnapshot { snapshot } = &mut envelope.message {
                match self.store.read_snapshot(group)? {
                    Some(stored) => *snapshot = stored,
                    // No snapshot is stored yet; the follower is sent the entries instead.
                    None if snapshot.index > 0 => continue,
                    None => {}
                }
            }
            self.outputs.push(Output::Peer {
                group,
                envelope: Box::new(envelope),
            });
        }
        Ok(())
    }
}
