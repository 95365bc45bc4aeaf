//! Record that a gateway keeps of one replica.

use super::held_parts::HeldParts;
use super::step_mean::{StepMean, decay_factor};
use luglink_fleet::{ReplicaKey, ReplicaStats};
use luglink_types::Timestamp;
use std::time::Duration;

/// Ejection time after the first failure; doubles with each consecutive failure.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(200);

/// Maximum ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);

/// Weight of a new sample in the average time to an answer.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Weight of a new failure in the failure ratio.
const FAILURE_WEIGHT: f64 = 0.3;

/// Factor on the failure ratio after a success.
const SUCCESS_FACTOR: f64 = 0.85;

/// Half-life of the failure ratio, so that the replica is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure ratio below which failures no longer count.
const NEGLIGIBLE_FAILURE_RATIO: f64 = 0.01;

/// Half-life of the failures that are reported to the other gateways.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Minimum decayed number of failures for a replica to be reported to the other gateways.
const MIN_REPORTED_FAILURES: f64 = 0.2;

/// Minimum weight of the samples for a replica to be reported to the other gateways.
const MIN_REPORTED_SAMPLES: f64 = 0.5;

/// Record that a gateway keeps of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Requests of this gateway at the replica.
    pub(super) in_flight: u32,
    consecutive_failures: u32,
    pub(super) ejected_until: Timestamp,
    /// Recent ratio of failures, as of `failed_at`. Unlike an ejection, it also distinguishes a
    /// replica that fails occasionally from one that does not.
    failure_ratio: f64,
    failed_at: Timestamp,
    /// Average time to the first sign of an answer, in milliseconds; 0 before the first sample.
    pub(super) answer_ms: f64,
    /// Pauses between the events of its streams.
    pub(super) steps: StepMean,
    /// Requests of this gateway when the view of the zone, which includes them, was taken.
    pub(super) in_flight_at_view: u32,
    /// Shared parts of prompts that it has read for this gateway.
    pub(super) parts: HeldParts,
    /// Decayed number of recent failures, as of `failed_at`.
    recent_failures: f64,
}

/// Record of a replica that was not used.
pub(super) static UNUSED: Record = Record {
    in_flight: 0,
    consecutive_failures: 0,
    ejected_until: Timestamp::ZERO,
    failure_ratio: 0.0,
    failed_at: Timestamp::ZERO,
    answer_ms: 0.0,
    steps: StepMean::NONE,
    in_flight_at_view: 0,
    parts: HeldParts::NONE,
    recent_failures: 0.0,
};

impl Record {
    /// Returns true if removing the record loses nothing but the replica's speed.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0
            && self.consecutive_failures == 0
            && self.failure_ratio < NEGLIGIBLE_FAILURE_RATIO
    }

    /// Returns the decayed ratio of failures.
    pub(super) fn failure_ratio_at(&self, now: Timestamp) -> f64 {
        if self.failure_ratio == 0.0 {
            return 0.0;
        }
        self.failure_ratio * decay_factor(now.since(self.failed_at), FAILURE_HALF_LIFE)
    }

    /// Returns the decayed number of recent failures.
    fn recent_failures_at(&self, now: Timestamp) -> f64 {
        if self.recent_failures == 0.0 {
            return 0.0;
        }
        self.recent_failures * decay_factor(now.since(self.failed_at), REPORT_HALF_LIFE)
    }

    /// Returns the statistics for the other gateways of the zone, or `None` if the replica was not
    /// used recently.
    pub(super) fn stats(&self, replica: ReplicaKey, now: Timestamp) -> Option<ReplicaStats> {
        let samples = self.steps.weight_at(now);
        let recent_failures = self.recent_failures_at(now);
        let has_failures = recent_failures >= MIN_REPORTED_FAILURES;
        if self.in_flight == 0 && samples < MIN_REPORTED_SAMPLES && !has_failures {
            return None;
        }
        Some(ReplicaStats {
            replica,
            in_flight_tenths: self.in_flight * 10,
            samples_tenths: (samples * 10.0).round() as u32,
            step_micros: self.steps.micros().round() as u32,
            failures_tenths: (recent_failures * 10.0).round() as u32,
            reporting_gateways: u16::from(has_failures),
        })
    }

    /// Resets the record after a restart of the replica. Requests that are still at the earlier
    /// incarnation stay counted until each of them ends.
    pub(super) fn reset_for_restart(&mut self) {
        *self = Self {
            in_flight: self.in_flight,
            ..Self::default()
        };
    }

    pub(super) fn succeeded(&mut self, time: Duration) {
        self.consecutive_failures = 0;
        self.ejected_until = Timestamp::ZERO;
        self.failure_ratio *= SUCCESS_FACTOR;
        let sample = time.as_secs_f64() * 1_000.0;
        self.answer_ms = if self.answer_ms > 0.0 {
            self.answer_ms + SAMPLE_WEIGHT * (sample - self.answer_ms)
        } else {
            sample
        };
    }

    /// Records a failure without an ejection.
    pub(super) fn note_failure(&mut self, now: Timestamp) {
        let before = self.failure_ratio_at(now);
        self.recent_failures = self.recent_failures_at(now) + 1.0;
        self.failure_ratio = before + FAILURE_WEIGHT * (1.0 - before);
        self.failed_at = now;
    }

    /// Records a failure and ejects the replica. Returns the end of the ejection.
    pub(super) fn failed(&mut self, now: Timestamp) -> Timestamp {
        self.note_failure(now);
        let doublings = self.consecutive_failures.min(8);
        self.consecutive_failures += 1;
        let ejection_time = (MIN_EJECTION_TIME * 2_u32.pow(doublings)).min(MAX_EJECTION_TIME);
        self.ejected_until = now.plus(ejection_time);
        self.ejected_until
    }
}
