//! What an engine publishes of itself.

use serde::{Deserialize, Serialize};

/// `GET /events?after=N`: what happened after event `N`, and the load now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvents {
    /// Distinguishes the engine's processes: a new one starts with an empty cache.
    pub incarnation: u64,
    /// First event that is included; later than `after + 1` when events were lost.
    pub first: u64,
    /// Last event that is included.
    pub last: u64,
    /// Blocks stored in these events.
    pub stored: Vec<u64>,
    /// Blocks given up in these events.
    pub removed: Vec<u64>,
    /// The load.
    pub load: EngineLoad,
}

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are still to be computed.
    pub prefill_tokens: u64,
    /// Cache blocks that hold nothing of use.
    pub free_blocks: u64,
    /// Whether the engine takes no new work.
    pub draining: bool,
}
