//! The emulator's cost model: every constant in one place.
//!
//! The figures are of the order of an eight-billion-parameter model on one accelerator. They
//! were chosen once, before any policy was measured, and are the same for every policy.

use std::time::Duration;

/// Speeds and sizes of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Fixed part of one step of the batch.
    pub step: Duration,
    /// Part of a step for each sequence that decodes.
    pub step_per_sequence: Duration,
    /// Part of a step for each prompt token that is computed.
    pub step_per_prefill_token: Duration,
    /// Prompt tokens that one step computes at the most.
    pub prefill_chunk_tokens: u64,
    /// Sequences in the batch at the most.
    pub max_running: usize,
    /// Requests that may wait; more are refused.
    pub max_waiting: usize,
    /// Blocks of cache memory.
    pub cache_blocks: usize,
    /// Age of the published load.
    pub report_lag: Duration,
    /// Time after which a cache event is published.
    pub event_lag: Duration,
    /// Cache events that are lost, in thousandths.
    pub event_loss_per_mille: u32,
    /// Time to move one block to another engine.
    pub transfer_per_block: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            step: Duration::from_micros(12_000),
            step_per_sequence: Duration::from_micros(250),
            step_per_prefill_token: Duration::from_micros(100),
            prefill_chunk_tokens: 448,
            max_running: 32,
            max_waiting: 256,
            cache_blocks: 3_072,
            report_lag: Duration::from_millis(400),
            event_lag: Duration::from_millis(600),
            event_loss_per_mille: 20,
            transfer_per_block: Duration::from_micros(500),
        }
    }
}
