//! A daemon's view of one replica.

use crate::cost::CostModel;
use crate::health::Health;
use crate::prefix::{BLOCK_TOKENS, BlockHash};
use crate::prefix_index::PrefixIndex;
use crate::router::ReplicaInfo;
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifier of one dispatch of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Load that a replica reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of sequences in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens that are not computed yet.
    pub prefill_tokens: u64,
    /// Number of free cache blocks.
    pub free_blocks: u64,
    /// True if the replica accepts no new requests.
    pub draining: bool,
}

/// A request that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    uncached_tokens: u64,
    has_started: bool,
    sent_at: Timestamp,
}

/// Age at which a load report is ignored. Its weight decreases linearly until then.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub(crate) info: ReplicaInfo,
    pub(crate) health: Health,
    pub(crate) draining: bool,
    prefix: PrefixIndex,
    in_flight: BTreeMap<AttemptId, InFlight>,
    report: Option<(LoadReport, Timestamp)>,
    /// Number of own requests in flight when the report arrived. The report counts them too, so
    /// they are subtracted to get the requests of other daemons.
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

    /// Returns the number of own requests in flight.
    pub(crate) fn own_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests of other daemons by the last report, weighted by its
    /// freshness.
    pub(crate) fn foreign_requests(&self, now: Timestamp) -> f64 {
        let Some((report, at)) = self.report else {
            return 0.0;
        };
        let total = f64::from(report.running) + f64::from(report.waiting);
        (total - f64::from(self.own_at_report)).max(0.0) * freshness(now, at)
    }

    /// Returns the estimated number of all requests at the replica.
    pub(crate) fn requests(&self, now: Timestamp) -> f64 {
        self.own_requests() as f64 + self.foreign_requests(now)
    }

    /// Returns the estimated number of prompt tokens that are not computed yet.
    pub(crate) fn queued_prefill_tokens(&self, now: Timestamp) -> f64 {
        let unstarted = self
            .in_flight
            .values()
            .filter(|request| !request.has_started);
        let own: u64 = unstarted
            .clone()
            .map(|request| request.uncached_tokens)
            .sum();
        let Some((report, at)) = self.report else {
            return own as f64;
        };
        // The report includes requests sent before it; later ones are added.
        let sent_since: u64 = unstarted
            .filter(|request| request.sent_at >= at)
            .map(|request| request.uncached_tokens)
            .sum();
        let reported = report.prefill_tokens as f64 * freshness(now, at) + sent_since as f64;
        reported.max(own as f64)
    }

    /// Returns the estimated number of prompt tokens that are cached.
    pub(crate) fn cached_tokens(&self, blocks: &[BlockHash]) -> u64 {
        self.prefix.matched(blocks) as u64 * BLOCK_TOKENS
    }

    /// Returns the predicted time to the last token of a request, in seconds.
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

    /// Returns the predicted total delay of all other requests at the replica, in seconds:
    /// computing the prompt delays the whole batch, and the additional sequence makes each step
    /// slightly longer.
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
                has_started: false,
                sent_at: now,
            },
        );
        // The engine will cache these blocks soon; its event may be late or lost.
        for block in blocks {
            self.prefix.insert(*block);
        }
    }

    pub(crate) fn on_first_token(&mut self, attempt: AttemptId) {
        if let Some(request) = self.in_flight.get_mut(&attempt) {
            request.has_started = true;
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

    /// Clears the cached blocks, after the engine restarted or a cache event was lost.
    pub(crate) fn forget_cache(&mut self) {
        self.prefix.clear();
    }
}

/// Returns the weight of a report from 1 (new) to 0 (ignored).
fn freshness(now: Timestamp, reported_at: Timestamp) -> f64 {
    let age = now.since(reported_at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
    (1.0 - age).max(0.0)
}
