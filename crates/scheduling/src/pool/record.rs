//! Observations of one replica by a gateway.

use super::held_parts::HeldParts;
use super::step_mean::{StepMean, faded};
use luglink_fleet::{ReplicaKey, ReplicaStats};
use luglink_types::Timestamp;
use std::time::Duration;

/// Ejection time after the first failure; doubles with each consecutive failure.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Maximum ejection time.
const LONGEST_EJECTION: Duration = Duration::from_secs(3);

/// Weight of a new sample in the average time to an answer.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Weight of a new failure in the failure ratio.
const TROUBLE_WEIGHT: f64 = 0.3;

/// Factor on the failure ratio after a success.
const TROUBLE_AFTER_SUCCESS: f64 = 0.85;

/// Half-life of the failure ratio, so that the replica is tried again.
const TROUBLE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure ratio below which failures no longer count.
const FORGOTTEN_TROUBLE: f64 = 0.01;

/// Half-life of the failures that are reported to the other gateways.
const SIGHT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Minimum decayed number of failures for a replica to be reported to the other gateways.
const WITNESSED: f64 = 0.2;

/// Minimum weight of the samples for a replica to be reported to the other gateways.
const MEASURED: f64 = 0.5;

/// Observations of one replica by a gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Requests of this gateway at the replica.
    pub(super) in_flight: u32,
    failures: u32,
    pub(super) ejected_until: Timestamp,
    /// Recent ratio of failures, as of `failed_at`. Unlike an ejection, it also tells a replica
    /// that fails occasionally from one that does not.
    trouble: f64,
    troubled_at: Timestamp,
    /// Average time to the first sign of an answer, in milliseconds; 0 before the first sample.
    pub(super) answer_ms: f64,
    /// Pauses between the events of its streams.
    pub(super) steps: StepMean,
    /// Requests of this gateway when the view of the zone, which includes them, was taken.
    pub(super) in_flight_at_view: u32,
    /// Shared parts of prompts that it has read for this gateway.
    pub(super) parts: HeldParts,
    /// Decayed number of recent failures, as of `failed_at`.
    troubles: f64,
}

/// Record of a replica that was not used.
pub(super) static UNUSED: Record = Record {
    in_flight: 0,
    failures: 0,
    ejected_until: Timestamp::ZERO,
    trouble: 0.0,
    troubled_at: Timestamp::ZERO,
    answer_ms: 0.0,
    steps: StepMean::NONE,
    in_flight_at_view: 0,
    parts: HeldParts::NONE,
    troubles: 0.0,
};

impl Record {
    /// Returns true if removing the record loses nothing but the replica's speed.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.failures == 0 && self.trouble < FORGOTTEN_TROUBLE
    }

    /// Returns the decayed ratio of failures.
    pub(super) fn trouble_at(&self, now: Timestamp) -> f64 {
        if self.trouble == 0.0 {
            return 0.0;
        }
        self.trouble * faded(now.since(self.troubled_at), TROUBLE_HALF_LIFE)
    }

    /// Returns the decayed number of recent failures.
    fn troubles_at(&self, now: Timestamp) -> f64 {
        if self.troubles == 0.0 {
            return 0.0;
        }
        self.troubles * faded(now.since(self.troubled_at), SIGHT_HALF_LIFE)
    }

    /// Returns the observation for the other gateways of the zone, or `None` if the replica was not
    /// used in the last moments.
    pub(super) fn sight(&self, replica: ReplicaKey, now: Timestamp) -> Option<ReplicaStats> {
        let samples = self.steps.weight_at(now);
        let troubles = self.troubles_at(now);
        let is_witness = troubles >= WITNESSED;
        if self.in_flight == 0 && samples < MEASURED && !is_witness {
            return None;
        }
        Some(ReplicaStats {
            replica,
            in_flight_tenths: self.in_flight * 10,
            samples_tenths: (samples * 10.0).round() as u32,
            step_micros: self.steps.micros().round() as u32,
            failures_tenths: (troubles * 10.0).round() as u32,
            reporting_gateways: u16::from(is_witness),
        })
    }

    /// Resets the record after a restart of the replica. Requests that are still at the earlier
    /// incarnation stay counted until each of them ends.
    pub(super) fn begin_new_life(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            ..Self::default()
        };
    }

    pub(super) fn succeeded(&mut self, time: Duration) {
        self.failures = 0;
        self.ejected_until = Timestamp::ZERO;
        self.trouble *= TROUBLE_AFTER_SUCCESS;
        let sample = time.as_secs_f64() * 1_000.0;
        self.answer_ms = if self.answer_ms > 0.0 {
            self.answer_ms + SAMPLE_WEIGHT * (sample - self.answer_ms)
        } else {
            sample
        };
    }

    pub(super) fn troubled(&mut self, now: Timestamp) {
        let before = self.trouble_at(now);
        self.troubles = self.troubles_at(now) + 1.0;
        self.trouble = before + TROUBLE_WEIGHT * (1.0 - before);
        self.troubled_at = now;
    }

    /// Returns the end of the ejection.
    pub(super) fn failed(&mut self, now: Timestamp) -> Timestamp {
        self.troubled(now);
        let doublings = self.failures.min(8);
        self.failures += 1;
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.ejected_until = now.plus(pause);
        self.ejected_until
    }
}
