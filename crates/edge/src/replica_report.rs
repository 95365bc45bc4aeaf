//! What a replica of a model engine says of itself.

use luglink_fleet::Incarnation;

/// What a replica of a model engine says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Tokens of its memory that cannot give way.
    pub memory_used: u64,
    /// Tokens of its memory.
    pub memory_total: u64,
    /// Its life.
    pub incarnation: Incarnation,
}

impl ReplicaReport {
    /// How full the replica is: its requests in shares of its slots, or the share of its memory
    /// that is in use, whichever is higher. Above 1 requests wait.
    #[must_use]
    pub fn fullness(&self, slots: u32) -> f64 {
        let requests = f64::from(self.running + self.waiting) / f64::from(slots.max(1));
        let memory = self.memory_used as f64 / self.memory_total.max(1) as f64;
        requests.max(memory)
    }
}
