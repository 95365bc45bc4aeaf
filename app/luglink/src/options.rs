//! The command line.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Scheduler for agent programs.
///
/// Exit codes: 0 done; 1 bad arguments; 2 settings or files cannot be used; 3 the operation was
/// refused; 4 no control member answered, or the process could not go on; 5 a planned stop ran
/// out of time with requests in flight.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run the process beside a caller
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
    /// Talk to the control members as an operator
    #[bpaf(command)]
    Ctl(#[bpaf(external(ctl_options))] CtlOptions),
    /// Check a settings file and print every fault with its place
    #[bpaf(command("check-config"))]
    CheckConfig {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Options of a server.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ServerOptions {
    /// Settings file (TOML)
    #[bpaf(short, long, argument("FILE"), optional)]
    pub(crate) config: Option<PathBuf>,
    /// Override one setting, as in `daemon.listen=127.0.0.1:8080`; may be repeated
    #[bpaf(short, long, argument("KEY=VALUE"), many)]
    pub(crate) set: Vec<String>,
}

impl ServerOptions {
    /// The overrides as pairs.
    pub(crate) fn overrides(&self) -> Result<Vec<(String, String)>, String> {
        let pair = |text: &String| {
            text.split_once('=')
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .ok_or_else(|| format!("--set `{text}` is not KEY=VALUE"))
        };
        self.set.iter().map(pair).collect()
    }
}

/// Options of a process of a managed fleet.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct FleetOptions {
    /// How callers, replicas, operators and the platform spell things: luglink or platform
    #[bpaf(long, argument("NAME"), fallback(Spelling::Luglink), display_fallback)]
    pub(crate) dialect: Spelling,
    #[bpaf(external(server_options))]
    pub(crate) server: ServerOptions,
}

/// The dialects that are built in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spelling {
    /// luglink's own.
    Luglink,
    /// The users' platform.
    Platform,
}

impl std::fmt::Display for Spelling {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Luglink => "luglink",
            Self::Platform => "platform",
        })
    }
}

impl std::str::FromStr for Spelling {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "luglink" => Ok(Self::Luglink),
            "platform" => Ok(Self::Platform),
            _ => Err(format!("`{text}` is not luglink or platform")),
        }
    }
}

/// Options of the operator client.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CtlOptions {
    /// Administration address of a control member; may be repeated
    #[bpaf(
        short,
        long,
        argument("IP:PORT"),
        some("at least one --address is needed")
    )]
    pub(crate) address: Vec<SocketAddr>,
    #[bpaf(external(ctl_command))]
    pub(crate) command: CtlCommand,
}

/// What an operator wants.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum CtlCommand {
    /// Apply a file of resources as one change
    #[bpaf(command)]
    Apply {
        /// Resource file (TOML)
        #[bpaf(short, long, argument("FILE"))]
        file: PathBuf,
        /// Revision the change was made against; whatever is current when absent
        #[bpaf(long, argument("N"), optional)]
        expected_revision: Option<u64>,
        /// Name of the change, unique for ever; repeat it to learn the first answer
        #[bpaf(long, argument("ID"))]
        change_id: String,
        /// Who asks
        #[bpaf(long, argument("NAME"), fallback("ctl".to_owned()))]
        operator: String,
    },
    /// Delete one resource
    #[bpaf(command)]
    Delete {
        /// Revision the change was made against; whatever is current when absent
        #[bpaf(long, argument("N"), optional)]
        expected_revision: Option<u64>,
        /// Name of the change, unique for ever
        #[bpaf(long, argument("ID"))]
        change_id: String,
        /// Kind: tenant, class, model_pool, adapter, priority, budget or service
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Print resources
    #[bpaf(command)]
    Get {
        /// Kind; all kinds when absent
        #[bpaf(positional("KIND"), optional)]
        kind: Option<String>,
        /// Name; all names when absent
        #[bpaf(positional("NAME"), optional)]
        name: Option<String>,
    },
    /// Print the configuration and then every change, until interrupted
    #[bpaf(command)]
    Watch {
        /// Last revision that is known
        #[bpaf(long, argument("N"), fallback(0))]
        after: u64,
    },
    /// Print how every member is
    #[bpaf(command)]
    Status,
    /// Hand over everything that the first given member leads
    #[bpaf(command)]
    Drain,
    /// Change the members of a group
    #[bpaf(command)]
    Member {
        /// add-learner, promote or remove
        #[bpaf(positional("ACTION"))]
        action: String,
        /// Group
        #[bpaf(long, argument("N"))]
        group: u32,
        /// Member
        #[bpaf(long, argument("N"))]
        member: u32,
        /// Incarnation of its storage, as `status` shows it
        #[bpaf(long, argument("N"))]
        incarnation: u64,
    },
}
