//! Selection of the gateways that are advertised to callers.

use crate::decaying_peak::DecayingPeak;
use crate::zone_load::GatewayLoad;
use luglink_types::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of gateways in a response; the callers' platform accepts no more.
const MAX_GATEWAYS: usize = 64;

/// Number of gateways in the caller's zone from which only these are advertised: requests to
/// replicas of that zone then do not cross zones, and all turns of a program reach gateways that
/// agree on its replica. With fewer, the simultaneous loss of several could leave too few.
const MIN_NEAR_GATEWAYS: usize = 12;

/// Address and zone of a gateway that accepts callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayLocation {
    /// Its zone.
    pub zone: String,
    /// Address for callers.
    pub address: SocketAddr,
}

/// Request rate of a gateway, per second, at which another one is advertised. A busier gateway
/// finds more of its connections and cached turns warm: with 64 gateways advertised in a zone of
/// 144, each had 5 requests a second, and every third one opened a connection. A request takes
/// 0.25 ms of a core (processor time of gateways with 16 requests a second, minus that of idle
/// ones), so this rate takes a tenth of the smallest processor share, 0.12 cores.
const REQUESTS_PER_S_PER_GATEWAY: f64 = 32.0;

/// Minimum number of advertised gateways per zone: all gateways of a small zone, so that they can
/// take a burst before the members know of it. Replays show no benefit: a day with a burst in zones
/// of 17 gateways scored 0.851 with 24 and 0.875 with 12 (mean of four runs). In zones of 144
/// gateways a day took 6,829 connections to replicas instead of 5,320.
const MIN_ADVERTISED: usize = 24;

/// Half-life of the number of advertised gateways that are no longer needed.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Number of gateways of a zone that are advertised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvertisedCount(DecayingPeak);

impl AdvertisedCount {
    /// Updates the number with the current load of the zone's gateways.
    pub fn follow(&mut self, load: &GatewayLoad, now: Timestamp) {
        let demand = load.requests_per_s() / REQUESTS_PER_S_PER_GATEWAY;
        self.0.follow(demand, HALF_LIFE, now);
    }

    /// Returns the number of gateways to advertise.
    #[must_use]
    pub fn count(&self) -> usize {
        let count = self.0.size().ceil() as usize;
        count.clamp(MIN_ADVERTISED, MAX_GATEWAYS)
    }
}

/// Returns the gateways to advertise to a caller in `zone`: `advertised` gateways of its zone. If
/// the zone has too few, all of them are followed by gateways of other zones, up to the maximum of
/// a response. The selection is stable over time, since callers leave a gateway that is no longer
/// advertised, and the same on all members of a zone. It depends on `salt` only if the count
/// reaches the maximum of a response: members with different salts then advertise other gateways.
#[must_use]
pub fn advertised_gateways(
    mut gateways: Vec<GatewayLocation>,
    zone: Option<&str>,
    advertised: AdvertisedCount,
    salt: u64,
) -> Vec<SocketAddr> {
    let is_near = |gateway: &GatewayLocation| Some(gateway.zone.as_str()) == zone;
    let near = gateways.iter().filter(|gateway| is_near(gateway)).count();
    let mut count = MAX_GATEWAYS;
    if near >= MIN_NEAR_GATEWAYS {
        gateways.retain(is_near);
        count = advertised.count();
    }
    let seed = if count < MAX_GATEWAYS { 0 } else { salt };
    gateways.sort_by_cached_key(|gateway| {
        let rank = xxh3_64_with_seed(gateway.address.to_string().as_bytes(), seed);
        (!is_near(gateway), rank)
    });
    let addresses = gateways.into_iter().map(|gateway| gateway.address);
    addresses.take(count).collect()
}
