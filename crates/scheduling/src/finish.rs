//! Expected finish of a request at a replica.
//!
//! Replicas differ in speed and may turn slow or stall for a while. Counted in requests, a slow
//! replica looks like any other, and a program that stays there for its cached prompt ends late.
//! Counted in time, the cached prompt saves the time to read it again, and a slow replica costs
//! the additional time of its events.

use std::time::Duration;

/// Prompt tokens that an engine reads in the time of one step, which generates one token.
pub(crate) const TOKENS_READ_PER_STEP: f64 = 250.0;

/// Relative increase of the step time from a lone request to a full batch. It only matters for load
/// that changed since the pause between events was measured.
const BATCH_SLOWDOWN: f64 = 1.0;

/// Time that a failed or unanswered send costs its program: until the failure is detected and the
/// turn has been read elsewhere.
const FAILED_SEND_COST_SECONDS: f64 = 2.0;

/// Relative increase of the event time assumed for a replica in another zone: its load is less well
/// known, and each later turn of the program crosses zones too.
const OTHER_ZONE_SLOWDOWN: f64 = 0.15;

/// Round-trip time between zones.
const OTHER_ZONE_SECONDS: f64 = 0.01;

/// Time to open a connection.
const NEW_CONNECTION_SECONDS: f64 = 0.005;

/// Part of a prompt that prompts of other programs start with too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// Identifier of the part together with all parts before it.
    pub id: u64,
    /// Tokens up to the end of the part.
    pub tokens: u32,
}

/// Work that a request asks of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens that the replica of the previous turn must read.
    pub new_tokens: u32,
    /// Part that the prompt shares with those of other programs.
    pub shared: Option<SharedPart>,
    /// Expected number of events in the answer.
    pub events: f64,
    /// Generated tokens per event.
    pub tokens_per_event: u32,
}

/// Estimated state of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaState {
    /// Number of requests served concurrently.
    pub slots: u32,
    /// Requests at the replica now.
    pub requests: f64,
    /// Requests at the replica while `pause_seconds` was measured.
    pub measured_at_requests: f64,
    /// Pause between two events of a stream, in seconds.
    pub pause_seconds: f64,
    /// Ratio of sends that fail or are not answered, from 0 to 1.
    pub failure_ratio: f64,
    /// True if the replica is in the gateway's zone.
    pub is_near: bool,
    /// Prompt tokens that the replica does not hold.
    pub tokens_to_read: u32,
}

/// Expected times until a request gets its first event and is finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Expected {
    /// Seconds to the first event.
    pub first_event_seconds: f64,
    /// Seconds to the last event, including the mean cost of failures.
    pub finish_seconds: f64,
}

impl Expected {
    /// Adds the time to open a connection.
    #[must_use]
    pub fn after_connecting(self) -> Self {
        Self {
            first_event_seconds: self.first_event_seconds + NEW_CONNECTION_SECONDS,
            finish_seconds: self.finish_seconds + NEW_CONNECTION_SECONDS,
        }
    }

    /// Returns the time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_event_seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the time to the last event.
    #[must_use]
    pub fn finish(&self) -> Duration {
        Duration::try_from_secs_f64(self.finish_seconds).unwrap_or(Duration::MAX)
    }
}

/// Returns the step time with `requests` in the batch, relative to that of a lone request.
#[must_use]
pub fn batch_factor(requests: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    1.0 + BATCH_SLOWDOWN * (requests / slots).clamp(0.0, 1.0)
}

/// Returns the expected times of `work` at a replica, counted from now.
#[must_use]
pub fn expect(work: &Work, replica: &ReplicaState) -> Expected {
    let slots = f64::from(replica.slots.max(1));
    let batch_with_request = batch_factor(replica.requests + 1.0, replica.slots);
    let measured_batch = batch_factor(replica.measured_at_requests, replica.slots);
    let pause = replica.pause_seconds * batch_with_request / measured_batch;
    let step = pause / f64::from(work.tokens_per_event.max(1));
    let reading = f64::from(replica.tokens_to_read) / TOKENS_READ_PER_STEP * step;
    let events = work.events.max(1.0) * pause;
    // Slots become free one after another, at intervals of the answer time divided by the slots.
    let queued = (replica.requests + 1.0 - slots).max(0.0);
    let waiting = queued * events / slots;
    let (cross_zone_latency, cross_zone_delay) = if replica.is_near {
        (0.0, 0.0)
    } else {
        (OTHER_ZONE_SECONDS, OTHER_ZONE_SLOWDOWN * events)
    };
    let first = cross_zone_latency + waiting + reading + pause;
    let failure_cost = replica.failure_ratio.clamp(0.0, 1.0) * FAILED_SEND_COST_SECONDS;
    Expected {
        first_event_seconds: first,
        finish_seconds: first + events + cross_zone_delay + failure_cost,
    }
}
