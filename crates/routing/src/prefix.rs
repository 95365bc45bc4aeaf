//! Identity of prompt prefixes: a chain of hashes, one for each block of tokens.

use luglink_types::{ChatMessage, Role, count_tokens};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in a block of an engine's prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Identifies a block and everything before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BlockHash(pub u64);

/// Hashes a growing conversation without reading it again.
#[derive(Clone, Debug, Default)]
pub struct PrefixHasher {
    chain: u64,
    tokens_in_block: u64,
    tokens: u64,
    blocks: Vec<BlockHash>,
}

impl PrefixHasher {
    /// A hasher whose prefixes belong to one model and adapter: the same text under another
    /// adapter has other cache content.
    #[must_use]
    pub fn new(model: &str, adapter: Option<&str>) -> Self {
        let chain = xxh3_64_with_seed(model.as_bytes(), 0);
        let chain = xxh3_64_with_seed(adapter.unwrap_or_default().as_bytes(), chain);
        Self {
            chain,
            ..Self::default()
        }
    }

    /// Adds a message.
    pub fn push(&mut self, message: &ChatMessage) {
        let role: &[u8] = match message.role {
            Role::System => b"system",
            Role::User => b"user",
            Role::Assistant => b"assistant",
            Role::Tool => b"tool",
        };
        self.chain = xxh3_64_with_seed(role, self.chain);
        for word in message.content.split_ascii_whitespace() {
            self.push_word(word);
        }
    }

    /// Tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The full blocks so far, each identifying everything up to its end.
    #[must_use]
    pub fn blocks(&self) -> &[BlockHash] {
        &self.blocks
    }

    fn push_word(&mut self, word: &str) {
        let tokens = count_tokens(word);
        self.chain = xxh3_64_with_seed(word.as_bytes(), self.chain);
        self.tokens += tokens;
        self.tokens_in_block += tokens;
        while self.tokens_in_block >= BLOCK_TOKENS {
            self.tokens_in_block -= BLOCK_TOKENS;
            self.blocks.push(BlockHash(self.chain));
        }
    }
}
