//! Durable storage of a member: one write-ahead log for all groups, and snapshot files.

use crate::errors::{ControlError, SnapshotMissingSnafu};
use crate::machine::{decode, encode};
use luglink_raft::{Entry, HardState, LogIndex, RestoredState, Snapshot};
use luglink_storage::{Disk, Wal, WalConfig};
use luglink_types::GroupId;
use serde::{Deserialize, Serialize};
use snafu::OptionExt;
use std::collections::BTreeMap;

/// A record of a batch in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Term and vote of a group.
    HardState { group: GroupId, state: HardState },
    /// Entries of a group. They replace earlier entries from the index of the first one on.
    Entries { group: GroupId, entries: Vec<Entry> },
    /// The group has a complete snapshot file, which covers all entries up to `index`.
    Snapshot { group: GroupId, index: LogIndex },
    /// A received snapshot replaced the whole log of the group.
    Reset { group: GroupId, index: LogIndex },
}

/// Hard state and latest snapshot of a group, from which obsolete log segments are determined.
#[derive(Clone, Copy, Debug, Default)]
struct GroupFiles {
    hard_state: HardState,
    snapshot_index: LogIndex,
    has_snapshot: bool,
}

/// Durable storage of a member.
#[derive(Debug)]
pub(crate) struct MemberStore<D> {
    disk: D,
    wal: Wal,
    groups: BTreeMap<GroupId, GroupFiles>,
    /// Index of the last entry of each group in each segment.
    segment_ends: BTreeMap<u64, BTreeMap<GroupId, LogIndex>>,
    syncs: u64,
}

impl<D: Disk> MemberStore<D> {
    /// Opens the log and returns the restored state of each group.
    pub(crate) fn open(
        mut disk: D,
        config: WalConfig,
    ) -> Result<(Self, BTreeMap<GroupId, RestoredState>), ControlError> {
        let (wal, recovered) = Wal::open(&mut disk, config)?;
        let mut store = Self {
            disk,
            wal,
            groups: BTreeMap::new(),
            segment_ends: BTreeMap::new(),
            syncs: 0,
        };
        let mut restored: BTreeMap<GroupId, RestoredState> = BTreeMap::new();
        for batch in recovered.batches {
            let records: Vec<Record> = decode("a log record", &batch.payload)?;
            for record in records {
                store.track_record(batch.segment, &record);
                replay(&mut restored, record);
            }
        }
        for (group, state) in &mut restored {
            store.load_snapshot(*group, state)?;
        }
        Ok((store, restored))
    }

    /// Appends records to the log and syncs it once.
    pub(crate) fn append(&mut self, records: &[Record]) -> Result<(), ControlError> {
        if records.is_empty() {
            return Ok(());
        }
        if self.wal.segment_is_full() {
            self.start_segment()?;
        }
        self.append_batch(records)
    }

    /// Saves a snapshot of this member's own state. The entries after it are kept.
    pub(crate) fn save_snapshot(
        &mut self,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> Result<(), ControlError> {
        let index = snapshot.index;
        self.write_snapshot(group, snapshot, Record::Snapshot { group, index })
    }

    /// Saves a received snapshot, which replaces the whole log of the group.
    pub(crate) fn reset_to_snapshot(
        &mut self,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> Result<(), ControlError> {
        let index = snapshot.index;
        self.write_snapshot(group, snapshot, Record::Reset { group, index })
    }

    /// Writes the snapshot file first and then its log record, so that a record never refers to a
    /// missing file.
    fn write_snapshot(
        &mut self,
        group: GroupId,
        snapshot: &Snapshot,
        record: Record,
    ) -> Result<(), ControlError> {
        let previous = self.groups.get(&group).copied().unwrap_or_default();
        let bytes = encode("a snapshot", snapshot)?;
        let file = snapshot_file(group, snapshot.index);
        self.disk.replace(&file, &bytes)?;
        self.append(&[record])?;
        if previous.has_snapshot && previous.snapshot_index != snapshot.index {
            self.disk
                .remove(&snapshot_file(group, previous.snapshot_index))?;
        }
        self.remove_old_segments()
    }

    /// Reads the latest snapshot of a group.
    pub(crate) fn read_snapshot(&self, group: GroupId) -> Result<Option<Snapshot>, ControlError> {
        let Some(files) = self.groups.get(&group).filter(|files| files.has_snapshot) else {
            return Ok(None);
        };
        let bytes = self
            .disk
            .read(&snapshot_file(group, files.snapshot_index))
            .ok()
            .context(SnapshotMissingSnafu {
                group,
                index: files.snapshot_index,
            })?;
        decode("a snapshot", &bytes).map(Some)
    }

    /// Returns the number of syncs of the log so far.
    pub(crate) fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Returns the disk, for fault injection.
    pub(crate) fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Consumes the store and returns its disk, for a simulated crash.
    pub(crate) fn into_disk(self) -> D {
        self.disk
    }

    fn load_snapshot(
        &mut self,
        group: GroupId,
        state: &mut RestoredState,
    ) -> Result<(), ControlError> {
        if let Some(snapshot) = self.read_snapshot(group)? {
            state.entries.retain(|entry| entry.index > snapshot.index);
            state.snapshot = snapshot;
        }
        Ok(())
    }

    fn append_batch(&mut self, records: &[Record]) -> Result<(), ControlError> {
        let payload = encode("log records", &records)?;
        let segment = self.wal.append(&mut self.disk, &payload)?;
        self.syncs += 1;
        for record in records {
            self.track_record(segment, record);
        }
        Ok(())
    }

    /// Starts a segment with the hard state and the snapshot record of every group, so that older
    /// segments can be removed.
    fn start_segment(&mut self) -> Result<(), ControlError> {
        self.wal.start_segment();
        let states: Vec<Record> = self
            .groups
            .iter()
            .flat_map(|(group, files)| segment_header(*group, *files))
            .collect();
        self.append_batch(&states)?;
        self.remove_old_segments()
    }

    /// Removes the oldest segments whose entries are all covered by snapshots.
    fn remove_old_segments(&mut self) -> Result<(), ControlError> {
        let current = self.wal.current_segment();
        let mut keep_from = self.wal.oldest_segment();
        while keep_from < current && self.is_covered(keep_from) {
            keep_from += 1;
        }
        if keep_from > self.wal.oldest_segment() {
            self.wal.remove_segments_before(&mut self.disk, keep_from)?;
            self.segment_ends = self.segment_ends.split_off(&keep_from);
        }
        Ok(())
    }

    /// Returns true if snapshots cover all entries of the segment.
    fn is_covered(&self, segment: u64) -> bool {
        let covered = |(group, last): (&GroupId, &LogIndex)| {
            self.groups
                .get(group)
                .is_some_and(|files| files.has_snapshot && *last <= files.snapshot_index)
        };
        self.segment_ends
            .get(&segment)
            .is_none_or(|ends| ends.iter().all(covered))
    }

    /// Updates the bookkeeping of segments and snapshots for a record.
    fn track_record(&mut self, segment: u64, record: &Record) {
        match record {
            Record::HardState { group, state } => {
                self.groups.entry(*group).or_default().hard_state = *state;
            }
            Record::Entries { group, entries } => {
                self.groups.entry(*group).or_default();
                if let Some(last) = entries.last() {
                    let ends = self.segment_ends.entry(segment).or_default();
                    let end = ends.entry(*group).or_default();
                    *end = (*end).max(last.index);
                }
            }
            Record::Snapshot { group, index } | Record::Reset { group, index } => {
                let files = self.groups.entry(*group).or_default();
                files.snapshot_index = *index;
                files.has_snapshot = true;
            }
        }
    }
}

/// Records of a group with which each segment starts.
fn segment_header(group: GroupId, files: GroupFiles) -> Vec<Record> {
    let mut records = vec![Record::HardState {
        group,
        state: files.hard_state,
    }];
    if files.has_snapshot {
        records.push(Record::Snapshot {
            group,
            index: files.snapshot_index,
        });
    }
    records
}

/// Applies a record of the log to the restored state.
fn replay(restored: &mut BTreeMap<GroupId, RestoredState>, record: Record) {
    match record {
        Record::HardState { group, state } => {
            restored.entry(group).or_default().hard_state = state;
        }
        Record::Entries { group, entries } => {
            let state = restored.entry(group).or_default();
            if let Some(first) = entries.first() {
                let first_index = first.index;
                state.entries.retain(|entry| entry.index < first_index);
            }
            state.entries.extend(entries);
        }
        Record::Snapshot { group, index } => {
            let state = restored.entry(group).or_default();
            state.entries.retain(|entry| entry.index > index);
        }
        Record::Reset { group, .. } => {
            restored.entry(group).or_default().entries.clear();
        }
    }
}

fn snapshot_file(group: GroupId, index: LogIndex) -> String {
    format!("snapshot-{:08x}-{index:016x}", group.0)
}
