//! What things cost: slopes measured on the real logic, and what follows for a given size.

mod cluster;
mod commits;
mod daemons;
mod disk;
mod fit;
mod memory;
mod routing;
mod size;

pub use fit::Line;
pub use memory::{Probe, probe};
pub use size::{TargetSize, derive};

use serde::Serialize;

/// One measured quantity and how it grows.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Short name, used by the derivation.
    pub name: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// Unit of the slope.
    pub unit: &'static str,
    /// Growth for each further unit of `over`.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
    /// What it grows with.
    pub over: &'static str,
    /// Sizes at which it was measured, with the value at each.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    pub(crate) fn fitted(
        name: &'static str,
        what: &'static str,
        unit: &'static str,
        over: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let line = Line::through(&points);
        Self {
            name,
            what,
            unit,
            slope: line.slope,
            base: line.base,
            over,
            points,
        }
    }
}

/// Measures every slope, one after the other.
#[must_use]
pub fn measure() -> Vec<Slope> {
    let mut slopes = commits::measure();
    slopes.extend(disk::measure());
    slopes.extend(daemons::measure());
    slopes.extend(routing::measure());
    slopes
}
