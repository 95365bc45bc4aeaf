//! `luglink-lab sim`.

use crate::check::Promise;
use crate::sim::scenario::{Scenario, ScenarioReport, explain, run_scenario};
use bpaf::Bpaf;
use std::ops::Range;
use std::str::FromStr;

/// Options of `sim`.
#[derive(Clone, Debug, Bpaf)]
pub struct SimOptions {
    /// Name of a scenario, or all
    #[bpaf(argument("NAME"), fallback(Choice::All))]
    scenario: Choice,
    /// Seeds, the first and the one after the last
    #[bpaf(argument("A..B"), fallback(Seeds(0..20)))]
    seeds: Seeds,
    /// Threads
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    jobs: usize,
    /// Failing seeds that are shown of each scenario
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    show: usize,
    /// Print refusals and unknown outcomes by code, and faults by kind
    details: bool,
    /// Print one line of JSON for each scenario
    json: bool,
    /// Tell the story of the first seed of one scenario in place of a table
    explain: bool,
    /// List scenarios and checkers in place of running anything
    list: bool,
}

/// One scenario or all.
#[derive(Clone, Debug)]
enum Choice {
    All,
    One(Scenario),
}

impl FromStr for Choice {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "all" {
            return Ok(Self::All);
        }
        text.parse().map(Self::One)
    }
}

/// Seeds of a run.
#[derive(Clone, Debug)]
pub(super) struct Seeds(pub(super) Range<u64>);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rule = || format!("`{text}` is not A..B with A below B");
        let (first, end) = text.split_once("..").ok_or_else(rule)?;
        let first = first.parse().map_err(|_| rule())?;
        let end = end.parse().map_err(|_| rule())?;
        if first < end {
            Ok(Self(first..end))
        } else {
            Err(rule())
        }
    }
}

pub(super) fn run(options: &SimOptions) -> Result<bool, String> {
    if options.list {
        list();
        return Ok(true);
    }
    if options.explain {
        return tell(options);
    }
    let scenarios: Vec<Scenario> = match options.scenario {
        Choice::All => Scenario::ALL.to_vec(),
        Choice::One(scenario) => vec![scenario],
    };
    let mut holds = true;
    if !options.json {
        print_head();
    }
    for scenario in scenarios {
        let report = run_scenario(scenario, options.seeds.0.clone(), options.jobs);
        holds &= report.holds();
        if options.json {
            let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
            println!("{line}");
        } else {
            print_report(&report, options.show);
            if options.details {
                print_details(&report);
            }
        }
    }
    Ok(holds)
}

fn list() {
    println!("scenarios:");
    for scenario in Scenario::ALL {
        println!(
            "  {:<28}{}",
            scenario.as_str(),
            scenario.description().trim()
        );
    }
    println!("checkers:");
    for promise in Promise::ALL {
        println!("  {:<28}{}", promise.as_str(), promise.description());
    }
}

fn tell(options: &SimOptions) -> Result<bool, String> {
    let Choice::One(scenario) = options.scenario else {
        return Err("--explain needs one scenario".to_owned());
    };
    let seed = options.seeds.0.start;
    let story = explain(scenario, seed).map_err(|error| error.to_string())?;
    for line in story {
        println!(
            "{:>12.3} ms  {}",
            line.at.as_micros() as f64 / 1_000.0,
            line.what
        );
    }
    Ok(true)
}

fn print_head() {
    println!(
        "{:<28}{:>6}{:>7}{:>8}{:>10}{:>9}{:>9}{:>8}{:>8}{:>8}{:>9}  digest",
        "scenario",
        "seeds",
        "failed",
        "calls",
        "answered",
        "refused",
        "unknown",
        "served",
        "faults",
        "cuts",
        "wall s"
    );
}

fn print_details(report: &ScenarioReport) {
    println!(
        "  first token of calls sent once: p50 {} ms, p95 {} ms; sent again: p50 {} ms, p95 {} ms",
        report.first_token_once_ms.p50,
        report.first_token_once_ms.p95,
        report.first_token_resent_ms.p50,
        report.first_token_resent_ms.p95
    );
    for (code, count) in &report.codes {
        println!("  {code}: {count}");
    }
    for (kind, count) in &report.faults.by_kind {
        println!("  fault {}: {count}", kind.as_str());
    }
}

fn print_report(report: &ScenarioReport, show: usize) {
    let faults: u64 = report.faults.by_kind.values().sum();
    println!(
        "{:<28}{:>6}{:>7}{:>8}{:>10}{:>9}{:>9}{:>8.3}{:>8}{:>8}{:>9.1}  {}",
        report.scenario,
        report.seeds,
        report.failures.len(),
        report.calls,
        report.completed,
        report.refused,
        report.unknown,
        report.served_share,
        faults,
        report.faults.cut_messages,
        report.wall_seconds,
        &report.digest[..16]
    );
    if !report.enough_served {
        println!("  too few calls were served");
    }
    for failure in report.failures.iter().take(show) {
        println!("  seed {}:", failure.seed);
        for what in failure.what.iter().take(show) {
            println!("    {what}");
        }
    }
    let hidden = report.failures.len().saturating_sub(show);
    if hidden > 0 {
        println!("  and {hidden} more seeds");
    }
}
