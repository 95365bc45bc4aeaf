//! Which gateways a caller is told to go to.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways that an answer names at the most; the users' platform takes no more.
const MAX_GATEWAYS: usize = 64;

/// Gateways of the caller's zone from which on the caller is told only of these: what it sends
/// then crosses no zone on its way to replicas of that zone, and all turns of a program meet
/// gateways that agree on its replica. So many that the loss of some of them at once leaves enough.
const ENOUGH_NEAR: usize = 12;

/// A gateway that takes callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayPlace {
    /// Its zone.
    pub zone: String,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// The gateways that a caller in `zone` is told of: those of its zone, and of others when these
/// are few. Of more than fit, one `salt` always names the same ones: callers leave a gateway that
/// is not named any more.
#[must_use]
pub fn named_gateways(
    mut gateways: Vec<GatewayPlace>,
    zone: Option<&str>,
    salt: u64,
) -> Vec<SocketAddr> {
    let is_near = |gateway: &GatewayPlace| Some(gateway.zone.as_str()) == zone;
    let near = gateways.iter().filter(|gateway| is_near(gateway)).count();
    if near >= ENOUGH_NEAR {
        gateways.retain(is_near);
    }
    gateways.sort_by_cached_key(|gateway| {
        let rank = xxh3_64_with_seed(gateway.address.to_string().as_bytes(), salt);
        (!is_near(gateway), rank)
    });
    let addresses = gateways.into_iter().map(|gateway| gateway.address);
    addresses.take(MAX_GATEWAYS).collect()
}
