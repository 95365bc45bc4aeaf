//! One call of a program, as the replicated state keeps it.

use crate::window::StartWindow;
use luglink_types::{
    AttemptNumber, Charge, ChatMessage, EngineId, Epoch, IdempotencyKey, Role, Sequence, TokenUsage,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A completed call's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The call's place in its program.
    pub sequence: Sequence,
    /// The whole text.
    pub text: String,
    /// What the engine reported.
    pub usage: TokenUsage,
    /// Number of attempts made.
    pub attempts: u32,
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// The intent is durable, the outcome is not known yet.
    InFlight {
        /// Epoch of the owner that may dispatch it.
        epoch: Epoch,
        /// The attempt under way.
        attempt: AttemptNumber,
        /// The engine of that attempt.
        engine: EngineId,
        /// When it may start.
        window: StartWindow,
    },
    /// Answered.
    Completed {
        /// Index of the answer in the program's history.
        history_index: usize,
        /// What the engine reported.
        usage: TokenUsage,
        /// Number of attempts made.
        attempts: u32,
    },
    /// Nobody can tell whether it ran.
    Uncertain {
        /// The last attempt made.
        attempt: AttemptNumber,
    },
}

/// A call and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Place in the program.
    pub sequence: Sequence,
    /// The caller's name for the call.
    pub key: Option<IdempotencyKey>,
    /// Tells a repeated request from a different one under the same key.
    pub fingerprint: u64,
    /// Whether the caller allows it to run twice after a failure.
    pub repeatable: bool,
    /// The most that one attempt can spend.
    pub ceiling: Charge,
    /// What is reserved for all its attempts while it is in flight.
    pub reservation: Charge,
    /// Price of one token in millionths of the currency unit.
    pub cost_per_token_micros: u64,
    /// Tokens of the new messages.
    pub input_tokens: u64,
    /// New messages that are not yet part of the history.
    pub pending: Vec<ChatMessage>,
    /// Where it stands.
    pub state: CallState,
}

impl CallRecord {
    /// Whether the call has an intent without an outcome.
    #[must_use]
    pub fn in_flight(&self) -> bool {
        matches!(self.state, CallState::InFlight { .. })
    }
}

/// A digest of what a caller asked for, equal for equal requests on every replica.
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
