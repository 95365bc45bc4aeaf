//! How long requests wait for what their gateway depends on.

use luglink_scheduling::{capacity_retry_delay, max_capacity_wait, max_startup_wait};
use proptest::prelude::*;
use std::time::Duration;

/// From the start of a member's process to its fleet's first leader and the news of that, where
/// processors are slow: seen on days that end with a loss of all power.
const USUAL_START: Duration = Duration::from_millis(900);

#[test]
fn a_request_with_time_enough_outlasts_a_usual_start() {
    assert!(max_startup_wait(Some(Duration::from_secs(4))) > USUAL_START);
    assert!(max_startup_wait(None) > USUAL_START);
}

proptest! {
    #[test]
    fn a_caller_that_is_sent_away_has_more_than_half_of_its_time_left(allowed_ms in 1_u64..60_000) {
        let allowed = Duration::from_millis(allowed_ms);
        prop_assert!(max_startup_wait(Some(allowed)) < allowed / 2);
    }

    #[test]
    fn waits_for_room_leave_time_for_another_gateway(allowed_ms in 1_u64..60_000) {
        let allowed = Duration::from_millis(allowed_ms);
        prop_assert!(max_capacity_wait(allowed) < allowed / 2);
    }

    #[test]
    fn pauses_grow_to_a_bound(pauses in 0_u32..1_000) {
        prop_assert!(capacity_retry_delay(pauses) <= capacity_retry_delay(pauses + 1));
        prop_assert!(capacity_retry_delay(pauses) <= Duration::from_millis(80));
    }

    #[test]
    fn nobody_waits_for_long(allowed_ms in proptest::option::of(0_u64..10_000_000)) {
        let patience = max_startup_wait(allowed_ms.map(Duration::from_millis));
        prop_assert!(patience <= Duration::from_millis(1_500));
    }
}
