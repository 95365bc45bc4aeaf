//! Size, timing and roughness of a simulated fleet.

use crate::engine::EngineConfig;
use crate::sim::network::NetworkConfig;
use crate::sim::topology::Topology;
use crate::trace::Deployment;
use luglink_program::RefundRule;
use luglink_raft::RaftConfig;
use luglink_routing::Policy;
use std::time::Duration;

/// How far clocks may be apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSkew {
    /// Largest difference at the start.
    pub offset: Duration,
    /// Largest drift, in parts of a million.
    pub drift_ppm: u32,
}

impl ClockSkew {
    /// All clocks agree.
    pub const NONE: Self = Self {
        offset: Duration::ZERO,
        drift_ppm: 0,
    };
}

/// A simulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct SimConfig {
    /// Seed of everything random in the run.
    pub seed: u64,
    /// Deployments whose models, services and classes are configured.
    pub deployments: Vec<Deployment>,
    /// Zones and latencies.
    pub topology: Topology,
    /// Control members.
    pub control_members: usize,
    /// Program groups.
    pub program_groups: u32,
    /// Voters of a program group.
    pub replication: usize,
    /// Entries after which a control member writes a snapshot.
    pub snapshot_entries: usize,
    /// Consensus timing.
    pub raft: RaftConfig,
    /// What happens to unused reservations.
    pub refund: RefundRule,
    /// Time a sync of a control member's disk takes.
    pub sync_time: Duration,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Engines of each deployment.
    pub engines: usize,
    /// Service replicas of each deployment.
    pub service_replicas: usize,
    /// Speeds and sizes of an engine.
    pub engine: EngineConfig,
    /// Choice of engines.
    pub policy: Policy,
    /// Time between a daemon's looks at its engines' events.
    pub poll_interval: Duration,
    /// Silence of an engine after which a call counts as broken there.
    pub engine_silence_timeout: Duration,
    /// Calls that may wait at one daemon.
    pub max_queued_calls: usize,
    /// Requests that one daemon gives one engine at the most.
    pub max_requests_per_replica: usize,
    /// Pause after which a program counts as abandoned.
    pub idle_timeout: Duration,
    /// Ceiling of generated tokens that callers ask for, as a multiple of what they will get.
    pub ceiling_factor: u64,
    /// The network.
    pub network: NetworkConfig,
    /// The clocks.
    pub clocks: ClockSkew,
    /// Whether bytes between daemons and control members are counted.
    pub count_traffic: bool,
    /// Whether prompts are kept for the checkers. Benches have no use for them.
    pub keep_prompts: bool,
    /// Virtual time after which a run ends, whatever is still under way.
    pub limit: Duration,
    /// Events after which a run counts as endless: something in it does the same again and again
    /// without letting time pass.
    pub most_events: u64,
}

/// Far more events than any run has had so far.
const MOST_EVENTS: u64 = 1_000_000_000;

impl SimConfig {
    /// The size the deployment has today, with nothing wrong.
    #[must_use]
    pub fn today(deployment: Deployment, seed: u64) -> Self {
        Self {
            seed,
            deployments: vec![deployment],
            topology: Topology::of(deployment),
            control_members: 3,
            program_groups: 8,
            replication: 3,
            snapshot_entries: 20_000,
            raft: RaftConfig::default(),
            refund: RefundRule::default(),
            sync_time: Duration::from_micros(800),
            daemons_per_zone: 1,
            engines: 8,
            service_replicas: 6,
            engine: EngineConfig::default(),
            policy: Policy::Luglink,
            poll_interval: Duration::from_millis(250),
            engine_silence_timeout: Duration::from_secs(20),
            max_queued_calls: 512,
            max_requests_per_replica: 32,
            idle_timeout: Duration::from_secs(30),
            ceiling_factor: 1,
            network: NetworkConfig::calm(),
            clocks: ClockSkew::NONE,
            count_traffic: false,
            keep_prompts: true,
            limit: Duration::from_secs(7_200),
            most_events: MOST_EVENTS,
        }
    }

    /// Daemons in all.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.topology.zones.len() * self.daemons_per_zone
    }

    /// Engines in all.
    #[must_use]
    pub fn all_engines(&self) -> usize {
        self.engines * self.deployments.len()
    }

    /// Service replicas in all.
    #[must_use]
    pub fn all_services(&self) -> usize {
        self.service_replicas * self.deployments.len()
    }
}
