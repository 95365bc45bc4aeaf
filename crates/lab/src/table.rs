//! The closing table of a run.

use crate::report::Report;
use std::fmt::Write;
use std::time::Duration;

/// Rows that are shown when the run has them.
const ROWS: &[(&str, &str)] = &[
    ("programs", "programs"),
    ("calls", "calls"),
    ("calls_completed", "  completed"),
    ("refused", "  refused as not run"),
    ("unknown", "  outcome unknown"),
    ("lookups", "lookups"),
    ("lookups_completed", "  completed"),
    ("program_latency_p50_ms", "program latency p50 (ms)"),
    ("program_latency_p95_ms", "program latency p95 (ms)"),
    ("program_latency_p99_ms", "program latency p99 (ms)"),
    (
        "program_latency_without_tools_p50_ms",
        "  without tools p50 (ms)",
    ),
    (
        "program_latency_without_tools_p95_ms",
        "  without tools p95 (ms)",
    ),
    ("first_token_p50_ms", "first token p50 (ms)"),
    ("first_token_p95_ms", "first token p95 (ms)"),
    ("between_tokens_p50_ms", "between tokens p50 (ms)"),
    ("between_tokens_p95_ms", "between tokens p95 (ms)"),
    ("prefix_hit_rate", "prefix hit rate"),
    (
        "wasted_held_block_seconds",
        "wasted cache: held (block-seconds)",
    ),
    ("recomputed_tokens", "wasted cache: recomputed (tokens)"),
];

/// The table as text.
#[must_use]
pub fn table(report: &Report, elapsed: Duration) -> String {
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name:<40} {value:>14}");
    };
    for (measure, name) in ROWS {
        if let Some(value) = report.measures.get(*measure) {
            row(name, format_number(*value));
        }
    }
    for (code, count) in &report.refusals {
        row(&format!("refusal {code}"), count.to_string());
    }
    let violations: usize = report.violations.values().sum();
    row("invariant violations", violations.to_string());
    row("unmet expectations", report.unmet.len().to_string());
    row("wall time (s)", format!("{:.1}", elapsed.as_secs_f64()));
    for line in report.broken.iter().chain(&report.unmet) {
        let _ = writeln!(text, "  ! {line}");
    }
    text
}

fn format_number(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else if value < 10.0 {
        format!("{value:.3}")
    } else {
        format!("{value:.1}")
    }
}
