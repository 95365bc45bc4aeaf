//! Messages of a conversation and their size in tokens.

use serde::{Deserialize, Serialize};

/// Author of a message. The names are those of the OpenAI chat protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Author of the instructions to the model.
    System,
    /// Caller.
    User,
    /// Model.
    Assistant,
    /// Tool whose result the message contains.
    Tool,
}

/// Message in the history of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author.
    pub role: Role,
    /// Text.
    pub content: String,
}

/// Token counts that an engine reports for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the whole prompt, including the history.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine found in its prefix cache.
    pub cached_tokens: u64,
}

/// Longest word that counts as one token, in bytes.
const MAX_BYTES_PER_TOKEN: usize = 16;

/// Returns the number of tokens of `text`: one for each word, and more for words longer than
/// `MAX_BYTES_PER_TOKEN` bytes. Engines are expected to count in the same way. The engine enforces
/// the limit on generated tokens exactly in any case.
#[must_use]
pub fn count_tokens(text: &str) -> u64 {
    text.split_ascii_whitespace()
        .map(|word| word.len().div_ceil(MAX_BYTES_PER_TOKEN) as u64)
        .sum()
}
