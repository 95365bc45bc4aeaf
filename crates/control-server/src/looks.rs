//! What the other parts of a member's process ask its actor. A look changes nothing and waits for
//! nobody.

use crate::actor::{ControlActor, now};
use actix::prelude::*;
use luglink_control::CONFIGURATION_GROUP;
use luglink_fleet::{
    AdvertisedCount, GatewayLocation, KnownIncarnations, KnownList, MemberStats, RelayedPresence,
};
use luglink_raft::Peer;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Asks how this member sees the fleet; it changes nothing and waits for nobody.
#[derive(Message)]
#[rtype(result = "FleetLook")]
pub(crate) struct LookAtFleet;

/// How this member sees the fleet.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct FleetLook {
    /// Number of gateways that take callers.
    pub(crate) ready_gateways: u32,
    /// Gateways that count on this member to say that they take callers.
    pub(crate) own_gateways: u32,
    /// Whether this member leads.
    pub(crate) leads_configuration: bool,
    /// The leader that this member follows, when it is another one.
    pub(crate) followed_leader: Option<Ipv4Addr>,
    /// Number of members.
    pub(crate) members: u32,
    /// Time since the platform showed the list that this member has.
    pub(crate) list_age: Option<Duration>,
    /// Replicas in it.
    pub(crate) replicas: usize,
    /// Set when this member should ask others to be let in.
    pub(crate) wants_to_join: Option<Peer>,
    /// The configuration document that is in force as far as this member knows.
    pub(crate) document_version: u64,
    /// Whether this member leads and has applied everything that was committed before.
    pub(crate) leads: bool,
}

impl Handler<LookAtFleet> for ControlActor {
    type Result = FleetLook;

    fn handle(&mut self, _: LookAtFleet, _: &mut Self::Context) -> FleetLook {
        let Some(node) = self.node() else {
            return FleetLook::default();
        };
        let list = node.list();
        FleetLook {
            ready_gateways: node.ready_gateway_count(),
            own_gateways: node.own_gateways(),
            leads_configuration: node.leads(CONFIGURATION_GROUP),
            followed_leader: node.followed_leader(),
            members: node.member_count(),
            list_age: list.age(now()),
            replicas: list.list().len(),
            wants_to_join: node.wants_to_join(),
            document_version: node.document_version(),
            leads: node.leads(CONFIGURATION_GROUP) && node.is_fresh(),
        }
    }
}

/// Asks which gateways take callers.
#[derive(Message)]
#[rtype(result = "Directory")]
pub(crate) struct LookAtGateways {
    /// The caller's zone.
    pub(crate) zone: Option<String>,
}

/// Where callers may go.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct Directory {
    /// Gateways that take callers, with their zones.
    pub(crate) gateways: Vec<GatewayLocation>,
    /// How many of the caller's zone it is told of.
    pub(crate) named: AdvertisedCount,
    /// Time for which callers may rely on where they are told to go.
    pub(crate) valid_for: Duration,
}

impl Handler<LookAtGateways> for ControlActor {
    type Result = Directory;

    fn handle(&mut self, look: LookAtGateways, _: &mut Self::Context) -> Directory {
        let node = self.node();
        node.map_or_else(Directory::default, |node| Directory {
            gateways: node.ready_gateways(),
            named: node.advertised_gateways(look.zone.as_deref()),
            valid_for: node.resolution_time(),
        })
    }
}

/// Asks for the words of gateways that other members of the zone should hear.
#[derive(Message)]
#[rtype(result = "WordsForNeighbours")]
pub(crate) struct TakeWords;

/// Words of gateways, and the members that should hear them.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct WordsForNeighbours {
    pub(crate) neighbours: Vec<Ipv4Addr>,
    pub(crate) words: Vec<RelayedPresence>,
    /// What the gateways see that this member counts.
    pub(crate) replica_stats: Option<MemberStats>,
}

impl Handler<TakeWords> for ControlActor {
    type Result = WordsForNeighbours;

    fn handle(&mut self, _: TakeWords, _: &mut Self::Context) -> WordsForNeighbours {
        let Some(node) = self.node() else {
            return WordsForNeighbours::default();
        };
        let neighbours = node.neighbours();
        if neighbours.is_empty() {
            return WordsForNeighbours::default();
        }
        WordsForNeighbours {
            neighbours,
            words: node.words_for_neighbours(),
            replica_stats: node.sights_for_neighbours(),
        }
    }
}

/// Asks what this member would say of its list to the leader.
#[derive(Message)]
#[rtype(result = "ListWord")]
pub(crate) struct DescribeList;

/// What a member says of its list.
#[derive(Clone, Debug, actix::MessageResponse)]
pub(crate) struct ListWord {
    /// What it has of the list; `None` while it has no disk.
    pub(crate) list: Option<KnownList>,
    /// What it has of the incarnations.
    pub(crate) incarnations: Option<KnownIncarnations>,
}

impl Handler<DescribeList> for ControlActor {
    type Result = ListWord;

    fn handle(&mut self, _: DescribeList, _: &mut Self::Context) -> ListWord {
        let list = self.node().map(|node| node.list());
        ListWord {
            list: list.map(|list| list.known(now())),
            incarnations: list.map(|list| list.known_incarnations()),
        }
    }
}
