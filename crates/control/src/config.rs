//! Configuration of a control member: cluster layout, timeouts and limits.

use crate::errors::{ControlError, InvalidConfigSnafu};
use luglink_fleet::StoreLimits;
use luglink_program::RefundRule;
use luglink_raft::RaftConfig;
use luglink_storage::WalConfig;
use luglink_types::MemberId;
use snafu::ensure;
use std::time::Duration;

/// Settings for a managed fleet, whose members and turn stores join and leave without an operator.
#[derive(Clone, Debug)]
pub struct ManagedConfig {
    /// Target number of voters in the configuration group.
    pub voters: usize,
    /// Time without a message after which a voter is replaced, if a learner can take its place.
    pub member_timeout: Duration,
    /// Time without confirmation by a leader after which a member asks to join the group.
    pub join_timeout: Duration,
    /// Replicas of each turn and account. A silent store is marked as lost only while more than
    /// this number of stores are writable.
    pub store_copies: usize,
    /// Time without a report after which a turn store counts as silent and may be marked as lost.
    pub store_timeout: Duration,
    /// Time without a report after which the records of a turn store count as lost for good, so
    /// that the other stores no longer wait for them.
    pub store_abandon_timeout: Duration,
    /// Time without a report after which the state of a process is dropped.
    pub forget_timeout: Duration,
    /// Maximum time for which a member of a small fleet holds an observer's request open while
    /// nothing is new. An observer reports its presence with each request.
    pub observe_hold: Duration,
    /// Hold time per known process. The hold is at least this value times the number of processes,
    /// so that the request rate of a member does not grow with the fleet.
    pub observe_hold_per_process: Duration,
    /// Upper limit of the hold in a fleet of any size. A response without changes also refreshes
    /// the age of the list of replicas; with a longer hold the list appears stale to gateways and
    /// they read it from the platform themselves.
    pub max_observe_hold: Duration,
    /// Delay before a member sends a new document to observers that expect it from other members
    /// first.
    pub document_fallback_delay: Duration,
    /// Time without confirmation by the leader after which this member's state counts as stale.
    pub max_staleness: Duration,
}

impl ManagedConfig {
    /// Number of turn stores that may be lost at the same time: a majority of the replicas
    /// remains, and any two majorities intersect.
    #[must_use]
    pub fn tolerated_losses(&self) -> usize {
        self.store_copies.saturating_sub(1) / 2
    }

    /// Returns the limits for the registry of turn stores.
    pub(crate) fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            copies: self.store_copies,
            tolerated_losses: self.tolerated_losses(),
            store_timeout: self.store_timeout,
            abandon_timeout: self.store_abandon_timeout,
        }
    }
}

impl Default for ManagedConfig {
    fn default() -> Self {
        Self {
            voters: 3,
            member_timeout: Duration::from_millis(1_500),
            join_timeout: Duration::from_millis(1_000),
            store_copies: 3,
            store_timeout: Duration::from_millis(2_000),
            store_abandon_timeout: Duration::from_secs(600),
            forget_timeout: Duration::from_secs(10),
            observe_hold: Duration::from_millis(160),
            observe_hold_per_process: Duration::from_millis(2),
            max_observe_hold: Duration::from_millis(500),
            document_fallback_delay: Duration::from_millis(700),
            max_staleness: Duration::from_millis(800),
        }
    }
}

/// Configuration of a control member.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This member.
    pub member: MemberId,
    /// All members, including this one.
    pub members: Vec<MemberId>,
    /// Number of program groups. Must not change after the first start, because it determines the
    /// group of each program.
    pub program_groups: u32,
    /// Number of voters of a program group.
    pub replication: usize,
    /// Number of voters of the configuration group.
    pub configuration_voters: usize,
    /// Allows an empty data folder to bootstrap a new cluster. Otherwise the member waits until
    /// the other members add it.
    pub bootstrap: bool,
    /// Settings of a managed fleet; `None` when the members are fixed.
    pub managed: Option<ManagedConfig>,
    /// Raft timeouts.
    pub raft: RaftConfig,
    /// Limits of the write-ahead log.
    pub wal: WalConfig,
    /// Length of a group's log, in entries, at which a snapshot of its state is written.
    pub snapshot_entries: usize,
    /// Rule for the refund of unused budget reservations.
    pub refund: RefundRule,
    /// Maximum time for which a configuration watch is held open.
    pub watch_hold: Duration,
    /// Time without confirmation by the configuration leader after which this member refuses to
    /// serve the configuration.
    pub max_configuration_staleness: Duration,
    /// Interval of the checks for expired programs and of the retries of release orders.
    pub housekeeping_interval: Duration,
}

impl ControlConfig {
    /// Returns the defaults for one member of a cluster.
    #[must_use]
    pub fn new(member: MemberId, members: Vec<MemberId>) -> Self {
        Self {
            member,
            members,
            program_groups: 16,
            replication: 3,
            configuration_voters: 5,
            bootstrap: false,
            managed: None,
            raft: RaftConfig::default(),
            wal: WalConfig::default(),
            snapshot_entries: 20_000,
            refund: RefundRule::UnusedPart,
            watch_hold: Duration::from_millis(2_500),
            max_configuration_staleness: Duration::from_secs(3),
            housekeeping_interval: Duration::from_secs(1),
        }
    }

    pub(crate) fn managed_or_default(&self) -> ManagedConfig {
        self.managed.clone().unwrap_or_default()
    }

    /// Checks the values and their combinations.
    ///
    /// # Errors
    /// Returns the first rule that is violated.
    pub fn validate(&self) -> Result<(), ControlError> {
        ensure!(
            self.managed.is_some() || self.members.contains(&self.member),
            InvalidConfigSnafu {
                rule: "members must contain this member"
            }
        );
        ensure!(
            self.managed.is_some() || self.program_groups > 0,
            InvalidConfigSnafu {
                rule: "program_groups must be positive"
            }
        );
        ensure!(
            self.replication > 0 && self.configuration_voters > 0 && self.snapshot_entries > 0,
            InvalidConfigSnafu {
                rule: "replication, configuration_voters and snapshot_entries must be positive"
            }
        );
        if self.raft.validate().is_err() {
            return InvalidConfigSnafu {
                rule: "the election timeout must be at least three heartbeat intervals",
            }
            .fail();
        }
        Ok(())
    }
}
