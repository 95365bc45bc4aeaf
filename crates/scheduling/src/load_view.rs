//! Load of the replicas as observed by all gateways of the zone.
//!
//! Replicas may turn slow or stall for seconds, while a single gateway gets too few answers from
//! each of them to detect it.

use luglink_fleet::{BackendId, ReplicaKey, ReplicaStats, StatsReport};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a view is stale: a replica's failure may be over.
pub const VIEW_STALE_AFTER: Duration = Duration::from_secs(2);

/// Time constant of the average requests at a replica: the half-life of the pauses between events
/// plus the delay of the view.
const AVERAGING_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Statistics of a replica and their age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedStats {
    /// Statistics of the replica.
    pub stats: ReplicaStats,
    /// Time since the view was taken.
    pub age: Duration,
}

/// Latest statistics from the zone's gateways, as reported by a member.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    replica_stats: HashMap<ReplicaKey, ReplicaStats>,
    taken_at: Timestamp,
    /// Average requests at each replica over the time in which its pauses are measured.
    average_requests: HashMap<ReplicaKey, f64>,
}

impl LoadView {
    /// Replaces the view by a newer sum.
    pub fn take(&mut self, replica_stats: &StatsReport, now: Timestamp) {
        let weight = self.new_view_weight(now);
        let averages = replica_stats.0.iter().map(|stats| {
            let requests = f64::from(stats.in_flight_tenths) / 10.0;
            let previous = self.average_requests.get(&stats.replica);
            let previous = previous.copied().unwrap_or(requests);
            (stats.replica, previous + weight * (requests - previous))
        });
        self.average_requests = averages.collect();
        let entries = replica_stats.0.iter().map(|stats| (stats.replica, *stats));
        self.replica_stats = entries.collect();
        self.taken_at = now;
    }

    /// Returns the weight of a new view in the averages.
    fn new_view_weight(&self, now: Timestamp) -> f64 {
        let elapsed = self.age(now).as_secs_f64() / AVERAGING_TIME_CONSTANT.as_secs_f64();
        1.0 - (-elapsed).exp()
    }

    /// Returns true if the view is not stale.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.taken_at > Timestamp::ZERO && self.age(now) < VIEW_STALE_AFTER
    }

    /// Returns the average requests at a replica over the time in which its pauses are measured.
    #[must_use]
    pub fn average_requests(&self, id: &BackendId) -> Option<f64> {
        self.average_requests.get(&ReplicaKey::of(id)).copied()
    }

    /// Returns the age of the view.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.taken_at)
    }

    /// Returns the statistics of a replica, or `None` if no gateway used it recently or the view is
    /// stale.
    #[must_use]
    pub fn stats(&self, id: &BackendId, now: Timestamp) -> Option<AgedStats> {
        let age = self.age(now);
        let stats = *self.replica_stats.get(&ReplicaKey::of(id))?;
        (age < VIEW_STALE_AFTER).then_some(AgedStats { stats, age })
    }
}
