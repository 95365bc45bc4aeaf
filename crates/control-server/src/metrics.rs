//! What a control member of a managed fleet counts.

use crate::errors::ControlServerError;
use luglink_telemetry::Metrics;
use prometheus::{Gauge, Histogram, IntCounter, IntCounterVec};

/// Counters, gauges and histograms of a member.
#[derive(Clone, Debug)]
pub(crate) struct MemberMetrics {
    pub(crate) registry: Metrics,
    /// Operators' calls by status.
    pub(crate) operator_calls: IntCounterVec,
    /// Time to answer operators.
    pub(crate) operator_seconds: Histogram,
    /// Answers to callers that ask where to go, by status.
    pub(crate) resolutions: IntCounterVec,
    /// Readings of the platform's list by how they ended.
    pub(crate) list_reads: IntCounterVec,
    /// Entries of the list that name no replica to use.
    pub(crate) skipped_entries: IntCounter,
    /// Whether this member leads and is current.
    pub(crate) leads: Gauge,
    /// Version of the configuration that it has applied.
    pub(crate) version: Gauge,
    /// Gateways that take callers.
    pub(crate) gateways: Gauge,
    /// Time since the platform showed the list of replicas, in seconds.
    pub(crate) list_age: Gauge,
}

impl MemberMetrics {
    pub(crate) fn new() -> Result<Self, ControlServerError> {
        let registry = Metrics::new();
        let labelled =
            |name: &str, help: &str, label: &str| registry.labelled_counter(name, help, label);
        Ok(Self {
            operator_calls: labelled("operator_calls_total", "Operators' calls", "status")?,
            operator_seconds: registry.seconds("operator_seconds", "Time to answer operators")?,
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
            registry,
        })
    }
}
