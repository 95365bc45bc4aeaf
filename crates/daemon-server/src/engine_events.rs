//! What replicas publish of themselves, turned into events for the daemon.

use luglink_daemon::Event;
use luglink_engine_api::{EngineEvents, EngineLoad};
use luglink_routing::{BlockHash, LoadReport};
use luglink_types::EngineId;

/// How far the events of one replica have been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEventReader {
    incarnation: u64,
    last: u64,
}

impl EngineEventReader {
    /// Number of the last event that was read; the replica is asked for those after it.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Takes an answer of the replica and gives what it means for the daemon, in order.
    pub fn take(&mut self, engine: EngineId, events: EngineEvents) -> [Event; 2] {
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
