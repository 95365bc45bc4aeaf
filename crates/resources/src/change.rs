//! Changes to the configuration and the responses to them.

use crate::errors::Violation;
use crate::resource::{Resource, ResourceKey};
use luglink_types::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

/// Condition on the current revision under which a change applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevisionPrecondition {
    /// Any current revision; the last writer wins.
    Current,
    /// Exactly this revision.
    Exactly(Revision),
}

/// Operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Creates or replaces a resource.
    Set(Resource),
    /// Deletes a resource.
    Delete(ResourceKey),
}

impl Operation {
    /// Returns the key of the resource that the operation affects.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Set(resource) => resource.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// Change whose operations take effect atomically, at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier that the operator chose. It is never used again for another change.
    pub change_id: ChangeId,
    /// Operator that requests the change.
    pub operator: String,
    /// Condition on the current revision.
    pub expected: RevisionPrecondition,
    /// Operations in the order in which they apply.
    pub operations: Vec<Operation>,
}

/// Response to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResponse {
    /// The change was applied and is never reverted.
    Accepted {
        /// Revision at which the change took effect.
        revision: Revision,
    },
    /// The expected revision is not the current one; nothing changed.
    Stale {
        /// Expected revision.
        expected: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The change violates validation rules; nothing changed.
    Invalid {
        /// All violations.
        violations: Vec<Violation>,
    },
    /// The change id was already used for a different change; nothing changed.
    ChangeIdReused,
}

/// Difference between a revision and the preceding one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the operations lead to.
    pub revision: Revision,
    /// Operations in the order in which they apply.
    pub operations: Vec<Operation>,
}
