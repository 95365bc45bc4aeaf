//! Outcomes of attempts.

use serde::{Deserialize, Serialize};

/// Class of an attempt's outcome. The set of classes is closed and follows the Model Budget Policy,
/// version 1. The class alone determines whether the call may be attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeClass {
    /// The daemon did not send the request.
    NotDispatched,
    /// The engine rejected the request before processing it.
    RejectedBeforeProcessing,
    /// The engine reported that the request failed and may be sent again.
    EngineRetryable,
    /// The engine sent a complete response.
    Completed,
    /// It is unknown whether the request ran.
    Uncertain,
}

impl OutcomeClass {
    /// Returns true if another attempt cannot make the request run twice.
    #[must_use]
    pub const fn retry_is_safe(self) -> bool {
        match self {
            Self::NotDispatched | Self::RejectedBeforeProcessing | Self::EngineRetryable => true,
            Self::Completed | Self::Uncertain => false,
        }
    }

    /// Returns true if the engine certainly did no work for the attempt.
    #[must_use]
    pub const fn is_unprocessed(self) -> bool {
        matches!(self, Self::NotDispatched | Self::RejectedBeforeProcessing)
    }
}
