//! File of crash reports and of runs under way, from which a store that restarts knows them again.
//!
//! Entries are appended, and the file is rewritten once it is long. One sync covers all entries that
//! were appended before it. Runs under way are written without one, so they survive the end of the
//! process but not a loss of power.

use crate::crash_parts::RunUpdate;
use crate::crash_reports::RunReport;
use crate::errors::{DecodeSnafu, EncodeSnafu, TurnsError};
use luglink_storage::Disk;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

const FILE: &str = "run-reports";

/// Size from which on the file is rewritten.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Bytes of the length and the checksum before each entry.
const HEADER_BYTES: usize = 8;

/// Entry of the file. New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunEntry {
    Report {
        report: RunReport,
        is_in_doubt: bool,
    },
    Update(RunUpdate),
    SessionEnded(u64),
}

/// The file, and how much of it is written.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunJournal {
    bytes: usize,
    /// Size of the file after it was last rewritten.
    rewritten_bytes: usize,
}

impl RunJournal {
    /// Reads the file. Entries after a damaged one are dropped; the other stores and the gateways
    /// have them too.
    pub(crate) fn open(disk: &mut impl Disk) -> Result<(Self, Vec<RunEntry>), TurnsError> {
        if !disk.list()?.iter().any(|file| file == FILE) {
            return Ok((Self::default(), Vec::new()));
        }
        let content = disk.read(FILE)?;
        let (entries, length) = decode_entries(&content);
        if length < content.len() {
            disk.truncate(FILE, length as u64)?;
        }
        let journal = Self {
            bytes: length,
            rewritten_bytes: 0,
        };
        Ok((journal, entries))
    }

    /// Appends an entry without a sync.
    pub(crate) fn append(
        &mut self,
        disk: &mut impl Disk,
        entry: &RunEntry,
    ) -> Result<(), TurnsError> {
        let bytes = encode_entry(entry)?;
        disk.append(FILE, &bytes)?;
        self.bytes += bytes.len();
        Ok(())
    }

    /// Syncs the entries that were appended.
    pub(crate) fn sync(&self, disk: &mut impl Disk) -> Result<(), TurnsError> {
        Ok(disk.sync(FILE)?)
    }

    /// Returns true if the file should be rewritten.
    pub(crate) fn is_long(&self) -> bool {
        self.bytes >= MAX_FILE_BYTES.max(2 * self.rewritten_bytes)
    }

    /// Replaces the file.
    pub(crate) fn rewrite(
        &mut self,
        disk: &mut impl Disk,
        entries: impl Iterator<Item = RunEntry>,
    ) -> Result<(), TurnsError> {
        let mut content = Vec::new();
        for entry in entries {
            content.extend(encode_entry(&entry)?);
        }
        disk.replace(FILE, &content)?;
        self.bytes = content.len();
        self.rewritten_bytes = content.len();
        Ok(())
    }
}

fn encode_entry(entry: &RunEntry) -> Result<Vec<u8>, TurnsError> {
    let payload = postcard::to_stdvec(entry).context(EncodeSnafu)?;
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_be_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Returns the entries before the first damaged one, and their length in bytes.
fn decode_entries(content: &[u8]) -> (Vec<RunEntry>, usize) {
    let mut entries = Vec::new();
    let mut offset = 0;
    while let Some((entry, length)) = decode_entry(&content[offset..]) {
        entries.push(entry);
        offset += length;
    }
    (entries, offset)
}

fn decode_entry(bytes: &[u8]) -> Option<(RunEntry, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_be_bytes(*length) as usize;
    let payload = rest.get(..length)?;
    let is_sound = crc32fast::hash(payload) == u32::from_be_bytes(*checksum);
    let entry = postcard::from_bytes(payload).context(DecodeSnafu).ok()?;
    is_sound.then_some((entry, HEADER_BYTES + length))
}
