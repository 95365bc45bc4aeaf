//! Chat completions of the OpenAI API.

use luglink_types::{ChatMessage, Role, TokenUsage};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Limit on generated tokens.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u64>,
    /// Requests the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// Options of a streamed response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Requests the token usage in the last event.
    #[serde(default)]
    pub include_usage: bool,
}

/// Token usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u64,
    /// Details of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Details of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Tokens that were found in the prefix cache.
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

/// Complete response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Identifier of the completion.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Choices; always one.
    pub choices: Vec<ChatChoice>,
    /// Token usage.
    pub usage: Usage,
}

impl ChatCompletion {
    /// Creates a completion with one choice.
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

/// Choice of a completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// Generated message.
    pub message: ChatMessage,
    /// Reason for the end of the message.
    pub finish_reason: String,
}

/// Event of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifier of the completion.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Choices; empty in the event with the token usage.
    pub choices: Vec<ChatChunkChoice>,
    /// Token usage, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl ChatChunk {
    /// Creates an event with more text.
    #[must_use]
    pub fn part(id: &str, model: &str, content: String) -> Self {
        Self::with_choice(id, model, Some(content), None)
    }

    /// Creates the event that ends the text.
    #[must_use]
    pub fn stop(id: &str, model: &str) -> Self {
        Self::with_choice(id, model, None, Some("stop".to_owned()))
    }

    /// Creates the event with the token usage.
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

/// Choice of an event of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunkChoice {
    /// Always 0.
    pub index: u32,
    /// Part of the generated message.
    pub delta: ChatDelta,
    /// Reason for the end of the message, in its last event.
    pub finish_reason: Option<String>,
}

/// Part of a generated message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Text of the part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}
