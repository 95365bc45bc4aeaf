//! Metrics of a daemon.

use luglink_daemon::{Daemon, DaemonCounters};
use luglink_telemetry::{Metrics, TelemetryError};
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// What a daemon counts. Counters follow those of the logic; gauges show its state.
#[derive(Clone, Debug)]
pub(crate) struct DaemonMetrics {
    registry: Metrics,
    calls: IntCounter,
    completed: IntCounter,
    dispatched: IntCounter,
    retries: IntCounter,
    acquired: IntCounter,
    lookups: IntCounter,
    prompt_tokens: IntCounter,
    cached_tokens: IntCounter,
    pub(crate) refusals: IntCounterVec,
    pub(crate) call_seconds: Histogram,
    pub(crate) first_token_seconds: Histogram,
    queued_calls: Gauge,
    active_calls: Gauge,
    held_programs: Gauge,
    configuration_revision: Gauge,
    last: DaemonCounters,
}

impl DaemonMetrics {
    pub(crate) fn new() -> Result<Self, TelemetryError> {
        let registry = Metrics::new();
        Ok(Self {
            calls: registry.counter("calls_total", "Calls accepted")?,
            completed: registry.counter("calls_completed_total", "Calls answered in full")?,
            dispatched: registry.counter("attempts_total", "Attempts sent to replicas")?,
            retries: registry.counter("retries_total", "Attempts beyond the first")?,
            acquired: registry.counter("ownerships_total", "Program ownerships taken")?,
            lookups: registry.counter("lookups_total", "Plain lookups accepted")?,
            prompt_tokens: registry.counter("prompt_tokens_total", "Prompt tokens sent")?,
            cached_tokens: registry.counter(
                "cached_tokens_total",
                "Prompt tokens that engines found in their caches",
            )?,
            refusals: registry.labelled_counter("refusals_total", "Requests refused", "code")?,
            call_seconds: registry
                .seconds_histogram("call_seconds", "Time from a call to its answer")?,
            first_token_seconds: registry
                .seconds_histogram("first_token_seconds", "Time from a call to its first token")?,
            queued_calls: registry.gauge("queued_calls", "Calls that wait for an engine")?,
            active_calls: registry.gauge("active_calls", "Calls accepted and not answered")?,
            held_programs: registry.gauge("held_programs", "Programs owned by this daemon")?,
            configuration_revision: registry.gauge(
                "configuration_revision",
                "Revision of the configuration in force here",
            )?,
            registry,
            last: DaemonCounters::default(),
        })
    }

    /// Brings the metrics up to the daemon's state and writes them.
    pub(crate) fn render(&mut self, daemon: &Daemon) -> Result<String, TelemetryError> {
        let counters = daemon.counters();
        let last = self.last;
        self.calls.inc_by(counters.calls - last.calls);
        self.completed.inc_by(counters.completed - last.completed);
        self.dispatched
            .inc_by(counters.dispatched - last.dispatched);
        self.retries.inc_by(counters.retries - last.retries);
        self.acquired.inc_by(counters.acquired - last.acquired);
        self.lookups.inc_by(counters.lookups - last.lookups);
        self.prompt_tokens
            .inc_by(counters.prompt_tokens - last.prompt_tokens);
        self.cached_tokens
            .inc_by(counters.cached_tokens - last.cached_tokens);
        self.last = counters;
        self.queued_calls.set(daemon.queued_calls() as f64);
        self.active_calls.set(daemon.active_calls() as f64);
        self.held_programs.set(daemon.held_programs() as f64);
        let revision = daemon.configuration().revision().0;
        self.configuration_revision.set(revision as f64);
        self.registry.render()
    }
}
