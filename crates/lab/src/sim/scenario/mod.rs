//! Scenarios: small fleets and loads in which something particular goes wrong.

mod catalogue;
mod explain;
mod load;
mod run;

pub use catalogue::Scenario;
pub use explain::{StoryLine, explain};
pub use run::{ScenarioReport, SeedFailure, Spread, run_scenario};

use crate::engine::EngineConfig;
use crate::sim::config::{ClockSkew, SimConfig};
use crate::sim::network::NetworkConfig;
use crate::trace::Deployment;
use std::time::Duration;

/// A fleet that is large enough for every failure and small enough for thousands of runs.
fn small_fleet(deployment: Deployment, seed: u64) -> SimConfig {
    let mut config = SimConfig::today(deployment, seed);
    config.control_members = 5;
    config.program_groups = 2;
    config.snapshot_entries = 150;
    config.engines = 4;
    config.service_replicas = 3;
    config.engine = EngineConfig {
        cache_blocks: 160,
        max_running: 8,
        max_waiting: 32,
        ..EngineConfig::default()
    };
    config.poll_interval = Duration::from_millis(500);
    config.engine_silence_timeout = Duration::from_secs(4);
    config.idle_timeout = Duration::from_secs(12);
    config.limit = Duration::from_secs(900);
    config.most_events = 5_000_000;
    config.clocks = ClockSkew {
        offset: Duration::from_millis(150),
        drift_ppm: 200,
    };
    config.network = NetworkConfig {
        loss_per_mille: 2,
        duplicate_per_mille: 2,
        late_per_mille: 2,
        lateness: Duration::from_millis(200),
    };
    config
}
