//! What a daemon knows of one replica.

use crate::cost::CostModel;
use crate::health::Health;
use crate::prefix::{BLOCK_TOKENS, BlockHash};
use crate::prefix_index::PrefixIndex;
use crate::router::ReplicaInfo;
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// One dispatch of one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A replica's own view of its load, some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Sequences in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that are still to be computed.
    pub prefill_tokens: u64,
    /// Blocks of the cache that hold nothing of use.
    pub free_blocks: u64,
    /// Whether the replica takes no new work.
    pub draining: bool,
}

/// A request on its way or running.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    uncached_tokens: u64,
    started: bool,
    sent_at: Timestamp,
}

/// Time after which a load report says nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub(crate) info: ReplicaInfo,
    pub(crate) health: Health,
    pub(crate) draining: bool,
    prefix: PrefixIndex,
    in_flight: BTreeMap<AttemptId, InFlight>,
    report: Option<(LoadReport, Timestamp)>,
    /// Own requests that were in flight when the report arrived, to tell others' from own.
    own_at_report: u32,
}

impl EngineView {
    pub(crate) fn new(info: ReplicaInfo, prefix_capacity: usize) -> Self {
        Self {
            info,
            health: Health::default(),
            draining: false,
            prefix: PrefixIndex::new(prefix_capacity),
            in_flight: BTreeMap::new(),
            report: None,
            own_at_report: 0,
        }
    }

    /// Own requests in flight.
    pub(crate) fn own_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests of other daemons, from the last report, fading as the report ages.
    pub(crate) fn foreign_requests(&self, now: Timestamp) -> f64 {
        let Some((report, at)) = self.report else {
            return 0.0;
        };
        let total = f64::from(report.running) + f64::from(report.waiting);
        (total - f64::from(self.own_at_report)).max(0.0) * freshness(now, at)
    }

    /// All requests the replica is believed to have.
    pub(crate) fn requests(&self, now: Timestamp) -> f64 {
        self.own_requests() as f64 + self.foreign_requests(now)
    }

    /// Prompt tokens that are believed to wait for computation.
    pub(crate) fn queued_prefill_tokens(&self, now: Timestamp) -> f64 {
        let unstarted = self.in_flight.values().filter(|request| !request.started);
        let own: u64 = unstarted
            .clone()
            .map(|request| request.uncached_tokens)
            .sum();
        let Some((report, at)) = self.report else {
            return own as f64;
        };
        // What was sent before the report is part of it; what came later is added.
        let since: u64 = unstarted
            .filter(|request| request.sent_at >= at)
            .map(|request| request.uncached_tokens)
            .sum();
        let reported = report.prefill_tokens as f64 * freshness(now, at) + since as f64;
        reported.max(own as f64)
    }

    /// Tokens of the prompt that are believed to be cached.
    pub(crate) fn cached_tokens(&self, blocks: &[BlockHash]) -> u64 {
        self.prefix.matched(blocks) as u64 * BLOCK_TOKENS
    }

    /// Predicted time to the last token of a request, in seconds.
    pub(crate) fn predicted_seconds(
        &self,
        cost: &CostModel,
        uncached_tokens: u64,
        now: Timestamp,
    ) -> f64 {
        let queue = cost.prefill(self.queued_prefill_tokens(now));
        let prefill = cost.prefill(uncached_tokens as f64);
        let decode = cost.expected_output_tokens * cost.step(self.requests(now) + 1.0);
        queue + prefill + decode
    }

    /// Predicted time that a request takes from all others at the replica together, in seconds:
    /// computing its prompt holds up the whole batch, and each of its steps is a little longer.
    pub(crate) fn delay_of_others_seconds(
        &self,
        cost: &CostModel,
        uncached_tokens: u64,
        now: Timestamp,
    ) -> f64 {
        let others = self.requests(now);
        let prefill = cost.prefill(uncached_tokens as f64);
        let decode = cost.expected_output_tokens * cost.step_seconds_per_sequence;
        others * (prefill + decode)
    }

    pub(crate) fn on_dispatch(
        &mut self,
        attempt: AttemptId,
        uncached_tokens: u64,
        blocks: &[BlockHash],
        now: Timestamp,
    ) {
        self.health.on_dispatch();
        self.in_flight.insert(
            attempt,
            InFlight {
                uncached_tokens,
                started: false,
                sent_at: now,
            },
        );
        // The engine will hold these soon; its own event comes late or never.
        for block in blocks {
            self.prefix.insert(*block);
        }
    }

    pub(crate) fn on_first_token(&mut self, attempt: AttemptId) {
        if let Some(request) = self.in_flight.get_mut(&attempt) {
            request.started = true;
        }
    }

    pub(crate) fn on_end(&mut self, attempt: AttemptId) -> bool {
        self.in_flight.remove(&attempt).is_some()
    }

    pub(crate) fn on_report(&mut self, report: LoadReport, now: Timestamp) {
        self.draining = report.draining;
        self.own_at_report = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        self.report = Some((report, now));
    }

    pub(crate) fn on_blocks_stored(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            self.prefix.insert(*block);
        }
    }

    pub(crate) fn on_blocks_removed(&mut self, blocks: &[BlockHash]) {
        for block in blocks {
            self.prefix.remove(*block);
        }
    }

    /// The engine restarted or its events have a gap: nothing is known of its cache.
    pub(crate) fn forget_cache(&mut self) {
        self.prefix.clear();
    }
}

fn freshness(now: Timestamp, at: Timestamp) -> f64 {
    let age = now.since(at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
    (1.0 - age).max(0.0)
}
