//! What is known of the replicas' load beyond what this gateway sees itself.
//!
//! Answers the load of replicas that turn slow or silent for seconds, while each gateway has too
//! few answers of each to notice.

use luglink_fleet::{BackendId, ReplicaKey, ReplicaSight, Sights};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Age from which a view says nothing of the present any more: a replica's trouble may be over.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// A sight and its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedSight {
    /// What was seen.
    pub sight: ReplicaSight,
    /// Time since the sum was taken.
    pub age: Duration,
}

/// What the gateways of the zone saw together, as a member told it last.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    sights: HashMap<ReplicaKey, ReplicaSight>,
    taken_at: Timestamp,
}

impl LoadView {
    /// Takes a newer sum in place of the one before.
    pub fn take(&mut self, sights: &Sights, now: Timestamp) {
        let entries = sights.0.iter().map(|sight| (sight.replica, *sight));
        self.sights = entries.collect();
        self.taken_at = now;
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
        let sight = *self.sights.get(&ReplicaKey::of(id))?;
        (age < STALE_AFTER).then_some(AgedSight { sight, age })
    }
}
