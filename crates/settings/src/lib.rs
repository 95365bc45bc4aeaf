//! Settings of a luglink process: a TOML file, overridden by environment variables, overridden
//! by flags. Every fault is reported at once, each with its place.
//!
//! Environment variables are `LUGLINK_` and the key, with `__` between its parts, as in
//! `LUGLINK_DAEMON__LISTEN`. `LUGLINK_SETTINGS` names the settings file of a process that is told of
//! none.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod control;
mod daemon;
mod errors;
mod fleet;
mod reader;
mod source;

pub use control::ControlSettings;
pub use daemon::DaemonSettings;
pub use errors::{Fault, SettingsError};
pub use fleet::{FleetSettings, GatewaySettings, ManagedMemberSettings, StoreSettings};
pub use source::{MemberAddress, Role, SETTINGS_VARIABLE, Settings, load, settings_file};
