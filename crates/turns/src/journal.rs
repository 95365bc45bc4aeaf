//! The store's journal: what it holds, on disk.

use crate::account::Spend;
use crate::errors::{DecodeSnafu, EncodeSnafu, TurnsError};
use crate::record::{ProgramName, TurnId, TurnRecord};
use luglink_fleet::StoreView;
use luglink_storage::{Disk, Wal, WalConfig};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

const IDENTITY_FILE: &str = "store-identity";

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Entry {
    /// A turn.
    Turn(TurnRecord),
    /// What a turn takes.
    Spend {
        program: ProgramName,
        turn: TurnId,
        spend: Spend,
        retention_ms: u64,
    },
    /// Everything that others should hold in this view has been handed over.
    HandedOver(StoreView),
}

/// The journal of one store.
#[derive(Debug)]
pub(crate) struct Journal<D> {
    disk: D,
    wal: Wal,
    config: WalConfig,
}

/// What a journal held at start.
pub(crate) struct Recovered {
    pub(crate) entries: Vec<(u64, Entry)>,
    pub(crate) incarnation: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal. `fresh` names the disk when it is empty.
    pub(crate) fn open(
        mut disk: D,
        config: WalConfig,
        fresh: u64,
    ) -> Result<(Self, Recovered), TurnsError> {
        let incarnation = identity(&mut disk, fresh)?;
        let (wal, recovered) = Wal::open(&mut disk, config)?;
        let mut entries = Vec::new();
        for batch in recovered.batches {
            let found: Vec<Entry> = postcard::from_bytes(&batch.payload).context(DecodeSnafu)?;
            entries.extend(found.into_iter().map(|entry| (batch.segment, entry)));
        }
        let journal = Self { disk, wal, config };
        Ok((
            journal,
            Recovered {
                entries,
                incarnation,
            },
        ))
    }

    /// Makes entries durable with one sync. Returns the segment that holds them. After a
    /// failure nothing of the batch is there.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> Result<u64, TurnsError> {
        let payload = postcard::to_stdvec(entries).context(EncodeSnafu)?;
        Ok(self.wal.append(&mut self.disk, &payload)?)
    }

    /// Reads the journal's end anew after a failed write, whose torn frame is cut off.
    pub(crate) fn repair(&mut self) -> Result<(), TurnsError> {
        let (wal, _) = Wal::open(&mut self.disk, self.config)?;
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

    pub(crate) fn remove_before(&mut self, segment: u64) -> Result<(), TurnsError> {
        Ok(self.wal.remove_segments_before(&mut self.disk, segment)?)
    }

    pub(crate) fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    pub(crate) fn into_disk(self) -> D {
        self.disk
    }
}

fn identity(disk: &mut impl Disk, fresh: u64) -> Result<u64, TurnsError> {
    if disk.list()?.iter().any(|file| file == IDENTITY_FILE) {
        let bytes = disk.read(IDENTITY_FILE)?;
        return postcard::from_bytes(&bytes).context(DecodeSnafu);
    }
    let bytes = postcard::to_stdvec(&fresh).context(EncodeSnafu)?;
    disk.replace(IDENTITY_FILE, &bytes)?;
    Ok(fresh)
}
