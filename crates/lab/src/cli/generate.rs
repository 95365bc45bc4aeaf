//! `luglink-lab generate`.

use crate::trace::{Deployment, GeneratorConfig, generate, write_trace};
use bpaf::Bpaf;

/// Options of `generate`.
#[derive(Clone, Debug, Bpaf)]
pub struct GenerateOptions {
    /// kopano or hub
    #[bpaf(argument("NAME"))]
    deployment: Deployment,
    /// Seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Time in which programs begin, in seconds
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    span: u64,
    /// Programs that begin in a second
    #[bpaf(argument("N"), fallback(2.0), display_fallback)]
    programs: f64,
    /// Lookups in a second
    #[bpaf(argument("N"), fallback(10.0), display_fallback)]
    lookups: f64,
    /// Factor on every tool pause
    #[bpaf(argument("F"), fallback(1.0), display_fallback)]
    pauses: f64,
}

pub(super) fn run(options: &GenerateOptions) -> Result<bool, String> {
    let events = generate(&GeneratorConfig {
        deployment: options.deployment,
        seed: options.seed,
        span_ms: options.span * 1_000,
        programs_per_second: options.programs,
        lookups_per_second: options.lookups,
        pause_factor: options.pauses,
    });
    print!("{}", write_trace(&events));
    Ok(true)
}
