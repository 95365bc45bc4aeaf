//! Placement of new programs by the reports of the replicas.

use std::time::Duration;

/// Decision on where a program starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// At the candidate with this index.
    At(usize),
    /// Nowhere, because all candidates are full.
    Refuse {
        /// Fullness of the least full candidate.
        fullness: f64,
        /// Time after which to retry.
        retry_delay: Duration,
    },
}

/// Approximate time in which a full replica has room for another program: one turn of its current
/// programs.
const FREE_SLOT_INTERVAL: Duration = Duration::from_millis(250);

/// Fullness above that of the least full candidate up to which another one may be preferred.
const FULLNESS_TOLERANCE: f64 = 0.1;

/// Chooses the less full of two candidates ("the power of two choices", Mitzenmacher 2001), which
/// balances replicas without a view of all of them. `fullness` has an entry for each candidate,
/// `None` for one that did not report. `limit` is the fullness from which a replica takes no new
/// programs. `spread`, from 0 to 1, spreads the retries of callers that are refused together.
#[must_use]
pub fn place(fullness: &[Option<f64>], limit: f64, spread: f64) -> Placement {
    let known = fullness
        .iter()
        .enumerate()
        .filter_map(|(position, fullness)| fullness.map(|fullness| (position, fullness)));
    let least_full = known.min_by(|left, right| left.1.total_cmp(&right.1));
    match least_full {
        None => Placement::At(0),
        Some((position, fullness)) if fullness < limit => Placement::At(position),
        Some((_, fullness)) => Placement::Refuse {
            fullness,
            retry_delay: FREE_SLOT_INTERVAL.mul_f64(0.5 + fullness.min(4.0) * (0.5 + spread)),
        },
    }
}

/// Chooses the candidate with the earliest expected finish among those that are less full than
/// `open_below` or not much fuller than the least full one. `seconds` has the expected finish of
/// each candidate, in the order of `fullness`. Everything else is as with [`place`]. Fullness also
/// covers the memory, which the expected time does not.
#[must_use]
pub fn place_soonest(
    fullness: &[Option<f64>],
    seconds: &[f64],
    open_below: f64,
    limit: f64,
    spread: f64,
) -> Placement {
    let known = || fullness.iter().flatten();
    let least = known().copied().min_by(f64::total_cmp).unwrap_or(0.0);
    let below = open_below.max(least + FULLNESS_TOLERANCE).min(limit);
    let open = fullness.iter().zip(seconds).enumerate();
    let open = open.filter(|(_, (fullness, _))| fullness.is_some_and(|known| known < below));
    let soonest = open.min_by(|(_, left), (_, right)| left.1.total_cmp(right.1));
    match soonest {
        Some((position, _)) => Placement::At(position),
        None => place(fullness, limit, spread),
    }
}
