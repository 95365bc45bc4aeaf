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
#[rtype(result = "FleetStatus")]
pub(crate) struct GetFleetStatus;

/// How this member sees the fleet.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct FleetStatus {
    /// Number of gateways that take callers.
    pub(crate) ready_gateways: u32,
    /// Gateways that count on this member to say that they take callers.
    pub(crate) counted_gateways: u32,
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

impl Handler<GetFleetStatus> for ControlActor {
    type Result = FleetStatus;

    fn handle(&mut self, _: GetFleetStatus, _: &mut Self::Context) -> FleetStatus {
        let Some(node) = self.node() else {
            return FleetStatus::default();
        };
        let list = node.list();
        FleetStatus {
            ready_gateways: node.ready_gateway_count(),
            counted_gateways: node.counted_gateways(),
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
pub(crate) struct GetGatewayDirectory {
    /// The caller's zone.
    pub(crate) zone: Option<String>,
}

/// Where callers may go.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct Directory {
    /// Gateways that take callers, with their zones.
    pub(crate) gateways: Vec<GatewayLocation>,
    /// How many of the caller's zone it is told of.
    pub(crate) advertised: AdvertisedCount,
    /// Time for which callers may rely on where they are told to go.
    pub(crate) valid_for: Duration,
}

impl Handler<GetGatewayDirectory> for ControlActor {
    type Result = Directory;

    fn handle(&mut self, query: GetGatewayDirectory, _: &mut Self::Context) -> Directory {
        let node = self.node();
        node.map_or_else(Directory::default, |node| Directory {
            gateways: node.ready_gateways(),
            advertised: node.advertised_gateways(query.zone.as_deref()),
            valid_for: node.resolution_validity(),
        })
    }
}

/// Asks for the words of gateways that other members of the zone should hear.
#[derive(Message)]
#[rtype(result = "ZonePeerReport")]
pub(crate) struct GetZonePeerReport;

/// Words of gateways, and the members that should hear them.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct ZonePeerReport {
    pub(crate) zone_peers: Vec<Ipv4Addr>,
    pub(crate) presences: Vec<RelayedPresence>,
    /// What the gateways see that this member counts.
    pub(crate) replica_stats: Option<MemberStats>,
}

impl Handler<GetZonePeerReport> for ControlActor {
    type Result = ZonePeerReport;

    fn handle(&mut self, _: GetZonePeerReport, _: &mut Self::Context) -> ZonePeerReport {
        let Some(node) = self.node() else {
            return ZonePeerReport::default();
        };
        let zone_peers = node.zone_peers();
        if zone_peers.is_empty() {
            return ZonePeerReport::default();
        }
        ZonePeerReport {
            zone_peers,
            presences: node.presences_for_zone_peers(),
            replica_stats: node.stats_for_zone_peers(),
        }
    }
}

/// Asks what this member would say of its list to the leader.
#[derive(Message)]
#[rtype(result = "ListState")]
pub(crate) struct GetListState;

/// What a member says of its list.
#[derive(Clone, Debug, actix::MessageResponse)]
pub(crate) struct ListState {
    /// What it has of the list; `None` while it has no disk.
    pub(crate) list: Option<KnownList>,
    /// What it has of the incarnations.
    pub(crate) incarnations: Option<KnownIncarnations>,
}

impl Handler<GetListState> for ControlActor {
    type Result = ListState;

    fn handle(&mut self, _: GetListState, _: &mut Self::Context) -> ListState {
        let list = self.node().map(|node| node.list());
        ListState {
            list: list.map(|list| list.known(now())),
            incarnations: list.map(|list| list.known_incarnations()),
        }
    }
}
