//! Statistics of replicas, reported by gateways and summed over a zone.
//!
//! A single gateway gets a few responses from each replica in several seconds, too few to detect a
//! slow replica in time. All gateways of a zone together get several per second. Each gateway sends
//! its statistics with its heartbeat. The members of its zone receive the reports of all gateways
//! and return the sums.

use crate::backend::BackendId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of replicas in a report: at 20 bytes each, a report stays below 2 KB. Those with
/// failures come first, then the busiest.
pub const MAX_REPLICA_STATS: usize = 96;

/// Identifier of a replica in a report: the upper half of [`BackendId::stable_hash`]. Replicas with
/// the same key count as one. A replica that restarts under a new identifier has a new key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// Returns the key of a replica.
    #[must_use]
    pub fn of(id: &BackendId) -> Self {
        Self((id.stable_hash() >> 32) as u32)
    }
}

/// Recent statistics of one replica at one gateway, or summed over a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStats {
    /// The replica.
    pub replica: ReplicaKey,
    /// Requests in flight at the replica, in tenths.
    pub in_flight_tenths: u32,
    /// Number of responses averaged in `step_micros`, in tenths; older ones have a lower weight.
    pub samples_tenths: u32,
    /// Average time between two events of a stream, in microseconds.
    pub step_micros: u32,
    /// Requests that failed or have had no event for far too long, in tenths; older ones have a
    /// lower weight.
    pub failures_tenths: u32,
    /// Number of gateways that had such a request.
    pub reporting_gateways: u16,
}

/// Statistics of the replicas that one gateway, or all gateways of a zone, used recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsReport(pub Vec<ReplicaStats>);

impl StatsReport {
    /// Sums the reports of several gateways.
    #[must_use]
    pub fn sum<'reports>(reports: impl IntoIterator<Item = &'reports Self>) -> Self {
        let mut sums: BTreeMap<ReplicaKey, ReplicaStats> = BTreeMap::new();
        for stats in reports.into_iter().flat_map(|report| &report.0) {
            sums.entry(stats.replica)
                .and_modify(|sum| sum.add(stats))
                .or_insert(*stats);
        }
        let mut all: Vec<ReplicaStats> = sums.into_values().collect();
        all.sort_by_key(|stats| {
            std::cmp::Reverse((stats.reporting_gateways, stats.in_flight_tenths))
        });
        all.truncate(MAX_REPLICA_STATS);
        Self(all)
    }
}

impl ReplicaStats {
    fn add(&mut self, other: &Self) {
        let weight = f64::from(self.samples_tenths);
        let other_weight = f64::from(other.samples_tenths);
        if weight + other_weight > 0.0 {
            let sum =
                f64::from(self.step_micros) * weight + f64::from(other.step_micros) * other_weight;
            self.step_micros = (sum / (weight + other_weight)).round() as u32;
        }
        self.samples_tenths = self.samples_tenths.saturating_add(other.samples_tenths);
        self.in_flight_tenths = self.in_flight_tenths.saturating_add(other.in_flight_tenths);
        self.failures_tenths = self.failures_tenths.saturating_add(other.failures_tenths);
        self.reporting_gateways = self
            .reporting_gateways
            .saturating_add(other.reporting_gateways);
    }
}
