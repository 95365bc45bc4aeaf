//! When a request that goes to a replica is expected to be finished.
//!
//! Answers the load of replicas that are unequal, or turn slow or silent for a while: counted in
//! requests a slow replica looks like any other, and a program that stays at it for the prompt it
//! holds there ends late. Counted in time, the prompt is worth what reading it again takes, and a
//! slow replica costs what its events take longer.

use std::time::Duration;

/// Prompt tokens that an engine reads in the time of one step.
pub(crate) const TOKENS_READ_PER_STEP: f64 = 250.0;

/// Share by which a step of a full batch is longer than one of a request that runs alone. Only
/// load that came or went since the pause between events was measured is weighed by it.
const BATCH_SLOWDOWN: f64 = 1.0;

/// Time that a send which fails, or keeps silent, costs its program: until that is noticed, and
/// until the turn has been read elsewhere.
const FAILED_SEND_SECONDS: f64 = 2.0;

/// Share of the time for events by which a replica in another zone counts as slower: its load is
/// less well known here, and each of the program's later turns crosses zones too.
const OTHER_ZONE_SHARE: f64 = 0.15;

/// Time that crossing zones takes, both ways.
const OTHER_ZONE_SECONDS: f64 = 0.01;

/// Time to open a connection.
const NEW_CONNECTION_SECONDS: f64 = 0.005;

/// A part of a prompt that other programs' prompts begin with too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// Names the part, and all that stands before it.
    pub id: u64,
    /// Tokens up to its end.
    pub tokens: u32,
}

/// What a request asks of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Those that the replica which served the turn before must read.
    pub new_tokens: u32,
    /// What the prompt shares with those of other programs.
    pub shared: Option<SharedPart>,
    /// Events to come.
    pub events: f64,
    /// Generated tokens in one event.
    pub tokens_per_event: u32,
}

/// What is expected of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaState {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests at it now.
    pub requests: f64,
    /// Requests that were at it while `pause_seconds` was measured.
    pub measured_at_requests: f64,
    /// Pause between two events of its streams, in seconds.
    pub pause_seconds: f64,
    /// Share of sends that fail or keep silent, from 0 to 1.
    pub trouble: f64,
    /// Whether it is in the gateway's zone.
    pub is_near: bool,
    /// Prompt tokens that it does not hold.
    pub tokens_to_read: u32,
}

/// When a request is expected to begin to be answered, and to be finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Expected {
    /// Seconds to its first event.
    pub first_event_seconds: f64,
    /// Seconds to its last event, and those that troubles cost on average.
    pub finish_seconds: f64,
}

impl Expected {
    /// With a connection that must be opened first.
    #[must_use]
    pub fn after_connecting(self) -> Self {
        Self {
            first_event_seconds: self.first_event_seconds + NEW_CONNECTION_SECONDS,
            finish_seconds: self.finish_seconds + NEW_CONNECTION_SECONDS,
        }
    }

    /// Time to the first event.
    #[must_use]
    pub fn first_event(&self) -> Duration {
        Duration::try_from_secs_f64(self.first_event_seconds).unwrap_or(Duration::MAX)
    }

    /// Time to the last event.
    #[must_use]
    pub fn finish(&self) -> Duration {
        Duration::try_from_secs_f64(self.finish_seconds).unwrap_or(Duration::MAX)
    }
}

/// How much longer a step is with `requests` in the batch than with one that runs alone.
#[must_use]
pub fn batch_factor(requests: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    1.0 + BATCH_SLOWDOWN * (requests / slots).clamp(0.0, 1.0)
}

/// When `work` is expected to be finished at a replica, from now.
#[must_use]
pub fn expect(work: &Work, replica: &ReplicaState) -> Expected {
    let slots = f64::from(replica.slots.max(1));
    let with_it = batch_factor(replica.requests + 1.0, replica.slots);
    let measured = batch_factor(replica.measured_at_requests, replica.slots);
    let pause = replica.pause_seconds * with_it / measured;
    let step = pause / f64::from(work.tokens_per_event.max(1));
    let reading = f64::from(replica.tokens_to_read) / TOKENS_READ_PER_STEP * step;
    let events = work.events.max(1.0) * pause;
    // Slots come free one after another, a slot's share of an answer's time apart.
    let ahead = (replica.requests + 1.0 - slots).max(0.0);
    let waiting = ahead * events / slots;
    let (distance, far_events) = if replica.is_near {
        (0.0, 0.0)
    } else {
        (OTHER_ZONE_SECONDS, OTHER_ZONE_SHARE * events)
    };
    let first = distance + waiting + reading + pause;
    let troubles = replica.trouble.clamp(0.0, 1.0) * FAILED_SEND_SECONDS;
    Expected {
        first_event_seconds: first,
        finish_seconds: first + events + far_events + troubles,
    }
}
