//! Where a program begins, and whether it may, by what the replicas themselves say.

use std::time::Duration;

/// Where a program begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// At the candidate of that position.
    At(usize),
    /// Nowhere yet: all candidates are full.
    Refuse {
        /// How full the emptiest of them is.
        fullness: f64,
        /// When to come back.
        retry_delay: Duration,
    },
}

/// Time in which a full replica gets room for another program, about: a turn of the programs that
/// it has.
const ROOM_INTERVAL: Duration = Duration::from_millis(250);

/// Fullness above the emptiest candidate's up to which another one may be the better.
const NEARLY_AS_EMPTY: f64 = 0.1;

/// Chooses the emptier of two candidates ("the power of two choices", Mitzenmacher 2001): it
/// keeps replicas even without a view of all of them. `fullness` has an entry for each candidate,
/// `None` for one that did not say; `limit` is the fullness from which a replica takes no new
/// programs. `spread`, from 0 to 1, keeps callers that are refused together from coming back
/// together.
#[must_use]
pub fn place(fullness: &[Option<f64>], limit: f64, spread: f64) -> Placement {
    let known = fullness
        .iter()
        .enumerate()
        .filter_map(|(position, fullness)| fullness.map(|fullness| (position, fullness)));
    let emptiest = known.min_by(|left, right| left.1.total_cmp(&right.1));
    match emptiest {
        None => Placement::At(0),
        Some((position, fullness)) if fullness < limit => Placement::At(position),
        Some((_, fullness)) => Placement::Refuse {
            fullness,
            retry_delay: ROOM_INTERVAL.mul_f64(0.5 + fullness.min(4.0) * (0.5 + spread)),
        },
    }
}

/// Chooses the candidate at which a program is expected to be finished soonest, among those that
/// are less full than `open_below` and not much fuller than the emptiest. `seconds` has an entry
/// for each candidate, in the order of `fullness`. Everything else is as with [`place`]: fullness
/// also tells of the memory, which the time does not.
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
    let below = open_below.max(least + NEARLY_AS_EMPTY).min(limit);
    let open = fullness.iter().zip(seconds).enumerate();
    let open = open.filter(|(_, (fullness, _))| fullness.is_some_and(|known| known < below));
    let soonest = open.min_by(|(_, left), (_, right)| left.1.total_cmp(right.1));
    match soonest {
        Some((position, _)) => Placement::At(position),
        None => place(fullness, limit, spread),
    }
}
