//! Chat completions, as published by OpenAI.

use luglink_types::{ChatMessage, Role, TokenUsage};
use serde::{Deserialize, Serialize};

/// `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model.
    pub model: String,
    /// Conversation.
    pub messages: Vec<ChatMessage>,
    /// Ceiling of generated tokens.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u64>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last event carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// Tokens used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt.
    pub prompt_tokens: u64,
    /// Generated.
    pub completion_tokens: u64,
    /// Sum.
    pub total_tokens: u64,
    /// Parts of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Parts of the prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl From<TokenUsage> for Usage {
    fn from(usage: TokenUsage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens.saturating_add(usage.completion_tokens),
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

impl From<Usage> for TokenUsage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Identifier.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Model.
    pub model: String,
    /// The one answer.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    pub usage: Usage,
}

impl ChatCompletion {
    /// A completion with one answer.
    #[must_use]
    pub fn new(id: String, model: String, content: String, usage: TokenUsage) -> Self {
        Self {
            id,
            object: "chat.completion".to_owned(),
            model,
            choices: vec![ChatChoice {
                index: 0,
                message: ChatMessage {
                    role: Role::Assistant,
                    content,
                },
                finish_reason: "stop".to_owned(),
            }],
            usage: usage.into(),
        }
    }
}

/// One answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Why it ends.
    pub finish_reason: String,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifier.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model.
    pub model: String,
    /// The parts; empty in the event that carries the usage.
    pub choices: Vec<ChatChunkChoice>,
    /// Tokens used, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl ChatChunk {
    /// An event with more text.
    #[must_use]
    pub fn part(id: &str, model: &str, content: String) -> Self {
        Self::with_choice(id, model, Some(content), None)
    }

    /// The event that ends the text.
    #[must_use]
    pub fn stop(id: &str, model: &str) -> Self {
        Self::with_choice(id, model, None, Some("stop".to_owned()))
    }

    /// The event that carries the usage.
    #[must_use]
    pub fn usage(id: &str, model: &str, usage: TokenUsage) -> Self {
        Self {
            choices: Vec::new(),
            usage: Some(usage.into()),
            ..Self::with_choice(id, model, None, None)
        }
    }

    fn with_choice(
        id: &str,
        model: &str,
        content: Option<String>,
        finish_reason: Option<String>,
    ) -> Self {
        Self {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            model: model.to_owned(),
            choices: vec![ChatChunkChoice {
                index: 0,
                delta: ChatDelta { content },
                finish_reason,
            }],
            usage: None,
        }
    }
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The part.
    pub delta: ChatDelta,
    /// Why the answer ends, in its last event.
    pub finish_reason: Option<String>,
}

/// More text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}
