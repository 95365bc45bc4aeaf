//! `luglink-lab replay`.

use crate::fleet::FleetConfig;
use crate::replay::{ReplayPlan, ReplayResult, replay_on_fleet};
use crate::report::Report;
use crate::sim::{SimConfig, SimFault, SimPlan, simulate};
use crate::table::table;
use crate::trace::{Deployment, Expectation, TraceEvent, parse_expectations, parse_trace};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::time::Duration;

/// Options of `replay`.
#[derive(Clone, Debug, Bpaf)]
pub struct ReplayOptions {
    /// Expectations of the run
    #[bpaf(argument("FILE"), optional)]
    expect: Option<PathBuf>,
    /// Run on the virtual clock of the simulator in place of real sockets
    simulated: bool,
    /// Seed of the simulator
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Print one line of JSON in place of the table
    json: bool,
    /// kopano or hub; found in the trace when not given
    #[bpaf(argument("NAME"), optional)]
    deployment: Option<Deployment>,
    /// Pause after which a program counts as abandoned, in milliseconds
    #[bpaf(argument("MS"), fallback(30_000), display_fallback)]
    idle_timeout: u64,
    /// Filter of the logs
    #[bpaf(argument("FILTER"), fallback("error".to_owned()))]
    log: String,
    /// The trace
    #[bpaf(positional("FILE"))]
    trace: PathBuf,
}

pub(super) fn run(options: &ReplayOptions) -> Result<bool, String> {
    let events = read_trace(&options.trace)?;
    let expectations = match &options.expect {
        Some(path) => read_expectations(path)?,
        None => Vec::new(),
    };
    let deployment = options.deployment.unwrap_or_else(|| deployment_of(&events));
    if options.simulated {
        let mut config = SimConfig::today(deployment, options.seed);
        config.idle_timeout = Duration::from_millis(options.idle_timeout);
        let result = run_simulated(config, &events)?;
        return finish(&result, &expectations, options.json);
    }
    let mut config = FleetConfig::today(deployment);
    config.idle_timeout_ms = options.idle_timeout;
    let result = run_on_sockets(config, &events, &options.log, options.json)?;
    finish(&result, &expectations, options.json)
}

fn read_file(path: &PathBuf) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Reads a trace file.
pub(super) fn read_trace(path: &PathBuf) -> Result<Vec<TraceEvent>, String> {
    let text = read_file(path)?;
    parse_trace(&path.display().to_string(), &text).map_err(|error| error.to_string())
}

fn read_expectations(path: &PathBuf) -> Result<Vec<Expectation>, String> {
    let text = read_file(path)?;
    parse_expectations(&path.display().to_string(), &text).map_err(|error| error.to_string())
}

/// The deployment whose zones the trace names.
fn deployment_of(events: &[TraceEvent]) -> Deployment {
    let in_hub = |zone: &str| Deployment::Hub.zones().contains(&zone);
    let hub = events.iter().any(|event| match event {
        TraceEvent::Program(program) => in_hub(&program.zone),
        TraceEvent::Lookup(lookup) => in_hub(&lookup.zone),
        _ => false,
    });
    if hub {
        Deployment::Hub
    } else {
        Deployment::Kopano
    }
}

/// Replays against a simulated fleet.
fn run_simulated(config: SimConfig, events: &[TraceEvent]) -> Result<ReplayResult, String> {
    let replay = ReplayPlan::new(events);
    let faults = replay.faults.iter().map(SimFault::from).collect();
    simulate(config, SimPlan { replay, faults })
        .map(ReplayResult::from)
        .map_err(|error| error.to_string())
}

/// Replays against a fleet on real sockets, with progress on standard error.
pub(super) fn run_on_sockets(
    config: FleetConfig,
    events: &[TraceEvent],
    log: &str,
    quiet: bool,
) -> Result<ReplayResult, String> {
    luglink_telemetry::init_logs(log).map_err(|error| error.to_string())?;
    let progress = move |done: usize, total: usize| {
        if !quiet {
            eprintln!("{done} of {total} requests have ended");
        }
    };
    actix_rt::System::new()
        .block_on(replay_on_fleet(config, events, progress))
        .map_err(|error| error.to_string())
}

/// Prints the outcome. Returns whether everything held.
pub(super) fn finish(
    result: &ReplayResult,
    expectations: &[Expectation],
    json: bool,
) -> Result<bool, String> {
    let mut report = Report::new(&result.history, &result.caches);
    report.expect(&result.history, expectations);
    report.unmet.extend(result.problems.iter().cloned());
    for (kind, count) in &result.faults {
        let name = format!("faults_{kind}");
        report.measures.insert(name, *count as f64);
    }
    if json {
        let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
        println!("{line}");
    } else {
        print!("{}", table(&report, result.elapsed));
    }
    Ok(report.holds())
}
