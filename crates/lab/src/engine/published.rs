//! What the engine publishes: cache events, late and with gaps, and its load, with a lag.

use crate::engine::config::EngineConfig;
use luglink_engine_api::{EngineEvents, EngineLoad};
use luglink_routing::BlockHash;
use luglink_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Events that are kept; a reader that is further behind sees a gap.
const RETAINED_EVENTS: usize = 4_096;

#[derive(Clone, Debug)]
struct CacheEvent {
    number: u64,
    visible_at: Timestamp,
    stored: Vec<BlockHash>,
    removed: Vec<BlockHash>,
}

/// The publishing side of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Publisher {
    incarnation: u64,
    random: ChaCha8Rng,
    last: u64,
    events: VecDeque<CacheEvent>,
    loads: VecDeque<(Timestamp, EngineLoad)>,
}

impl Publisher {
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            incarnation: random.random_range(1..u64::MAX),
            random,
            last: 0,
            events: VecDeque::new(),
            loads: VecDeque::new(),
        }
    }

    /// Notes what a step stored and gave up. Some events are lost, and their numbers with them.
    pub(crate) fn note_cache(
        &mut self,
        config: &EngineConfig,
        stored: Vec<BlockHash>,
        removed: Vec<BlockHash>,
        now: Timestamp,
    ) {
        if stored.is_empty() && removed.is_empty() {
            return;
        }
        self.last += 1;
        if self.random.random_range(0..1_000) < config.event_loss_per_mille {
            return;
        }
        self.events.push_back(CacheEvent {
            number: self.last,
            visible_at: now.plus(config.event_lag),
            stored,
            removed,
        });
        if self.events.len() > RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    pub(crate) fn note_load(&mut self, config: &EngineConfig, load: EngineLoad, now: Timestamp) {
        self.loads.push_back((now, load));
        let lag = config.report_lag;
        while self.loads.len() > 1 && now.since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
    }

    /// What a reader that knows events up to `after` is told now.
    pub(crate) fn read(
        &self,
        config: &EngineConfig,
        after: u64,
        draining: bool,
        now: Timestamp,
    ) -> EngineEvents {
        let visible = self
            .events
            .iter()
            .filter(|event| event.number > after && event.visible_at <= now);
        let mut read = EngineEvents {
            incarnation: self.incarnation,
            first: after + 1,
            last: after,
            ..EngineEvents::default()
        };
        for event in visible {
            if event.number > read.last + 1 {
                // A gap: whatever the reader knows up to here may be wrong.
                read.first = read.first.max(event.number);
            }
            read.last = event.number;
            read.stored.extend(event.stored.iter().map(|block| block.0));
            read.removed
                .extend(event.removed.iter().map(|block| block.0));
        }
        let old_enough = self
            .loads
            .iter()
            .rev()
            .find(|(at, _)| now.since(*at) >= config.report_lag);
        read.load = old_enough.map(|(_, load)| *load).unwrap_or_default();
        read.load.draining = draining;
        read
    }
}
