//! Which stores hold what: highest random weight (Thaler and Ravishankar, 1998).

use crate::view::{StoreName, StoreView};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The stores that hold the state of `key`, best first: `copies` of them, or all when there are
/// fewer. A view that differs by one store moves only what that store gains or loses.
#[must_use]
pub fn owners(view: &StoreView, key: &str, copies: usize) -> Vec<StoreName> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<(u64, &StoreName)> = view
        .writable()
        .map(|(name, _)| (xxh3_64_with_seed(name.0.as_bytes(), seed), name))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(copies)
        .map(|(_, name)| name.clone())
        .collect()
}
