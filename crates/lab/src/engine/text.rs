//! Text of prompts and answers. A prompt names its request and the length of the answer it
//! wants; the answer names the request again, so that a checker can tell a mixed-up answer.

use luglink_types::{ChatMessage, Role};
use std::fmt::Write;

/// Length of answers to prompts that name none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 64;

const REQUEST_PREFIX: &str = "request=";
const OUTPUT_PREFIX: &str = "output=";
const ANSWER_PREFIX: &str = "re:";

/// Distinct filler words.
const WORDS: u64 = 4_096;

/// A prompt of `tokens` tokens that wants an answer of `output_tokens` tokens.
#[must_use]
pub fn prompt_text(request: &str, tokens: u64, output_tokens: u64) -> String {
    let mut text = format!("{REQUEST_PREFIX}{request} {OUTPUT_PREFIX}{output_tokens}");
    let used = luglink_types::count_tokens(&text);
    push_words(&mut text, hash(request), tokens.saturating_sub(used));
    text
}

/// The first word of an answer to `request`: its name, or a digest of a name that would make
/// the word longer than a token. Cutting a long name instead would give requests that differ in
/// their last signs the same word.
#[must_use]
pub fn answer_marker(request: &str) -> String {
    let marker = format!("{ANSWER_PREFIX}{request}");
    if marker.len() <= MAX_TOKEN_BYTES {
        return marker;
    }
    let digits = MAX_TOKEN_BYTES - ANSWER_PREFIX.len();
    let mut digest = format!("{:016x}", hash(request));
    digest.truncate(digits);
    format!("{ANSWER_PREFIX}{digest}")
}

/// What the emulated model answers: the request it was asked and the length it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedAnswer {
    request: String,
    pub(crate) tokens: u64,
}

impl PlannedAnswer {
    /// Reads the plan out of the last message that is not the model's own.
    pub(crate) fn of(messages: &[ChatMessage]) -> Self {
        let asked = messages
            .iter()
            .rev()
            .find(|message| message.role != Role::Assistant)
            .map_or("", |message| message.content.as_str());
        let word = |prefix: &str| {
            asked
                .split_ascii_whitespace()
                .find_map(|word| word.strip_prefix(prefix))
        };
        let tokens = word(OUTPUT_PREFIX).and_then(|text| text.parse().ok());
        Self {
            request: word(REQUEST_PREFIX).unwrap_or_default().to_owned(),
            tokens: tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(1),
        }
    }

    /// The request that the prompt names.
    pub(crate) fn request(&self) -> &str {
        &self.request
    }

    /// The token at `index`, with the space after it. Each is exactly one token.
    pub(crate) fn token(&self, index: u64) -> String {
        if index == 0 {
            let mut marker = answer_marker(&self.request);
            marker.push(' ');
            return marker;
        }
        let word = hash(&self.request).wrapping_add(index) % WORDS;
        format!("{word:x} ")
    }
}

/// A longer word would count as more than one token.
const MAX_TOKEN_BYTES: usize = 16;

fn push_words(text: &mut String, seed: u64, count: u64) {
    for index in 0..count {
        let word = seed.wrapping_mul(31).wrapping_add(index) % WORDS;
        // Writing to a string cannot fail.
        let _ = write!(text, " {word:x}");
    }
}

fn hash(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
