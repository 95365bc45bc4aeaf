//! What a program has spent.

use crate::record::TurnId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one turn takes from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spend {
    /// It is under way and may take this many tokens.
    Reserved(u64),
    /// It is over and took this many.
    Settled(u64),
}

impl Spend {
    /// Tokens that count against the budget.
    #[must_use]
    pub fn tokens(self) -> u64 {
        match self {
            Self::Reserved(tokens) | Self::Settled(tokens) => tokens,
        }
    }

    /// What two stores' words about one turn come to. The end of a turn outlasts its beginning,
    /// whichever arrives first.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Settled(left), Self::Settled(right)) => Self::Settled(left.max(right)),
            (Self::Settled(tokens), Self::Reserved(_))
            | (Self::Reserved(_), Self::Settled(tokens)) => Self::Settled(tokens),
            (Self::Reserved(left), Self::Reserved(right)) => Self::Reserved(left.max(right)),
        }
    }
}

/// What all turns of a program take. Merging is commutative, associative and idempotent, so
/// copies agree once they have seen the same words, in whatever order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    spends: BTreeMap<TurnId, Spend>,
}

impl Account {
    /// Notes what a turn takes. Returns whether that changed anything.
    pub fn note(&mut self, turn: &TurnId, spend: Spend) -> bool {
        let known = self.spends.get(turn).copied();
        let merged = known.map_or(spend, |known| known.merge(spend));
        if known == Some(merged) {
            return false;
        }
        self.spends.insert(turn.clone(), merged);
        true
    }

    /// Takes in another copy.
    pub fn merge(&mut self, other: &Self) {
        for (turn, spend) in &other.spends {
            self.note(turn, *spend);
        }
    }

    /// Tokens that count against the budget.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spends.values().map(|spend| spend.tokens()).sum()
    }

    /// Each turn's part.
    pub fn spends(&self) -> impl Iterator<Item = (&TurnId, Spend)> {
        self.spends.iter().map(|(turn, spend)| (turn, *spend))
    }

    /// What a turn takes, when it is known.
    #[must_use]
    pub fn spend_of(&self, turn: &TurnId) -> Option<Spend> {
        self.spends.get(turn).copied()
    }

    /// Whether no turn but `turn` has taken or holds anything, as when `turn` begins the program.
    #[must_use]
    pub fn is_first_turn(&self, turn: &TurnId) -> bool {
        let mut others = self.spends().filter(|(other, _)| *other != turn);
        others.all(|(_, spend)| spend == Spend::Settled(0))
    }

    /// Whether nothing was noted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spends.is_empty()
    }
}
