//! Selection of the part of a pool that one daemon uses.

use crate::router::ReplicaInfo;
use luglink_types::{DaemonId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Selects at most `size` replicas by rendezvous hashing: those of the daemon's own zone first,
/// then others. So daemons are distributed evenly over the replicas, and adding or removing a
/// replica changes at most one entry of each daemon's subset.
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
    // Some entries are always reserved for other zones, since a whole zone may fail.
    let local = ranked
        .iter()
        .filter(|(other_zone, _, _)| !other_zone)
        .count();
    let reserved = (size / OTHER_ZONES_DIVISOR).min(ranked.len() - local);
    let local_count = local.min(size.saturating_sub(reserved));
    let near = ranked[..local].iter().take(local_count);
    let far = ranked[local..].iter().take(size - local_count.min(size));
    near.chain(far)
        .map(|(_, _, replica)| (*replica).clone())
        .collect()
}

/// One of this many entries is reserved for replicas of other zones.
const OTHER_ZONES_DIVISOR: usize = 4;
