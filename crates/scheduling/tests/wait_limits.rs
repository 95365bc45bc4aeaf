//! Limits on how long requests wait for their gateway or for free capacity.

use luglink_scheduling::{capacity_retry_delay, max_capacity_wait, max_startup_wait};
use proptest::prelude::*;
use std::time::Duration;

/// Time from the start of a member's process until its fleet's first leader is announced, with slow
/// processors, after a loss of all power.
const TYPICAL_START: Duration = Duration::from_millis(900);

#[test]
fn requests_outlast_a_typical_start() {
    assert!(max_startup_wait(Some(Duration::from_secs(4))) > TYPICAL_START);
    assert!(max_startup_wait(None) > TYPICAL_START);
}

proptest! {
    #[test]
    fn refused_callers_keep_more_than_half_of_their_time(allowed_ms in 1_u64..60_000) {
        let allowed = Duration::from_millis(allowed_ms);
        prop_assert!(max_startup_wait(Some(allowed)) < allowed / 2);
    }

    #[test]
    fn capacity_waits_leave_time_for_another_gateway(allowed_ms in 1_u64..60_000) {
        let allowed = Duration::from_millis(allowed_ms);
        prop_assert!(max_capacity_wait(allowed) < allowed / 2);
    }

    #[test]
    fn retry_delays_grow_to_a_maximum(retries in 0_u32..1_000) {
        prop_assert!(capacity_retry_delay(retries) <= capacity_retry_delay(retries + 1));
        prop_assert!(capacity_retry_delay(retries) <= Duration::from_millis(80));
    }

    #[test]
    fn startup_waits_are_bounded(allowed_ms in proptest::option::of(0_u64..10_000_000)) {
        let startup_wait = max_startup_wait(allowed_ms.map(Duration::from_millis));
        prop_assert!(startup_wait <= Duration::from_millis(1_500));
    }
}
