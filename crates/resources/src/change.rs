//! Changes of the configuration and the answers to them.

use crate::errors::Violation;
use crate::resource::{Resource, ResourceKey};
use luglink_types::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

/// The revision that a change was made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionPrecondition {
    /// Whatever is current; the last writer wins.
    Current,
    /// Exactly this one.
    Exactly(Revision),
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Creates or replaces a resource.
    Set(Resource),
    /// Deletes a resource.
    Delete(ResourceKey),
}

impl Operation {
    /// The resource it is about.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Set(resource) => resource.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// A change: all of its operations take effect at one revision, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The operator's name for it, unique for ever.
    pub change_id: ChangeId,
    /// Who asks.
    pub operator: String,
    /// The revision it was made against.
    pub expected: RevisionPrecondition,
    /// What to do.
    pub operations: Vec<Operation>,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResponse {
    /// It is in force from this revision on and never reverts.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// Another change came first; nothing changed.
    Stale {
        /// The revision that was expected.
        expected: Revision,
        /// The current one.
        current: Revision,
    },
    /// The change breaks rules; nothing changed.
    Invalid {
        /// Every rule it breaks.
        violations: Vec<Violation>,
    },
    /// The change id was used for a different change; nothing changed.
    ChangeIdReused,
}

/// What one revision changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision.
    pub revision: Revision,
    /// What it did.
    pub operations: Vec<Operation>,
}
