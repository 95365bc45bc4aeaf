//! Segmented write-ahead log.

use crate::disk::Disk;
use crate::errors::{BatchTooLargeSnafu, CorruptSnafu, GapSnafu, StorageError};
use crate::frame::{self, Frame, MAX_PAYLOAD_BYTES};
use snafu::ensure;

const SEGMENT_PREFIX: &str = "wal-";
const SEGMENT_SUFFIX: &str = ".log";

/// Reason for rejecting an intact batch of another version. The batch may have been acknowledged,
/// so it must not be truncated as a torn tail.
const UNKNOWN_LAYOUT_REASON: &str = "the batch has a layout that this build does not know";

/// Parameters of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalConfig {
    /// Size at which a segment is full, in bytes.
    pub segment_bytes: u64,
}

impl Default for WalConfig {
    fn default() -> Self {
        Self {
            segment_bytes: 64 << 20,
        }
    }
}

/// Batch that was read when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredBatch {
    /// Number of the segment that holds the batch; see [`Wal::remove_segments_before`].
    pub segment: u64,
    /// Content of the batch.
    pub payload: Vec<u8>,
}

/// Content of the log when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// All intact batches, in order.
    pub batches: Vec<RecoveredBatch>,
    /// Number of bytes of a torn last batch that were truncated. That batch was never acknowledged.
    pub torn_bytes: u64,
}

/// Write-ahead log, open for appending.
#[derive(Debug)]
pub struct Wal {
    config: WalConfig,
    segment: u64,
    segment_bytes: u64,
    oldest_segment: u64,
    next_sequence: u64,
}

impl Wal {
    /// Opens the log on `disk` and returns its content. Truncates a torn last batch.
    ///
    /// # Errors
    /// The disk fails, or the log has damage other than a torn last batch.
    pub fn open(
        disk: &mut impl Disk,
        config: WalConfig,
    ) -> Result<(Self, Recovered), StorageError> {
        let mut batches = Vec::new();
        let (wal, torn_bytes) = Self::replay(disk, config, |segment, payload| {
            batches.push(RecoveredBatch {
                segment,
                payload: payload.to_vec(),
            });
        })?;
        Ok((
            wal,
            Recovered {
                batches,
                torn_bytes,
            },
        ))
    }

    /// Opens the log on `disk` and calls `visit` with the segment and content of each intact batch, in
    /// order. At most one segment is in memory at a time. Truncates a torn last batch, and returns the
    /// number of its bytes.
    ///
    /// # Errors
    /// The disk fails, or the log has damage other than a torn last batch.
    pub fn replay(
        disk: &mut impl Disk,
        config: WalConfig,
        mut visit: impl FnMut(u64, &[u8]),
    ) -> Result<(Self, u64), StorageError> {
        let segments = segment_numbers(disk)?;
        let mut torn_bytes = 0;
        let mut is_first = true;
        let mut wal = Self {
            config,
            segment: segments.last().copied().unwrap_or(0),
            segment_bytes: 0,
            oldest_segment: segments.first().copied().unwrap_or(0),
            next_sequence: 0,
        };
        for (position, segment) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            torn_bytes += wal.read_segment(disk, *segment, is_last, &mut is_first, &mut visit)?;
        }
        Ok((wal, torn_bytes))
    }

    /// Appends a batch, syncs it and returns the number of its segment. The batch then survives a
    /// crash.
    ///
    /// # Errors
    /// The batch is too large, or the disk fails. After a disk failure the log must not be used
    /// again.
    pub fn append(&mut self, disk: &mut impl Disk, payload: &[u8]) -> Result<u64, StorageError> {
        ensure!(
            payload.len() <= MAX_PAYLOAD_BYTES,
            BatchTooLargeSnafu {
                bytes: payload.len(),
                limit: MAX_PAYLOAD_BYTES
            }
        );
        let frame = Frame {
            sequence: self.next_sequence,
            payload,
        };
        let file = segment_file(self.segment);
        disk.append(&file, &frame.encode())?;
        disk.sync(&file)?;
        self.next_sequence += 1;
        self.segment_bytes += frame.encoded_len() as u64;
        Ok(self.segment)
    }

    /// Returns true if the current segment has reached its size limit. The caller should then call
    /// [`Wal::start_segment`].
    #[must_use]
    pub fn segment_is_full(&self) -> bool {
        self.segment_bytes >= self.config.segment_bytes
    }

    /// Starts a new segment with the next batch. That batch should contain the state that allows
    /// the caller to remove older segments later.
    pub fn start_segment(&mut self) {
        self.segment += 1;
        self.segment_bytes = 0;
    }

    /// Returns the number of the segment that receives the next batch.
    #[must_use]
    pub fn current_segment(&self) -> u64 {
        self.segment
    }

    /// Returns the number of the oldest segment that has not been removed.
    #[must_use]
    pub fn oldest_segment(&self) -> u64 {
        self.oldest_segment
    }

    /// Removes all segments before `segment`, oldest first, so that a crash in between leaves no
    /// gap.
    ///
    /// # Errors
    /// The disk fails.
    pub fn remove_segments_before(
        &mut self,
        disk: &mut impl Disk,
        segment: u64,
    ) -> Result<(), StorageError> {
        let limit = segment.min(self.segment);
        for old in segment_numbers(disk)?
            .into_iter()
            .filter(|old| *old < limit)
        {
            disk.remove(&segment_file(old))?;
        }
        self.oldest_segment = self.oldest_segment.max(limit);
        Ok(())
    }

    /// Visits the batches of a segment. `is_first` is true until the first batch of the log was read.
    /// Returns the number of bytes of a torn batch that were truncated.
    fn read_segment(
        &mut self,
        disk: &mut impl Disk,
        segment: u64,
        is_last: bool,
        is_first: &mut bool,
        visit: &mut impl FnMut(u64, &[u8]),
    ) -> Result<u64, StorageError> {
        let file = segment_file(segment);
        let bytes = disk.read(&file)?;
        let mut offset = 0;
        let mut torn_bytes = 0;
        while offset < bytes.len() {
            match frame::decode(&bytes[offset..]) {
                Ok(found) => {
                    self.check_sequence(&file, found.sequence, *is_first)?;
                    *is_first = false;
                    visit(segment, found.payload);
                    offset += found.encoded_len();
                }
                Err(reason) => {
                    let rest = &bytes[offset..];
                    ensure!(
                        !frame::has_other_version(rest),
                        CorruptSnafu {
                            file: &file,
                            offset: offset as u64,
                            reason: UNKNOWN_LAYOUT_REASON
                        }
                    );
                    let torn_tail =
                        is_last && !frame::contains_later_frame(rest, self.next_sequence);
                    ensure!(
                        torn_tail,
                        CorruptSnafu {
                            file: &file,
                            offset: offset as u64,
                            reason
                        }
                    );
                    torn_bytes = rest.len() as u64;
                    disk.truncate(&file, offset as u64)?;
                    break;
                }
            }
        }
        self.segment_bytes = offset as u64;
        Ok(torn_bytes)
    }

    fn check_sequence(
        &mut self,
        file: &str,
        found: u64,
        is_first: bool,
    ) -> Result<(), StorageError> {
        ensure!(
            is_first || found == self.next_sequence,
            GapSnafu {
                file,
                after: self.next_sequence.saturating_sub(1),
                found
            }
        );
        self.next_sequence = found + 1;
        Ok(())
    }
}

fn segment_file(segment: u64) -> String {
    format!("{SEGMENT_PREFIX}{segment:016x}{SEGMENT_SUFFIX}")
}

fn segment_numbers(disk: &impl Disk) -> Result<Vec<u64>, StorageError> {
    let names = disk.list()?;
    let numbers = names.iter().filter_map(|name| {
        let digits = name
            .strip_prefix(SEGMENT_PREFIX)?
            .strip_suffix(SEGMENT_SUFFIX)?;
        u64::from_str_radix(digits, 16).ok()
    });
    Ok(numbers.collect())
}
