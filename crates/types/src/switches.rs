//! Which decisions under load are taken, as settings say.

use serde::{Deserialize, Serialize};

/// Whether a decision is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Where the configuration in force, or what the deployment expects, calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

impl Switch {
    /// Whether the decision is taken, when `called_for` says whether anything calls for it.
    #[must_use]
    pub fn holds(self, called_for: bool) -> bool {
        match self {
            Self::Auto => called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// The decisions under load that can be switched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    /// Gateways of a zone tell each other what they see of the replicas.
    pub load_view: Switch,
    /// Replicas are chosen by when the request is expected to be finished.
    pub expected_finish: Switch,
    /// Requests that wait at a slow replica go to another one.
    pub moves: Switch,
    /// Programs are let in by the memory that those under way need until they end.
    pub working_set: Switch,
    /// Tenants and kinds of request get fair shares while room is short.
    pub fair_shares: Switch,
    /// Bytes held for slow readers are bounded.
    pub held_bytes: Switch,
}
