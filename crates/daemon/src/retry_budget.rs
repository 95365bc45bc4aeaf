//! Retry budget: limits retries to a ratio of the requests, so that failures cannot multiply the
//! load.

/// Token bucket: each request deposits a fraction of a token, each retry withdraws a whole one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    ratio: f64,
    reserve: f64,
    balance: f64,
}

impl RetryBudget {
    pub(crate) fn new(ratio: f64, reserve: f64) -> Self {
        Self {
            ratio,
            reserve,
            balance: reserve,
        }
    }

    pub(crate) fn on_request(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    pub(crate) fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
