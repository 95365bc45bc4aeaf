//! Placement of keys on stores by rendezvous hashing (highest random weight, Thaler and
//! Ravishankar, 1998).

use crate::view::{StoreName, StoreView};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the writable stores that own `key`, highest weight first: `copies` of them, or all if
/// there are fewer. Adding or removing a store moves only the keys that this store gains or loses.
#[must_use]
pub fn owners(view: &StoreView, key: &str, copies: usize) -> Vec<StoreName> {
    highest_ranked(view.writable().map(|(name, _)| name), key, copies)
}

/// Returns the stores that own `key` in the settled configuration of the view, highest weight first.
/// Their present disks may not belong to it ([`StoreView::is_settled`]).
#[must_use]
pub fn settled_owners(view: &StoreView, key: &str, copies: usize) -> Vec<StoreName> {
    highest_ranked(view.settled_names(), key, copies)
}

/// Returns the writable stores that own `key`, each with the disk that it has in the view. Requests under
/// two views meet at the same disks only if these are equal.
#[must_use]
pub fn owner_disks(view: &StoreView, key: &str, copies: usize) -> Vec<(StoreName, Option<u64>)> {
    let owners = owners(view, key, copies).into_iter();
    owners
        .map(|name| {
            let member = view.members.get(&name);
            let disk = member.map(|member| member.incarnation);
            (name, disk)
        })
        .collect()
}

fn highest_ranked<'name>(
    stores: impl Iterator<Item = &'name StoreName>,
    key: &str,
    copies: usize,
) -> Vec<StoreName> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<(u64, &StoreName)> = stores
        .map(|name| (xxh3_64_with_seed(name.0.as_bytes(), seed), name))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked
        .into_iter()
        .take(copies)
        .map(|(_, name)| name.clone())
        .collect()
}
