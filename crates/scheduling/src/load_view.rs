//! Load of the replicas as observed by all gateways of the zone.
//!
//! Replicas may turn slow or silent for seconds, while each single gateway has too few answers of
//! each to notice.

use luglink_fleet::{BackendId, ReplicaKey, ReplicaStats, StatsReport};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a view is stale: a replica's failure may be over.
pub const VIEW_STALE_AFTER: Duration = Duration::from_secs(2);

/// Time constant of the average requests at a replica: the half-life of the pauses between events
/// and the delay of the view.
const AVERAGED_OVER: Duration = Duration::from_millis(700);

/// Observation of a replica and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedSight {
    /// Observation.
    pub sight: ReplicaStats,
    /// Time since the view was taken.
    pub age: Duration,
}

/// Latest observations of the zone's gateways, as reported by a member.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    replica_stats: HashMap<ReplicaKey, ReplicaStats>,
    taken_at: Timestamp,
    /// Average requests at each replica over the time in which its pauses are measured.
    usual_requests: HashMap<ReplicaKey, f64>,
}

impl LoadView {
    /// Replaces the view by a newer sum.
    pub fn take(&mut self, replica_stats: &StatsReport, now: Timestamp) {
        let weight = self.weight_of_new(now);
        let usual = replica_stats.0.iter().map(|sight| {
            let requests = f64::from(sight.in_flight_tenths) / 10.0;
            let before = self.usual_requests.get(&sight.replica);
            let before = before.copied().unwrap_or(requests);
            (sight.replica, before + weight * (requests - before))
        });
        self.usual_requests = usual.collect();
        let entries = replica_stats.0.iter().map(|sight| (sight.replica, *sight));
        self.replica_stats = entries.collect();
        self.taken_at = now;
    }

    /// Returns the weight of a new view in the averages.
    fn weight_of_new(&self, now: Timestamp) -> f64 {
        let since = self.age(now).as_secs_f64() / AVERAGED_OVER.as_secs_f64();
        1.0 - (-since).exp()
    }

    /// Returns true if the view is not stale.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.taken_at > Timestamp::ZERO && self.age(now) < VIEW_STALE_AFTER
    }

    /// Returns the average requests at a replica over the time in which its pauses are measured.
    #[must_use]
    pub fn usual_requests(&self, id: &BackendId) -> Option<f64> {
        self.usual_requests.get(&ReplicaKey::of(id)).copied()
    }

    /// Returns the age of the view.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.taken_at)
    }

    /// Returns the observation of a replica, or `None` if no gateway used it lately or the view is
    /// stale.
    #[must_use]
    pub fn sight(&self, id: &BackendId, now: Timestamp) -> Option<AgedSight> {
        let age = self.age(now);
        let sight = *self.replica_stats.get(&ReplicaKey::of(id))?;
        (age < VIEW_STALE_AFTER).then_some(AgedSight { sight, age })
    }
}
