//! Which gateways a caller is told to go to.

use crate::shrinking::DecayingPeak;
use crate::zone_load::GatewayLoad;
use luglink_types::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gateways that an answer names at the most; the users' platform takes no more.
const MAX_GATEWAYS: usize = 64;

/// Gateways of the caller's zone from which on the caller is told only of these: what it sends
/// then crosses no zone on its way to replicas of that zone, and all turns of a program meet
/// gateways that agree on its replica. So many that the loss of some of them at once leaves enough.
const ENOUGH_NEAR: usize = 12;

/// A gateway that takes callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayLocation {
    /// Its zone.
    pub zone: String,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// Requests a second that a gateway is to have before callers are told of another one. A gateway
/// that has more of them finds more of its connections and turns warm: with 64 named in a zone of
/// 144 each had 5 requests a second, and every third one opened a connection. One request takes
/// 0.25 ms of a core (processor time of gateways that have 16 a second, less that of those that
/// have none), so this many take a tenth of the smallest share of a core, 0.12.
const REQUESTS_PER_GATEWAY: f64 = 32.0;

/// Gateways of a zone that are named however few requests there are: all of a small zone, so that a
/// burst finds them before the members have heard of it. Measured, it is worth nothing on a day with
/// a burst in zones of 17 gateways (0.851 with 24, 0.875 in the mean of four plays with 12), and in
/// zones of 144 it costs connections to replicas (6,829 instead of 5,320 on one day).
const NAMED_AT_LEAST: usize = 24;

/// Time in which half of the gateways that are not needed any more cease to be named.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// How many gateways of a zone callers are told of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvertisedCount(DecayingPeak);

impl AdvertisedCount {
    /// Takes what the gateways of the zone have to do.
    pub fn follow(&mut self, load: &GatewayLoad, now: Timestamp) {
        let need = load.requests_per_s() / REQUESTS_PER_GATEWAY;
        self.0.follow(need, HALF_LIFE, now);
    }

    /// The number of gateways.
    #[must_use]
    pub fn count(&self) -> usize {
        let count = self.0.size().ceil() as usize;
        count.clamp(NAMED_AT_LEAST, MAX_GATEWAYS)
    }
}

/// The gateways that a caller in `zone` is told of: as many of its zone as `named` says, and of
/// others when there are few. The same ones again and again, since callers leave a gateway that is
/// not named any more, and the same by all members of a zone unless it needs more than fit an
/// answer: then each `salt` names others.
#[must_use]
pub fn advertised_gateways(
    mut gateways: Vec<GatewayLocation>,
    zone: Option<&str>,
    named: AdvertisedCount,
    salt: u64,
) -> Vec<SocketAddr> {
    let is_near = |gateway: &GatewayLocation| Some(gateway.zone.as_str()) == zone;
    let near = gateways.iter().filter(|gateway| is_near(gateway)).count();
    let mut count = MAX_GATEWAYS;
    if near >= ENOUGH_NEAR {
        gateways.retain(is_near);
        count = named.count();
    }
    let seed = if count < MAX_GATEWAYS { 0 } else { salt };
    gateways.sort_by_cached_key(|gateway| {
        let rank = xxh3_64_with_seed(gateway.address.to_string().as_bytes(), seed);
        (!is_near(gateway), rank)
    });
    let addresses = gateways.into_iter().map(|gateway| gateway.address);
    addresses.take(count).collect()
}
