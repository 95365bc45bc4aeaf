//! Metrics of a control member in a managed fleet.

use crate::errors::ControlServerError;
use luglink_net::{ConnectionMetrics, PeerMetrics};
use luglink_telemetry::Metrics;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters, gauges and histograms of a member.
#[derive(Clone, Debug)]
pub(crate) struct MemberMetrics {
    pub(crate) registry: Metrics,
    /// Operator calls by status.
    pub(crate) operator_calls: IntCounterVec,
    /// Response time of operator calls, in seconds.
    pub(crate) operator_seconds: Histogram,
    /// Bytes that peers make this member hold.
    pub(crate) peers: PeerMetrics,
    /// Connections closed at the limits of the listeners.
    pub(crate) connections: ConnectionMetrics,
    /// Resolutions by status.
    pub(crate) resolutions: IntCounterVec,
    /// Reads of the platform's list by outcome.
    pub(crate) list_reads: IntCounterVec,
    /// Entries of the list that cannot be read.
    pub(crate) skipped_entries: IntCounter,
    /// 1 if this member leads and has committed an entry in its term, otherwise 0.
    pub(crate) leads: Gauge,
    /// Version of the configuration document that it has applied.
    pub(crate) version: Gauge,
    /// Number of ready gateways.
    pub(crate) gateways: Gauge,
    /// Age of the list of replicas, in seconds.
    pub(crate) list_age: Gauge,
    /// Turn stores whose hand-over the leader waits for.
    pub(crate) hand_overs_outstanding: Gauge,
}

impl MemberMetrics {
    pub(crate) fn new() -> Result<Self, ControlServerError> {
        let registry = Metrics::new();
        let labelled =
            |name: &str, help: &str, label: &str| registry.labelled_counter(name, help, label);
        Ok(Self {
            operator_calls: labelled("operator_calls_total", "Operators' calls", "status")?,
            operator_seconds: registry
                .seconds_histogram("operator_seconds", "Time to answer operators")?,
            peers: PeerMetrics::register(&registry)?,
            connections: ConnectionMetrics::register(&registry)?,
            resolutions: labelled("resolutions_total", "Answers where to go", "status")?,
            list_reads: labelled("member_list_reads_total", "Looks at the list", "end")?,
            skipped_entries: registry.counter(
                "member_list_entries_passed_over_total",
                "Entries of the list that cannot be read",
            )?,
            leads: registry.gauge("member_leads", "1 at the current leader")?,
            version: registry.gauge("member_configuration_version", "Configuration applied")?,
            gateways: registry.gauge("member_ready_gateways", "Gateways that take callers")?,
            list_age: registry.gauge("member_list_age_seconds", "Age of the list of replicas")?,
            hand_overs_outstanding: registry.gauge(
                "member_hand_overs_outstanding",
                "Turn stores whose hand-over the leader waits for",
            )?,
            registry,
        })
    }
}
