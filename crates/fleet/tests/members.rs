//! Selection of the members that an observer queries.

use luglink_fleet::{
    Contact, MAX_NEAR_MEMBERS, MemberList, MemberLocation, MembersStamp, ObserverInfo,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(number).unwrap())
}

/// Members that are distributed over the zones in turn. The first one is the leader.
fn list(members: usize) -> MemberList {
    let location = |number: usize| MemberLocation {
        ip: ip(number),
        zone: ZONES[number % ZONES.len()].to_owned(),
    };
    MemberList {
        stamp: MembersStamp::default(),
        leader: Some(ip(0)),
        locations: (0..members).map(location).collect(),
    }
}

/// A turn store, which always queries the leader.
fn observer(number: usize) -> ObserverInfo {
    ObserverInfo {
        name: format!("front-{number}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        queries_leader: true,
    }
}

fn gateway(number: usize) -> ObserverInfo {
    ObserverInfo {
        queries_leader: false,
        ..observer(number)
    }
}

fn zone_of(list: &MemberList, ip: Ipv4Addr) -> &str {
    let location = list.locations.iter().find(|location| location.ip == ip);
    &location.unwrap().zone
}

#[test]
fn a_process_queries_all_members_if_there_are_few() {
    for members in 1..=6 {
        let list = list(members);
        let queried = list.members_for(&observer(3), Contact::Established, &BTreeSet::new());
        let distinct: BTreeSet<_> = queried.iter().copied().collect();
        assert_eq!(distinct, list.addresses().collect());
        assert_eq!(queried.len(), members);
    }
}

#[test]
fn a_process_queries_at_most_six_of_many_members() {
    for members in [7, 12, 36, 200] {
        let list = list(members);
        for number in 0..300 {
            let queried =
                list.members_for(&observer(number), Contact::Established, &BTreeSet::new());
            let distinct: BTreeSet<_> = queried.iter().copied().collect();
            assert_eq!(distinct.len(), queried.len());
            assert!(queried.len() <= 6, "{queried:?}");
            assert!(queried.contains(&ip(0)), "the leader is always queried");
        }
    }
}

/// The leader's load must not grow with the number of gateways, of which there may be thousands.
#[test]
fn gateways_of_a_large_fleet_query_the_leader_no_more_than_any_other_member() {
    for members in [12, 66, 132] {
        let list = list(members);
        let gateways = 1_728;
        let queried = (0..gateways).filter(|number| {
            let gateway = gateway(*number);
            let queried = list.members_for(&gateway, Contact::Established, &BTreeSet::new());
            assert!(queried.len() <= MAX_NEAR_MEMBERS + 1);
            queried.contains(&ip(0))
        });
        // The expected share of a member: gateways of its zone, and gateways of other zones that
        // use it as their member in another zone.
        let near = (members / 6).clamp(1, MAX_NEAR_MEMBERS) * gateways / members;
        let far = gateways / members;
        let share = queried.count();
        assert!(share <= (near + far) * 3 / 2, "{members}: {share}");
    }
}

#[test]
fn a_process_without_contact_queries_a_few_more_members_and_all_of_them_in_turn() {
    let list = list(66);
    let mut avoided = BTreeSet::new();
    let mut tried = BTreeSet::new();
    for _ in 0..20 {
        let queried = list.members_for(&gateway(1), Contact::Lost, &avoided);
        assert!(queried.len() <= 8, "{queried:?}");
        tried.extend(queried.iter().copied());
        avoided.extend(queried);
    }
    assert_eq!(tried.len(), 66);
}

#[test]
fn only_members_of_a_large_zone_have_zone_peers() {
    let small = list(24);
    assert!(small.zone_peers_of(ip(3)).is_empty());
    let large = list(66);
    let peers = large.zone_peers_of(ip(3));
    assert_eq!(peers.len(), 10);
    assert!(!peers.contains(&ip(3)));
    let is_near = |ip: &Ipv4Addr| zone_of(&large, *ip) == ZONES[3];
    assert!(peers.iter().all(is_near));
    assert!(large.zone_peers_of(Ipv4Addr::LOCALHOST).is_empty());
}

#[test]
fn members_of_the_own_zone_come_first_and_one_is_in_another_zone() {
    let list = list(36);
    for number in 0..100 {
        let observer = observer(number);
        let queried = list.members_for(&observer, Contact::Established, &BTreeSet::new());
        let zones: Vec<&str> = queried.iter().map(|ip| zone_of(&list, *ip)).collect();
        let near = zones.iter().take_while(|zone| **zone == observer.zone);
        assert_eq!(near.count(), 4);
        assert_ne!(zones[4], observer.zone);
    }
}

#[test]
fn every_process_of_a_small_zone_queries_all_its_members() {
    let list = list(24);
    for number in 0..100 {
        let observer = observer(number);
        let queried = list.members_for(&observer, Contact::Established, &BTreeSet::new());
        let near = list
            .locations
            .iter()
            .filter(|location| location.zone == observer.zone);
        for location in near {
            assert!(queried.contains(&location.ip), "{location:?} {queried:?}");
        }
    }
}

#[test]
fn processes_are_distributed_evenly_over_the_members() {
    let list = list(24);
    let mut queried = BTreeMap::<Ipv4Addr, u32>::new();
    for number in 0..600 {
        for ip in list.members_for(&observer(number), Contact::Established, &BTreeSet::new()) {
            *queried.entry(ip).or_default() += 1;
        }
    }
    assert_eq!(queried[&ip(0)], 600);
    for member in 1..24 {
        // A sixth of the processes is in its zone. Each of the others queries one member in another
        // zone.
        let share = queried[&ip(member)];
        assert!((105..160).contains(&share), "{member}: {share}");
    }
}

#[test]
fn another_member_replaces_an_avoided_one() {
    let list = list(36);
    for number in 0..100 {
        let before = list.members_for(&observer(number), Contact::Established, &BTreeSet::new());
        let avoided = BTreeSet::from([before[0], before[4]]);
        let after = list.members_for(&observer(number), Contact::Established, &avoided);
        assert_eq!(after.len(), before.len());
        assert!(after.iter().all(|ip| !avoided.contains(ip)), "{after:?}");
        assert!(after.contains(&before[1]), "the others stay");
    }
}

#[test]
fn avoided_members_are_queried_if_there_are_no_others() {
    let list = list(12);
    let everyone: BTreeSet<Ipv4Addr> = list.addresses().collect();
    assert_eq!(
        list.members_for(&observer(1), Contact::Established, &everyone)
            .len(),
        4
    ); // two in its zone, one in another zone, the leader
}

#[test]
fn a_list_with_a_newer_term_or_membership_is_newer() {
    let stamp = |term, knows_leader, membership| MembersStamp {
        term,
        knows_leader,
        membership,
        stores: 0,
    };
    assert!(stamp(2, false, 1) > stamp(1, true, 9));
    assert!(stamp(2, true, 1) > stamp(2, false, 1));
    assert!(stamp(2, true, 2) > stamp(2, true, 1));
}

#[test]
fn a_member_covers_its_whole_zone_if_the_zone_has_few_members() {
    let small = list(24);
    assert!(small.covers_whole_zone(ip(3), zone_of(&small, ip(3))));
    assert!(!small.covers_whole_zone(ip(3), zone_of(&small, ip(4))));
    let large = list(66);
    assert!(!large.covers_whole_zone(ip(3), zone_of(&large, ip(3))));
    assert!(!small.covers_whole_zone(Ipv4Addr::LOCALHOST, ZONES[0]));
}
