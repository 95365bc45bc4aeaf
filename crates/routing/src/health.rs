//! Ejection and readmission of failing replicas.

use luglink_types::Timestamp;
use std::time::Duration;

/// Conditions and durations of ejections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// Number of consecutive failures that eject a replica.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum share of a pool that may be ejected at once. If more replicas fail, the cause is
    /// assumed to be elsewhere.
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
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    is_probing: bool,
}

impl Health {
    /// Returns true if requests may be sent to the replica. After an ejection, one request at a
    /// time probes it.
    #[must_use]
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.is_probing,
        }
    }

    /// Returns true if the replica is ejected or has not passed its probe yet.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Handles the dispatch of a request to the replica.
    pub fn on_dispatch(&mut self) {
        if self.ejected_until.is_some() {
            self.is_probing = true;
        }
    }

    /// Handles the success of a request.
    pub fn on_success(&mut self) {
        *self = Self {
            // One success readmits the replica. The number of ejections decreases slowly, so that
            // the ejections of a flapping replica get longer.
            ejections: self.ejections.saturating_sub(1),
            ..Self::default()
        };
    }

    /// Handles the failure of a request. `may_eject` is false if too many replicas of the pool are
    /// ejected already.
    pub fn on_failure(&mut self, config: &HealthConfig, may_eject: bool, now: Timestamp) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let probe_failed = self.is_probing;
        self.is_probing = false;
        let is_due = probe_failed || self.consecutive_failures >= config.failures_to_eject;
        if !is_due || (!may_eject && !probe_failed) {
            return;
        }
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let duration = config
            .base_ejection
            .saturating_mul(factor)
            .min(config.max_ejection);
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
        self.ejected_until = Some(now.plus(duration));
    }

    /// Handles the end of a request that indicates neither success nor failure.
    pub fn on_inconclusive(&mut self) {
        self.is_probing = false;
    }
}
