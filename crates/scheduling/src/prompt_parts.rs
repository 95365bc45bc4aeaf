//! Parser for the callers' descriptions of their prompts.

use crate::finish::SharedPart;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of parts that are read, because callers write the header.
const MAX_PARTS: usize = 64;

/// Caller's description of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Part that the prompt shares with those of other programs.
    pub shared: Option<SharedPart>,
}

impl PromptParts {
    /// Parses `usage` ("prompt tokens,maximum output tokens") and `parts` ("ID:TOKENS,ID:TOKENS",
    /// with hexadecimal identifiers and the part that is not shared last). Returns `None` if
    /// neither contains the length of the prompt. A part that cannot be parsed counts as not
    /// shared, and so do those after it.
    #[must_use]
    pub fn read(usage: Option<&str>, parts: Option<&str>) -> Option<Self> {
        let tokens = usage.and_then(|usage| usage.split(',').next()?.trim().parse().ok());
        let parts: Vec<(u64, u32)> = parts
            .unwrap_or_default()
            .split(',')
            .take(MAX_PARTS)
            .map_while(parse_part)
            .collect();
        let sum = parts
            .iter()
            .fold(0_u32, |sum, (_, tokens)| sum.saturating_add(*tokens));
        let tokens = tokens.or((sum > 0).then_some(sum))?;
        let shared = parts.split_last().map(|(_, shared)| shared);
        let shared = shared.filter(|shared| !shared.is_empty());
        Some(Self {
            tokens,
            shared: shared.map(combine_parts),
        })
    }
}

fn parse_part(part: &str) -> Option<(u64, u32)> {
    let (id, tokens) = part.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some((id, tokens.parse().ok()?))
}

/// Combines parts into one, because a part is held only if all parts before it are held too.
fn combine_parts(parts: &[(u64, u32)]) -> SharedPart {
    let nothing = SharedPart { id: 0, tokens: 0 };
    parts
        .iter()
        .fold(nothing, |previous, (id, tokens)| SharedPart {
            id: xxh3_64_with_seed(&id.to_le_bytes(), previous.id),
            tokens: previous.tokens.saturating_add(*tokens),
        })
}
