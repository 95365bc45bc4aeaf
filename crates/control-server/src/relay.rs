//! State that members exchange besides consensus: followers poll the leader for the list of
//! replicas and the number of gateways, and members of a zone relay the presences and statistics of
//! gateways to each other.
//!
//! Gateways thus report to a few members near them, and the leader handles requests of members
//! instead of requests of all gateways.

use crate::actor::{ApplyLeaderUpdate, ControlActor};
use crate::queries::{GetFleetStatus, GetListState, GetZonePeerReport, ListState};
use actix::Addr;
use luglink_control::{Request, RequestParts, Response, ResponseParts};
use luglink_fleet::{
    KnownVersions, MemberPresence, MembersStamp, ObserverRequest, ObserverUpdate, Presence, Role,
};
use luglink_net::RequestClient;
use luglink_telemetry::milliseconds;
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_with_parts, encode_with_parts};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Timeout of a request to the leader. It must exceed the maximum hold, after which the leader
/// answers even if nothing is new.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause after a failed request, or while there is no leader to ask.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Pause between two requests to the leader.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Interval of the reports to the other members of the zone. It adds to the time after which the
/// members that a gateway does not report to notice its silence.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Identity of this member in its requests to other members.
#[derive(Clone, Debug)]
pub(crate) struct RelayConfig {
    /// Name of its machine.
    pub(crate) name: String,
    /// Its zone.
    pub(crate) zone: String,
    /// Port of all members.
    pub(crate) member_port: u16,
}

impl RelayConfig {
    fn link(&self, member: Ipv4Addr) -> RequestClient {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::Observer,
            id: 0,
        };
        RequestClient::open(SocketAddr::from((member, self.member_port)), hello)
    }
}

/// Polls the current leader for updates until the actor stops.
pub(crate) async fn follow_leader(control: Addr<ControlActor>, config: RelayConfig) {
    let mut followed: Option<(Ipv4Addr, RequestClient)> = None;
    let mut is_following = false;
    loop {
        let Ok(status) = control.send(GetFleetStatus).await else {
            return;
        };
        let Some(leader) = status.followed_leader else {
            followed = None;
            actix_rt::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let (_, link) = match followed.take() {
            Some((known, link)) if known == leader => followed.insert((known, link)),
            _ => followed.insert((leader, config.link(leader))),
        };
        let presence = MemberPresence {
            gateways: status.counted_gateways,
        };
        let update = ask_leader(&control, &config, link, presence).await;
        if is_following != update.is_some() {
            is_following = update.is_some();
            let list_age_ms = status.list_age.map(milliseconds);
            match is_following {
                true => tracing::info!(%leader, list_age_ms, "receiving updates from the leader"),
                false => tracing::warn!(%leader, list_age_ms, "no update from the leader"),
            }
        }
        match update {
            Some((update, parts)) => {
                control.do_send(ApplyLeaderUpdate {
                    report: update.backends,
                    gateways: update.gateways,
                    incarnations: parts.incarnations,
                    replica_versions: parts.replica_versions,
                });
                actix_rt::time::sleep(REQUEST_INTERVAL).await;
            }
            None => actix_rt::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn ask_leader(
    control: &Addr<ControlActor>,
    config: &RelayConfig,
    link: &RequestClient,
    presence: MemberPresence,
) -> Option<(ObserverUpdate, ResponseParts)> {
    let ListState {
        list,
        incarnations,
        replica_versions,
    } = control.send(GetListState).await.ok()?;
    let request = Request::Observe(Box::new(ObserverRequest {
        presence: Presence {
            name: config.name.clone(),
            zone: config.zone.clone(),
            role: Role::Member(presence),
        },
        // Everything else is replicated by the log, so no updates of it are requested.
        known: KnownVersions {
            document_version: u64::MAX,
            is_current: true,
            store_epoch: u64::MAX,
            backends: list,
            members: MembersStamp::NEWEST,
        },
        wants_document_at_once: false,
        is_counted_here: false,
    }));
    let parts = RequestParts {
        known_incarnations: incarnations,
        known_replica_versions: replica_versions,
        ..RequestParts::default()
    };
    let body = encode_with_parts(&request, &parts.encode().ok()?).ok()?;
    let answer = link.request(body, REQUEST_TIMEOUT).await.ok()?;
    let (response, parts) = decode_with_parts(&answer).ok()?;
    match response {
        Response::ObserverUpdate(update) => Some((*update, ResponseParts::decode(&parts).ok()?)),
        _ => None,
    }
}

/// Relays the presences and statistics of gateways to the other members of the zone, until the
/// actor stops.
pub(crate) async fn report_to_zone_peers(control: Addr<ControlActor>, config: RelayConfig) {
    let mut links: BTreeMap<Ipv4Addr, RequestClient> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let Ok(report) = control.send(GetZonePeerReport).await else {
            return;
        };
        links.retain(|member, _| report.zone_peers.contains(member));
        if report.zone_peers.is_empty() {
            continue;
        }
        let parts = RequestParts {
            member_stats: report.member_stats,
            ..RequestParts::default()
        };
        let request = Request::RelayGatewayPresences(report.presences);
        let encoded = parts.encode();
        let body = match encoded.and_then(|parts| encode_with_parts(&request, &parts)) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%error, "cannot encode a report to the members of the zone");
                continue;
            }
        };
        for zone_peer in report.zone_peers {
            let link = links
                .entry(zone_peer)
                .or_insert_with(|| config.link(zone_peer));
            send_report(link, body.clone());
        }
    }
}

/// Sends a report without waiting for the response. A lost report is replaced by the next one.
fn send_report(link: &RequestClient, body: Vec<u8>) {
    if !link.send_one_way(body) {
        tracing::debug!(address = %link.address(), "cannot send a report to a member of the zone");
    }
}
