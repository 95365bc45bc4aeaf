//! Identifiers of prompt prefixes: a chain of hashes, one for each block of tokens.

use luglink_types::{ChatMessage, Role, count_tokens};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of tokens in a block of an engine's prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Hash of a block and all blocks before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BlockHash(pub u64);

/// Incremental hasher of a growing conversation.
#[derive(Clone, Debug, Default)]
pub struct PrefixHasher {
    chain: u64,
    tokens_in_block: u64,
    tokens: u64,
    blocks: Vec<BlockHash>,
}

impl PrefixHasher {
    /// Creates a hasher for one model and adapter: the same text has other cache content under
    /// another adapter.
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

    /// Returns the number of tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the hashes of the full blocks so far.
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
