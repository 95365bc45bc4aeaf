//! Start windows: how a call that was taken for lost is kept from starting later.
//!
//! A dispatch can lie in a cut network or a hung engine for long. If it started after the
//! program's next call, the two would have run in the wrong order. So each attempt has a window:
//! engines refuse it after the window's end, and no later attempt of the program starts before
//! that end has passed on every clock.

use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time from an attempt's intent within which an engine may start it. Intents become durable and
/// reach engines within milliseconds; this leaves room for an election in between.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Largest difference between any two machines' clocks that the order of calls allows for.
pub const CLOCK_SKEW_BOUND: Duration = Duration::from_millis(500);

/// When an attempt may start, in the clock of the control members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartWindow {
    /// The daemon dispatches it no earlier.
    pub not_before: Timestamp,
    /// Engines refuse it later.
    pub start_by: Timestamp,
}

impl StartWindow {
    /// The window of an attempt whose intent was recorded at `now`, after everything that may
    /// still start until `quiet_until`.
    #[must_use]
    pub fn after(quiet_until: Timestamp, now: Timestamp) -> Self {
        Self {
            not_before: quiet_until,
            start_by: now.max(quiet_until).plus(START_WINDOW),
        }
    }

    /// From when on the attempt certainly does not start any more.
    #[must_use]
    pub fn surely_over(&self) -> Timestamp {
        self.start_by.plus(CLOCK_SKEW_BOUND)
    }
}
