//! Priority of a program.

use serde::{Deserialize, Serialize};

/// How urgent a program is. Later variants go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Nobody waits for the answer.
    Background,
    /// The default.
    #[default]
    Normal,
    /// A person waits for the answer.
    Interactive,
}

impl Priority {
    /// Number of priorities.
    pub const COUNT: usize = 3;

    /// Every priority, the most urgent first.
    pub const MOST_URGENT_FIRST: [Priority; Self::COUNT] =
        [Self::Interactive, Self::Normal, Self::Background];

    /// The priority as a small number, higher is more urgent.
    #[must_use]
    pub const fn rank(self) -> u8 {
        match self {
            Self::Background => 0,
            Self::Normal => 1,
            Self::Interactive => 2,
        }
    }
}
