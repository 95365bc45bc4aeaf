//! Command-line options.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Scheduler for agent programs.
///
/// Exit codes: 0 success; 1 invalid arguments; 2 invalid settings, files or values; 3 operation
/// rejected; 4 no control member answered, or the process cannot continue; 5 a planned stop timed
/// out with requests in flight.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run a daemon, which serves the callers of one machine
    #[bpaf(command)]
    Daemon(#[bpaf(external(server_options))] ServerOptions),
    /// Run a control member
    #[bpaf(command)]
    Control(#[bpaf(external(server_options))] ServerOptions),
    /// Run a gateway of a managed fleet
    #[bpaf(command)]
    Gateway(#[bpaf(external(fleet_options))] FleetOptions),
    /// Run a turn store of a managed fleet
    #[bpaf(command)]
    Store(#[bpaf(external(fleet_options))] FleetOptions),
    /// Run a control member of a managed fleet
    #[bpaf(command)]
    Member(#[bpaf(external(fleet_options))] FleetOptions),
    /// Manage a cluster through the administration API of its control members
    #[bpaf(command)]
    Ctl(#[bpaf(external(ctl_options))] CtlOptions),
    /// Check a settings file and print every error with its line
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Options of a server
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ServerOptions {
    /// Settings file (TOML)
    #[bpaf(short, long, argument("FILE"), optional)]
    pub(crate) config: Option<PathBuf>,
    /// Override one setting, for example `daemon.listen=127.0.0.1:8080`; may be repeated
    #[bpaf(short, long, argument("KEY=VALUE"), many)]
    pub(crate) set: Vec<String>,
}

impl ServerOptions {
    /// Parses the overrides into keys and values.
    pub(crate) fn overrides(&self) -> Result<Vec<(String, String)>, String> {
        let pair = |text: &String| {
            text.split_once('=')
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .ok_or_else(|| format!("invalid --set `{text}`: expected KEY=VALUE"))
        };
        self.set.iter().map(pair).collect()
    }
}

/// Options of a process of a managed fleet
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct FleetOptions {
    /// Headers, paths and formats of callers, replicas, operators and the platform: luglink or platform
    #[bpaf(
        long,
        argument("NAME"),
        fallback(DialectName::Luglink),
        display_fallback
    )]
    pub(crate) dialect: DialectName,
    #[bpaf(external(server_options))]
    pub(crate) server: ServerOptions,
}

/// Name of a built-in dialect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DialectName {
    /// Dialect of luglink itself.
    Luglink,
    /// Dialect of the platform that luglink runs on.
    Platform,
}

impl std::fmt::Display for DialectName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Luglink => "luglink",
            Self::Platform => "platform",
        })
    }
}

impl std::str::FromStr for DialectName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "luglink" => Ok(Self::Luglink),
            "platform" => Ok(Self::Platform),
            _ => Err(format!(
                "unknown dialect `{text}`: expected luglink or platform"
            )),
        }
    }
}

/// Options of the operator client
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CtlOptions {
    /// Administration address of a control member; may be repeated
    #[bpaf(
        short,
        long,
        argument("IP:PORT"),
        some("at least one --address is required")
    )]
    pub(crate) address: Vec<SocketAddr>,
    #[bpaf(external(ctl_command))]
    pub(crate) command: CtlCommand,
}

/// Operator commands
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CtlCommand {
    /// Apply a file of resources as one atomic change
    #[bpaf(command)]
    Apply {
        /// Resource file (TOML)
        #[bpaf(short, long, argument("FILE"))]
        file: PathBuf,
        /// Reject the change if the current revision is not N; without it, any revision is accepted
        #[bpaf(long, argument("N"), optional)]
        expected_revision: Option<u64>,
        /// Identifier of the change, never reused; a retry with the same one returns the first result
        #[bpaf(long, argument("ID"))]
        change_id: String,
        /// Name of the operator
        #[bpaf(long, argument("NAME"), fallback("ctl".to_owned()))]
        operator: String,
    },
    /// Delete one resource
    #[bpaf(command)]
    Delete {
        /// Reject the change if the current revision is not N; without it, any revision is accepted
        #[bpaf(long, argument("N"), optional)]
        expected_revision: Option<u64>,
        /// Identifier of the change, never reused; a retry with the same one returns the first result
        #[bpaf(long, argument("ID"))]
        change_id: String,
        /// tenant, class, model_pool, adapter, priority, budget or service
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the resource
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Print resources
    #[bpaf(command)]
    Get {
        /// Kind of the resources; all kinds if absent
        #[bpaf(positional("KIND"), optional)]
        kind: Option<String>,
        /// Name of the resource; all resources of the kind if absent
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
    /// Print the configuration and then every change, until interrupted
    #[bpaf(command)]
    Watch {
        /// Last known revision; a snapshot is printed first if the changes after it are no longer kept
        #[bpaf(long, argument("N"), fallback(0))]
        after: u64,
    },
    /// Print the state of every control member
    #[bpaf(command)]
    Status,
    /// Transfer the leadership of all groups that the first given member leads
    #[bpaf(command)]
    Drain,
    /// Change the membership of a Raft group
    #[bpaf(command)]
    Member {
        /// add-learner, promote or remove
        #[bpaf(positional("ACTION"))]
        action: String,
        /// Number of the group
        #[bpaf(long, argument("N"))]
        group: u32,
        /// Number of the member
        #[bpaf(long, argument("N"))]
        member: u32,
        /// Incarnation of the member's storage, as printed by `status`
        #[bpaf(long, argument("N"))]
        incarnation: u64,
    },
}
