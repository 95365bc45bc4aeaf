//! Start windows, which prevent a call with an uncertain outcome from starting late.
//!
//! A dispatch can be delayed for long by a network partition or a hung engine. If it started after
//! the program's next call, the two would run in the wrong order. Each attempt therefore has a
//! start window: engines refuse the attempt after the window's end, and the program's next
//! attempt does not start before that end has passed on every clock.

use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after an attempt's intent within which an engine may start it. Intents become durable and
/// reach engines within milliseconds; the rest allows for a leader election in between.
const START_WINDOW_DURATION: Duration = Duration::from_millis(1_500);

/// Maximum difference between the clocks of any two machines for which call order is guaranteed.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Interval in which an attempt may start, in the time of the control members' clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartWindow {
    /// Earliest time at which the daemon may dispatch the attempt.
    pub not_before: Timestamp,
    /// Latest time at which an engine may start the attempt.
    pub start_by: Timestamp,
}

impl StartWindow {
    /// Creates the window of an attempt whose intent is recorded at `now` and that must not start
    /// before `earliest_next_start`, because an earlier attempt may start until then.
    #[must_use]
    pub fn after(earliest_next_start: Timestamp, now: Timestamp) -> Self {
        Self {
            not_before: earliest_next_start,
            start_by: now.max(earliest_next_start).plus(START_WINDOW_DURATION),
        }
    }

    /// Time after which no engine starts the attempt, if clocks differ by at most
    /// [`MAX_CLOCK_SKEW`].
    #[must_use]
    pub fn latest_possible_start(&self) -> Timestamp {
        self.start_by.plus(MAX_CLOCK_SKEW)
    }
}
