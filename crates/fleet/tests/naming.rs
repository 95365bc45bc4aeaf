//! Which gateways callers are told to go to.

use luglink_fleet::{AdvertisedCount, GatewayLoad, GatewayLocation, advertised_gateways};
use luglink_types::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn gateways(zone: &str, count: u16, first_port: u16) -> Vec<GatewayLocation> {
    let place = |number| GatewayLocation {
        zone: zone.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], first_port + number)),
    };
    (0..count).map(place).collect()
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

/// As many as a zone names at that load.
fn at(requests_per_s: u32) -> AdvertisedCount {
    let mut named = AdvertisedCount::default();
    named.follow(&load(requests_per_s), Timestamp::from_millis(1_000));
    named
}

/// More than the gateways of any test can do.
const FULL: u32 = 100_000;

fn is_near(address: &SocketAddr) -> bool {
    address.port() < 5_000
}

#[test]
fn where_enough_gateways_are_near_only_these_are_named() {
    let named = advertised_gateways(fleet(41, 200), Some("near"), at(FULL), 1);
    assert_eq!(named.len(), 41);
    assert!(named.iter().all(is_near));
}

#[test]
fn few_near_gateways_come_first_and_others_follow() {
    let named = advertised_gateways(fleet(3, 5), Some("near"), at(FULL), 1);
    assert_eq!(named.len(), 8);
    assert!(named[..3].iter().all(is_near));
}

#[test]
fn no_more_are_named_than_an_answer_holds_and_members_differ_in_which() {
    let first = advertised_gateways(fleet(200, 0), Some("near"), at(FULL), 1);
    let second = advertised_gateways(fleet(200, 0), Some("near"), at(FULL), 2);
    assert_eq!((first.len(), second.len()), (64, 64));
    let first: BTreeSet<_> = first.into_iter().collect();
    let second: BTreeSet<_> = second.into_iter().collect();
    assert_ne!(first, second);
}

#[test]
fn a_caller_that_names_no_zone_hears_of_all() {
    assert_eq!(advertised_gateways(fleet(20, 20), None, at(0), 1).len(), 40);
}

#[test]
fn at_a_low_load_a_few_are_named_the_same_by_all_members_and_the_first_of_those_named_at_a_high_one()
 {
    let few = advertised_gateways(fleet(144, 700), Some("near"), at(300), 1);
    assert_eq!(few.len(), 24);
    assert_eq!(
        few,
        advertised_gateways(fleet(144, 700), Some("near"), at(300), 2)
    );
    let more = advertised_gateways(fleet(144, 700), Some("near"), at(1_200), 1);
    assert!(more.len() > few.len());
    assert_eq!(more[..few.len()], few, "nobody leaves those named before");
}

#[test]
fn one_that_is_gone_makes_room_for_the_next_and_moves_no_other() {
    let before = advertised_gateways(fleet(144, 0), Some("near"), at(600), 1);
    let mut left = fleet(144, 0);
    left.retain(|gateway| gateway.address != before[3]);
    let after = advertised_gateways(left, Some("near"), at(600), 1);
    let kept = before.iter().filter(|address| after.contains(address));
    assert_eq!(
        (after.len(), kept.count()),
        (before.len(), before.len() - 1)
    );
}

#[test]
fn the_number_named_follows_the_load_up_at_once_and_down_slowly() {
    let mut named = at(960);
    let low = named.count();
    let now = Timestamp::from_millis(1_000);
    named.follow(&load(1_940), now.plus(Duration::from_millis(200)));
    let high = named.count();
    assert!(high > 2 * low, "{low} {high}");
    named.follow(&load(960), now.plus(Duration::from_millis(400)));
    assert!(named.count() >= high - 2);
    named.follow(&load(960), now.plus(Duration::from_secs(600)));
    assert_eq!(named.count(), low);
}

#[test]
fn loads_of_gateways_add_up() {
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
fn all_gateways_of_a_small_zone_are_named_whatever_the_load() {
    for count in [12, 18, 24] {
        let named = advertised_gateways(fleet(count, 60), Some("near"), at(1), 1);
        assert_eq!(named.len(), usize::from(count));
    }
}
