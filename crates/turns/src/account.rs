//! Token account of a program.

use crate::record::TurnId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens that one turn takes from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spend {
    /// The turn is in progress and may take up to this many tokens.
    Reserved(u64),
    /// The turn is finished and took this many tokens.
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

    /// Merges the records of two stores about one turn. A settled record takes precedence over a
    /// reserved one, in whatever order they arrive.
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

/// Tokens taken by all turns of a program. Merging is commutative, associative and idempotent, so
/// copies that have received the same records agree, in whatever order they received them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    spends: BTreeMap<TurnId, Spend>,
}

impl Account {
    /// Records the tokens of a turn. Returns true if the account changed.
    pub fn record(&mut self, turn: &TurnId, spend: Spend) -> bool {
        let known = self.spends.get(turn).copied();
        let merged = known.map_or(spend, |known| known.merge(spend));
        if known == Some(merged) {
            return false;
        }
        self.spends.insert(turn.clone(), merged);
        true
    }

    /// Merges another copy into this one.
    pub fn merge(&mut self, other: &Self) {
        for (turn, spend) in &other.spends {
            self.record(turn, *spend);
        }
    }

    /// Tokens that count against the budget.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spends.values().map(|spend| spend.tokens()).sum()
    }

    /// Iterates over all turns and their tokens.
    pub fn spends(&self) -> impl Iterator<Item = (&TurnId, Spend)> {
        self.spends.iter().map(|(turn, spend)| (turn, *spend))
    }

    /// Returns the tokens of a turn if the account has a record of it.
    #[must_use]
    pub fn spend_of(&self, turn: &TurnId) -> Option<Spend> {
        self.spends.get(turn).copied()
    }

    /// Returns true if this copy counts at least as many tokens for each turn as `other`, so that
    /// merging `other` would not raise the total.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        other.spends().all(|(turn, spend)| {
            self.spend_of(turn)
                .is_some_and(|known| known.merge(spend).tokens() <= known.tokens())
        })
    }

    /// Returns a digest by which two copies can be compared without exchanging them.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let digests = self.spends().map(|(turn, spend)| {
            let seed = match spend {
                Spend::Reserved(tokens) => tokens << 1,
                Spend::Settled(tokens) => tokens << 1 | 1,
            };
            xxh3_64_with_seed(turn.0.as_bytes(), seed)
        });
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns true if no turn other than `turn` has spent or reserved tokens, which means that
    /// `turn` is the first of the program.
    #[must_use]
    pub fn is_first_turn(&self, turn: &TurnId) -> bool {
        let mut others = self.spends().filter(|(other, _)| *other != turn);
        others.all(|(_, spend)| spend == Spend::Settled(0))
    }

    /// Returns true if the account has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spends.is_empty()
    }
}
