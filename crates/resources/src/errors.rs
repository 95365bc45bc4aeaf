//! Errors of this crate.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One rule that a change breaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{field}: `{value}` breaks the rule: {rule}"))]
pub struct Violation {
    /// The field, with the resource it belongs to.
    pub field: String,
    /// The value that was given.
    pub value: String,
    /// The rule.
    pub rule: String,
}
