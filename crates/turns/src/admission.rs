//! Whether a turn's reservation fits its program's budget.

/// Turns' worth of tokens that must be left of a budget for one look at it to do.
///
/// Of two turns that race, at least one sees the other on a store that both wrote to, so of `n`
/// that race one sees half of the others. With room for four more than it sees, nine can race
/// without passing the budget together.
const CALM_TURNS: u64 = 4;

/// What a look at a program's account, with the turn's own reservation in it, comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn may be sent.
    Admit,
    /// The budget is nearly spent: others that reserve at the same moment may not be in sight
    /// yet. The account must be read from a quorum once more, now that the turn's own
    /// reservation is on one; of all that race, the one that reads last sees every other.
    ReadAgain,
    /// The turn does not fit.
    Refuse,
}

impl BudgetDecision {
    /// Judges a first look: `total` tokens of the account, the turn's own `ceiling` included.
    #[must_use]
    pub fn after_first_read(total: u64, ceiling: u64, budget: u64) -> Self {
        if total > budget {
            return Self::Refuse;
        }
        if total + CALM_TURNS * ceiling <= budget {
            return Self::Admit;
        }
        Self::ReadAgain
    }

    /// Judges a second look.
    #[must_use]
    pub fn after_second_read(total: u64, budget: u64) -> Self {
        if total > budget {
            Self::Refuse
        } else {
            Self::Admit
        }
    }
}
