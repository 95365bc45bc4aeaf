//! Conversation messages and their size in tokens.

use serde::{Deserialize, Serialize};

/// Who wrote a message. The names are those of the OpenAI chat protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions to the model.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// The result of a tool.
    Tool,
}

/// One message of a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who wrote it.
    pub role: Role,
    /// The text.
    pub content: String,
}

/// Tokens that an engine reports for one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the whole prompt, history included.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Tokens of the prompt that the engine found in its prefix cache.
    pub cached_tokens: u64,
}

/// Longest stretch of text without white space that counts as one token, in bytes.
const BYTES_PER_TOKEN: usize = 16;

/// Number of tokens of `text`: one for each word, more for words longer than
/// [`BYTES_PER_TOKEN`] bytes. Engines are asked to count the same way; the engine's own limit
/// on generated tokens is exact in any case.
#[must_use]
pub fn count_tokens(text: &str) -> u64 {
    text.split_ascii_whitespace()
        .map(|word| word.len().div_ceil(BYTES_PER_TOKEN) as u64)
        .sum()
}
