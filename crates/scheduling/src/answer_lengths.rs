//! Mean answer length of each route, learned from complete answers.
//!
//! The cost of a slow replica depends on how many events a request waits for. Callers only name a
//! maximum, which few answers reach.

use std::collections::HashMap;

/// Weight of a new answer in the mean of its route, which covers the last few dozen answers.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Assumed length relative to the maximum while no answer of the route is known.
const DEFAULT_LENGTH_RATIO: f64 = 0.5;

/// Assumed number of events while neither an answer of the route nor a maximum is known.
const DEFAULT_EVENTS: f64 = 10.0;

/// Maximum number of routes that are tracked.
const MAX_ROUTES: usize = 1_024;

/// Mean answer length of each route, in events.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    mean_events: HashMap<String, f64>,
}

impl AnswerLengths {
    /// Records the length of a complete answer.
    pub fn note(&mut self, route: &str, events: u64) {
        let sample = events as f64;
        if let Some(mean) = self.mean_events.get_mut(route) {
            *mean += SAMPLE_WEIGHT * (sample - *mean);
        } else if self.mean_events.len() < MAX_ROUTES {
            self.mean_events.insert(route.to_owned(), sample);
        }
    }

    /// Returns the expected number of events in an answer of at most `max_tokens` tokens; 0 means
    /// that the caller named no maximum.
    #[must_use]
    pub fn expected(&self, route: &str, max_tokens: u64, tokens_per_event: u64) -> f64 {
        let max_events = max_tokens as f64 / tokens_per_event.max(1) as f64;
        let guess = if max_events > 0.0 {
            max_events * DEFAULT_LENGTH_RATIO
        } else {
            DEFAULT_EVENTS
        };
        let mean = self.mean_events.get(route).copied().unwrap_or(guess);
        let expected = if max_events > 0.0 {
            mean.min(max_events)
        } else {
            mean
        };
        expected.max(1.0)
    }
}
