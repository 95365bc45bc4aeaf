//! `luglink-lab demo`.

use crate::cli::replay::{finish, run_on_sockets};
use crate::fleet::FleetConfig;
use crate::trace::{Deployment, GeneratorConfig, TraceEvent, generate};
use bpaf::Bpaf;
use std::collections::BTreeMap;

/// Options of `demo`.
#[derive(Clone, Debug, Bpaf)]
pub struct DemoOptions {
    /// kopano or hub
    #[bpaf(argument("NAME"), fallback(Deployment::Kopano))]
    deployment: Deployment,
    /// Seed of the trace
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Time in which programs begin, in seconds
    #[bpaf(argument("SECONDS"), fallback(8), display_fallback)]
    span: u64,
    /// Programs that begin in a second
    #[bpaf(argument("N"), optional)]
    programs: Option<f64>,
    /// Print one line of JSON in place of the table
    json: bool,
    /// Filter of the logs
    #[bpaf(argument("FILTER"), fallback("error".to_owned()))]
    log: String,
}

/// Plain lookups in a second.
const LOOKUPS_PER_SECOND: f64 = 10.0;

/// Size of a demonstration. It has to be over within a minute, so tools are faster than in life,
/// and the Hub, whose programs are long, gets fewer of them.
struct DemoSize {
    programs_per_second: f64,
    pause_factor: f64,
    limit_calls: Option<usize>,
}

impl DemoSize {
    fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Kopano => Self {
                programs_per_second: 2.5,
                pause_factor: 0.35,
                limit_calls: None,
            },
            Deployment::Hub => Self {
                programs_per_second: 1.5,
                pause_factor: 0.05,
                limit_calls: Some(9),
            },
        }
    }
}

/// Cuts programs after some calls, so that long walks fit into a short demonstration.
fn cut_programs(events: Vec<TraceEvent>, limit: usize) -> Vec<TraceEvent> {
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    let keep = |event: &TraceEvent| match event {
        TraceEvent::Call(call) => {
            let count = calls.entry(call.program.clone()).or_default();
            *count += 1;
            *count <= limit
        }
        _ => true,
    };
    events.into_iter().filter(keep).collect()
}

/// Pause after which a program counts as abandoned, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 8_000;

pub(super) fn run(options: &DemoOptions) -> Result<bool, String> {
    let size = DemoSize::of(options.deployment);
    let mut events = generate(&GeneratorConfig {
        deployment: options.deployment,
        seed: options.seed,
        span_ms: options.span * 1_000,
        programs_per_second: options.programs.unwrap_or(size.programs_per_second),
        lookups_per_second: LOOKUPS_PER_SECOND,
        pause_factor: size.pause_factor,
    });
    if let Some(limit) = size.limit_calls {
        events = cut_programs(events, limit);
    }
    let mut config = FleetConfig::today(options.deployment);
    config.idle_timeout_ms = IDLE_TIMEOUT_MS;
    let result = run_on_sockets(config, &events, &options.log, options.json)?;
    finish(&result, &[], options.json)
}
