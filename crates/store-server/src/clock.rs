//! The steady clock of this process.

use luglink_types::Timestamp;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Time since the process started. A step of the time of day does not touch it.
pub(crate) fn now() -> Timestamp {
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
