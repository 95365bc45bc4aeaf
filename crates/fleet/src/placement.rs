//! Placement of keys on stores by rendezvous hashing (highest random weight, Thaler and
//! Ravishankar, 1998).

use crate::view::{StoreName, StoreView};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the stores that hold the state of `key`, highest weight first: `copies` of them, or all
/// if there are fewer. Adding or removing a store moves only the keys that this store gains or
/// loses.
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
