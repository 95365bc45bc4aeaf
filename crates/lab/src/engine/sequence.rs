//! One request inside the engine.

use crate::engine::text::PlannedAnswer;
use luglink_routing::{BlockHash, PrefixHasher};
use luglink_types::{ChatMessage, Epoch, ProgramId, Role, Timestamp};

/// A request as the engine takes it.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Identifier, unique at the engine.
    pub id: u64,
    /// Program, if the request belongs to one.
    pub program: Option<ProgramId>,
    /// Owner epoch of the sender.
    pub epoch: Epoch,
    /// Higher goes first.
    pub priority: u8,
    /// Model.
    pub model: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Prompt.
    pub messages: Vec<ChatMessage>,
    /// Ceiling of generated tokens.
    pub max_tokens: u64,
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct RunningSequence {
    pub(crate) id: u64,
    pub(crate) program: Option<ProgramId>,
    pub(crate) priority: u8,
    pub(crate) arrived_at: Timestamp,
    pub(crate) prefix: PrefixHasher,
    pub(crate) answer: PlannedAnswer,
    pub(crate) output_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Prompt tokens whose computation is done, cached ones included.
    pub(crate) prefilled: u64,
    pub(crate) generated: u64,
    /// Hashed blocks in use.
    pub(crate) held: Vec<BlockHash>,
    /// Blocks without a hash in use.
    pub(crate) private: usize,
    /// The prompt's cached part has been counted.
    pub(crate) counted: bool,
}

impl RunningSequence {
    pub(crate) fn new(request: &EngineRequest, now: Timestamp) -> Self {
        let mut prefix = PrefixHasher::new(&request.model, request.adapter.as_deref());
        for message in &request.messages {
            prefix.push(message);
        }
        let answer = PlannedAnswer::of(&request.messages);
        Self {
            id: request.id,
            program: request.program,
            priority: request.priority,
            arrived_at: now,
            output_tokens: answer.tokens.min(request.max_tokens).max(1),
            prompt_tokens: prefix.tokens(),
            prefix,
            answer,
            cached_tokens: 0,
            prefilled: 0,
            generated: 0,
            held: Vec::new(),
            private: 0,
            counted: false,
        }
    }

    pub(crate) fn prefill_left(&self) -> u64 {
        self.prompt_tokens - self.prefilled.min(self.prompt_tokens)
    }

    pub(crate) fn is_decoding(&self) -> bool {
        self.prefill_left() == 0
    }

    /// The blocks that the prompt and the whole answer fill, for caching the turn's end.
    pub(crate) fn final_blocks(&self) -> Vec<BlockHash> {
        let text: String = (0..self.generated)
            .map(|index| self.answer.token(index))
            .collect();
        let mut prefix = self.prefix.clone();
        prefix.push(&ChatMessage {
            role: Role::Assistant,
            content: text,
        });
        prefix.blocks().to_vec()
    }
}
