//! The list of control members, and the selection of the members that an observer queries.
//!
//! If every process queried every member, the number of requests would grow with the product of
//! both. So an observer queries a few: some in its own zone, to avoid traffic between zones, and
//! one in another zone, so that it keeps one when all members of its zone fail. Turn stores query
//! the leader too, which must receive the presence of every store; gateways, which are far more
//! numerous, do not. Members that do not answer or have lost their leader are replaced by others.
//! While an observer reaches no member with a leader, it queries a few more at a time.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Up to this number of members, every observer queries all of them: leaving some out would save
/// little, and each member is a larger part of the redundancy.
const MAX_MEMBERS_TO_QUERY_ALL: usize = 6;

/// Maximum number of members in its own zone that an observer queries. If a zone has more, its
/// members send each other the gateways that report to them, so that all of them advertise the same
/// gateways: callers leave a gateway that the next member does not advertise.
pub const MAX_NEAR_MEMBERS: usize = 4;

/// Number of members in other zones that an observer queries.
const FAR_MEMBERS: usize = 1;

/// Number of members in other zones that an observer queries while no queried member has a leader.
/// Members that do not answer or have no leader are avoided, so that the observer tries all members
/// in turn.
const FAR_MEMBERS_IN_ISOLATION: usize = 4;

/// Number of members that send a new document to an observer without delay. A document may be
/// large; the other members send it only if these do not.
pub const IMMEDIATE_DOCUMENT_SENDERS: usize = 2;

/// Address and zone of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLocation {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone; empty while unknown.
    pub zone: String,
}

/// Version of a member list: a list with a greater stamp is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MembersStamp {
    /// Term of the leader.
    pub term: u64,
    /// True if the leader of that term is known.
    pub knows_leader: bool,
    /// Log index of the membership.
    pub membership: u64,
    /// Epoch of the store view, which determines the zones of the members.
    pub stores: u64,
}

impl MembersStamp {
    /// A stamp newer than all others, for a process that needs no member lists.
    pub const NEWEST: Self = Self {
        term: u64::MAX,
        knows_leader: true,
        membership: u64::MAX,
        stores: u64::MAX,
    };
}

/// List of all control members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Version of the list.
    pub stamp: MembersStamp,
    /// The leader, if it is known.
    pub leader: Option<Ipv4Addr>,
    /// Addresses and zones of the members.
    pub locations: Vec<MemberLocation>,
}

/// A process that observes members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObserverInfo {
    /// Name of its machine, hashed to distribute observers over the members.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// True if it must always query the leader.
    pub queries_leader: bool,
}

/// State of an observer's contact with the control members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A member that has a leader answered recently.
    Established,
    /// No such member answered recently.
    Lost,
}

impl Contact {
    fn far_members(self) -> usize {
        match self {
            Self::Established => FAR_MEMBERS,
            Self::Lost => FAR_MEMBERS_IN_ISOLATION,
        }
    }
}

impl MemberList {
    /// Returns the members that an observer queries, in order of preference: the first ones send
    /// it new documents. Members in `avoided` are used only if there are not enough others.
    #[must_use]
    pub fn members_for(
        &self,
        observer: &ObserverInfo,
        contact: Contact,
        avoided: &BTreeSet<Ipv4Addr>,
    ) -> Vec<Ipv4Addr> {
        let queries_all = self.locations.len() <= MAX_MEMBERS_TO_QUERY_ALL;
        let leader = self
            .leader
            .filter(|_| queries_all || observer.queries_leader);
        let rank = |location: &MemberLocation| {
            xxh3_64_with_seed(observer.name.as_bytes(), u64::from(u32::from(location.ip)))
        };
        let is_near = |location: &MemberLocation| location.zone == observer.zone;
        let is_avoided = |location: &MemberLocation| avoided.contains(&location.ip);
        let mut others: Vec<&MemberLocation> = self.locations.iter().collect();
        others.retain(|location| Some(location.ip) != leader);
        others.sort_by_key(|location| (is_avoided(location), !is_near(location), rank(location)));
        if !queries_all {
            let near = others.iter().filter(|location| is_near(location)).count();
            let mut farther = others.split_off(near.clamp(1, MAX_NEAR_MEMBERS));
            farther
                .sort_by_key(|location| (is_avoided(location), is_near(location), rank(location)));
            others.extend(farther.into_iter().take(contact.far_members()));
        }
        let others = others.into_iter().map(|location| location.ip);
        others.chain(leader).collect()
    }

    /// Returns the other members of a member's zone if the zone has too many for an observer to
    /// query all of them; empty otherwise.
    #[must_use]
    pub fn zone_peers_of(&self, member: Ipv4Addr) -> Vec<Ipv4Addr> {
        let own = self.locations.iter().find(|location| location.ip == member);
        let Some(zone) = own
            .map(|location| &location.zone)
            .filter(|zone| !zone.is_empty())
        else {
            return Vec::new();
        };
        let near = self
            .locations
            .iter()
            .filter(|location| location.zone == *zone);
        let near: Vec<Ipv4Addr> = near.map(|location| location.ip).collect();
        if near.len() <= MAX_NEAR_MEMBERS {
            return Vec::new();
        }
        near.into_iter().filter(|ip| *ip != member).collect()
    }

    /// Returns true if every process of the zone reports to the member, so that its sums cover the
    /// zone.
    #[must_use]
    pub fn covers_whole_zone(&self, member: Ipv4Addr, zone: &str) -> bool {
        let location = self.locations.iter().find(|location| location.ip == member);
        location.is_some_and(|location| location.zone == zone)
            && self.zone_peers_of(member).is_empty()
    }

    /// Returns the addresses of all members.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.locations.iter().map(|location| location.ip)
    }
}
