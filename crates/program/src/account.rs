//! Budget account of a program.

use luglink_types::{Budget, BudgetDimension, Charge};
use serde::{Deserialize, Serialize};

/// Rule for the unused part of a reservation once the usage of a call is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefundRule {
    /// Releases the unused part if the call completed, so that the engine's usage report is
    /// final, or if it certainly did not run.
    #[default]
    UnusedPart,
    /// Charges every reservation in full, as the Model Budget Policy, version 1, does.
    Never,
}

/// Spent and reserved amounts. Invariant: `spent + reserved` never exceeds the budget, so that
/// no order of outcomes can overspend it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    spent: Charge,
    reserved: Charge,
}

impl Account {
    /// Amount that has been spent.
    #[must_use]
    pub fn spent(&self) -> Charge {
        self.spent
    }

    /// Amount that calls in flight may still spend.
    #[must_use]
    pub fn reserved(&self) -> Charge {
        self.reserved
    }

    /// Returns the first dimension in which adding `amount` would exceed `budget`.
    #[must_use]
    pub fn exceeded_dimension(&self, budget: &Budget, amount: &Charge) -> Option<BudgetDimension> {
        budget.exceeded_by(&self.spent.plus(&self.reserved), amount)
    }

    /// Reserves `amount`. The caller must have checked that it fits into the budget.
    pub(crate) fn reserve(&mut self, amount: &Charge) {
        self.reserved = self.reserved.plus(amount);
    }

    /// Replaces a reservation by the amount that was used.
    pub(crate) fn settle(&mut self, reservation: &Charge, used: &Charge) {
        self.reserved = self.reserved.minus(reservation);
        self.spent = self.spent.plus(used);
    }
}
