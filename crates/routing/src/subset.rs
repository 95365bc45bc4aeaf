//! The part of a pool that one daemon talks to.

use crate::router::ReplicaInfo;
use luglink_types::{DaemonId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Chooses at most `size` replicas: those of the daemon's own zone first, then others, each by
/// rendezvous hashing. So daemons spread evenly over the replicas, and a replica that comes or
/// goes changes at most one place of each daemon's subset.
#[must_use]
pub fn choose_subset(
    replicas: &[ReplicaInfo],
    daemon: DaemonId,
    zone: &ZoneName,
    size: usize,
) -> Vec<ReplicaInfo> {
    let mut ranked: Vec<(bool, u64, &ReplicaInfo)> = replicas
        .iter()
        .map(|replica| {
            let score = xxh3_64_with_seed(&replica.engine.0.to_be_bytes(), u64::from(daemon.0));
            (replica.zone != *zone, score, replica)
        })
        .collect();
    ranked.sort_by_key(|(other_zone, score, replica)| (*other_zone, *score, replica.engine));
    // A zone can be lost: some places always go to the other zones.
    let local = ranked
        .iter()
        .filter(|(other_zone, _, _)| !other_zone)
        .count();
    let reserved = (size / OTHER_ZONES_SHARE).min(ranked.len() - local);
    let local_places = local.min(size.saturating_sub(reserved));
    let near = ranked[..local].iter().take(local_places);
    let far = ranked[local..].iter().take(size - local_places.min(size));
    near.chain(far)
        .map(|(_, _, replica)| (*replica).clone())
        .collect()
}

/// One place in this many is kept for replicas of other zones.
const OTHER_ZONES_SHARE: usize = 4;
