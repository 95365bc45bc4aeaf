//! The control members as the processes that observe them know them, and which of them each
//! process asks.
//!
//! Were every process to ask every member, questions would grow with the product of both. So a
//! process asks a few: the leader, which alone reads the list of replicas and must hear every
//! turn store; those of its own zone, whose answers cross no zone, and which so name the same
//! gateways of the zone to callers; and one elsewhere, so that the loss of a zone's members leaves
//! it one. Members that are silent or out of touch with their leader are replaced by others.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most members of which each process asks all: with so few, leaving some out saves little, and
/// each of them is a larger part of what may be lost.
const FEW_MEMBERS: usize = 6;

/// Members of its own zone that a process asks at the most. All of them in the zones of the
/// deployments that are known: callers leave a gateway that the next member does not name.
const NEAR_MEMBERS: usize = 4;

/// Members elsewhere that a process asks, besides the leader.
const FAR_MEMBERS: usize = 1;

/// Members that tell one process of a new document at once. A document may be large; the other
/// members that it asks tell it only when these do not.
pub const FIRST_TELLERS: usize = 2;

/// A control member and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPlace {
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

/// All control members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// How new the list is.
    pub stamp: MembersStamp,
    /// The leader, when it is known.
    pub leader: Option<Ipv4Addr>,
    /// The members.
    pub places: Vec<MemberPlace>,
}

/// A process that observes members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObserverPlace {
    /// Name of its machine; spreads observers over the members.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

impl MemberList {
    /// The members that a process asks, those that should tell it of a new document first.
    /// Members in `avoided` are passed over as long as others can take their place.
    #[must_use]
    pub fn observed_by(
        &self,
        observer: &ObserverPlace,
        avoided: &BTreeSet<Ipv4Addr>,
    ) -> Vec<Ipv4Addr> {
        let rank = |place: &MemberPlace| {
            xxh3_64_with_seed(observer.name.as_bytes(), u64::from(u32::from(place.ip)))
        };
        let is_near = |place: &MemberPlace| place.zone == observer.zone;
        let is_avoided = |place: &MemberPlace| avoided.contains(&place.ip);
        let mut others: Vec<&MemberPlace> = self.places.iter().collect();
        others.retain(|place| Some(place.ip) != self.leader);
        others.sort_by_key(|place| (is_avoided(place), !is_near(place), rank(place)));
        if self.places.len() > FEW_MEMBERS {
            let near = others.iter().filter(|place| is_near(place)).count();
            let mut farther = others.split_off(near.clamp(1, NEAR_MEMBERS));
            farther.sort_by_key(|place| (is_avoided(place), is_near(place), rank(place)));
            others.extend(farther.into_iter().take(FAR_MEMBERS));
        }
        let others = others.into_iter().map(|place| place.ip);
        others.chain(self.leader).collect()
    }

    /// Addresses of all members.
    pub fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.places.iter().map(|place| place.ip)
    }
}
