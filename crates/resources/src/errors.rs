//! Errors of validation.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Violation of a validation rule by a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{field}: value `{value}` violates the rule: {rule}"))]
pub struct Violation {
    /// Field, with the key of its resource.
    pub field: String,
    /// Rejected value.
    pub value: String,
    /// Rule that the value violates.
    pub rule: String,
}
