//! `luglink-lab hollow`.

use crate::hollow::{BYTES_LIMIT, HollowConfig, HollowReport, IN_FORCE_LIMIT_MS, run_hollow};
use bpaf::Bpaf;

/// Options of `hollow`.
#[derive(Clone, Debug, Bpaf)]
pub struct HollowOptions {
    /// Daemons, spread over seven zones
    #[bpaf(argument("N"), fallback(350), display_fallback)]
    daemons: usize,
    /// Replicas in the configuration
    #[bpaf(argument("N"), fallback(610), display_fallback)]
    replicas: usize,
    /// Changes within a minute
    #[bpaf(argument("N"), fallback(30), display_fallback)]
    changes: u64,
    /// Seed
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    seed: u64,
    /// Print one line of JSON
    json: bool,
}

/// Zones of the two regions.
const ZONES: usize = 7;

pub(super) fn run(options: &HollowOptions) -> Result<bool, String> {
    let report = run_hollow(&HollowConfig {
        daemons_per_zone: options.daemons.div_ceil(ZONES),
        replicas: options.replicas,
        changes: options.changes,
        seed: options.seed,
    })?;
    if options.json {
        let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
        println!("{line}");
    } else {
        print(&report);
    }
    Ok(report.holds())
}

fn print(report: &HollowReport) {
    println!("daemons                     {:>10}", report.daemons);
    println!("changes accepted            {:>10}", report.accepted);
    println!("in force, middle (ms)       {:>10}", report.in_force_p50_ms);
    println!("in force, 99 of 100 (ms)    {:>10}", report.in_force_p99_ms);
    println!(
        "in force, last (ms)         {:>10}  limit {IN_FORCE_LIMIT_MS}",
        report.in_force_last_ms
    );
    println!(
        "control bytes a second      {:>10.0}",
        report.bytes_per_second
    );
    println!(
        "  of the busiest daemon     {:>10.0}  limit {BYTES_LIMIT:.0}",
        report.most_bytes_per_second
    );
    println!(
        "control messages a second   {:>10.2}",
        report.messages_per_second
    );
    println!("broken promises             {:>10}", report.broken.len());
    for what in report.broken.iter().chain(&report.problems).take(10) {
        println!("  {what}");
    }
}
