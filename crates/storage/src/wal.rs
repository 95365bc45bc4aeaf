//! The segmented write-ahead log.

use crate::disk::Disk;
use crate::errors::{BatchTooLargeSnafu, CorruptSnafu, GapSnafu, StorageError};
use crate::frame::{self, Frame, MAX_PAYLOAD_BYTES};
use snafu::ensure;

const SEGMENT_PREFIX: &str = "wal-";
const SEGMENT_SUFFIX: &str = ".log";

/// Why a whole batch of another version is refused rather than cut off: it was acknowledged.
const UNKNOWN_LAYOUT_REASON: &str = "the record has a layout that this build does not know";

/// Limits of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalConfig {
    /// A segment at least this long is followed by a new one, in bytes.
    pub segment_bytes: u64,
}

impl Default for WalConfig {
    fn default() -> Self {
        Self {
            segment_bytes: 64 << 20,
        }
    }
}

/// A batch that was found at start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredBatch {
    /// The segment that holds it; see [`Wal::remove_segments_before`].
    pub segment: u64,
    /// The bytes.
    pub payload: Vec<u8>,
}

/// What was found at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Every intact batch, in order.
    pub batches: Vec<RecoveredBatch>,
    /// Bytes of a torn last batch that were cut off. It was never acknowledged.
    pub torn_bytes: u64,
}

/// The log, open for appending.
#[derive(Debug)]
pub struct Wal {
    config: WalConfig,
    segment: u64,
    segment_bytes: u64,
    oldest_segment: u64,
    next_sequence: u64,
}

impl Wal {
    /// Opens the log on `disk` and gives back what it holds.
    ///
    /// # Errors
    /// The disk fails, or the log is damaged anywhere but in a torn last batch.
    pub fn open(
        disk: &mut impl Disk,
        config: WalConfig,
    ) -> Result<(Self, Recovered), StorageError> {
        let segments = segment_numbers(disk)?;
        let mut recovered = Recovered::default();
        let mut wal = Self {
            config,
            segment: segments.last().copied().unwrap_or(0),
            segment_bytes: 0,
            oldest_segment: segments.first().copied().unwrap_or(0),
            next_sequence: 0,
        };
        for (position, segment) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            wal.read_segment(disk, *segment, is_last, &mut recovered)?;
        }
        Ok((wal, recovered))
    }

    /// Appends a batch and syncs it. Returns the segment that holds it. When this returns, the
    /// batch survives a crash.
    ///
    /// # Errors
    /// The disk fails; the log must not be used again.
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

    /// Whether the current segment is long enough for [`Wal::start_segment`].
    #[must_use]
    pub fn segment_is_full(&self) -> bool {
        self.segment_bytes >= self.config.segment_bytes
    }

    /// Makes the next batch the first of a new segment. The caller should begin it with
    /// whatever it needs to forget older segments later.
    pub fn start_segment(&mut self) {
        self.segment += 1;
        self.segment_bytes = 0;
    }

    /// The segment that takes the next batch.
    #[must_use]
    pub fn current_segment(&self) -> u64 {
        self.segment
    }

    /// The oldest segment that is still there.
    #[must_use]
    pub fn oldest_segment(&self) -> u64 {
        self.oldest_segment
    }

    /// Removes segments older than `segment`, the oldest first, so that a crash leaves no gap.
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

    fn read_segment(
        &mut self,
        disk: &mut impl Disk,
        segment: u64,
        is_last: bool,
        recovered: &mut Recovered,
    ) -> Result<(), StorageError> {
        let file = segment_file(segment);
        let bytes = disk.read(&file)?;
        let mut offset = 0;
        while offset < bytes.len() {
            match frame::decode(&bytes[offset..]) {
                Ok(found) => {
                    self.check_sequence(&file, found.sequence, recovered.batches.is_empty())?;
                    recovered.batches.push(RecoveredBatch {
                        segment,
                        payload: found.payload.to_vec(),
                    });
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
                    recovered.torn_bytes = rest.len() as u64;
                    disk.truncate(&file, offset as u64)?;
                    break;
                }
            }
        }
        self.segment_bytes = offset as u64;
        Ok(())
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
