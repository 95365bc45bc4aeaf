//! Metrics of a turn store.

use crate::errors::StoreServerError;
use luglink_net::{ConnectionMetrics, PeerMetrics};
use luglink_telemetry::Metrics;
use luglink_turns::{CrashRequest, OriginRequest, StoreRequest};
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters, gauges and histograms of a turn store.
#[derive(Clone, Debug)]
pub(crate) struct StoreMetrics {
    pub(crate) registry: Metrics,
    /// Bytes that peers make this store hold.
    pub(crate) peers: PeerMetrics,
    /// Connections closed at the limits of the listeners.
    pub(crate) connections: ConnectionMetrics,
    /// Requests by kind.
    pub(crate) requests: IntCounterVec,
    /// Requests that failed because of a disk error or because they were malformed.
    pub(crate) failures: IntCounter,
    /// Requests that were refused because their responses could not count, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Turns that were not stored because the store lacked their ancestors.
    pub(crate) incomplete_chains: IntCounter,
    /// Time to make a batch of requests durable.
    pub(crate) flush_seconds: Histogram,
    /// Time to make a batch of crash reports durable.
    pub(crate) report_sync_seconds: Histogram,
    /// Stored turns.
    pub(crate) turns: Gauge,
    /// Stored accounts.
    pub(crate) accounts: Gauge,
    /// Epoch of the current view of the stores.
    pub(crate) epoch: Gauge,
    /// Streams whose origins are kept.
    pub(crate) origins: Gauge,
    /// Size of the outputs of streams that are kept.
    pub(crate) output_bytes: Gauge,
    /// Requests with reports of replicas that ended while running them.
    pub(crate) crash_reports: Gauge,
    /// Runs under way at gateways.
    pub(crate) runs_under_way: Gauge,
    /// Runs in doubt because their gateways were lost.
    pub(crate) lost_runs: IntCounter,
}

impl StoreMetrics {
    pub(crate) fn new() -> Result<Self, StoreServerError> {
        let registry = Metrics::new();
        let requests = registry.labelled_counter("store_requests_total", "Requests", "kind")?;
        let failures = registry.counter("store_failures_total", "Requests that failed")?;
        let refusals = registry.labelled_counter(
            "store_refusals_total",
            "Requests that were refused because their responses could not count",
            "reason",
        )?;
        Ok(Self {
            peers: PeerMetrics::register(&registry)?,
            connections: ConnectionMetrics::register(&registry)?,
            requests,
            failures,
            refusals,
            incomplete_chains: registry.counter(
                "store_incomplete_chains_total",
                "Turns that were not stored because the store lacked their ancestors",
            )?,
            flush_seconds: registry
                .seconds_histogram("store_flush_seconds", "Time to make a batch durable")?,
            report_sync_seconds: registry.seconds_histogram(
                "store_report_sync_seconds",
                "Time to make a batch of crash reports durable",
            )?,
            turns: registry.gauge("store_turns", "Stored turns")?,
            accounts: registry.gauge("store_accounts", "Stored accounts")?,
            epoch: registry.gauge(
                "store_view_epoch",
                "Epoch of the current view of the stores",
            )?,
            origins: registry.gauge("store_stream_origins", "Streams whose origins are kept")?,
            output_bytes: registry.gauge(
                "store_stream_output_bytes",
                "Size of the outputs of streams that are kept",
            )?,
            crash_reports: registry.gauge(
                "store_crash_reports",
                "Requests with reports of replicas that ended while running them",
            )?,
            runs_under_way: registry.gauge("store_runs_under_way", "Runs under way at gateways")?,
            lost_runs: registry.counter(
                "store_lost_runs_total",
                "Runs in doubt because their gateways were lost",
            )?,
            registry,
        })
    }
}

/// Returns the value of the metric label `kind` for a request.
pub(crate) fn request_kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Spend { .. } => "spend",
        StoreRequest::Keep { .. } => "keep",
        StoreRequest::Lookup(_) => "lookup",
        StoreRequest::Account(_) => "account",
        StoreRequest::HandOver { .. } => "hand_over",
        StoreRequest::Quota(_) => "quota",
    }
}

/// Returns the value of the metric label `kind` for a request about the origin of a stream.
pub(crate) fn origin_request_kind(request: &OriginRequest) -> &'static str {
    match request {
        OriginRequest::Record(_) => "record_origin",
        OriginRequest::RecordOutput(..) => "record_output",
        OriginRequest::Find(_) => "find_origin",
        OriginRequest::FindOutput(..) => "find_output",
    }
}

/// Returns the value of the metric label `kind` for a request about crash reports.
pub(crate) fn crash_request_kind(request: &CrashRequest) -> &'static str {
    match request {
        CrashRequest::Record(_) => "record_crash",
        CrashRequest::RecordDoubt(_) => "record_doubt",
        CrashRequest::Update(_) => "update_runs",
        CrashRequest::TakeOver(_) => "take_over_crashes",
        CrashRequest::Find(_) => "find_crashes",
        CrashRequest::Follow(_) | CrashRequest::FollowLeased(_) => "follow_crashes",
    }
}
