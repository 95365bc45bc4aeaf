//! Features that settings turn on or off.

use serde::{Deserialize, Serialize};

/// Mode of a feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FeatureMode {
    /// On if the active configuration or the expected conditions of the deployment need it.
    #[default]
    Auto,
    /// Always on.
    On,
    /// Always off.
    Off,
}

impl FeatureMode {
    /// Returns true if the feature is on. The result for the mode `Auto` is `by_default`.
    #[must_use]
    pub fn is_enabled(self, by_default: bool) -> bool {
        match self {
            Self::Auto => by_default,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// Modes of the features that affect scheduling under load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeatureModes {
    /// The gateways of a zone share their observations of the replicas.
    pub load_view: FeatureMode,
    /// Replicas are chosen by the expected finish time of the request.
    pub expected_finish: FeatureMode,
    /// Requests that wait at a slow replica move to another replica.
    pub moves: FeatureMode,
    /// Programs are admitted by the memory that active programs need until they end.
    pub working_set: FeatureMode,
    /// Tenants and request kinds receive fair shares while capacity is scarce.
    pub fair_shares: FeatureMode,
    /// The bytes buffered for slow readers are limited.
    pub held_bytes: FeatureMode,
}
