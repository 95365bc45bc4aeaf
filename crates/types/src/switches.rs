//! Features that settings turn on or off.

use serde::{Deserialize, Serialize};

/// Mode of a feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// On if the active configuration or the expected conditions of the deployment need it.
    #[default]
    Auto,
    /// Always on.
    On,
    /// Always off.
    Off,
}

impl Switch {
    /// Returns true if the feature is on. `called_for` is the result for the mode `Auto`.
    #[must_use]
    pub fn holds(self, called_for: bool) -> bool {
        match self {
            Self::Auto => called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// Modes of the features that affect scheduling under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Switches {
    /// The gateways of a zone share their observations of the replicas.
    pub load_view: Switch,
    /// Replicas are chosen by the expected finish time of the request.
    pub expected_finish: Switch,
    /// Requests that wait at a slow replica move to another replica.
    pub moves: Switch,
    /// Programs are admitted by the memory that active programs need until they end.
    pub working_set: Switch,
    /// Tenants and request kinds receive fair shares while capacity is scarce.
    pub fair_shares: Switch,
    /// The bytes buffered for slow readers are limited.
    pub held_bytes: Switch,
}
