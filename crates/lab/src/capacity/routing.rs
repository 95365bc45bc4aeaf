//! The choice of an engine.

use crate::capacity::Slope;
use luglink_routing::{
    AttemptId, BLOCK_TOKENS, BlockHash, LoadReport, ReplicaInfo, RouteRequest, Router,
    RouterConfig, choose_subset,
};
use luglink_types::{DaemonId, EngineId, Timestamp};
use std::time::Instant;

/// Replicas in a daemon's subset.
const SUBSETS: [usize; 4] = [8, 16, 32, 64];

/// Blocks known of each replica's cache.
const KNOWN_BLOCKS: [u64; 3] = [500, 2_000, 8_000];

/// Blocks of a prompt: 8,000 tokens.
const PROMPT_BLOCKS: u64 = 125;

const DECISIONS: u32 = 4_000;

fn router(subset: usize, known: u64) -> Router {
    let info = |engine: u32| ReplicaInfo {
        engine: EngineId(engine),
        address: format!("10.0.0.{engine}:8000"),
        zone: ["a", "b", "c", "d"][engine as usize % 4].into(),
    };
    let all: Vec<ReplicaInfo> = (0..610).map(info).collect();
    let chosen = choose_subset(&all, DaemonId(7), &"a".into(), subset);
    let mut router = Router::new(RouterConfig::default(), "a".into());
    router.set_replicas(&chosen);
    for replica in &chosen {
        let first = u64::from(replica.engine.0) * 10_000;
        let blocks: Vec<BlockHash> = (first..first + known).map(BlockHash).collect();
        router.on_blocks_stored(replica.engine, &blocks);
        let report = LoadReport {
            running: replica.engine.0 % 20,
            ..LoadReport::default()
        };
        router.on_report(replica.engine, report, Timestamp::ZERO);
    }
    router
}

/// Average time of a decision and its dispatch, in microseconds.
fn decision_micros(subset: usize, known: u64) -> f64 {
    let mut router = router(subset, known);
    let now = Timestamp::from_millis(100);
    let blocks: Vec<BlockHash> = (0..PROMPT_BLOCKS).map(BlockHash).collect();
    let begun = Instant::now();
    for number in 0..DECISIONS {
        let request = RouteRequest {
            blocks: &blocks,
            prompt_tokens: PROMPT_BLOCKS * BLOCK_TOKENS,
            previous: None,
            excluded: &[],
        };
        let random = u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        if let Some(choice) = router.choose(&request, random, now) {
            let attempt = AttemptId(u64::from(number));
            router.on_dispatch(choice.engine, attempt, &request, now);
            router.on_success(choice.engine, attempt);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

pub(crate) fn measure() -> Vec<Slope> {
    let by_subset = SUBSETS
        .iter()
        .map(|subset| (*subset as f64, decision_micros(*subset, 2_000)));
    let by_blocks = KNOWN_BLOCKS
        .iter()
        .map(|known| (*known as f64, decision_micros(64, *known)));
    vec![
        Slope::fitted(
            "routing_micros",
            "choice of an engine for a prompt of 8,000 tokens, and its dispatch and end",
            "µs",
            "replicas in the subset",
            by_subset.collect(),
        ),
        Slope::fitted(
            "routing_blocks_micros",
            "the same among 64 replicas",
            "µs",
            "blocks known of each replica",
            by_blocks.collect(),
        ),
    ]
}
