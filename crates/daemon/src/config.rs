//! Limits and timing of a daemon.

use luglink_routing::RouterConfig;
use luglink_types::{DaemonId, MemberId, ZoneName};
use snafu::{Snafu, ensure};
use std::time::Duration;

/// How a daemon runs.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// The control members.
    pub members: Vec<MemberId>,
    /// Number of program groups; must equal the members'.
    pub program_groups: u32,
    /// Choice of replicas.
    pub router: RouterConfig,
    /// Replicas of one pool that this daemon talks to.
    pub subset_size: usize,
    /// Calls that may wait at this daemon in all; more are refused as overloaded.
    pub max_queued_calls: usize,
    /// Calls of one program that may wait for each other.
    pub max_waiting_per_program: usize,
    /// Wait of the longest waiting call from which on no new programs are admitted to its pool.
    pub admission_wait_limit: Duration,
    /// Longest time a call waits for an engine when none is usable.
    pub max_engine_wait: Duration,
    /// Longest time a call waits for the calls that its sequence says come first.
    pub max_reorder_wait: Duration,
    /// Silence of an engine, beyond the predicted time to its first token and between any two
    /// tokens, after which a call counts as broken there.
    pub engine_silence: Duration,
    /// Time after which a control request is sent to another member.
    pub control_attempt_timeout: Duration,
    /// Time after which a control request is given up.
    pub control_timeout: Duration,
    /// Time between renewals of the leases of programs with calls in flight.
    pub renew_interval: Duration,
    /// Bytes of history that are kept for programs without a call in flight.
    pub history_cache_bytes: usize,
    /// Attempts of one call at the most.
    pub max_attempts: u32,
    /// Retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Retries that are in the budget at the start, and the most it holds.
    pub retry_reserve: f64,
}

/// A configuration that cannot work.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{rule}"))]
pub struct DaemonConfigError {
    /// The rule that is broken.
    pub rule: &'static str,
}

impl DaemonConfig {
    /// Defaults for a daemon.
    #[must_use]
    pub fn new(daemon: DaemonId, zone: ZoneName, members: Vec<MemberId>) -> Self {
        Self {
            daemon,
            zone,
            members,
            program_groups: 16,
            router: RouterConfig::default(),
            subset_size: 64,
            max_queued_calls: 1_024,
            max_waiting_per_program: 16,
            admission_wait_limit: Duration::from_millis(250),
            max_engine_wait: Duration::from_secs(5),
            max_reorder_wait: Duration::from_secs(2),
            engine_silence: Duration::from_secs(20),
            control_attempt_timeout: Duration::from_secs(1),
            control_timeout: Duration::from_secs(10),
            renew_interval: Duration::from_secs(4),
            history_cache_bytes: 256 << 20,
            max_attempts: 4,
            retry_ratio: 0.1,
            retry_reserve: 20.0,
        }
    }

    /// Checks that the values can work together.
    ///
    /// # Errors
    /// Names the first rule that is broken.
    pub fn validate(&self) -> Result<(), DaemonConfigError> {
        let require = |condition: bool, rule: &'static str| {
            ensure!(condition, DaemonConfigSnafu { rule });
            Ok(())
        };
        require(!self.members.is_empty(), "members must not be empty")?;
        require(self.program_groups > 0, "program_groups must be above 0")?;
        require(self.subset_size > 0, "subset_size must be above 0")?;
        require(
            self.max_queued_calls > 0,
            "max_queued_calls must be above 0",
        )?;
        require(
            self.max_waiting_per_program > 0,
            "max_waiting_per_program must be above 0",
        )?;
        require(self.max_attempts > 0, "max_attempts must be above 0")?;
        require(
            self.control_timeout >= self.control_attempt_timeout,
            "control_timeout must be at least control_attempt_timeout",
        )
    }
}
