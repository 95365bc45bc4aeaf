//! Means over seeds with their confidence intervals.

use serde::Serialize;

/// Width of a 95% interval in standard errors, for the normal distribution.
const STANDARD_ERRORS: f64 = 1.96;

/// A mean over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Half of the 95% confidence interval.
    pub margin: f64,
}

impl Estimate {
    /// The mean of some values.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        if values.len() == 1 {
            return Self { mean, margin: 0.0 };
        }
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = (squares / (count - 1.0)).sqrt() / count.sqrt();
        Self {
            mean,
            margin: STANDARD_ERRORS * error,
        }
    }
}
