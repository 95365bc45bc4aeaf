//! Which decisions under load are taken, as settings say.

use serde::{Deserialize, Serialize};

/// Whether a decision is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeatureMode {
    /// Where the configuration in force, or what the deployment expects, calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

impl FeatureMode {
    /// Whether the decision is taken, when `is_needed` says whether anything calls for it.
    #[must_use]
    pub fn is_enabled(self, is_needed: bool) -> bool {
        match self {
            Self::Auto => is_needed,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// The decisions under load that can be switched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeatureModes {
    /// Gateways of a zone tell each other what they see of the replicas.
    pub load_view: FeatureMode,
    /// Replicas are chosen by when the request is expected to be finished.
    pub expected_finish: FeatureMode,
    /// Requests that wait at a slow replica go to another one.
    pub moves: FeatureMode,
    /// Programs are let in by the memory that those under way need until they end.
    pub working_set: FeatureMode,
    /// Tenants and kinds of request get fair shares while room is short.
    pub fair_shares: FeatureMode,
    /// Bytes held for slow readers are bounded.
    pub held_bytes: FeatureMode,
}
