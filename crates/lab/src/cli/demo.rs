//! `luglink-lab demo`.

use crate::cli::replay::{finish, run_on_sockets};
use crate::fleet::FleetConfig;
use crate::trace::{Deployment, GeneratorConfig, generate};
use bpaf::Bpaf;

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
    #[bpaf(argument("SECONDS"), fallback(12), display_fallback)]
    span: u64,
    /// Programs that begin in a second
    #[bpaf(argument("N"), fallback(2.0), display_fallback)]
    programs: f64,
    /// Print one line of JSON in place of the table
    json: bool,
    /// Filter of the logs
    #[bpaf(argument("FILTER"), fallback("error".to_owned()))]
    log: String,
}

/// Plain lookups in a second.
const LOOKUPS_PER_SECOND: f64 = 10.0;

/// The demonstration is short: tools are faster than in life.
const PAUSE_FACTOR: f64 = 0.35;

/// Pause after which a program counts as abandoned, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 8_000;

pub(super) fn run(options: &DemoOptions) -> Result<bool, String> {
    let events = generate(&GeneratorConfig {
        deployment: options.deployment,
        seed: options.seed,
        span_ms: options.span * 1_000,
        programs_per_second: options.programs,
        lookups_per_second: LOOKUPS_PER_SECOND,
        pause_factor: PAUSE_FACTOR,
    });
    let mut config = FleetConfig::today(options.deployment);
    config.idle_timeout_ms = IDLE_TIMEOUT_MS;
    let result = run_on_sockets(config, &events, &options.log, options.json)?;
    finish(&result, &[], options.json)
}
