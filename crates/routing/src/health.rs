//! Ejection of failing replicas and their way back.

use luglink_types::Timestamp;
use std::time::Duration;

/// When a replica is ejected and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// Failures in a row that eject a replica.
    pub failures_to_eject: u32,
    /// Length of the first ejection; each further one is twice as long.
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Share of a pool that may be ejected at once; beyond it, failures are not the replicas'.
    pub max_ejected_share: f64,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            failures_to_eject: 3,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(60),
            max_ejected_share: 0.5,
        }
    }
}

/// Health of one replica as seen from one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures_in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    probing: bool,
}

impl Health {
    /// Whether requests may go to the replica. After an ejection one request at a time probes it.
    #[must_use]
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Whether the replica is ejected or on probation.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// A request goes to the replica.
    pub fn on_dispatch(&mut self) {
        if self.ejected_until.is_some() {
            self.probing = true;
        }
    }

    /// A request succeeded.
    pub fn on_success(&mut self) {
        *self = Self {
            // One good answer lets it back; the ejection count falls slowly, so that a replica
            // that flaps is ejected for longer each time.
            ejections: self.ejections.saturating_sub(1),
            ..Self::default()
        };
    }

    /// A request failed. `may_eject` tells whether the pool can do without the replica.
    pub fn on_failure(&mut self, config: &HealthConfig, may_eject: bool, now: Timestamp) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        let probe_failed = self.probing;
        self.probing = false;
        let due = probe_failed || self.failures_in_a_row >= config.failures_to_eject;
        if !due || (!may_eject && !probe_failed) {
            return;
        }
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let length = config
            .base_ejection
            .saturating_mul(factor)
            .min(config.max_ejection);
        self.ejections = self.ejections.saturating_add(1);
        self.failures_in_a_row = 0;
        self.ejected_until = Some(now.plus(length));
    }

    /// A probe ended without telling anything.
    pub fn on_inconclusive(&mut self) {
        self.probing = false;
    }
}
