//! Settings of a luglink process, from a TOML file, environment variables and flags, in ascending
//! order of precedence. All faults are reported together, each with its location.
//!
//! The environment variable of a setting is `LUGLINK_` and the key, with `__` between the parts, as
//! in `LUGLINK_DAEMON__LISTEN`. `LUGLINK_SETTINGS` is the path of the settings file if no option
//! gives one.
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
