//! What is known of an attempt once it is over.

use serde::{Deserialize, Serialize};

/// Closed classification of an attempt's end. It alone decides whether the attempt may be
/// repeated. The classes follow "Model Budget Policy v1 (issue #179)".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeClass {
    /// The request never left the daemon.
    NotDispatched,
    /// The engine refused the request before working on it.
    RejectedBeforeProcessing,
    /// The engine says that the request failed and may be sent again.
    EngineRetryable,
    /// The engine answered in full.
    Completed,
    /// Nobody can tell whether the request ran.
    Uncertain,
}

impl OutcomeClass {
    /// Whether another attempt can never make the request run twice.
    #[must_use]
    pub const fn retry_is_safe(self) -> bool {
        match self {
            Self::NotDispatched | Self::RejectedBeforeProcessing | Self::EngineRetryable => true,
            Self::Completed | Self::Uncertain => false,
        }
    }

    /// Whether the engine certainly spent nothing on the attempt.
    #[must_use]
    pub const fn is_unprocessed(self) -> bool {
        matches!(self, Self::NotDispatched | Self::RejectedBeforeProcessing)
    }
}
