//! `luglink-lab compare`.

use crate::cli::sim::Seeds;
use crate::compare::{CompareConfig, Contender, PolicyReport, compare, plot_sweep};
use crate::trace::Deployment;
use bpaf::Bpaf;
use std::path::PathBuf;
use std::str::FromStr;

/// Options of `compare`.
#[derive(Clone, Debug, Bpaf)]
pub struct CompareOptions {
    /// kopano or hub
    #[bpaf(argument("NAME"))]
    deployment: Deployment,
    /// Policies separated by commas, or all
    #[bpaf(argument("NAMES"), fallback(Contenders(Contender::all())))]
    policies: Contenders,
    /// Seeds, the first and the one after the last
    #[bpaf(argument("A..B"), fallback(Seeds(0..8)))]
    seeds: Seeds,
    /// Load as a share of saturation
    #[bpaf(argument("F"), fallback(0.8), display_fallback)]
    load: f64,
    /// Loads from 0.2 to 1.5 in place of one
    sweep: bool,
    /// Threads
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    jobs: usize,
    /// Print one line of JSON for each contender and load
    json: bool,
    /// Folder for plots of a sweep
    #[bpaf(argument("DIR"), optional)]
    plot: Option<PathBuf>,
}

/// Contenders on the command line.
#[derive(Clone, Debug)]
struct Contenders(Vec<Contender>);

impl FromStr for Contenders {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "all" {
            return Ok(Self(Contender::all()));
        }
        let names = text.split(',').map(str::parse);
        names.collect::<Result<_, _>>().map(Self)
    }
}

const SWEEP: [f64; 7] = [0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.5];

/// Columns of the table: a heading, a measure, and a factor on it.
const COLUMNS: [(&str, &str, f64); 11] = [
    ("p50 s", "program_latency_p50_ms", 0.001),
    ("p95 s", "program_latency_p95_ms", 0.001),
    ("p99 s", "program_latency_p99_ms", 0.001),
    ("token1 p95", "first_token_p95_ms", 0.001),
    ("gap p95 ms", "between_tokens_p95_ms", 1.0),
    ("held kblk·s", "wasted_held_block_seconds", 0.001),
    ("recomp ktok", "recomputed_tokens", 0.001),
    ("hit rate", "prefix_hit_rate", 1.0),
    ("goodput/s", "goodput_per_second", 1.0),
    ("refused", "refused", 1.0),
    ("unknown", "unknown", 1.0),
];

pub(super) fn run(options: &CompareOptions) -> Result<bool, String> {
    let loads = if options.sweep {
        SWEEP.to_vec()
    } else {
        vec![options.load]
    };
    let mut all = Vec::new();
    for load in loads {
        let reports = compare(&CompareConfig {
            deployment: options.deployment,
            contenders: options.policies.0.clone(),
            seeds: options.seeds.0.clone(),
            load,
            jobs: options.jobs,
        });
        print(options, load, &reports)?;
        all.extend(reports);
    }
    if let Some(folder) = &options.plot {
        std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
        let title = options.deployment.as_str();
        for measure in [
            "program_latency_p95_ms",
            "goodput_per_second",
            "wasted_held_block_seconds",
            "recomputed_tokens",
        ] {
            plot_sweep(folder, title, measure, &all).map_err(|error| error.to_string())?;
        }
    }
    Ok(true)
}

fn print(options: &CompareOptions, load: f64, reports: &[PolicyReport]) -> Result<(), String> {
    if options.json {
        for report in reports {
            let line = serde_json::to_string(report).map_err(|error| error.to_string())?;
            println!("{line}");
        }
        return Ok(());
    }
    println!(
        "{} at {load} of saturation, seeds {:?}",
        options.deployment.as_str(),
        options.seeds.0
    );
    print!("{:<14}", "policy");
    for (heading, _, _) in COLUMNS {
        print!("{heading:>18}");
    }
    println!();
    for report in reports {
        print!("{:<14}", report.contender);
        for (_, measure, factor) in COLUMNS {
            match report.measures.get(measure) {
                Some(estimate) => print!(
                    "{:>18}",
                    format!(
                        "{:.2} ±{:.2}",
                        estimate.mean * factor,
                        estimate.margin * factor
                    )
                ),
                None => print!("{:>18}", "-"),
            }
        }
        println!();
    }
    Ok(())
}
