//! Which members a process asks.

use luglink_fleet::{
    Contact, MemberList, MemberLocation, MembersStamp, NEAR_MEMBERS, ObserverPlace,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(number).unwrap())
}

/// Members that take turns among the zones; the first one leads.
fn list(members: usize) -> MemberList {
    let place = |number: usize| MemberLocation {
        ip: ip(number),
        zone: ZONES[number % ZONES.len()].to_owned(),
    };
    MemberList {
        stamp: MembersStamp::default(),
        leader: Some(ip(0)),
        locations: (0..members).map(place).collect(),
    }
}

/// A turn store, which the leader must hear.
fn observer(number: usize) -> ObserverPlace {
    ObserverPlace {
        name: format!("front-{number}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        asks_leader: true,
    }
}

fn gateway(number: usize) -> ObserverPlace {
    ObserverPlace {
        asks_leader: false,
        ..observer(number)
    }
}

fn zone_of(list: &MemberList, ip: Ipv4Addr) -> &str {
    let place = list.locations.iter().find(|place| place.ip == ip);
    &place.unwrap().zone
}

#[test]
fn all_of_a_few_members_are_asked() {
    for members in 1..=6 {
        let list = list(members);
        let asked = list.observed_by(&observer(3), Contact::Held, &BTreeSet::new());
        let distinct: BTreeSet<_> = asked.iter().copied().collect();
        assert_eq!(distinct, list.addresses().collect());
        assert_eq!(asked.len(), members);
    }
}

#[test]
fn of_many_members_each_process_asks_a_few_however_many_there_are() {
    for members in [7, 12, 36, 200] {
        let list = list(members);
        for number in 0..300 {
            let asked = list.observed_by(&observer(number), Contact::Held, &BTreeSet::new());
            let distinct: BTreeSet<_> = asked.iter().copied().collect();
            assert_eq!(distinct.len(), asked.len());
            assert!(asked.len() <= 6, "{asked:?}");
            assert!(asked.contains(&ip(0)), "the leader is always asked");
        }
    }
}

/// There may be a thousand gateways; what the leader hears must not grow with them.
#[test]
fn gateways_of_a_large_fleet_leave_the_leader_alone_unless_it_is_near_or_their_far_one() {
    for members in [12, 66, 132] {
        let list = list(members);
        let gateways = 1_728;
        let asked = (0..gateways).filter(|number| {
            let place = gateway(*number);
            let asked = list.observed_by(&place, Contact::Held, &BTreeSet::new());
            assert!(asked.len() <= NEAR_MEMBERS + 1);
            asked.contains(&ip(0))
        });
        // As any other member: its part of the zone, and its part of those elsewhere.
        let near = (members / 6).clamp(1, NEAR_MEMBERS) * gateways / members;
        let far = gateways / members;
        let share = asked.count();
        assert!(share <= (near + far) * 3 / 2, "{members}: {share}");
    }
}

#[test]
fn a_process_that_has_lost_contact_asks_a_few_more_and_comes_round_to_all() {
    let list = list(66);
    let mut avoided = BTreeSet::new();
    let mut met = BTreeSet::new();
    for _ in 0..20 {
        let asked = list.observed_by(&gateway(1), Contact::Lost, &avoided);
        assert!(asked.len() <= 8, "{asked:?}");
        met.extend(asked.iter().copied());
        avoided.extend(asked);
    }
    assert_eq!(met.len(), 66);
}

#[test]
fn members_of_a_large_zone_tell_each_other_and_those_of_a_small_one_need_not() {
    let small = list(24);
    assert!(small.zone_peers_of(ip(3)).is_empty());
    let large = list(66);
    let neighbours = large.zone_peers_of(ip(3));
    assert_eq!(neighbours.len(), 10);
    assert!(!neighbours.contains(&ip(3)));
    let is_near = |ip: &Ipv4Addr| zone_of(&large, *ip) == ZONES[3];
    assert!(neighbours.iter().all(is_near));
    assert!(large.zone_peers_of(Ipv4Addr::LOCALHOST).is_empty());
}

#[test]
fn members_of_the_own_zone_come_first_and_one_is_elsewhere() {
    let list = list(36);
    for number in 0..100 {
        let observer = observer(number);
        let asked = list.observed_by(&observer, Contact::Held, &BTreeSet::new());
        let zones: Vec<&str> = asked.iter().map(|ip| zone_of(&list, *ip)).collect();
        let near = zones.iter().take_while(|zone| **zone == observer.zone);
        assert_eq!(near.count(), 4);
        assert_ne!(zones[4], observer.zone);
    }
}

#[test]
fn every_member_of_a_zone_hears_all_processes_of_the_zone() {
    let list = list(24);
    for number in 0..100 {
        let observer = observer(number);
        let asked = list.observed_by(&observer, Contact::Held, &BTreeSet::new());
        let near = list
            .locations
            .iter()
            .filter(|place| place.zone == observer.zone);
        for place in near {
            assert!(asked.contains(&place.ip), "{place:?} {asked:?}");
        }
    }
}

#[test]
fn members_share_the_processes_of_a_fleet() {
    let list = list(24);
    let mut asked = BTreeMap::<Ipv4Addr, u32>::new();
    for number in 0..600 {
        for ip in list.observed_by(&observer(number), Contact::Held, &BTreeSet::new()) {
            *asked.entry(ip).or_default() += 1;
        }
    }
    assert_eq!(asked[&ip(0)], 600);
    for member in 1..24 {
        // A sixth of the processes is in its zone, and each of the others asks one elsewhere.
        let share = asked[&ip(member)];
        assert!((105..160).contains(&share), "{member}: {share}");
    }
}

#[test]
fn another_member_takes_the_place_of_one_that_is_avoided() {
    let list = list(36);
    for number in 0..100 {
        let before = list.observed_by(&observer(number), Contact::Held, &BTreeSet::new());
        let avoided = BTreeSet::from([before[0], before[4]]);
        let after = list.observed_by(&observer(number), Contact::Held, &avoided);
        assert_eq!(after.len(), before.len());
        assert!(after.iter().all(|ip| !avoided.contains(ip)), "{after:?}");
        assert!(after.contains(&before[1]), "the others stay");
    }
}

#[test]
fn members_that_are_all_avoided_are_asked_all_the_same() {
    let list = list(12);
    let everyone: BTreeSet<Ipv4Addr> = list.addresses().collect();
    assert_eq!(
        list.observed_by(&observer(1), Contact::Held, &everyone)
            .len(),
        4
    ); // two near, one far, the leader
}

#[test]
fn a_newer_term_or_membership_makes_a_newer_list() {
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
fn a_member_hears_its_whole_zone_while_that_has_few_members() {
    let small = list(24);
    assert!(small.covers_whole_zone(ip(3), zone_of(&small, ip(3))));
    assert!(!small.covers_whole_zone(ip(3), zone_of(&small, ip(4))));
    let large = list(66);
    assert!(!large.covers_whole_zone(ip(3), zone_of(&large, ip(3))));
    assert!(!small.covers_whole_zone(Ipv4Addr::LOCALHOST, ZONES[0]));
}
