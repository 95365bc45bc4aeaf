//! Metrics of a gateway.

use crate::errors::GatewayError;
use luglink_net::ConnectionMetrics;
use luglink_telemetry::Metrics;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters, gauges and histograms of a gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewayMetrics {
    pub(crate) registry: Metrics,
    /// Connections closed at the limits of the listeners.
    pub(crate) connections: ConnectionMetrics,
    /// Answers to callers by status.
    pub(crate) answers: IntCounterVec,
    /// Requests sent to replicas by outcome.
    pub(crate) sends: IntCounterVec,
    /// Streams by outcome.
    pub(crate) streams: IntCounterVec,
    /// Continuations of broken streams at a replica, by how its software version relates to that
    /// of the replica before.
    pub(crate) resumptions: IntCounterVec,
    /// Streams that callers resume, by how their origin was found.
    pub(crate) caller_resumptions: IntCounterVec,
    /// Turns that callers resume, by whether their events before the resumption are known.
    pub(crate) turn_resumptions: IntCounterVec,
    /// New connections to replicas.
    pub(crate) connects: IntCounter,
    /// Reads of the platform's list of replicas by this gateway.
    pub(crate) list_reads: IntCounter,
    /// Entries of that list that were skipped because they are invalid.
    pub(crate) list_entries_passed_over: IntCounter,
    /// Replicas that restarted under the same identifier.
    pub(crate) replica_restarts: IntCounter,
    /// Mean age of the replica statistics in the zone's load view, in seconds.
    pub(crate) load_view_age: Gauge,
    /// Number of replicas in the zone's load view.
    pub(crate) load_view_replicas: Gauge,
    /// Time to a complete answer, or to the first event of a stream.
    pub(crate) answer_seconds: Histogram,
    /// Absolute difference between the expected and the measured time to a first event.
    pub(crate) expectation_error_seconds: Histogram,
    /// Expected time to a first event.
    pub(crate) expected_seconds: Histogram,
    /// Time for the turn stores to reserve a turn's tokens.
    pub(crate) reserve_seconds: Histogram,
    /// Time for the turn stores to store a turn.
    pub(crate) keep_seconds: Histogram,
    /// Version of the configuration in force.
    pub(crate) version: Gauge,
    /// Requests without a known key, by whether they had no key or an unknown one.
    pub(crate) unknown_keys: IntCounterVec,
    /// Requests refused because a quota was reached or could not be checked, by reason.
    quota_refusals: IntCounterVec,
    /// Streams that moved to another replica because the first one was slow, by route.
    pub(crate) moved: IntCounterVec,
    /// Slow streams that stayed at their replica, by route.
    pub(crate) kept: IntCounterVec,
    /// Slow streams that had too little time left to move, by route.
    pub(crate) too_late_to_move: IntCounterVec,
    /// Streams refused because no replica could answer before the deadline, by route.
    pub(crate) hopeless: IntCounterVec,
    /// Time that streams had waited before they moved.
    pub(crate) move_seconds: Histogram,
    /// Non-streaming requests that were hedged to a second replica, by whether early or late.
    pub(crate) hedges: IntCounterVec,
    /// Requests refused because replicas ended while they ran them.
    pub(crate) crashing_requests: IntCounter,
    /// Requests refused because runs of them are in doubt or under way.
    pub(crate) doubtful_requests: IntCounter,
    /// Requests refused because no holder of crash reports answers.
    pub(crate) unanswered_requests: IntCounter,
    /// Replicas that ended during a run of a request, as this gateway saw them.
    pub(crate) crashes: IntCounter,
    /// Reports of runs that no quorum of turn stores has acknowledged.
    pub(crate) unacknowledged_reports: Gauge,
    /// Runs of which it is not known yet whether they ended their replica.
    pub(crate) doubtful_runs: Gauge,
    /// Callers that disconnected before their answer, by what they were waiting for.
    pub(crate) callers_gone: IntCounterVec,
    /// Requests that waited long before a replica got them, by the step that took longest.
    pub(crate) slow_starts: IntCounterVec,
    /// Bytes buffered for callers and replicas.
    pub(crate) held_bytes: Gauge,
    /// Requests aborted because of the bytes buffered for them, by reason.
    pub(crate) held_cuts: IntCounterVec,
    /// Requests refused because buffering their bodies would exceed a limit, by limit.
    pub(crate) held_refusals: IntCounterVec,
    /// Time to get a decision from the owners of a quota.
    pub(crate) quota_seconds: Histogram,
    /// New programs by whether they were admitted or which resource was short.
    pub(crate) programs: IntCounterVec,
    /// New programs by whether their tenants demand more than their fair shares while capacity is
    /// short.
    pub(crate) tenant_classes: IntCounterVec,
    /// Latest estimate of the memory that the running programs need until they end, in tokens.
    pub(crate) working_set: Gauge,
    /// Memory available to them, in tokens.
    pub(crate) room: Gauge,
    /// Estimated time from start to end of the latest new program.
    pub(crate) program_seconds: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn new() -> Result<Self, GatewayError> {
        let registry = Metrics::new();
        Ok(Self {
            connections: ConnectionMetrics::register(&registry)?,
            answers: registry.labelled_counter("answers_total", "Answers by status", "status")?,
            sends: registry.labelled_counter("sends_total", "Sends to replicas", "end")?,
            streams: registry.labelled_counter("streams_total", "Streams by end", "end")?,
            resumptions: registry.labelled_counter(
                "stream_resumptions_total",
                "Continuations of broken streams by software version",
                "version",
            )?,
            caller_resumptions: registry.labelled_counter(
                "caller_resumptions_total",
                "Streams that callers resume by how their origin was found",
                "origin",
            )?,
            turn_resumptions: registry.labelled_counter(
                "turn_resumptions_total",
                "Turns that callers resume by whether their beginning is known",
                "output",
            )?,
            connects: registry.counter("connects_total", "New connections to replicas")?,
            list_reads: registry.counter(
                "list_reads_total",
                "Reads of the platform's list of replicas",
            )?,
            list_entries_passed_over: registry.counter(
                "list_entries_passed_over_total",
                "Entries of the platform's list that cannot be read",
            )?,
            replica_restarts: registry.counter(
                "replica_restarts_total",
                "Replicas that restarted under the same identifier",
            )?,
            load_view_age: registry.gauge(
                "load_view_age_seconds",
                "Mean age of the statistics in the zone's load view",
            )?,
            load_view_replicas: registry
                .gauge("load_view_replicas", "Replicas in the zone's load view")?,
            answer_seconds: registry.seconds_histogram("answer_seconds", "Time to an answer")?,
            expectation_error_seconds: registry.seconds_histogram(
                "expectation_error_seconds",
                "Difference between the expected and the measured time to a first event",
            )?,
            expected_seconds: registry
                .seconds_histogram("expected_seconds", "Expected time to a first event")?,
            reserve_seconds: registry
                .seconds_histogram("reserve_seconds", "Time to reserve tokens")?,
            keep_seconds: registry.seconds_histogram("keep_seconds", "Time to store a turn")?,
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
            quota_seconds: registry
                .seconds_histogram("quota_seconds", "Time to get a decision on a quota")?,
            moved: registry.labelled_counter("moves_total", "Streams moved", "route")?,
            kept: registry.labelled_counter("moves_kept_total", "Slow streams kept", "route")?,
            too_late_to_move: registry.labelled_counter(
                "moves_too_late_total",
                "Slow streams with too little time to move",
                "route",
            )?,
            hopeless: registry.labelled_counter(
                "hopeless_total",
                "Streams refused because no replica could answer in time",
                "route",
            )?,
            move_seconds: registry
                .seconds_histogram("move_seconds", "Time waited before a move")?,
            hedges: registry.labelled_counter(
                "hedges_total",
                "Requests hedged to a second replica",
                "when",
            )?,
            crashing_requests: registry.counter(
                "crashing_requests_total",
                "Requests refused because replicas ended while they ran them",
            )?,
            unanswered_requests: registry.counter(
                "unanswered_requests_total",
                "Requests refused because no holder of crash reports answers",
            )?,
            doubtful_requests: registry.counter(
                "doubtful_requests_total",
                "Requests refused because replicas may have ended while they ran them",
            )?,
            crashes: registry.counter(
                "crashes_total",
                "Replicas that ended during a run of a request",
            )?,
            unacknowledged_reports: registry.gauge(
                "unacknowledged_reports",
                "Reports of runs that no quorum of turn stores has acknowledged",
            )?,
            doubtful_runs: registry.gauge(
                "doubtful_runs",
                "Runs of which it is not known yet whether they ended their replica",
            )?,
            callers_gone: registry.labelled_counter(
                "callers_gone_total",
                "Callers that disconnected before their answer",
                "awaited",
            )?,
            slow_starts: registry.labelled_counter(
                "slow_starts_total",
                "Requests that waited long before a replica got them, by the longest step",
                "step",
            )?,
            held_bytes: registry.gauge("held_bytes", "Bytes buffered for callers and replicas")?,
            held_cuts: registry.labelled_counter(
                "held_cuts_total",
                "Requests aborted because of the bytes buffered for them",
                "reason",
            )?,
            held_refusals: registry.labelled_counter(
                "held_refusals_total",
                "Requests refused because of a limit on buffered bytes",
                "reason",
            )?,
            programs: registry.labelled_counter(
                "programs_total",
                "New programs by outcome of their admission",
                "end",
            )?,
            tenant_classes: registry.labelled_counter(
                "program_tenants_total",
                "New programs by their tenants' shares",
                "class",
            )?,
            working_set: registry.gauge(
                "working_set_tokens",
                "Tokens of memory that running programs need until they end",
            )?,
            room: registry.gauge("room_tokens", "Tokens of memory for running programs")?,
            program_seconds: registry.gauge(
                "program_lifetime_seconds",
                "Estimated lifetime of the latest new program",
            )?,
            version: registry.gauge("configuration_version", "Configuration in force")?,
            registry,
        })
    }

    /// Counts a request that a quota refused.
    pub(crate) fn count_quota_refusal(&self, reason: &str) {
        self.quota_refusals.with_label_values(&[reason]).inc();
    }
}
