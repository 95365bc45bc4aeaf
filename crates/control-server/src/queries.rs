//! Read-only queries to the actor of a member from within its process. They are answered at once.

use crate::actor::{ControlActor, now};
use actix::prelude::*;
use luglink_control::CONFIGURATION_GROUP;
use luglink_fleet::{
    AdvertisedCount, GatewayLocation, KnownIncarnations, KnownList, KnownReplicaVersions,
    MemberStats, RelayedPresence, SettlementProgress,
};
use luglink_raft::Peer;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Query for the state of the fleet, as this member knows it.
#[derive(Message)]
#[rtype(result = "FleetStatus")]
pub(crate) struct GetFleetStatus;

/// State of the fleet, as this member knows it.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct FleetStatus {
    /// Number of ready gateways that this member knows.
    pub(crate) ready_gateways: u32,
    /// Number of ready gateways that are counted at this member.
    pub(crate) counted_gateways: u32,
    /// True if this member leads the configuration group.
    pub(crate) leads_configuration: bool,
    /// Leader that this member follows; `None` if it leads or knows no leader.
    pub(crate) followed_leader: Option<Ipv4Addr>,
    /// Number of members of the configuration group; 0 if this member is not one of them.
    pub(crate) members: u32,
    /// Age of this member's copy of the platform's list.
    pub(crate) list_age: Option<Duration>,
    /// Number of replicas in the copy.
    pub(crate) replicas: usize,
    /// Id and incarnation of this member, if it should ask for admission.
    pub(crate) wants_to_join: Option<Peer>,
    /// Version of the configuration document that this member has applied.
    pub(crate) document_version: u64,
    /// True if this member leads and has committed an entry in its term.
    pub(crate) is_fresh_leader: bool,
    /// Progress of the hand-over between turn stores; `None` if this member does not lead or nothing
    /// is left to hand over.
    pub(crate) settlement: Option<SettlementProgress>,
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
            is_fresh_leader: node.leads(CONFIGURATION_GROUP) && node.is_fresh(),
            settlement: node.settlement_progress(),
        }
    }
}

/// Query for the ready gateways.
#[derive(Message)]
#[rtype(result = "Directory")]
pub(crate) struct GetGatewayDirectory {
    /// The caller's zone.
    pub(crate) zone: Option<String>,
}

/// Gateways for callers of a zone.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct Directory {
    /// Ready gateways of all zones.
    pub(crate) gateways: Vec<GatewayLocation>,
    /// Number of gateways of the caller's zone that are advertised to it.
    pub(crate) advertised: AdvertisedCount,
    /// Time for which callers may cache the result.
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

/// Query for the report to the other members of the zone.
#[derive(Message)]
#[rtype(result = "ZonePeerReport")]
pub(crate) struct GetZonePeerReport;

/// Report to the other members of the zone.
#[derive(Clone, Debug, Default, actix::MessageResponse)]
pub(crate) struct ZonePeerReport {
    /// Members that receive the report.
    pub(crate) zone_peers: Vec<Ipv4Addr>,
    /// Presences of the gateways that report to this member.
    pub(crate) presences: Vec<RelayedPresence>,
    /// Replica statistics of the gateways that are counted at this member.
    pub(crate) member_stats: Option<MemberStats>,
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
            member_stats: node.stats_for_zone_peers(),
        }
    }
}

/// Query for the state of this member's copy of the list of replicas.
#[derive(Message)]
#[rtype(result = "ListState")]
pub(crate) struct GetListState;

/// State of this member's copy of the list, which it sends to the leader to receive updates.
#[derive(Clone, Debug, actix::MessageResponse)]
pub(crate) struct ListState {
    /// Fingerprint and age of the list; `None` while the disk of the member cannot be used.
    pub(crate) list: Option<KnownList>,
    /// Sum over the incarnations of the list; `None` while the disk of the member cannot be used.
    pub(crate) incarnations: Option<KnownIncarnations>,
    /// Sum over the software versions of the list; `None` while the disk of the member cannot be
    /// used.
    pub(crate) replica_versions: Option<KnownReplicaVersions>,
}

impl Handler<GetListState> for ControlActor {
    type Result = ListState;

    fn handle(&mut self, _: GetListState, _: &mut Self::Context) -> ListState {
        let list = self.node().map(|node| node.list());
        ListState {
            list: list.map(|list| list.known(now())),
            incarnations: list.map(|list| list.known_incarnations()),
            replica_versions: list.map(|list| list.known_replica_versions()),
        }
    }
}
