//! What a turn store counts.

use crate::errors::StoreServerError;
use luglink_telemetry::Metrics;
use luglink_turns::StoreRequest;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters, gauges and histograms of a turn store.
#[derive(Clone, Debug)]
pub(crate) struct StoreMetrics {
    pub(crate) registry: Metrics,
    /// Requests by kind.
    pub(crate) requests: IntCounterVec,
    /// Requests that the disk or their own form made fail.
    pub(crate) failures: IntCounter,
    /// Time to make what arrived together durable.
    pub(crate) flush_seconds: Histogram,
    /// Turns that are held.
    pub(crate) turns: Gauge,
    /// Accounts that are held.
    pub(crate) accounts: Gauge,
    /// Epoch of the view of the stores.
    pub(crate) epoch: Gauge,
}

impl StoreMetrics {
    pub(crate) fn new() -> Result<Self, StoreServerError> {
        let registry = Metrics::new();
        let requests = registry.labelled_counter("store_requests_total", "Requests", "kind")?;
        let failures = registry.counter("store_failures_total", "Requests that failed")?;
        Ok(Self {
            requests,
            failures,
            flush_seconds: registry
                .seconds_histogram("store_flush_seconds", "Time to make a batch durable")?,
            turns: registry.gauge("store_turns", "Turns that are held")?,
            accounts: registry.gauge("store_accounts", "Accounts that are held")?,
            epoch: registry.gauge("store_view_epoch", "Epoch of the view of the stores")?,
            registry,
        })
    }
}

/// The label of a request.
pub(crate) fn kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Spend { .. } => "spend",
        StoreRequest::Keep { .. } => "keep",
        StoreRequest::Lookup(_) => "lookup",
        StoreRequest::Account(_) => "account",
        StoreRequest::HandOver { .. } => "hand_over",
        StoreRequest::Quota(_) => "quota",
    }
}
