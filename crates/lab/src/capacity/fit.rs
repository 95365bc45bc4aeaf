//! Straight lines through measured points.

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Growth for each further unit.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
}

impl Line {
    /// The line with the least squared distance from the points.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        if points.is_empty() {
            return Self {
                slope: 0.0,
                base: 0.0,
            };
        }
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return Self {
                slope: 0.0,
                base: mean_y,
            };
        }
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = common / spread;
        Self {
            slope,
            base: mean_y - slope * mean_x,
        }
    }
}
