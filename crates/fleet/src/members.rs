//! The control members as the processes that observe them know them, and which of them each
//! process asks.
//!
//! Were every process to ask every member, questions would grow with the product of both. So a
//! process asks a few: some of its own zone, whose answers cross no zone, and one elsewhere, so
//! that the loss of a zone's members leaves it one. Turn stores ask the leader besides, which must
//! hear every one of them; gateways, of which there are many more, do not. Members that are silent
//! or out of touch with their leader are replaced by others, a few more of them at a time while a
//! process hears none that is in touch.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most members of which each process asks all: with so few, leaving some out saves little, and
/// each of them is a larger part of what may be lost.
const FEW_MEMBERS: usize = 6;

/// Members of its own zone that a process asks at the most. Where a zone has more, they tell each
/// other whom they hear, since callers leave a gateway that the next member does not name.
pub const NEAR_MEMBERS: usize = 4;

/// Members elsewhere that a process asks.
const FAR_MEMBERS: usize = 1;

/// Members elsewhere that a process asks while it hears none that hears a leader. They change as
/// those asked in vain are passed over, so that it comes round to all of them.
const FAR_MEMBERS_IN_ISOLATION: usize = 4;

/// Members that tell one process of a new document at once. A document may be large; the other
/// members that it asks tell it only when these do not.
pub const FIRST_TELLERS: usize = 2;

/// A control member and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone; empty while it is not known.
    pub zone: String,
}

/// Orders lists of members: a greater stamp is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MembersStamp {
    /// Term of the leader.
    pub term: u64,
    /// Whether the leader of that term is known.
    pub knows_leader: bool,
    /// Log index of the membership.
    pub membership: u64,
    /// Epoch of the view of the stores, from which the zones are known.
    pub stores: u64,
}

impl MembersStamp {
    /// Newer than all others: of a process for which no list of members is news.
    pub const NEWEST: Self = Self {
        term: u64::MAX,
        knows_leader: true,
        membership: u64::MAX,
        stores: u64::MAX,
    };
}

/// All control members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// How new the list is.
    pub stamp: MembersStamp,
    /// The leader, when it is known.
    pub leader: Option<Ipv4Addr>,
    /// The members.
    pub locations: Vec<MemberLocation>,
}

/// A process that observes members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObserverPlace {
    /// Name of its machine; spreads observers over the members.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether the leader must hear it.
    pub asks_leader: bool,
}

/// How an observer stands with the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A member that hears its leader has answered lately.
    Held,
    /// None has.
    Lost,
}

impl Contact {
    fn far_members(self) -> usize {
        match self {
            Self::Held => FAR_MEMBERS,
            Self::Lost => FAR_MEMBERS_IN_ISOLATION,
        }
    }
}

impl MemberList {
    /// The members that a process asks, those that should tell it of a new document first.
    /// Members in `avoided` are passed over as long as others can take their place.
    #[must_use]
    pub fn observed_by(
        &self,
        observer: &ObserverPlace,
        contact: Contact,
        avoided: &BTreeSet<Ipv4Addr>,
    ) -> Vec<Ipv4Addr> {
        let asks_all = self.locations.len() <= FEW_MEMBERS;
        let leader = self.leader.filter(|_| asks_all || observer.asks_leader);
        let rank = |place: &MemberLocation| {
            xxh3_64_with_seed(observer.name.as_bytes(), u64::from(u32::from(place.ip)))
        };
        let is_near = |place: &MemberLocation| place.zone == observer.zone;
        let is_avoided = |place: &MemberLocation| avoided.contains(&place.ip);
        let mut others: Vec<&MemberLocation> = self.locations.iter().collect();
        others.retain(|place| Some(place.ip) != leader);
        others.sort_by_key(|place| (is_avoided(place), !is_near(place), rank(place)));
        if !asks_all {
            let near = others.iter().filter(|place| is_near(place)).count();
            let mut farther = others.split_off(near.clamp(1, NEAR_MEMBERS));
            farther.sort_by_key(|place| (is_avoided(place), is_near(place), rank(place)));
            others.extend(farther.into_iter().take(contact.far_members()));
        }
        let others = others.into_iter().map(|place| place.ip);
        others.chain(leader).collect()
    }

    /// The other members of a member's zone, when they are so many that no process asks all.
    #[must_use]
    pub fn zone_peers_of(&self, member: Ipv4Addr) -> Vec<Ipv4Addr> {
        let own = self.locations.iter().find(|place| place.ip == member);
        let Some(zone) = own.map(|place| &place.zone).filter(|zone| !zone.is_empty()) else {
            return Vec::new();
        };
        let near = self.locations.iter().filter(|place| place.zone == *zone);
        let near: Vec<Ipv4Addr> = near.map(|place| place.ip).collect();
        if near.len() <= NEAR_MEMBERS {
            return Vec::new();
        }
        near.into_iter().filter(|ip| *ip != member).collect()
    }

    /// Whether a member hears every process of a zone, so that it can sum what they say by itself.
    #[must_use]
    pub fn covers_whole_zone(&self, member: Ipv4Addr, zone: &str) -> bool {
        let place = self.locations.iter().find(|place| place.ip == member);
        place.is_some_and(|place| place.zone == zone) && self.zone_peers_of(member).is_empty()
    }

    /// Addresses of all members.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.locations.iter().map(|place| place.ip)
    }
}
