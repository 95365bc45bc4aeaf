//! What a gateway counts.

use crate::errors::GatewayError;
use luglink_telemetry::Metrics;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters and histograms of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    pub(crate) registry: Metrics,
    /// Answers by status.
    pub(crate) answers: IntCounterVec,
    /// Sends by how they ended.
    pub(crate) sends: IntCounterVec,
    /// Streams by how they ended.
    pub(crate) streams: IntCounterVec,
    /// New connections to replicas.
    pub(crate) connects: IntCounter,
    /// Looks at the platform's list by this gateway.
    pub(crate) list_reads: IntCounter,
    /// Time to a whole answer, or to the first event of a stream.
    pub(crate) answer_seconds: Histogram,
    /// Time for the turn stores to note a turn's beginning.
    pub(crate) reserve_seconds: Histogram,
    /// Time for the turn stores to keep a turn.
    pub(crate) keep_seconds: Histogram,
    /// Version of the configuration in force.
    pub(crate) version: Gauge,
    /// Requests without a key that is known, by what they showed.
    pub(crate) unknown_keys: IntCounterVec,
    /// Requests that a tenant's quota held up, by why.
    quota_refusals: IntCounterVec,
    /// Time for the owners of a quota to answer.
    pub(crate) quota_seconds: Histogram,
    /// New programs by what became of them: let in, or what was too short.
    pub(crate) programs: IntCounterVec,
    /// New programs by whether their tenants ask for more than their fair shares while room is
    /// short.
    pub(crate) tenant_classes: IntCounterVec,
    /// Tokens of memory that programs under way need until they end, by the last estimate.
    pub(crate) working_set: Gauge,
    /// Tokens of memory that there are for them.
    pub(crate) room: Gauge,
    /// Estimated time from a program's beginning to its end, of the last one that came.
    pub(crate) program_seconds: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Result<Self, GatewayError> {
        let registry = Metrics::new();
        Ok(Self {
            answers: registry.labelled_counter("answers_total", "Answers by status", "status")?,
            sends: registry.labelled_counter("sends_total", "Sends to replicas", "end")?,
            streams: registry.labelled_counter("streams_total", "Streams by end", "end")?,
            connects: registry.counter("connects_total", "New connections to replicas")?,
            list_reads: registry.counter("list_reads_total", "Looks at the platform's list")?,
            answer_seconds: registry.seconds("answer_seconds", "Time to an answer")?,
            reserve_seconds: registry.seconds("reserve_seconds", "Time to reserve tokens")?,
            keep_seconds: registry.seconds("keep_seconds", "Time to keep a turn")?,
            unknown_keys: registry.labelled_counter(
                "unknown_keys_total",
                "Requests without a known key",
                "shown",
            )?,
            quota_refusals: registry.labelled_counter(
                "quota_refusals_total",
                "Requests refused by their tenants' quotas",
                "reason",
            )?,
            quota_seconds: registry.seconds("quota_seconds", "Time to look a quota up")?,
            programs: registry.labelled_counter(
                "programs_total",
                "New programs by what became of them",
                "end",
            )?,
            tenant_classes: registry.labelled_counter(
                "program_tenants_total",
                "New programs by their tenants' shares",
                "class",
            )?,
            working_set: registry.gauge(
                "working_set_tokens",
                "Tokens that programs under way need until they end",
            )?,
            room: registry.gauge("room_tokens", "Tokens of memory for programs under way")?,
            program_seconds: registry.gauge(
                "program_lifetime_seconds",
                "Estimated life of the last new program",
            )?,
            version: registry.gauge("configuration_version", "Configuration in force")?,
            registry,
        })
    }

    /// Counts a request that a quota refused.
    pub(crate) fn note_quota(&self, reason: &str) {
        self.quota_refusals.with_label_values(&[reason]).inc();
    }
}
