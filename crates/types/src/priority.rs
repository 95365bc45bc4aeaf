//! Priority of a program.

use serde::{Deserialize, Serialize};

/// Priority of a program. Later variants have precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// No person waits for the response.
    Background,
    /// Default.
    #[default]
    Normal,
    /// A person waits for the response.
    Interactive,
}

impl Priority {
    /// Number of priorities.
    pub const COUNT: usize = 3;

    /// All priorities in descending order.
    pub const MOST_URGENT_FIRST: [Priority; Self::COUNT] =
        [Self::Interactive, Self::Normal, Self::Background];

    /// Returns the priority as a number; a higher number is more urgent.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Background => 0,
            Self::Normal => 1,
            Self::Interactive => 2,
        }
    }
}
