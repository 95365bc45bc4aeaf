//! Settings of the processes of a managed fleet, in which the set of processes changes at run time.

use crate::daemon::unspecified;
use crate::reader::Reader;
use luglink_limits::Machine;
use luglink_types::{FeatureMode, FeatureModes};
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Number of internal ports that a fleet needs: for control members, for stores and for metrics.
const MIN_PORTS: usize = 3;

/// Default fraction by which a tenant may exceed its limit: with a window of 5 s, about half a second
/// of its rate.
const DEFAULT_QUOTA_OVERAGE_RATIO: f64 = 0.1;

/// Default additional number of requests by which a tenant may exceed its limit: enough for each of a
/// few stores to hold some.
const DEFAULT_QUOTA_SLACK_REQUESTS: f64 = 20.0;

/// Default utilization from which a replica receives no new programs. Utilization does not include
/// programs that pause for tools and return later. At 1 instead of 0.8, the caches of 44 replicas
/// thrash for longer after a burst (mean score of a day with bursts: 0.565 over two runs at 1, 0.604
/// over six runs at 0.8, with three seeds; runs with the same seed differ by up to 0.06).
const DEFAULT_FULL_AT_RATIO: f64 = 0.8;

/// Condition of a deployment whose callers at times compete for insufficient capacity.
const PRESSURE_CONDITION: &str = "pressure";

/// Returns the number of files that the operating system lets this process open.
fn open_file_limit() -> u64 {
    let limit = getrlimit(Resource::Nofile);
    limit.current.unwrap_or(u64::MAX)
}

/// Settings that all processes of a managed fleet share.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address of the machine, on which the process binds its internal ports.
    pub ip: std::net::Ipv4Addr,
    /// First and last internal port. They are the same on all machines.
    pub ports: Vec<u16>,
    /// Addresses of some control members. Only the IP addresses are used, not the ports.
    pub seeds: Vec<SocketAddr>,
    /// True if the whole fleet starts for the first time, with empty disks.
    pub first_start: bool,
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Address of the platform's list of replicas.
    pub list_address: SocketAddr,
    /// Requests per second that the list accepts from all processes together.
    pub list_calls_per_s: f64,
    /// Time after which a leaving replica must not receive new work, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a configuration change must be active in all processes, in milliseconds.
    pub change_ms: u64,
    /// Timeout of a planned stop, in seconds.
    pub stop_s: f64,
    /// Maximum time for which callers may use a resolution response, in seconds.
    pub resolution_s: f64,
    /// Memory limit of the process, in mebibytes.
    pub memory_mb: u64,
    /// Maximum number of open files and sockets of the process.
    pub open_files: u64,
    /// Length of the window in which requests count against a tenant's limit, in seconds.
    pub quota_window_s: f64,
    /// Fraction by which a tenant may exceed its limit in a window.
    pub quota_overage: f64,
    /// Additional number of requests by which a tenant may exceed its limit in a window.
    pub quota_slack: f64,
    /// Makes a gateway without contact to a control member stop serving callers with keys, because
    /// the keys may have been revoked in the meantime.
    pub fail_closed: bool,
    /// Time without contact after which the gateway stops serving them, in milliseconds.
    pub revoke_ms: u64,
    /// Expected conditions of the deployment, which [`FleetSettings::expects_overload`] evaluates.
    /// Unknown conditions have no effect.
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
            open_files: reader.optional("fleet.open_files", open_file_limit()),
            quota_window_s: reader.optional("fleet.quota_window_s", 5.0),
            quota_overage: reader.optional("fleet.quota_overage", DEFAULT_QUOTA_OVERAGE_RATIO),
            quota_slack: reader.optional("fleet.quota_slack", DEFAULT_QUOTA_SLACK_REQUESTS),
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
        let has_enough_ports = match self.ports.as_slice() {
            [first, last] => usize::from(last.saturating_sub(*first)) + 1 >= MIN_PORTS,
            _ => false,
        };
        let rule = "must be the first and the last of at least three ports";
        reader.check("fleet.ports", has_enough_ports, rule);
        let above_zero = [
            ("fleet.drain_ms", self.drain_ms > 0),
            ("fleet.change_ms", self.change_ms > 0),
            ("fleet.stop_s", self.stop_s > 0.0),
            ("fleet.resolution_s", self.resolution_s > 0.0),
            ("fleet.list_calls_per_s", self.list_calls_per_s > 0.0),
            ("fleet.memory_mb", self.memory_mb > 0),
            ("fleet.open_files", self.open_files > 0),
            ("fleet.revoke_ms", self.revoke_ms > 0),
            ("fleet.quota_window_s", self.quota_window_s > 0.0),
        ];
        for (key, is_above_zero) in above_zero {
            reader.check(key, is_above_zero, "must be above 0");
        }
        let tolerances = [
            ("fleet.quota_overage", self.quota_overage),
            ("fleet.quota_slack", self.quota_slack),
        ];
        for (key, value) in tolerances {
            let is_valid = value.is_finite() && value >= 0.0;
            reader.check(key, is_valid, "must not be below 0");
        }
    }

    /// Returns the memory and the open files of the process.
    #[must_use]
    pub fn machine(&self) -> Machine {
        Machine {
            memory_bytes: self.memory_mb << 20,
            open_files: self.open_files,
        }
    }

    /// Returns the age at which the list of replicas is stale and a gateway reads it itself: half of
    /// the time after which a leaving replica must not receive work. The other half remains for
    /// reading.
    #[must_use]
    pub fn list_stale_after(&self) -> Duration {
        Duration::from_millis(self.drain_ms / 2)
    }

    /// Returns the time for which a replica that is listed as draining still gets streams that no
    /// other replica may continue: a third of the time after which it must not receive work, so
    /// that a list which is stale by half of that does not exceed it.
    #[must_use]
    pub fn draining_continuation(&self) -> Duration {
        Duration::from_millis(self.drain_ms / 3)
    }

    /// Returns true if the deployment at times expects more work than its replicas can process.
    #[must_use]
    pub fn expects_overload(&self) -> bool {
        self.conditions
            .iter()
            .any(|condition| condition == PRESSURE_CONDITION)
    }

    fn port(&self, offset: u16) -> u16 {
        self.ports.first().copied().unwrap_or_default() + offset
    }

    /// Returns the internal port of control members.
    #[must_use]
    pub fn member_port(&self) -> u16 {
        self.port(0)
    }

    /// Returns the internal port of turn stores.
    #[must_use]
    pub fn store_port(&self) -> u16 {
        self.port(1)
    }

    /// Returns the internal addresses of the control members in `seeds`.
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
    /// Address for the readiness checks of the platform.
    pub ready_listen: SocketAddr,
    /// Address of the metrics endpoint, if any.
    pub metrics_listen: Option<SocketAddr>,
    /// Utilization of a replica, as a fraction of its slots or memory, from which it receives no new
    /// programs. 0 disables this check.
    pub full_at: f64,
    /// Modes of the features that affect scheduling under load.
    pub scheduling: FeatureModes,
}

impl GatewaySettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let listen = reader.required("gateway.listen");
        let ready_listen = reader.required("gateway.ready_listen");
        let metrics_listen = reader.optional("gateway.metrics_listen", None);
        let full_at: f64 = reader.optional("gateway.full_at", DEFAULT_FULL_AT_RATIO);
        let is_valid = full_at.is_finite() && full_at >= 0.0;
        reader.check("gateway.full_at", is_valid, "must not be below 0");
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
    /// Directory of the persistent data.
    pub data_folder: PathBuf,
    /// Maximum size of a journal segment, in bytes.
    pub segment_bytes: u64,
    /// Address of the metrics endpoint, if any.
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
    /// Address at which callers resolve gateways.
    pub resolution_listen: SocketAddr,
    /// Directory of the persistent data.
    pub data_folder: PathBuf,
    /// Interval between reads of the platform's list, in milliseconds.
    pub list_interval_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Number of log entries after which a snapshot is written.
    pub snapshot_entries: usize,
    /// Address of the metrics endpoint, if any.
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
