//! Size of a fleet.

use crate::engine::EngineConfig;
use crate::trace::Deployment;

/// Size of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// The deployment.
    pub deployment: Deployment,
    /// Control members.
    pub control_members: usize,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub service_replicas: usize,
    /// The engines.
    pub engine: EngineConfig,
    /// Program groups.
    pub program_groups: u32,
    /// Calls that may wait at one daemon.
    pub max_queued_calls: usize,
    /// Requests that one daemon gives one engine at the most.
    pub max_requests_per_replica: usize,
    /// Pause after which a program counts as abandoned.
    pub idle_timeout_ms: u64,
    /// Seed of the emulators.
    pub seed: u64,
}

impl FleetConfig {
    /// The size the deployment has today.
    #[must_use]
    pub fn today(deployment: Deployment) -> Self {
        Self {
            deployment,
            control_members: 3,
            daemons_per_zone: 1,
            engines: 8,
            service_replicas: 6,
            engine: EngineConfig::default(),
            program_groups: 8,
            max_queued_calls: 512,
            max_requests_per_replica: 32,
            idle_timeout_ms: 30_000,
            seed: 1,
        }
    }
}
