//! Settings of the processes of a managed fleet, whose members come and go by themselves.

use crate::daemon::unspecified;
use crate::reader::Reader;
use luglink_types::{FeatureMode, FeatureModes};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Internal ports that a fleet needs: one for control members, one for stores, one for metrics.
const NEEDED_PORTS: usize = 3;

/// Share of its limit by which a tenant may pass it where the settings do not say: about what half
/// a second of its rate comes to in a window of 5 s.
const DEFAULT_QUOTA_OVERAGE: f64 = 0.1;

/// Requests by which a tenant may pass its limit where the settings do not say: enough for each of
/// a few stores to hold some.
const DEFAULT_QUOTA_SLACK: f64 = 20.0;

/// Fullness from which a replica takes no new programs where the settings do not say. Programs
/// that pause for tools are not in it and come back: at 1 the caches of 44 replicas thrashed for
/// longer after a burst than at 0.8 (worth of a day with bursts: 0.565 in the mean of two plays at 1,
/// 0.604 of six at 0.8, over three seeds; two plays of one seed differ by up to 0.06).
const DEFAULT_FULL_AT: f64 = 0.8;

/// Condition of a deployment whose callers compete for too little room at times.
const PRESSURE: &str = "pressure";

/// What every process of a managed fleet is told.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address; internal ports are bound on it.
    pub ip: std::net::Ipv4Addr,
    /// First and last internal port, the same on all machines.
    pub ports: Vec<u16>,
    /// Addresses of some control members. Only their IP numbers count.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, with empty disks.
    pub first_start: bool,
    /// Disks that may be lost at once.
    pub tolerated_losses: usize,
    /// The platform's list of replicas.
    pub list_address: SocketAddr,
    /// Calls that the list takes from all processes together, per second.
    pub list_calls_per_s: f64,
    /// Time after which a leaving replica must get no new work, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a change must be in force everywhere, in milliseconds.
    pub change_ms: u64,
    /// Time for a planned stop, in seconds.
    pub stop_s: f64,
    /// Longest time that callers may rely on an answer where to go, in seconds.
    pub resolution_s: f64,
    /// Memory that the process may use, in mebibytes.
    pub memory_mb: u64,
    /// Span of time in which requests are held against a tenant's limit, in seconds.
    pub quota_window_s: f64,
    /// Share of its limit by which a tenant may pass it in such a span.
    pub quota_overage: f64,
    /// Requests by which a tenant may pass its limit in such a span besides.
    pub quota_slack: f64,
    /// Whether a gateway that hears no control member stops serving callers with keys: they may
    /// have been taken away meanwhile.
    pub fail_closed: bool,
    /// Time without word after which it does, in milliseconds.
    pub revoke_ms: u64,
    /// Conditions that the deployment expects. [`FleetSettings::expects_overload`] reads them; those
    /// that this product does not know change nothing.
    pub conditions: Vec<String>,
}

impl FleetSettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name: Option<String> = reader.required("fleet.name");
        let zone: Option<String> = reader.required("fleet.zone");
        let ip: Option<std::net::Ipv4Addr> = reader.required("fleet.ip");
        let ports: Option<Vec<u16>> = reader.required("fleet.ports");
        let seeds: Option<Vec<SocketAddr>> = reader.required("fleet.seeds");
        let list_address: Option<SocketAddr> = reader.required("fleet.list_address");
        let is_complete = name.is_some()
            && zone.is_some()
            && ip.is_some()
            && ports.is_some()
            && seeds.is_some()
            && list_address.is_some();
        let settings = Self {
            name: name.unwrap_or_default(),
            zone: zone.unwrap_or_default(),
            ip: ip.unwrap_or(std::net::Ipv4Addr::UNSPECIFIED),
            ports: ports.unwrap_or_default(),
            seeds: seeds.unwrap_or_default(),
            first_start: reader.optional("fleet.first_start", false),
            tolerated_losses: reader.optional("fleet.tolerated_losses", 1),
            list_address: list_address.unwrap_or_else(unspecified),
            list_calls_per_s: reader.optional("fleet.list_calls_per_s", 40.0),
            drain_ms: reader.optional("fleet.drain_ms", 3_000),
            change_ms: reader.optional("fleet.change_ms", 2_000),
            stop_s: reader.optional("fleet.stop_s", 8.0),
            resolution_s: reader.optional("fleet.resolution_s", 5.0),
            memory_mb: reader.optional("fleet.memory_mb", 256),
            quota_window_s: reader.optional("fleet.quota_window_s", 5.0),
            quota_overage: reader.optional("fleet.quota_overage", DEFAULT_QUOTA_OVERAGE),
            quota_slack: reader.optional("fleet.quota_slack", DEFAULT_QUOTA_SLACK),
            fail_closed: reader.optional("fleet.fail_closed", false),
            revoke_ms: reader.optional("fleet.revoke_ms", 5_000),
            conditions: reader.optional("fleet.conditions", Vec::new()),
        };
        if is_complete {
            settings.check(reader);
        }
        is_complete.then_some(settings)
    }

    fn check(&self, reader: &mut Reader<'_>) {
        reader.check("fleet.name", !self.name.is_empty(), "must not be empty");
        let enough = match self.ports.as_slice() {
            [first, last] => usize::from(last.saturating_sub(*first)) + 1 >= NEEDED_PORTS,
            _ => false,
        };
        let rule = "must be the first and the last of at least three ports";
        reader.check("fleet.ports", enough, rule);
        let above_zero = [
            ("fleet.drain_ms", self.drain_ms > 0),
            ("fleet.change_ms", self.change_ms > 0),
            ("fleet.stop_s", self.stop_s > 0.0),
            ("fleet.resolution_s", self.resolution_s > 0.0),
            ("fleet.list_calls_per_s", self.list_calls_per_s > 0.0),
            ("fleet.memory_mb", self.memory_mb > 0),
            ("fleet.revoke_ms", self.revoke_ms > 0),
            ("fleet.quota_window_s", self.quota_window_s > 0.0),
        ];
        for (key, holds) in above_zero {
            reader.check(key, holds, "must be above 0");
        }
        let tolerances = [
            ("fleet.quota_overage", self.quota_overage),
            ("fleet.quota_slack", self.quota_slack),
        ];
        for (key, value) in tolerances {
            let is_bearable = value.is_finite() && value >= 0.0;
            reader.check(key, is_bearable, "must not be below 0");
        }
    }

    /// Age from which a gateway reads the list of replicas itself: half of the time in which a
    /// leaving replica must get no more work, so that the other half is left for reading.
    #[must_use]
    pub fn list_stale_after(&self) -> Duration {
        Duration::from_millis(self.drain_ms / 2)
    }

    /// Whether more work is to be expected than the replicas can do.
    #[must_use]
    pub fn expects_overload(&self) -> bool {
        self.conditions.iter().any(|known| known == PRESSURE)
    }

    fn port(&self, offset: u16) -> u16 {
        self.ports.first().copied().unwrap_or_default() + offset
    }

    /// Internal port of control members.
    #[must_use]
    pub fn member_port(&self) -> u16 {
        self.port(0)
    }

    /// Internal port of turn stores.
    #[must_use]
    pub fn store_port(&self) -> u16 {
        self.port(1)
    }

    /// Internal addresses of the control members that are named.
    #[must_use]
    pub fn member_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.member_port()))
            .collect()
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the platform's checks.
    pub ready_listen: SocketAddr,
    /// Address of the metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Fullness of a replica, in shares of its slots or memory, from which it takes no new
    /// programs; 0 to look at none before programs begin.
    pub full_at: f64,
    /// Decisions under load that are taken.
    pub scheduling: FeatureModes,
}

impl GatewaySettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let listen = reader.required("gateway.listen");
        let ready_listen = reader.required("gateway.ready_listen");
        let metrics_listen = reader.optional("gateway.metrics_listen", None);
        let full_at: f64 = reader.optional("gateway.full_at", DEFAULT_FULL_AT);
        let is_fullness = full_at.is_finite() && full_at >= 0.0;
        reader.check("gateway.full_at", is_fullness, "must not be below 0");
        let scheduling = read_switches(reader);
        Some(Self {
            metrics_listen,
            full_at,
            scheduling,
            listen: listen?,
            ready_listen: ready_listen?,
        })
    }
}

fn read_switches(reader: &mut Reader<'_>) -> FeatureModes {
    FeatureModes {
        load_view: reader.optional("gateway.scheduling.load_view", FeatureMode::Auto),
        expected_finish: reader.optional("gateway.scheduling.expected_finish", FeatureMode::Auto),
        moves: reader.optional("gateway.scheduling.moves", FeatureMode::Auto),
        working_set: reader.optional("gateway.scheduling.working_set", FeatureMode::Auto),
        fair_shares: reader.optional("gateway.scheduling.fair_shares", FeatureMode::Auto),
        held_bytes: reader.optional("gateway.scheduling.held_bytes", FeatureMode::Auto),
    }
}

/// Settings of a turn store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Folder of everything durable.
    pub data_folder: PathBuf,
    /// Longest segment of the journal, in bytes.
    pub segment_bytes: u64,
    /// Address of the metrics, when they are wanted.
    pub metrics_listen: Option<SocketAddr>,
}

impl StoreSettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let data_folder = reader.required("store.data_folder");
        let segment_bytes = reader.optional("store.segment_bytes", 16 << 20);
        reader.check("store.segment_bytes", segment_bytes > 0, "must be above 0");
        let metrics_listen = reader.optional("store.metrics_listen", None);
        Some(Self {
            metrics_listen,
            data_folder: data_folder?,
            segment_bytes,
        })
    }
}

/// Settings of a control member of a managed fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagedMemberSettings {
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for callers that ask where to go.
    pub resolution_listen: SocketAddr,
    /// Folder of everything durable.
    pub data_folder: PathBuf,
    /// Time between looks at the platform's list, in milliseconds.
    pub list_interval_ms: u64,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest silence before an election, in milliseconds.
    pub election_timeout_ms: u64,
    /// Entries after which a snapshot is written.
    pub snapshot_entries: usize,
    /// Address of the metrics, when they are wanted.
    pub metrics_listen: Option<SocketAddr>,
}

impl ManagedMemberSettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let operator_listen = reader.required("member.operator_listen");
        let resolution_listen = reader.required("member.resolution_listen");
        let data_folder: Option<PathBuf> = reader.required("member.data_folder");
        let settings = Self {
            operator_listen: operator_listen.unwrap_or_else(unspecified),
            resolution_listen: resolution_listen.unwrap_or_else(unspecified),
            data_folder: data_folder.clone().unwrap_or_default(),
            list_interval_ms: reader.optional("member.list_interval_ms", 700),
            heartbeat_ms: reader.optional("member.heartbeat_ms", 100),
            election_timeout_ms: reader.optional("member.election_timeout_ms", 600),
            snapshot_entries: reader.optional("member.snapshot_entries", 500),
            metrics_listen: reader.optional("member.metrics_listen", None),
        };
        reader.check(
            "member.list_interval_ms",
            settings.list_interval_ms > 0,
            "must be above 0",
        );
        reader.check(
            "member.election_timeout_ms",
            settings.heartbeat_ms > 0 && settings.election_timeout_ms >= 3 * settings.heartbeat_ms,
            "must be at least three times member.heartbeat_ms",
        );
        let is_complete =
            operator_listen.is_some() && resolution_listen.is_some() && data_folder.is_some();
        is_complete.then_some(settings)
    }
}
