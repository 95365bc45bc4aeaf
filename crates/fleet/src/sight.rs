//! What gateways see of the replicas that they use, summed over a zone.
//!
//! A gateway of a fleet has a few answers of each replica in some seconds, too few to tell a slow
//! one in time. All gateways of a zone together have several a second. Each says what it saw with
//! its word of itself; the members of its zone hear all of them and tell each the sum.

use crate::backend::BackendId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Replicas in one word at the most: 20 bytes each keep it under 2 KB. The busiest come first.
pub const MAX_REPLICA_STATS: usize = 96;

/// Names a replica in a word of sights: the upper half of [`BackendId::stable_hash`]. Two replicas of a
/// fleet that share it count as one; each start of a replica has another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaKey(pub u32);

impl ReplicaKey {
    /// The key of a replica.
    #[must_use]
    pub fn of(id: &BackendId) -> Self {
        Self((id.stable_hash() >> 32) as u32)
    }
}

/// What one gateway, or all of a zone together, saw of one replica in the last moments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStats {
    /// The replica.
    pub replica: ReplicaKey,
    /// Requests under way there, in tenths.
    pub in_flight_tenths: u32,
    /// Answers that `step_micros` is the mean of, in tenths; older ones count for less.
    pub samples_tenths: u32,
    /// Mean time between two events of its streams, in microseconds.
    pub step_micros: u32,
    /// Sends that failed, or have kept silent for far longer than they should, in tenths; older
    /// ones count for less.
    pub failures_tenths: u32,
    /// Gateways that saw such a send.
    pub reporting_gateways: u16,
}

/// The replicas that one gateway, or all of a zone together, used in the last moments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsReport(pub Vec<ReplicaStats>);

impl StatsReport {
    /// What several gateways saw, together.
    #[must_use]
    pub fn sum<'words>(words: impl IntoIterator<Item = &'words Self>) -> Self {
        let mut sums: BTreeMap<ReplicaKey, ReplicaStats> = BTreeMap::new();
        for sight in words.into_iter().flat_map(|word| &word.0) {
            sums.entry(sight.replica)
                .and_modify(|sum| sum.add(sight))
                .or_insert(*sight);
        }
        let mut all: Vec<ReplicaStats> = sums.into_values().collect();
        all.sort_by_key(|sight| {
            std::cmp::Reverse((sight.reporting_gateways, sight.in_flight_tenths))
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
