//! Conversion of the events that replicas publish into events for the daemon.

use luglink_daemon::Event;
use luglink_engine_api::{EngineEvents, EngineLoad};
use luglink_routing::{BlockHash, LoadReport};
use luglink_types::EngineId;

/// Read position in the events of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEventReader {
    incarnation: u64,
    last: u64,
}

impl EngineEventReader {
    /// Returns the number of the last event read. The next request asks for the events after it.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Advances the read position and returns the load and cache events that the response contains.
    pub fn convert(&mut self, engine: EngineId, events: EngineEvents) -> [Event; 2] {
        let restarted = events.incarnation != self.incarnation;
        self.incarnation = events.incarnation;
        self.last = events.last;
        let load = Event::Load {
            engine,
            report: load_report(&events.load),
        };
        let cache = Event::Cache {
            engine,
            stored: events.stored.into_iter().map(BlockHash).collect(),
            removed: events.removed.into_iter().map(BlockHash).collect(),
            restarted,
        };
        [load, cache]
    }
}

fn load_report(load: &EngineLoad) -> LoadReport {
    LoadReport {
        running: load.running,
        waiting: load.waiting,
        prefill_tokens: load.prefill_tokens,
        free_blocks: load.free_blocks,
        draining: load.draining,
    }
}
