//! Router of one pool at one daemon.

use crate::cost::CostModel;
use crate::engine::{AttemptId, EngineView, LoadReport};
use crate::health::HealthConfig;
use crate::policy::Policy;
use crate::prefix::BlockHash;
use luglink_types::{EngineId, Timestamp, ZoneName};
use std::collections::BTreeMap;

/// A replica in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// Identifier.
    pub engine: EngineId,
    /// IP address and port.
    pub address: String,
    /// Zone.
    pub zone: ZoneName,
}

/// Configuration of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Policy for the selection of replicas.
    pub policy: Policy,
    /// Cost model of the pool's engines.
    pub cost: CostModel,
    /// Ejection of failing replicas.
    pub health: HealthConfig,
    /// Maximum number of requests at one replica; further requests wait at the daemon.
    pub max_requests_per_replica: usize,
    /// Maximum number of tracked blocks of each replica's cache.
    pub prefix_blocks_per_replica: usize,
    /// Replicas whose cost is within this factor of the lowest cost count as equal. One of them is
    /// selected at random, so that daemons with the same stale report do not all select the same
    /// replica.
    pub equal_cost_factor: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            policy: Policy::Luglink,
            cost: CostModel::default(),
            health: HealthConfig::default(),
            max_requests_per_replica: 64,
            prefix_blocks_per_replica: 8_192,
            equal_cost_factor: 1.05,
        }
    }
}

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Full blocks of the prompt.
    pub blocks: &'a [BlockHash],
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The replica that served the program's previous call.
    pub previous: Option<EngineId>,
    /// Replicas that must not be selected, because they failed this request.
    pub excluded: &'a [EngineId],
}

/// A selected replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub engine: EngineId,
    /// Estimated number of prompt tokens in its cache.
    pub cached_tokens: u64,
    /// Predicted time to the last token, in seconds.
    pub predicted_seconds: f64,
}

/// Selects replicas of one pool.
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    zone: ZoneName,
    engines: BTreeMap<EngineId, EngineView>,
    next_round_robin: usize,
}

/// Maximum load of a replica that [`Policy::PrefixAware`] selects for its cached prefix, relative
/// to the average load. One request is added, so that small differences at a low load do not
/// exclude a replica.
const PREFIX_AWARE_LOAD_FACTOR: f64 = 1.25;

impl Router {
    /// Creates a router without replicas.
    #[must_use]
    pub fn new(config: RouterConfig, zone: ZoneName) -> Self {
        Self {
            config,
            zone,
            engines: BTreeMap::new(),
            next_round_robin: 0,
        }
    }

    /// Replaces the replicas by those of the current configuration. The state of unchanged replicas
    /// is kept. Removed replicas get no new requests.
    pub fn set_replicas(&mut self, replicas: &[ReplicaInfo]) {
        let blocks = self.config.prefix_blocks_per_replica;
        self.engines
            .retain(|engine, _| replicas.iter().any(|replica| replica.engine == *engine));
        for replica in replicas {
            let view = self
                .engines
                .entry(replica.engine)
                .or_insert_with(|| EngineView::new(replica.clone(), blocks));
            if view.info != *replica {
                *view = EngineView::new(replica.clone(), blocks);
            }
        }
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.engines.values().map(|engine| &engine.info)
    }

    /// Returns the address of a replica.
    #[must_use]
    pub fn address(&self, engine: EngineId) -> Option<&str> {
        self.engines
            .get(&engine)
            .map(|view| view.info.address.as_str())
    }

    /// Returns the number of own requests at all replicas.
    #[must_use]
    pub fn own_requests(&self) -> usize {
        self.engines.values().map(EngineView::own_requests).sum()
    }

    /// Returns true if any replica accepts requests, even if it is at its limit.
    #[must_use]
    pub fn has_usable_replica(&self, now: Timestamp) -> bool {
        self.engines.values().any(|view| is_usable(view, now))
    }

    /// Returns true if any replica outside `excluded` accepts requests, even if it is at its limit.
    #[must_use]
    pub fn has_usable_replica_besides(&self, excluded: &[EngineId], now: Timestamp) -> bool {
        self.engines
            .values()
            .any(|view| is_usable(view, now) && !excluded.contains(&view.info.engine))
    }

    /// Returns true if a replica accepts no new requests.
    #[must_use]
    pub fn is_draining(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|view| view.draining)
    }

    /// Selects a replica that is below its limit; `None` if the request must wait. `random` selects
    /// among equal replicas.
    pub fn choose(
        &mut self,
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> Option<Choice> {
        let limit = self.config.max_requests_per_replica as f64;
        let candidates: Vec<&EngineView> = self
            .engines
            .values()
            .filter(|view| is_usable(view, now))
            .filter(|view| !request.excluded.contains(&view.info.engine))
            .filter(|view| view.requests(now) < limit)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let chosen = match self.config.policy {
            Policy::RoundRobin => {
                let view = candidates[self.next_round_robin % candidates.len()];
                self.next_round_robin = self.next_round_robin.wrapping_add(1);
                view
            }
            Policy::LeastLoaded => least_loaded(&candidates, random, now),
            Policy::Sticky => candidates
                .iter()
                .find(|view| Some(view.info.engine) == request.previous)
                .copied()
                .unwrap_or_else(|| least_loaded(&candidates, random, now)),
            Policy::PrefixAware => longest_prefix(&candidates, request, random, now),
            Policy::Luglink => self.lowest_cost(&candidates, request, random, now),
        };
        let engine = chosen.info.engine;
        let cached_tokens = cached_tokens(chosen, request);
        let uncached = request.prompt_tokens - cached_tokens;
        let predicted_seconds = chosen.predicted_seconds(&self.config.cost, uncached, now);
        Some(Choice {
            engine,
            cached_tokens,
            predicted_seconds,
        })
    }

    fn lowest_cost<'a>(
        &self,
        candidates: &[&'a EngineView],
        request: &RouteRequest<'_>,
        random: u64,
        now: Timestamp,
    ) -> &'a EngineView {
        let left_behind = candidates
            .iter()
            .find(|view| Some(view.info.engine) == request.previous)
            .map_or(0, |view| cached_tokens(view, request));
        let costs: Vec<f64> = candidates
            .iter()
            .map(|view| {
                let moves = Some(view.info.engine) != request.previous;
                let wasted = if moves { left_behind } else { 0 };
                self.cost(view, request, now) + self.config.cost.waste(wasted as f64)
            })
            .collect();
        let lowest = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let limit = lowest * self.config.equal_cost_factor;
        let equals: Vec<usize> = (0..costs.len())
            .filter(|index| costs[*index] <= limit)
            .collect();
        candidates[equals[draw(random, equals.len())]]
    }

    fn cost(&self, view: &EngineView, request: &RouteRequest<'_>, now: Timestamp) -> f64 {
        let cost = &self.config.cost;
        let uncached = request.prompt_tokens - cached_tokens(view, request);
        let zone = if view.info.zone == self.zone {
            0.0
        } else {
            cost.cross_zone_seconds
        };
        let own = view.predicted_seconds(cost, uncached, now);
        own + view.delay_of_others_seconds(cost, uncached, now) + zone
    }

    /// Handles the dispatch of a request to a replica.
    pub fn on_dispatch(
        &mut self,
        engine: EngineId,
        attempt: AttemptId,
        request: &RouteRequest<'_>,
        now: Timestamp,
    ) {
        if let Some(view) = self.engines.get_mut(&engine) {
            let uncached = request.prompt_tokens - cached_tokens(view, request);
            view.on_dispatch(attempt, uncached, request.blocks, now);
        }
    }

    /// Handles the first token of a request.
    pub fn on_first_token(&mut self, engine: EngineId, attempt: AttemptId) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.on_first_token(attempt);
        }
    }

    /// Handles the success of a request.
    pub fn on_success(&mut self, engine: EngineId, attempt: AttemptId) {
        if let Some(view) = self.engines.get_mut(&engine)
            && view.on_end(attempt)
        {
            view.health.on_success();
        }
    }

    /// Handles the failure of a request that was caused by the replica.
    pub fn on_failure(&mut self, engine: EngineId, attempt: AttemptId, now: Timestamp) {
        let ejected = self
            .engines
            .values()
            .filter(|view| view.health.is_ejected())
            .count();
        let share = (ejected + 1) as f64 / self.engines.len().max(1) as f64;
        let may_eject = share <= self.config.health.max_ejected_share;
        if let Some(view) = self.engines.get_mut(&engine)
            && view.on_end(attempt)
        {
            view.health.on_failure(&self.config.health, may_eject, now);
        }
    }

    /// Handles the end of a request that says nothing about the replica, such as a cancellation.
    pub fn on_cancel(&mut self, engine: EngineId, attempt: AttemptId) {
        if let Some(view) = self.engines.get_mut(&engine)
            && view.on_end(attempt)
        {
            view.health.on_inconclusive();
        }
    }

    /// Handles a load report.
    pub fn on_report(&mut self, engine: EngineId, report: LoadReport, now: Timestamp) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.on_report(report, now);
        }
    }

    /// Sets whether a replica is draining and gets no new requests.
    pub fn set_draining(&mut self, engine: EngineId, draining: bool) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.draining = draining;
        }
    }

    /// Handles the event that a replica has cached blocks.
    pub fn on_blocks_stored(&mut self, engine: EngineId, blocks: &[BlockHash]) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.on_blocks_stored(blocks);
        }
    }

    /// Handles the event that a replica has evicted blocks.
    pub fn on_blocks_removed(&mut self, engine: EngineId, blocks: &[BlockHash]) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.on_blocks_removed(blocks);
        }
    }

    /// Discards the estimated content of a replica's cache.
    pub fn forget_cache(&mut self, engine: EngineId) {
        if let Some(view) = self.engines.get_mut(&engine) {
            view.forget_cache();
        }
    }
}

fn is_usable(view: &EngineView, now: Timestamp) -> bool {
    !view.draining && view.health.admits(now)
}

fn cached_tokens(view: &EngineView, request: &RouteRequest<'_>) -> u64 {
    view.cached_tokens(request.blocks)
        .min(request.prompt_tokens)
}

fn least_loaded<'a>(candidates: &[&'a EngineView], random: u64, now: Timestamp) -> &'a EngineView {
    let offset = draw(random, candidates.len());
    let rotated = candidates
        .iter()
        .cycle()
        .skip(offset)
        .take(candidates.len());
    rotated
        .copied()
        .min_by(|left, right| left.requests(now).total_cmp(&right.requests(now)))
        .unwrap_or(candidates[0])
}

fn longest_prefix<'a>(
    candidates: &[&'a EngineView],
    request: &RouteRequest<'_>,
    random: u64,
    now: Timestamp,
) -> &'a EngineView {
    let total: f64 = candidates.iter().map(|view| view.requests(now)).sum();
    let cap = PREFIX_AWARE_LOAD_FACTOR * total / candidates.len() as f64 + 1.0;
    let within_cap = candidates.iter().filter(|view| view.requests(now) <= cap);
    let best = within_cap
        .copied()
        .max_by_key(|view| view.cached_tokens(request.blocks))
        .filter(|view| view.cached_tokens(request.blocks) > 0);
    best.unwrap_or_else(|| least_loaded(candidates, random, now))
}

fn draw(random: u64, count: usize) -> usize {
    usize::try_from(random % count.max(1) as u64).unwrap_or(0)
}
