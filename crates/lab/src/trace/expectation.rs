//! What is expected of a run.

use serde::{Deserialize, Serialize};

/// How a request is expected to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExpectedOutcome {
    /// With its whole answer.
    Completed,
    /// As not run.
    Refused,
    /// With no promise.
    Unknown,
}

/// One line of an expectation file.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "expect", rename_all = "snake_case")]
pub enum Expectation {
    /// Of one request.
    Request(RequestExpectation),
    /// Of one invariant.
    Invariant(InvariantExpectation),
    /// Of one measure.
    Measure(MeasureExpectation),
}

/// How one request ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestExpectation {
    /// The request.
    pub request: String,
    /// How it ends.
    pub outcome: ExpectedOutcome,
    /// The code of the refusal; any when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
}

/// How often an invariant is broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InvariantExpectation {
    /// The invariant.
    pub name: String,
    /// How often it is broken.
    pub violations: usize,
}

/// Bounds of a measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureExpectation {
    /// The measure.
    pub name: String,
    /// Upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// Lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
}
