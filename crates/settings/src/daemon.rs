//! Settings of a daemon.

use crate::reader::Reader;
use crate::source::{MemberAddress, check_members};
use std::net::SocketAddr;

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Identifier of the daemon, unique in the fleet.
    pub id: u32,
    /// Zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Control members.
    pub members: Vec<MemberAddress>,
    /// Number of program groups. It must equal the setting of the control members.
    pub program_groups: u32,
    /// Address of the platform's list of machines, if any.
    pub platform: Option<SocketAddr>,
    /// Number of replicas of a pool that this daemon uses.
    pub subset_size: usize,
    /// Maximum number of calls that wait at this daemon.
    pub max_queued_calls: usize,
    /// Maximum number of concurrent requests from this daemon to one replica.
    pub max_requests_per_replica: usize,
    /// Maximum size of the history cache of idle programs, in bytes.
    pub history_cache_bytes: usize,
    /// Maximum size of a caller's request body, in bytes.
    pub max_body_bytes: usize,
    /// Interval between reads of a replica's events, in milliseconds.
    pub engine_poll_ms: u64,
    /// Maximum time that a planned stop waits for requests in flight, in milliseconds.
    pub drain_timeout_ms: u64,
}

impl DaemonSettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let id = reader.required("daemon.id");
        let zone: Option<String> = reader.required("daemon.zone");
        let listen = reader.required("daemon.listen");
        let members: Option<Vec<MemberAddress>> = reader.required("daemon.members");
        let settings = Self {
            id: id.unwrap_or_default(),
            zone: zone.clone().unwrap_or_default(),
            listen: listen.unwrap_or_else(unspecified),
            members: members.clone().unwrap_or_default(),
            program_groups: reader.optional("daemon.program_groups", 16),
            platform: reader.optional("daemon.platform", None),
            subset_size: reader.optional("daemon.subset_size", 64),
            max_queued_calls: reader.optional("daemon.max_queued_calls", 1_024),
            max_requests_per_replica: reader.optional("daemon.max_requests_per_replica", 64),
            history_cache_bytes: reader.optional("daemon.history_cache_bytes", 256 << 20),
            max_body_bytes: reader.optional("daemon.max_body_bytes", 4 << 20),
            engine_poll_ms: reader.optional("daemon.engine_poll_ms", 1_000),
            drain_timeout_ms: reader.optional("daemon.drain_timeout_ms", 120_000),
        };
        settings.check(reader, members.is_some(), zone.is_some());
        (id.is_some() && zone.is_some() && listen.is_some() && members.is_some())
            .then_some(settings)
    }

    fn check(&self, reader: &mut Reader<'_>, has_members: bool, has_zone: bool) {
        if has_members {
            check_members(reader, "daemon.members", &self.members);
        }
        if has_zone {
            reader.check("daemon.zone", !self.zone.is_empty(), "must not be empty");
        }
        let above_zero = [
            ("daemon.program_groups", u64::from(self.program_groups)),
            ("daemon.subset_size", self.subset_size as u64),
            ("daemon.max_queued_calls", self.max_queued_calls as u64),
            (
                "daemon.max_requests_per_replica",
                self.max_requests_per_replica as u64,
            ),
            ("daemon.max_body_bytes", self.max_body_bytes as u64),
            ("daemon.engine_poll_ms", self.engine_poll_ms),
        ];
        for (key, value) in above_zero {
            reader.check(key, value > 0, "must be above 0");
        }
    }
}

/// Returns a placeholder for an address that could not be read. It is never used.
pub(crate) fn unspecified() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
