//! Admission of a turn's reservation against the budget of its program.

/// Number of further turns that must fit into the budget for a single read of the account to
/// suffice.
///
/// Of two concurrent turns, at least one sees the other on a store that both wrote to. So of `n`
/// concurrent turns, at least one sees half of the others. With a margin of four turns beyond
/// those seen, nine concurrent turns cannot exceed the budget together.
const FIRST_READ_MARGIN_TURNS: u64 = 4;

/// Decision after a read of a program's account that includes the turn's own reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The turn may be sent.
    Admit,
    /// The budget is nearly exhausted, and concurrent reservations may not be visible yet. The
    /// account must be read again from a quorum now that the turn's own reservation is on a
    /// quorum. Of all concurrent turns, the one that reads last then sees every other.
    ReadAgain,
    /// The turn does not fit into the budget.
    Refuse,
}

impl BudgetDecision {
    /// Decides after the first read. `total` is the sum of the account, including the turn's own
    /// `ceiling`.
    #[must_use]
    pub fn after_first_read(total: u64, ceiling: u64, budget: u64) -> Self {
        if total > budget {
            return Self::Refuse;
        }
        if total + FIRST_READ_MARGIN_TURNS * ceiling <= budget {
            return Self::Admit;
        }
        Self::ReadAgain
    }

    /// Decides after the second read.
    #[must_use]
    pub fn after_second_read(total: u64, budget: u64) -> Self {
        if total > budget {
            Self::Refuse
        } else {
            Self::Admit
        }
    }
}
