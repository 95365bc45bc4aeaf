//! Selection of the gateways that are advertised to callers.

use luglink_fleet::{AdvertisedCount, GatewayLoad, GatewayLocation, advertised_gateways};
use luglink_types::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn gateways(zone: &str, count: u16, first_port: u16) -> Vec<GatewayLocation> {
    let location = |number| GatewayLocation {
        zone: zone.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], first_port + number)),
    };
    (0..count).map(location).collect()
}

fn fleet(near: u16, far: u16) -> Vec<GatewayLocation> {
    let mut fleet = gateways("far", far, 5_000);
    fleet.extend(gateways("near", near, 1_000));
    fleet
}

fn load(requests_per_s: u32) -> GatewayLoad {
    GatewayLoad {
        requests_per_minute: requests_per_s * 60,
        ..GatewayLoad::default()
    }
}

/// Number of gateways that a zone advertises at this request rate.
fn count_at(requests_per_s: u32) -> AdvertisedCount {
    let mut advertised = AdvertisedCount::default();
    advertised.follow(&load(requests_per_s), Timestamp::from_millis(1_000));
    advertised
}

/// Request rate above the capacity of all gateways in these tests.
const FULL: u32 = 100_000;

fn is_near(address: &SocketAddr) -> bool {
    address.port() < 5_000
}

#[test]
fn only_gateways_of_the_callers_zone_are_advertised_if_it_has_enough() {
    let advertised = advertised_gateways(fleet(41, 200), Some("near"), count_at(FULL), 1);
    assert_eq!(advertised.len(), 41);
    assert!(advertised.iter().all(is_near));
}

#[test]
fn gateways_of_other_zones_follow_if_the_callers_zone_has_few() {
    let advertised = advertised_gateways(fleet(3, 5), Some("near"), count_at(FULL), 1);
    assert_eq!(advertised.len(), 8);
    assert!(advertised[..3].iter().all(is_near));
}

#[test]
fn a_response_has_at_most_64_gateways_and_the_salt_changes_the_selection() {
    let first = advertised_gateways(fleet(200, 0), Some("near"), count_at(FULL), 1);
    let second = advertised_gateways(fleet(200, 0), Some("near"), count_at(FULL), 2);
    assert_eq!((first.len(), second.len()), (64, 64));
    let first: BTreeSet<_> = first.into_iter().collect();
    let second: BTreeSet<_> = second.into_iter().collect();
    assert_ne!(first, second);
}

#[test]
fn a_caller_without_a_zone_gets_gateways_of_all_zones() {
    assert_eq!(
        advertised_gateways(fleet(20, 20), None, count_at(0), 1).len(),
        40
    );
}

#[test]
fn the_selection_at_low_load_ignores_the_salt_and_is_a_prefix_of_that_at_high_load() {
    let few = advertised_gateways(fleet(144, 700), Some("near"), count_at(300), 1);
    assert_eq!(few.len(), 24);
    assert_eq!(
        few,
        advertised_gateways(fleet(144, 700), Some("near"), count_at(300), 2)
    );
    let more = advertised_gateways(fleet(144, 700), Some("near"), count_at(1_200), 1);
    assert!(more.len() > few.len());
    assert_eq!(
        more[..few.len()],
        few,
        "gateways that were advertised before stay"
    );
}

#[test]
fn removing_a_gateway_adds_the_next_one_and_keeps_all_others() {
    let before = advertised_gateways(fleet(144, 0), Some("near"), count_at(600), 1);
    let mut left = fleet(144, 0);
    left.retain(|gateway| gateway.address != before[3]);
    let after = advertised_gateways(left, Some("near"), count_at(600), 1);
    let kept = before.iter().filter(|address| after.contains(address));
    assert_eq!(
        (after.len(), kept.count()),
        (before.len(), before.len() - 1)
    );
}

#[test]
fn the_advertised_count_rises_with_the_load_at_once_and_decays_slowly() {
    let mut advertised = count_at(960);
    let low = advertised.count();
    let now = Timestamp::from_millis(1_000);
    advertised.follow(&load(1_940), now.plus(Duration::from_millis(200)));
    let high = advertised.count();
    assert!(high > 2 * low, "{low} {high}");
    advertised.follow(&load(960), now.plus(Duration::from_millis(400)));
    assert!(advertised.count() >= high - 2);
    advertised.follow(&load(960), now.plus(Duration::from_secs(600)));
    assert_eq!(advertised.count(), low);
}

#[test]
fn loads_of_gateways_are_summed_by_service() {
    use luglink_fleet::ServiceLoad;
    let with = |service: &str, in_flight_hundredths| GatewayLoad {
        requests_per_minute: 90,
        services: vec![ServiceLoad {
            service: service.to_owned(),
            in_flight_hundredths,
        }],
    };
    let sum = GatewayLoad::sum([&with("a", 150), &with("b", 10), &with("a", 25)]);
    assert_eq!(sum.requests_per_s(), 4.5);
    let a: Vec<u32> = sum
        .services
        .iter()
        .map(|load| load.in_flight_hundredths)
        .collect();
    assert_eq!(a, [175, 10]);
}

#[test]
fn all_gateways_of_a_small_zone_are_advertised_at_any_load() {
    for count in [12, 18, 24] {
        let advertised = advertised_gateways(fleet(count, 60), Some("near"), count_at(1), 1);
        assert_eq!(advertised.len(), usize::from(count));
    }
}
