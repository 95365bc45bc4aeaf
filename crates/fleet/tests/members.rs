//! Which members a process asks.

use luglink_fleet::{MemberList, MemberPlace, MembersStamp, ObserverPlace};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(number).unwrap())
}

/// Members that take turns among the zones; the first one leads.
fn list(members: usize) -> MemberList {
    let place = |number: usize| MemberPlace {
        ip: ip(number),
        zone: ZONES[number % ZONES.len()].to_owned(),
    };
    MemberList {
        stamp: MembersStamp::default(),
        leader: Some(ip(0)),
        places: (0..members).map(place).collect(),
    }
}

fn observer(number: usize) -> ObserverPlace {
    ObserverPlace {
        name: format!("front-{number}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
    }
}

fn zone_of(list: &MemberList, ip: Ipv4Addr) -> &str {
    let place = list.places.iter().find(|place| place.ip == ip);
    &place.unwrap().zone
}

#[test]
fn all_of_a_few_members_are_asked() {
    for members in 1..=5 {
        let list = list(members);
        let asked = list.observed_by(&observer(3), &BTreeSet::new());
        let distinct: BTreeSet<_> = asked.iter().copied().collect();
        assert_eq!(distinct, list.addresses().collect());
        assert_eq!(asked.len(), members);
    }
}

#[test]
fn of_many_members_each_process_asks_a_few_however_many_there_are() {
    for members in [6, 12, 36, 200] {
        let list = list(members);
        for number in 0..300 {
            let asked = list.observed_by(&observer(number), &BTreeSet::new());
            let distinct: BTreeSet<_> = asked.iter().copied().collect();
            assert_eq!(distinct.len(), asked.len());
            assert!(asked.len() <= 4, "{asked:?}");
            assert!(asked.contains(&ip(0)), "the leader is always asked");
        }
    }
}

#[test]
fn members_of_the_own_zone_come_first_and_one_is_elsewhere() {
    let list = list(36);
    for number in 0..100 {
        let observer = observer(number);
        let asked = list.observed_by(&observer, &BTreeSet::new());
        let zones: Vec<&str> = asked.iter().map(|ip| zone_of(&list, *ip)).collect();
        assert_eq!(zones[0], observer.zone);
        assert_eq!(zones[1], observer.zone);
        assert_ne!(zones[2], observer.zone);
    }
}

#[test]
fn members_share_the_processes_of_a_fleet() {
    let list = list(12);
    let mut asked = BTreeMap::<Ipv4Addr, u32>::new();
    for number in 0..600 {
        for ip in list.observed_by(&observer(number), &BTreeSet::new()) {
            *asked.entry(ip).or_default() += 1;
        }
    }
    assert_eq!(asked[&ip(0)], 600);
    for member in 1..12 {
        // Three questions of each of 600 processes over eleven members: 164 each, and those of a
        // zone that has the leader too get more of its own.
        let share = asked[&ip(member)];
        assert!((80..330).contains(&share), "{member}: {share}");
    }
}

#[test]
fn another_member_takes_the_place_of_one_that_is_avoided() {
    let list = list(36);
    for number in 0..100 {
        let before = list.observed_by(&observer(number), &BTreeSet::new());
        let avoided = BTreeSet::from([before[0], before[2]]);
        let after = list.observed_by(&observer(number), &avoided);
        assert_eq!(after.len(), before.len());
        assert!(after.iter().all(|ip| !avoided.contains(ip)), "{after:?}");
        assert!(after.contains(&before[1]), "the others stay");
    }
}

#[test]
fn members_that_are_all_avoided_are_asked_all_the_same() {
    let list = list(12);
    let everyone: BTreeSet<Ipv4Addr> = list.addresses().collect();
    assert_eq!(list.observed_by(&observer(1), &everyone).len(), 4);
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
