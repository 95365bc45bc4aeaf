//! A program's budget account.

use luglink_types::{Budget, BudgetDimension, Charge};
use serde::{Deserialize, Serialize};

/// What happens to the unused part of a reservation once a call's use is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefundRule {
    /// The unused part is given back when the engine's report is final (completed calls) or
    /// when certainly nothing ran.
    #[default]
    UnusedPart,
    /// Nothing is ever given back, as in "Model Budget Policy v1 (issue #179)".
    Never,
}

/// Spent and reserved amounts. The invariant is that `spent + reserved` never passes the
/// budget, so that no order of outcomes can overspend it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    spent: Charge,
    reserved: Charge,
}

impl Account {
    /// What has been spent for good.
    #[must_use]
    pub fn spent(&self) -> Charge {
        self.spent
    }

    /// What calls in flight may still spend.
    #[must_use]
    pub fn reserved(&self) -> Charge {
        self.reserved
    }

    /// The first dimension in which `amount` no longer fits into `budget`.
    #[must_use]
    pub fn lacks_room(&self, budget: &Budget, amount: &Charge) -> Option<BudgetDimension> {
        budget.exceeded_by(&self.spent.plus(&self.reserved), amount)
    }

    /// Reserves `amount`. The caller has checked that it fits.
    pub(crate) fn reserve(&mut self, amount: &Charge) {
        self.reserved = self.reserved.plus(amount);
    }

    /// Turns a reservation into what was used and gives the rest back.
    pub(crate) fn settle(&mut self, reservation: &Charge, used: &Charge) {
        self.reserved = self.reserved.minus(reservation);
        self.spent = self.spent.plus(used);
    }
}
