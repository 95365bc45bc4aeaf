//! Monotonic clock of this process.

use luglink_types::Timestamp;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the first call in this process. Changes of the system time do not
/// affect it.
pub(crate) fn now() -> Timestamp {
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
