//! How a gateway runs.

use luglink_fleet_client::ObserverConfig;
use luglink_scheduling::Features;
use luglink_turns::Replication;
use std::net::SocketAddr;
use std::time::Duration;

/// How a gateway runs.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the platform's checks.
    pub ready_listen: SocketAddr,
    /// Address of the metrics, when they are wanted.
    pub metrics_listen: Option<SocketAddr>,
    /// Control members.
    pub observer: ObserverConfig,
    /// The platform's list of replicas.
    pub list_address: SocketAddr,
    /// Calls that the list takes from all processes together, per second.
    pub list_calls_per_s: f64,
    /// Age of the list beyond which this gateway reads it itself.
    pub list_stale_after: Duration,
    /// Copies of turns and accounts.
    pub replication: Replication,
    /// Longest time for a planned stop.
    pub stop_timeout: Duration,
    /// Decisions under load that are taken.
    pub features: Features,
    /// Fullness of a replica from which it takes no new programs; 0 to look at none.
    pub full_at: f64,
    /// Time without word from a control member that hears its leader, after which callers with
    /// keys are refused; `None` to go on with the keys that are known.
    pub keys_expire_after: Option<Duration>,
    /// Bytes that may be held for callers and replicas that read slowly.
    pub held_bytes_limit: u64,
    /// Bytes of turns that are kept in memory to spare the stores.
    pub turn_cache_bytes: usize,
}
