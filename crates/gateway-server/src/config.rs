//! Configuration of a gateway process.

use luglink_fleet_client::ObserverConfig;
use luglink_limits::Machine;
use luglink_scheduling::Features;
use luglink_turns::Replication;
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub ready_listen: SocketAddr,
    /// Listen address for metrics; `None` to serve none.
    pub metrics_listen: Option<SocketAddr>,
    /// Addresses of the control members.
    pub observer: ObserverConfig,
    /// Address of the platform's list of replicas.
    pub list_address: SocketAddr,
    /// Rate limit of the list in calls per second, shared by all processes of the fleet.
    pub list_calls_per_s: f64,
    /// Age from which the list is stale, so that this gateway may read it directly.
    pub list_stale_after: Duration,
    /// Time for which a replica that is listed as draining still gets streams that no other replica
    /// may continue.
    pub draining_continuation: Duration,
    /// Replication of turns and accounts on the turn stores.
    pub replication: Replication,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
    /// Scheduling features that are enabled.
    pub features: Features,
    /// Fullness from which a replica gets no new programs; 0 starts programs without querying
    /// replicas.
    pub full_at: f64,
    /// Maximum time without an answer from a control member in contact with its leader. After it,
    /// callers with keys are refused; `None` to keep accepting the known keys.
    pub keys_expire_after: Option<Duration>,
    /// Memory and open files of the process.
    pub machine: Machine,
    /// Maximum number of bytes buffered for callers and replicas that read slowly.
    pub held_bytes_limit: u64,
    /// Maximum size of the cache of turns, which saves reads from the turn stores.
    pub turn_cache_bytes: usize,
}
