//! Wire formats of errors: RFC 9457 problem details for callers, OpenAI-style errors from engines.

use luglink_types::{Executed, Refusal};
use serde::{Deserialize, Serialize};

/// Refusal as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// `urn:luglink:refusal:` followed by the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// Code with spaces between the words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation for people.
    pub detail: String,
    /// Stable code.
    pub code: String,
    /// Execution state of the request.
    pub executed: Executed,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        let code = refusal.code.as_str();
        Self {
            kind: format!("urn:luglink:refusal:{code}"),
            title: code.replace('_', " "),
            status: refusal.code.http_status(),
            detail: refusal.detail.clone(),
            code: code.to_owned(),
            executed: refusal.executed,
            retry_after_ms: refusal
                .retry_after
                .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// Error of an engine, as a response body or as an event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineErrorBody {
    /// Error.
    pub error: EngineError,
}

/// Error of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// Explanation for people.
    pub message: String,
    /// Code that determines whether a retry is possible.
    pub code: EngineErrorCode,
}

/// Code of an engine's error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The request was rejected before processing: the engine is full or draining, or has seen a higher
    /// owner epoch.
    Rejected,
    /// The request failed, and the engine guarantees that it may be sent again.
    Retryable,
    /// The request is malformed and was rejected before processing.
    Invalid,
}
