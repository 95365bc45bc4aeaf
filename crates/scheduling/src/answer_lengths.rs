//! How many events the answers of each route have, learned from those that ended.
//!
//! What a slow replica costs a request depends on how many events it waits for there; callers only
//! name the most that they take, which few answers reach.

use std::collections::HashMap;

/// Weight of a new answer in its route's mean: the last few dozen count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Share of the most tokens that an answer has, while nothing is known of its route.
const USUAL_SHARE: f64 = 0.5;

/// Events of an answer when neither its route's answers nor its most tokens are known.
const USUAL_EVENTS: f64 = 10.0;

/// Routes that are remembered at the most.
const MAX_ROUTES: usize = 1_024;

/// The mean length of each route's answers.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    events: HashMap<String, f64>,
}

impl AnswerLengths {
    /// Notes an answer that ended as complete.
    pub fn note(&mut self, route: &str, events: u64) {
        let sample = events as f64;
        if let Some(mean) = self.events.get_mut(route) {
            *mean += SAMPLE_WEIGHT * (sample - *mean);
        } else if self.events.len() < MAX_ROUTES {
            self.events.insert(route.to_owned(), sample);
        }
    }

    /// Events that an answer is expected to have, when it may have `most_tokens` at the most; 0
    /// when the caller did not say.
    #[must_use]
    pub fn expected(&self, route: &str, most_tokens: u64, tokens_per_event: u64) -> f64 {
        let most = most_tokens as f64 / tokens_per_event.max(1) as f64;
        let guess = if most > 0.0 {
            most * USUAL_SHARE
        } else {
            USUAL_EVENTS
        };
        let mean = self.events.get(route).copied().unwrap_or(guess);
        let expected = if most > 0.0 { mean.min(most) } else { mean };
        expected.max(1.0)
    }
}
