//! What a request is expected to cost at an engine, in seconds.

/// Speeds of an engine. The defaults are those of the engine emulator in the lab; operators
/// set them for their engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Time to compute one prompt token that is not cached, in seconds.
    pub prefill_seconds_per_token: f64,
    /// Fixed part of one decoding step, in seconds.
    pub step_seconds: f64,
    /// Part of one decoding step for each running sequence, in seconds.
    pub step_seconds_per_sequence: f64,
    /// What it counts to leave a cached token behind on another engine, in seconds: its memory is
    /// held there for nothing, and the program may come back to neither.
    pub waste_seconds_per_token: f64,
    /// Extra time of a request to another zone, in seconds.
    pub cross_zone_seconds: f64,
    /// Generated tokens expected of a request of which nothing is known.
    pub expected_output_tokens: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_seconds_per_token: 0.000_1,
            step_seconds: 0.012,
            step_seconds_per_sequence: 0.000_25,
            waste_seconds_per_token: 0.000_5,
            cross_zone_seconds: 0.003,
            expected_output_tokens: 150.0,
        }
    }
}

impl CostModel {
    /// Time of one decoding step with `sequences` running.
    #[must_use]
    pub fn step(&self, sequences: f64) -> f64 {
        self.step_seconds + self.step_seconds_per_sequence * sequences
    }

    /// What it counts to leave `tokens` cached tokens behind.
    #[must_use]
    pub fn waste(&self, tokens: f64) -> f64 {
        self.waste_seconds_per_token * tokens
    }

    /// Time to compute `tokens` prompt tokens.
    #[must_use]
    pub fn prefill(&self, tokens: f64) -> f64 {
        self.prefill_seconds_per_token * tokens
    }
}
