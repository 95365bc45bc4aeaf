//! Error types.

use snafu::Snafu;

/// Storage failure. After any of these errors the process must stop, because it is unknown which
/// data is durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// An operation of the operating system failed.
    #[snafu(display("cannot {action} `{file}`: {source}"))]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// File in the data folder, or the folder itself.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The log is damaged or unreadable in a place that a crash cannot explain: the data was
    /// already synced.
    #[snafu(display(
        "log file `{file}` is damaged at byte {offset}: {reason}; restore the file, or empty the \
         data folder and let the other members bring this one up to date"
    ))]
    Corrupt {
        /// Damaged file.
        file: String,
        /// Position of the first frame that cannot be read.
        offset: u64,
        /// Reason for which the frame cannot be read.
        reason: &'static str,
    },
    /// Batches are missing between two segments or within one.
    #[snafu(display(
        "batches are missing from the log: batch {after} is followed by {found} in `{file}`"
    ))]
    Gap {
        /// File that contains the first batch after the gap.
        file: String,
        /// Last batch before the gap.
        after: u64,
        /// First batch after the gap.
        found: u64,
    },
    /// A batch exceeds the maximum payload of a frame.
    #[snafu(display("batch of {bytes} bytes exceeds the limit of {limit} bytes"))]
    BatchTooLarge {
        /// Size of the batch.
        bytes: usize,
        /// Maximum size.
        limit: usize,
    },
}
