//! Settings of a control member.

use crate::daemon::unspecified;
use crate::reader::Reader;
use crate::source::{MemberAddress, check_members};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Identifier of the member.
    pub id: u32,
    /// Internal address for other members and daemons.
    pub listen: SocketAddr,
    /// Address of the administration API.
    pub admin_listen: SocketAddr,
    /// Directory of the persistent data.
    pub data_folder: PathBuf,
    /// All control members, including this one.
    pub members: Vec<MemberAddress>,
    /// Permission to start a new cluster if the data directory is empty.
    pub bootstrap: bool,
    /// Number of program groups. It must not change after the first start.
    pub program_groups: u32,
    /// Number of voters of a program group.
    pub replication: usize,
    /// Number of voters of the configuration group.
    pub configuration_voters: usize,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, in milliseconds.
    pub election_timeout_ms: u64,
    /// Number of log entries after which a snapshot is written.
    pub snapshot_entries: usize,
    /// Refunds unused reservations to the budget.
    pub refund_unused: bool,
}

impl ControlSettings {
    pub(crate) fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let id: Option<u32> = reader.required("control.id");
        let listen = reader.required("control.listen");
        let admin_listen = reader.required("control.admin_listen");
        let data_folder: Option<PathBuf> = reader.required("control.data_folder");
        let members: Option<Vec<MemberAddress>> = reader.required("control.members");
        let is_complete = id.is_some()
            && listen.is_some()
            && admin_listen.is_some()
            && data_folder.is_some()
            && members.is_some();
        let settings = Self {
            id: id.unwrap_or_default(),
            listen: listen.unwrap_or_else(unspecified),
            admin_listen: admin_listen.unwrap_or_else(unspecified),
            data_folder: data_folder.unwrap_or_default(),
            members: members.unwrap_or_default(),
            bootstrap: reader.optional("control.bootstrap", false),
            program_groups: reader.optional("control.program_groups", 16),
            replication: reader.optional("control.replication", 3),
            configuration_voters: reader.optional("control.configuration_voters", 5),
            heartbeat_ms: reader.optional("control.heartbeat_ms", 100),
            election_timeout_ms: reader.optional("control.election_timeout_ms", 600),
            snapshot_entries: reader.optional("control.snapshot_entries", 20_000),
            refund_unused: reader.optional("control.refund_unused", true),
        };
        if is_complete {
            settings.check(reader);
        }
        is_complete.then_some(settings)
    }

    fn check(&self, reader: &mut Reader<'_>) {
        check_members(reader, "control.members", &self.members);
        let is_listed = self.members.iter().any(|member| member.id == self.id);
        reader.check("control.id", is_listed, "must be one of control.members");
        let above_zero = [
            ("control.program_groups", u64::from(self.program_groups)),
            ("control.replication", self.replication as u64),
            (
                "control.configuration_voters",
                self.configuration_voters as u64,
            ),
            ("control.heartbeat_ms", self.heartbeat_ms),
            ("control.snapshot_entries", self.snapshot_entries as u64),
        ];
        for (key, value) in above_zero {
            reader.check(key, value > 0, "must be above 0");
        }
        reader.check(
            "control.election_timeout_ms",
            self.election_timeout_ms >= 3 * self.heartbeat_ms,
            "must be at least three times control.heartbeat_ms",
        );
        reader.check(
            "control.data_folder",
            !self.data_folder.as_os_str().is_empty(),
            "must not be empty",
        );
    }
}
