//! Which gateways callers are told to go to.

use luglink_fleet::{GatewayPlace, named_gateways};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn gateways(zone: &str, count: u16, first_port: u16) -> Vec<GatewayPlace> {
    let place = |number| GatewayPlace {
        zone: zone.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], first_port + number)),
    };
    (0..count).map(place).collect()
}

fn fleet(near: u16, far: u16) -> Vec<GatewayPlace> {
    let mut fleet = gateways("far", far, 5_000);
    fleet.extend(gateways("near", near, 1_000));
    fleet
}

fn is_near(address: &SocketAddr) -> bool {
    address.port() < 5_000
}

#[test]
fn where_enough_gateways_are_near_only_these_are_named() {
    let named = named_gateways(fleet(41, 200), Some("near"), 1);
    assert_eq!(named.len(), 41);
    assert!(named.iter().all(is_near));
}

#[test]
fn few_near_gateways_come_first_and_others_follow() {
    let named = named_gateways(fleet(3, 5), Some("near"), 1);
    assert_eq!(named.len(), 8);
    assert!(named[..3].iter().all(is_near));
}

#[test]
fn no_more_are_named_than_an_answer_holds_and_members_differ_in_which() {
    let first = named_gateways(fleet(200, 0), Some("near"), 1);
    let second = named_gateways(fleet(200, 0), Some("near"), 2);
    assert_eq!((first.len(), second.len()), (64, 64));
    let first: BTreeSet<_> = first.into_iter().collect();
    let second: BTreeSet<_> = second.into_iter().collect();
    assert_ne!(first, second);
}

#[test]
fn a_caller_that_names_no_zone_hears_of_all() {
    assert_eq!(named_gateways(fleet(20, 20), None, 1).len(), 40);
}
