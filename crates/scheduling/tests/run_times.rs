//! Whether requests can end before their gateway stops.

use luglink_scheduling::{RunTimes, can_end};
use luglink_types::Timestamp;
use std::time::Duration;

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_longest_recent_time_decides() {
    let mut times = RunTimes::default();
    assert_eq!(times.longest("route"), None);
    for time in [100, 1_600, 300] {
        times.note("route", ms(time), at(0));
    }
    let longest = times.longest("route").expect("requests have ended");
    assert!(longest >= ms(1_600) && longest <= ms(2_400), "{longest:?}");
    times.note("other", ms(9_000), at(0));
    assert_eq!(times.longest("route"), Some(longest));
    for second in 1..600 {
        times.note("route", ms(100), at(second));
    }
    let later = times.longest("route").expect("requests have ended");
    assert!(later < ms(200), "{later:?}");
}

#[test]
fn a_request_can_end_that_is_short_enough_or_has_little_time() {
    assert!(can_end(ms(2_000), ms(4_000), Some(ms(1_500))));
    assert!(!can_end(ms(1_000), ms(4_000), Some(ms(1_500))));
    assert!(can_end(ms(1_000), ms(900), Some(ms(1_500))));
    assert!(!can_end(ms(2_000), ms(4_000), None));
    assert!(can_end(ms(2_000), ms(2_000), None));
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut times = RunTimes::default();
    for number in 0..10_000 {
        times.note(&format!("r{number}"), ms(1), at(0));
    }
    assert_eq!(times.longest("r9999"), None);
    times.note("r0", ms(50), at(0));
    assert!(times.longest("r0").is_some_and(|longest| longest >= ms(50)));
}
