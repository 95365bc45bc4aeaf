//! Errors on the wire: RFC 9457 problems for callers, OpenAI-style errors from engines.

use luglink_types::{Executed, Refusal};
use serde::{Deserialize, Serialize};

/// A refusal as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// `urn:luglink:refusal:` and the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// For people.
    pub detail: String,
    /// Stable code.
    pub code: String,
    /// Whether the request ran.
    pub executed: Executed,
    /// When trying again may help, in milliseconds.
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
                .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// An engine's error, as a body or as an event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineErrorBody {
    /// The error.
    pub error: EngineError,
}

/// An engine's error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// For people.
    pub message: String,
    /// What it means for a retry.
    pub code: EngineErrorCode,
}

/// What an engine's error means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// Refused before any work: full, draining, or fenced by a higher owner epoch.
    Rejected,
    /// Failed, and the engine vouches that it may be sent again.
    Retryable,
    /// The request is malformed; refused before any work.
    Invalid,
}
