//! Journal of a store: its turns and accounts on disk.

use crate::account::Spend;
use crate::errors::{DecodeSnafu, EncodeSnafu, TurnsError};
use crate::record::{ProgramName, TurnId, TurnRecord};
use luglink_fleet::StoreView;
use luglink_storage::{Disk, Wal, WalConfig};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

const INCARNATION_FILE: &str = "store-identity";

/// Entry of a journal batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Entry {
    /// Completed turn.
    Turn(TurnRecord),
    /// Tokens that a turn takes from its program's budget.
    Spend {
        program: ProgramName,
        turn: TurnId,
        spend: Spend,
        retention_ms: u64,
    },
    /// The hand-over to the other owners of this view is complete.
    HandedOver(StoreView),
}

impl Entry {
    /// Returns the turn of the entry, if it is one.
    pub(crate) fn turn(&self) -> Option<&TurnRecord> {
        match self {
            Self::Turn(record) => Some(record),
            Self::Spend { .. } | Self::HandedOver(_) => None,
        }
    }
}

/// Journal of one store.
#[derive(Debug)]
pub(crate) struct Journal<D> {
    disk: D,
    wal: Wal,
    config: WalConfig,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal and calls `visit` with each entry and the segment that contains it, in order.
    /// Returns the incarnation of the disk; an empty one gets `new_incarnation`.
    pub(crate) fn open(
        mut disk: D,
        config: WalConfig,
        new_incarnation: u64,
        mut visit: impl FnMut(u64, Entry),
    ) -> Result<(Self, u64), TurnsError> {
        let incarnation = load_incarnation(&mut disk, new_incarnation)?;
        let mut decoded = Ok(());
        let (wal, _) = Wal::replay(&mut disk, config, |segment, payload| {
            if decoded.is_err() {
                return;
            }
            match postcard::from_bytes::<Vec<Entry>>(payload) {
                Ok(entries) => entries.into_iter().for_each(|entry| visit(segment, entry)),
                Err(source) => decoded = Err(source),
            }
        })?;
        decoded.context(DecodeSnafu)?;
        Ok((Self { disk, wal, config }, incarnation))
    }

    /// Makes entries durable with one sync and returns the segment that contains them. If the
    /// write fails, no entry of the batch is stored.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> Result<u64, TurnsError> {
        let payload = postcard::to_stdvec(entries).context(EncodeSnafu)?;
        Ok(self.wal.append(&mut self.disk, &payload)?)
    }

    /// Reopens the journal after a failed write, which truncates the incomplete frame.
    pub(crate) fn repair(&mut self) -> Result<(), TurnsError> {
        let (wal, _) = Wal::replay(&mut self.disk, self.config, |_, _| {})?;
        self.wal = wal;
        Ok(())
    }

    pub(crate) fn segment_is_full(&self) -> bool {
        self.wal.segment_is_full()
    }

    pub(crate) fn oldest_segment(&self) -> u64 {
        self.wal.oldest_segment()
    }

    pub(crate) fn current_segment(&self) -> u64 {
        self.wal.current_segment()
    }

    pub(crate) fn start_segment(&mut self) {
        self.wal.start_segment();
    }

    pub(crate) fn remove_segments_before(&mut self, segment: u64) -> Result<(), TurnsError> {
        Ok(self.wal.remove_segments_before(&mut self.disk, segment)?)
    }

    pub(crate) fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    pub(crate) fn into_disk(self) -> D {
        self.disk
    }
}

/// Reads the incarnation of the disk, or stores `new_incarnation` on a disk that has none.
fn load_incarnation(disk: &mut impl Disk, new_incarnation: u64) -> Result<u64, TurnsError> {
    if disk.list()?.iter().any(|file| file == INCARNATION_FILE) {
        let bytes = disk.read(INCARNATION_FILE)?;
        return postcard::from_bytes(&bytes).context(DecodeSnafu);
    }
    let bytes = postcard::to_stdvec(&new_incarnation).context(EncodeSnafu)?;
    disk.replace(INCARNATION_FILE, &bytes)?;
    Ok(new_incarnation)
}
