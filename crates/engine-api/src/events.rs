//! Cache events and load reports of engines.

use serde::{Deserialize, Serialize};

/// Response to `GET /events?after=N`: the cache events after event `N`, and the current load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvents {
    /// Number that distinguishes the processes of an engine. A new process starts with an empty cache.
    pub incarnation: u64,
    /// First included event. It is later than `after + 1` if events were lost.
    pub first: u64,
    /// Last included event.
    pub last: u64,
    /// Blocks that these events stored.
    pub stored: Vec<u64>,
    /// Blocks that these events evicted.
    pub removed: Vec<u64>,
    /// Current load.
    pub load: EngineLoad,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences in the running batch.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens that have not been computed yet.
    pub prefill_tokens: u64,
    /// Cache blocks that are free or that no request uses.
    pub free_blocks: u64,
    /// True if the engine accepts no new requests.
    pub draining: bool,
}
