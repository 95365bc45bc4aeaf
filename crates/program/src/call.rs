//! Calls of a program in the replicated state.

use crate::window::StartWindow;
use luglink_types::{
    AttemptNumber, Charge, ChatMessage, EngineId, Epoch, IdempotencyKey, Role, Sequence, TokenUsage,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Answer of a completed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Sequence number of the call in its program.
    pub sequence: Sequence,
    /// Complete text.
    pub text: String,
    /// Token usage that the engine reported.
    pub usage: TokenUsage,
    /// Number of attempts made.
    pub attempts: u32,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// The intent is durable and the outcome is not known yet.
    InFlight {
        /// Epoch of the owner that may dispatch the call.
        epoch: Epoch,
        /// Current attempt.
        attempt: AttemptNumber,
        /// Engine of the current attempt.
        engine: EngineId,
        /// Interval in which the current attempt may start.
        window: StartWindow,
    },
    /// The call has an answer.
    Completed {
        /// Index of the answer in the program's history.
        history_index: usize,
        /// Token usage that the engine reported.
        usage: TokenUsage,
        /// Number of attempts made.
        attempts: u32,
    },
    /// It is unknown whether the call ran.
    Uncertain {
        /// Last attempt.
        attempt: AttemptNumber,
    },
}

/// A call and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Sequence number of the call in its program.
    pub sequence: Sequence,
    /// Idempotency key of the call, if the caller set one.
    pub key: Option<IdempotencyKey>,
    /// Digest that distinguishes a repeated request from a different one with the same key.
    pub fingerprint: u64,
    /// True if the caller allows the call to run twice after a failure.
    pub repeatable: bool,
    /// Maximum that one attempt can spend.
    pub ceiling: Charge,
    /// Amount that is reserved for all attempts while the call is in flight.
    pub reservation: Charge,
    /// Price of one token in millionths of the currency unit.
    pub cost_per_token_micros: u64,
    /// Tokens in the new messages.
    pub input_tokens: u64,
    /// New messages that are not yet part of the history.
    pub pending: Vec<ChatMessage>,
    /// Current state.
    pub state: CallState,
}

impl CallRecord {
    /// Returns true if the call has an intent and no outcome.
    #[must_use]
    pub fn in_flight(&self) -> bool {
        matches!(self.state, CallState::InFlight { .. })
    }
}

/// Computes a digest of a request. Equal requests have equal digests on every replica.
#[must_use]
pub fn request_fingerprint(messages: &[ChatMessage], output_tokens: Option<u64>) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update([u8::from(output_tokens.is_some())]);
    hasher.update(output_tokens.unwrap_or_default().to_be_bytes());
    for message in messages {
        let role = match message.role {
            Role::System => 0_u8,
            Role::User => 1,
            Role::Assistant => 2,
            Role::Tool => 3,
        };
        hasher.update([role]);
        hasher.update((message.content.len() as u64).to_be_bytes());
        hasher.update(message.content.as_bytes());
    }
    let digest = hasher.finalize();
    let mut bytes = [0_u8; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}
