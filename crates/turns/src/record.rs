//! A turn as it is kept.

use luglink_fleet::BackendId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifier of a turn: that of the request that brought it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TurnId(pub String);

impl fmt::Display for TurnId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Name of a program, as its caller chose it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProgramName(pub String);

/// A turn that was answered whole. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn.
    pub id: TurnId,
    /// The program that it belongs to, which decides where it is kept.
    pub program: ProgramName,
    /// The turns that it goes on from, the oldest first.
    pub ancestors: Vec<TurnId>,
    /// What the caller sent.
    pub input: Vec<u8>,
    /// What was answered, as later prompts repeat it.
    pub output: Vec<u8>,
    /// The replica that holds its prompt in cache.
    pub served_by: Option<BackendId>,
    /// Time for which it is kept, in milliseconds.
    pub retention_ms: u64,
}

impl TurnRecord {
    /// Bytes that the record takes, about.
    #[must_use]
    pub fn size(&self) -> usize {
        self.input.len() + self.output.len() + 64 * (self.ancestors.len() + 2)
    }
}
