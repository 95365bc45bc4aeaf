//! Errors of this crate.

use snafu::Snafu;

/// A storage failure. After any of these the member must stop: what is durable is not known.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The operating system refused.
    #[snafu(display("cannot {action} `{file}`: {source}"))]
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file of the data folder.
        file: String,
        /// Why not.
        source: std::io::Error,
    },
    /// Intact records follow a broken one: the log was damaged after it was synced.
    #[snafu(display(
        "`{file}` is damaged at byte {offset}: {reason}, and intact records follow. Restore the \
         file, or empty the data folder and let the other members bring this one up to date"
    ))]
    Corrupt {
        /// The damaged file.
        file: String,
        /// Where.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A whole stretch of the log is missing.
    #[snafu(display("the log jumps from batch {after} to {found} at the start of `{file}`"))]
    Gap {
        /// The file after the gap.
        file: String,
        /// Last batch before it.
        after: u64,
        /// First batch after it.
        found: u64,
    },
    /// A batch is too large for one frame.
    #[snafu(display("a batch of {bytes} bytes is over the limit of {limit}"))]
    BatchTooLarge {
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
}
