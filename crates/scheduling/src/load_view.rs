//! What is known of the replicas' load beyond what this gateway sees itself.
//!
//! Answers the load of replicas that turn slow or silent for seconds, while each gateway has too
//! few answers of each to notice.

use luglink_fleet::{BackendId, ReplicaKey, ReplicaStats, StatsReport};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a view says nothing of the present any more: a replica's trouble may be over.
pub const VIEW_STALE_AFTER: Duration = Duration::from_secs(2);

/// Time over which requests at a replica are averaged: that in which half of the pauses between
/// events are forgotten, and the view's way.
const AVERAGED_OVER: Duration = Duration::from_millis(700);

/// A sight and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedSight {
    /// What was seen.
    pub sight: ReplicaStats,
    /// Time since the sum was taken.
    pub age: Duration,
}

/// What the gateways of the zone saw together, as a member told it last.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    replica_stats: HashMap<ReplicaKey, ReplicaStats>,
    taken_at: Timestamp,
    /// Requests at each replica, averaged over the time that its pauses are measured in.
    usual_requests: HashMap<ReplicaKey, f64>,
}

impl LoadView {
    /// Takes a newer sum in place of the one before.
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

    /// Share that a new view has in the averages.
    fn weight_of_new(&self, now: Timestamp) -> f64 {
        let since = self.age(now).as_secs_f64() / AVERAGED_OVER.as_secs_f64();
        1.0 - (-since).exp()
    }

    /// Whether the view says something of the present.
    #[must_use]
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.taken_at > Timestamp::ZERO && self.age(now) < VIEW_STALE_AFTER
    }

    /// Requests that were at a replica over the time that its pauses were measured in.
    #[must_use]
    pub fn usual_requests(&self, id: &BackendId) -> Option<f64> {
        self.usual_requests.get(&ReplicaKey::of(id)).copied()
    }

    /// Age of the view.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.taken_at)
    }

    /// What is known of a replica; `None` when nobody used it lately, or the view is too old.
    #[must_use]
    pub fn sight(&self, id: &BackendId, now: Timestamp) -> Option<AgedSight> {
        let age = self.age(now);
        let sight = *self.replica_stats.get(&ReplicaKey::of(id))?;
        (age < VIEW_STALE_AFTER).then_some(AgedSight { sight, age })
    }
}
