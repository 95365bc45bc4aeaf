//! Limits and timing of a control member.

use crate::errors::{ControlError, InvalidConfigSnafu};
use luglink_program::RefundRule;
use luglink_raft::RaftConfig;
use luglink_storage::WalConfig;
use luglink_types::MemberId;
use snafu::ensure;
use std::time::Duration;

/// How the leader looks after members and turn stores that come and go by themselves.
#[derive(Clone, Debug)]
pub struct ManagedConfig {
    /// Voters that the configuration group should have.
    pub voters: usize,
    /// Silence after which a voter is replaced, when another member can take its place.
    pub member_timeout: Duration,
    /// Time without a leader after which a member asks to be let in.
    pub join_timeout: Duration,
    /// Copies of each turn and account; a store is passed over only while more are there.
    pub store_copies: usize,
    /// Silence after which a turn store is passed over.
    pub store_timeout: Duration,
    /// Silence after which what is known of a process is forgotten.
    pub forget_timeout: Duration,
    /// Longest time that an observer waits for news, in a small fleet. It says its word again
    /// with its next question.
    pub observe_hold: Duration,
    /// What each process that observes adds to that time: so a member is asked about as often
    /// however large the fleet is.
    pub observe_hold_per_process: Duration,
    /// Longest time that an observer waits for news, in any fleet. News that nothing has changed
    /// tell the list's age too, and gateways read a list themselves that seems too old.
    pub max_observe_hold: Duration,
    /// Time for which a member leaves it to others to tell an observer of a new document, when it
    /// is not among those that do so first.
    pub document_fallback_delay: Duration,
    /// Silence of the leader after which this member's word may be out of date.
    pub max_staleness: Duration,
}

impl ManagedConfig {
    /// Turn stores that may be lost at once: any two majorities of the copies share one.
    #[must_use]
    pub fn tolerated_losses(&self) -> usize {
        self.store_copies.saturating_sub(1) / 2
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
            forget_timeout: Duration::from_secs(10),
            observe_hold: Duration::from_millis(160),
            observe_hold_per_process: Duration::from_millis(2),
            max_observe_hold: Duration::from_millis(500),
            document_fallback_delay: Duration::from_millis(700),
            max_staleness: Duration::from_millis(800),
        }
    }
}

/// How a control member runs.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This member.
    pub member: MemberId,
    /// All members, this one included.
    pub members: Vec<MemberId>,
    /// Number of program groups. Never changes after the first start.
    pub program_groups: u32,
    /// Voters of a program group.
    pub replication: usize,
    /// Voters of the configuration group.
    pub configuration_voters: usize,
    /// Whether an empty data folder may start a new cluster. Otherwise this member waits until
    /// the others have added it.
    pub bootstrap: bool,
    /// Set when members and turn stores come and go by themselves.
    pub managed: Option<ManagedConfig>,
    /// Consensus timing.
    pub raft: RaftConfig,
    /// Log limits.
    pub wal: WalConfig,
    /// Entries after which a group's state is written as a snapshot.
    pub snapshot_entries: usize,
    /// What happens to unused reservations.
    pub refund: RefundRule,
    /// Longest time that a configuration watch is held open.
    pub watch_hold: Duration,
    /// Silence of the configuration leader after which this member serves no configuration.
    pub max_configuration_staleness: Duration,
    /// Time between checks for expired programs, and between repeats of release orders.
    pub housekeeping_interval: Duration,
}

impl ControlConfig {
    /// Defaults for a member of a cluster.
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

    /// Checks that the values can work together.
    ///
    /// # Errors
    /// Names the first rule that is broken.
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
                rule: "program_groups must be above zero"
            }
        );
        ensure!(
            self.replication > 0 && self.configuration_voters > 0 && self.snapshot_entries > 0,
            InvalidConfigSnafu {
                rule: "replication, configuration_voters and snapshot_entries must be above zero"
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
