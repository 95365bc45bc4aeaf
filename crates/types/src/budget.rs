//! Budgets and the charges against them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Value of a limit that means unlimited.
pub const UNLIMITED: u64 = u64::MAX;

/// Limits on the resources that a program uses during its lifetime. Tokens are new prompt tokens
/// and generated tokens; history that is sent again is not charged again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Budget {
    /// Model calls.
    pub calls: u64,
    /// New prompt tokens plus generated tokens.
    pub tokens: u64,
    /// Cost in millionths of the operator's currency unit.
    pub cost_micros: u64,
    /// Attempts beyond the first of each call.
    pub retries: u64,
    /// Time from the program's creation to its last response, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            calls: UNLIMITED,
            tokens: UNLIMITED,
            cost_micros: UNLIMITED,
            retries: UNLIMITED,
            deadline_ms: UNLIMITED,
        }
    }
}

impl Budget {
    /// Returns the smaller limit of the two budgets in each dimension.
    #[must_use]
    pub fn intersect(&self, other: &Budget) -> Budget {
        Budget {
            calls: self.calls.min(other.calls),
            tokens: self.tokens.min(other.tokens),
            cost_micros: self.cost_micros.min(other.cost_micros),
            retries: self.retries.min(other.retries),
            deadline_ms: self.deadline_ms.min(other.deadline_ms),
        }
    }

    /// Returns the deadline as a duration, or `None` if it is unlimited.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        (self.deadline_ms != UNLIMITED).then(|| Duration::from_millis(self.deadline_ms))
    }

    /// Returns the first dimension in which `spent` plus `more` exceeds this budget.
    #[must_use]
    pub fn exceeded_by(&self, spent: &Charge, more: &Charge) -> Option<BudgetDimension> {
        let total = spent.plus(more);
        if total.calls > self.calls {
            return Some(BudgetDimension::Calls);
        }
        if total.tokens > self.tokens {
            return Some(BudgetDimension::Tokens);
        }
        if total.cost_micros > self.cost_micros {
            return Some(BudgetDimension::Cost);
        }
        if total.retries > self.retries {
            return Some(BudgetDimension::Retries);
        }
        None
    }
}

/// A dimension of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetDimension {
    /// Model calls.
    Calls,
    /// Tokens.
    Tokens,
    /// Cost.
    Cost,
    /// Retries.
    Retries,
}

impl BudgetDimension {
    /// Returns the name of the budget's field.
    #[must_use]
    pub const fn field(self) -> &'static str {
        match self {
            Self::Calls => "budget.calls",
            Self::Tokens => "budget.tokens",
            Self::Cost => "budget.cost_micros",
            Self::Retries => "budget.retries",
        }
    }
}

/// Amounts reserved or spent, in all dimensions of a budget except the deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// Model calls.
    pub calls: u64,
    /// New prompt tokens plus generated tokens.
    pub tokens: u64,
    /// Cost in millionths of the operator's currency unit.
    pub cost_micros: u64,
    /// Attempts beyond the first.
    pub retries: u64,
}

impl Charge {
    /// Returns the sum, saturating in each dimension.
    #[must_use]
    pub fn plus(&self, other: &Charge) -> Charge {
        Charge {
            calls: self.calls.saturating_add(other.calls),
            tokens: self.tokens.saturating_add(other.tokens),
            cost_micros: self.cost_micros.saturating_add(other.cost_micros),
            retries: self.retries.saturating_add(other.retries),
        }
    }

    /// Returns the difference, saturating at zero in each dimension.
    #[must_use]
    pub fn minus(&self, other: &Charge) -> Charge {
        Charge {
            calls: self.calls.saturating_sub(other.calls),
            tokens: self.tokens.saturating_sub(other.tokens),
            cost_micros: self.cost_micros.saturating_sub(other.cost_micros),
            retries: self.retries.saturating_sub(other.retries),
        }
    }
}
