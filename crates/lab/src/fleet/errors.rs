//! Errors of a fleet.

use luglink_admin_api::ClientError;
use luglink_control_server::ControlServerError;
use luglink_daemon_server::DaemonServerError;
use snafu::Snafu;

/// A fleet that cannot start or be steered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FleetError {
    /// A socket or folder cannot be had.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// Why not.
        source: std::io::Error,
    },
    /// A control member cannot start.
    #[snafu(display("control member: {source}"), context(false))]
    Control {
        /// Why not.
        source: ControlServerError,
    },
    /// A daemon cannot start.
    #[snafu(display("daemon: {source}"), context(false))]
    Daemon {
        /// Why not.
        source: DaemonServerError,
    },
    /// The administration API refused.
    #[snafu(display("administration: {source}"), context(false))]
    Admin {
        /// Why.
        source: ClientError,
    },
    /// A component's thread is gone.
    #[snafu(display("the thread of a component has stopped"))]
    ThreadGone,
    /// The fleet has no such member.
    #[snafu(display("the fleet has no {target}"))]
    NoSuchTarget {
        /// What was named.
        target: String,
    },
    /// The configuration was refused.
    #[snafu(display("the configuration was refused: {answer}"))]
    ConfigurationRefused {
        /// The answer.
        answer: String,
    },
    /// The fleet did not become ready.
    #[snafu(display("the fleet was not ready after {seconds} s"))]
    NotReady {
        /// How long it was waited for.
        seconds: u64,
    },
}
