//! Limits and timeouts of a daemon.

use luglink_routing::RouterConfig;
use luglink_types::{DaemonId, MemberId, ZoneName};
use snafu::{Snafu, ensure};
use std::time::Duration;

/// Configuration of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Identifier of this daemon.
    pub daemon: DaemonId,
    /// Zone of this daemon.
    pub zone: ZoneName,
    /// The control members.
    pub members: Vec<MemberId>,
    /// Number of program groups; must equal that of the control members.
    pub program_groups: u32,
    /// Configuration of the routers, which choose replicas.
    pub router: RouterConfig,
    /// Maximum number of replicas of one pool that this daemon uses.
    pub subset_size: usize,
    /// Maximum number of calls queued at this daemon; more are refused as overloaded.
    pub max_queued_calls: usize,
    /// Maximum number of waiting calls of one program.
    pub max_waiting_per_program: usize,
    /// Limit on the time that a pool's oldest call has been queued. Beyond it, no new programs are
    /// admitted to the pool.
    pub admission_wait_limit: Duration,
    /// Longest time a call waits while no engine is usable.
    pub max_engine_wait: Duration,
    /// Longest time a call waits for calls with lower sequence numbers.
    pub max_reorder_wait: Duration,
    /// Time without output after which an attempt counts as broken: between two tokens, and before
    /// the first one in addition to a multiple of the predicted duration.
    pub engine_silence_timeout: Duration,
    /// Time after which a control request is sent to another member.
    pub control_attempt_timeout: Duration,
    /// Time after which a control request is abandoned.
    pub control_timeout: Duration,
    /// Time between renewals of the leases of programs with calls in flight.
    pub renew_interval: Duration,
    /// Maximum size in bytes of the history kept for programs without a call in flight.
    pub history_cache_bytes: usize,
    /// Maximum number of attempts of one call.
    pub max_attempts: u32,
    /// Retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Retries in the budget at the start, which is also its maximum.
    pub retry_reserve: f64,
}

/// A violated rule of [`DaemonConfig`].
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{rule}"))]
pub struct DaemonConfigError {
    /// The violated rule.
    pub rule: &'static str,
}

impl DaemonConfig {
    /// Returns the default configuration of a daemon.
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
            engine_silence_timeout: Duration::from_secs(20),
            control_attempt_timeout: Duration::from_secs(1),
            control_timeout: Duration::from_secs(10),
            renew_interval: Duration::from_secs(4),
            history_cache_bytes: 256 << 20,
            max_attempts: 4,
            retry_ratio: 0.1,
            retry_reserve: 20.0,
        }
    }

    /// Checks the values.
    ///
    /// # Errors
    /// Returns the first violated rule.
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
