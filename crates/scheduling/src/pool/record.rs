//! What a gateway has seen of one replica.

use super::held_parts::HeldParts;
use super::step_mean::{StepMean, faded};
use luglink_fleet::{ReplicaKey, ReplicaStats};
use luglink_types::Timestamp;
use std::time::Duration;

/// First pause of a replica that failed; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest pause of a replica that failed.
const LONGEST_EJECTION: Duration = Duration::from_secs(3);

/// Weight of a new sample in the average time to an answer.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Weight of a new failure in a replica's trouble.
const TROUBLE_WEIGHT: f64 = 0.3;

/// What is left of a replica's trouble after a success.
const TROUBLE_AFTER_SUCCESS: f64 = 0.85;

/// Time in which half of a replica's trouble is forgotten, so that it is tried again.
const TROUBLE_HALF_LIFE: Duration = Duration::from_secs(4);

/// What is left of trouble that does not count any more.
const FORGOTTEN_TROUBLE: f64 = 0.01;

/// Time in which half of the troubles that the other gateways are told of is forgotten.
const SIGHT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Troubles left from which a replica is told of to the other gateways.
const WITNESSED: f64 = 0.2;

/// Samples left from which a replica is told of to the other gateways.
const MEASURED: f64 = 0.5;

/// What a gateway has seen of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Requests of this gateway that are at it.
    pub(super) in_flight: u32,
    failures: u32,
    pub(super) ejected_until: Timestamp,
    /// Share of failures lately, as of `troubled_at`. Unlike a pause it also tells a replica
    /// that fails now and then from one that does not.
    trouble: f64,
    troubled_at: Timestamp,
    /// Average time to the first sign of an answer, in milliseconds; 0 before the first sample.
    pub(super) answer_ms: f64,
    /// Pauses between the events of its streams.
    pub(super) steps: StepMean,
    /// Requests that were at it when the view of the zone was taken, which counts them.
    pub(super) in_flight_at_view: u32,
    /// Shared parts of prompts that it has read for this gateway.
    pub(super) parts: HeldParts,
    /// Sends in trouble lately, as of `troubled_at`.
    troubles: f64,
}

/// Of a replica that was not used.
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
    /// Whether nothing is lost with it but how fast the replica answers.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.failures == 0 && self.trouble < FORGOTTEN_TROUBLE
    }

    /// Share of failures lately, fading with time.
    pub(super) fn trouble_at(&self, now: Timestamp) -> f64 {
        if self.trouble == 0.0 {
            return 0.0;
        }
        self.trouble * faded(now.since(self.troubled_at), TROUBLE_HALF_LIFE)
    }

    /// Sends in trouble lately, fading with time.
    fn troubles_at(&self, now: Timestamp) -> f64 {
        if self.troubles == 0.0 {
            return 0.0;
        }
        self.troubles * faded(now.since(self.troubled_at), SIGHT_HALF_LIFE)
    }

    /// What the other gateways of the zone should know of the replica; `None` when it was not used
    /// in the last moments.
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

    /// Forgets what was seen of an earlier life of the replica. Requests that are still at it stay
    /// counted until each of them ends.
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

    pub(super) fn note_failure(&mut self, now: Timestamp) {
        let before = self.trouble_at(now);
        self.troubles = self.troubles_at(now) + 1.0;
        self.trouble = before + TROUBLE_WEIGHT * (1.0 - before);
        self.troubled_at = now;
    }

    /// Returns until when the replica pauses.
    pub(super) fn failed(&mut self, now: Timestamp) -> Timestamp {
        self.note_failure(now);
        let doublings = self.failures.min(8);
        self.failures += 1;
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.ejected_until = now.plus(pause);
        self.ejected_until
    }
}
