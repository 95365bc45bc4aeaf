//! Soak of gateway, store and member processes: streams keep their software version while processes
//! are killed, stopped, frozen and reloaded, replicas crash and are released, and all of it overlaps.
//!
//! `SOAK_SEEDS=0..50` runs other seeds than the few of every test run.

mod builds;
mod callers;
mod chaos;
mod connections;
mod crash_plan;
mod crashing;
#[allow(dead_code)] // The hostile clients use other parts.
mod fleet;
mod frozen_gateways;
mod given_up_runs;
mod lost_runs;
mod old_lists;
mod programs;
mod random;
mod replicas;
mod resumed_turns;
#[allow(dead_code)] // The hostile clients use other parts.
mod runs;
mod stale_knowledge;
mod store_chaos;
mod takeover;
mod uninformed;

use callers::{Callers, Report};
use fleet::Fleet;
use replicas::Faults;
use std::ops::Range;
use std::time::Duration;

/// Seeds of every test run. One of them has many gateways.
const DEFAULT_SEEDS: Range<u64> = 9..12;

/// Duration of the traffic of one seed.
const TRAFFIC_DURATION: Duration = Duration::from_secs(14);

/// One in this many seeds has many gateways.
const CROWDED_SEED_DIVISOR: u64 = 10;

const GATEWAYS: usize = 4;

const CROWDED_GATEWAYS: usize = 24;

/// Minimum number of resumed streams for their share to be judged.
const MIN_RESUMED: u32 = 12;

/// Returns the seeds that the environment names, or else `default`.
fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return default;
    };
    let (first, end) = text.split_once("..").expect("a range such as 0..50");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Returns the number of gateways of a seed.
fn gateways(seed: u64) -> usize {
    if seed.is_multiple_of(CROWDED_SEED_DIVISOR) {
        CROWDED_GATEWAYS
    } else {
        GATEWAYS
    }
}

/// Returns the report of one seed.
async fn soak(seed: u64) -> Report {
    let fleet = Fleet::start(seed, gateways(seed), Faults::Random).await;
    let callers = Callers::start(&fleet, seed);
    chaos::run(&fleet, seed, TRAFFIC_DURATION).await;
    let report = callers.stop().await;
    fleet.assert_all_gateways_serve().await;
    if !report.mixed.is_empty() || !holds_share(&report) {
        fleet.keep_logs();
    }
    report
}

#[actix_rt::test]
async fn resumed_streams_keep_their_software_version_while_processes_restart() {
    let mut total = Report::default();
    for seed in seeds(DEFAULT_SEEDS) {
        let report = soak(seed).await;
        println!("seed {seed}: {report}");
        // Older gateways do not keep versions apart.
        if !builds::may_be_old("gateway") {
            assert_eq!(report.mixed, Vec::<String>::new(), "seed {seed}");
        }
        assert!(report.whole > 0, "seed {seed}: {report}");
        assert!(holds_share(&report), "seed {seed}: {report}");
        total.add(&report);
    }
    println!("all seeds: {total}");
    assert!(total.begun.total > 0, "{total}");
    assert!(holds_share(&total), "{total}");
}

/// Returns true if enough resumed streams go on, or too few were resumed to tell. Older members do
/// not send versions and older stores keep no origins, so with them streams are refused instead.
fn holds_share(report: &Report) -> bool {
    let has_knowledge = !builds::may_be_old("member") && !builds::may_be_old("store");
    let is_judged = has_knowledge && report.resumed.total >= MIN_RESUMED;
    !is_judged || report.resumed.share() >= report.begun.share() / 2.0
}
