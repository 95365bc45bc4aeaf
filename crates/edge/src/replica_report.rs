//! Load report of a model engine's replica.

use luglink_fleet::Incarnation;

/// Load report of a model engine's replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Memory that cannot be evicted, in tokens.
    pub memory_used: u64,
    /// Total memory, in tokens.
    pub memory_total: u64,
    /// Incarnation of the replica.
    pub incarnation: Incarnation,
}

impl ReplicaReport {
    /// Returns the utilization of the replica: the ratio of requests to slots or of used to total
    /// memory, whichever is higher. Above 1, requests are queued.
    #[must_use]
    pub fn fullness(&self, slots: u32) -> f64 {
        let requests = f64::from(self.running + self.waiting) / f64::from(slots.max(1));
        let memory = self.memory_used as f64 / self.memory_total.max(1) as f64;
        requests.max(memory)
    }
}
