//! Expected cost of a request at an engine, in seconds.

/// Speed and cost parameters of an engine. The defaults match the engine emulator of the lab;
/// operators set them for their engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Time to compute one prompt token that is not cached, in seconds.
    pub prefill_seconds_per_token: f64,
    /// Fixed part of the time of one decoding step, in seconds.
    pub step_seconds: f64,
    /// Additional time of one decoding step per running sequence, in seconds.
    pub step_seconds_per_sequence: f64,
    /// Penalty per cached token that a program leaves behind by moving to another engine, in
    /// seconds: the token occupies memory there and may never be used again.
    pub waste_seconds_per_token: f64,
    /// Additional time of a request to another zone, in seconds.
    pub cross_zone_seconds: f64,
    /// Expected number of generated tokens of a request; the same for all requests.
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
    /// Returns the time of one decoding step with `sequences` running sequences.
    #[must_use]
    pub fn step(&self, sequences: f64) -> f64 {
        self.step_seconds + self.step_seconds_per_sequence * sequences
    }

    /// Returns the penalty for leaving `tokens` cached tokens behind.
    #[must_use]
    pub fn waste(&self, tokens: f64) -> f64 {
        self.waste_seconds_per_token * tokens
    }

    /// Returns the time to compute `tokens` prompt tokens.
    #[must_use]
    pub fn prefill(&self, tokens: f64) -> f64 {
        self.prefill_seconds_per_token * tokens
    }
}
