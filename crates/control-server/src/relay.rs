//! What members tell each other beside consensus: the leader's list of replicas and number of
//! gateways to all, and the words of gateways to the other members of a zone.
//!
//! So gateways need ask only a few members near them, and the leader hears the members and not the
//! gateways.

use crate::actor::{ApplyLeaderUpdate, ControlActor};
use crate::looks::{GetFleetStatus, GetListState, GetZonePeerReport, ListState};
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

/// Time after which the leader counts as silent: half as much again as it ever waits for news.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause after a question that failed, or while there is no leader to ask.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two questions to the leader.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// Time between two tellings of gateways' words. A gateway that falls silent is so noticed by the
/// members that do not hear it themselves a quarter of a second later than by those that do.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Who a member is, for those it asks.
#[derive(Clone, Debug)]
pub(crate) struct RelayConfig {
    /// Name of its machine.
    pub(crate) name: String,
    /// Its zone.
    pub(crate) zone: String,
    /// Internal port of all members.
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

/// Follows whoever leads, for ever.
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
                true => tracing::info!(%leader, list_age_ms, "following the leader's list"),
                false => tracing::warn!(%leader, list_age_ms, "the leader's list is not heard"),
            }
        }
        match update {
            Some((update, parts)) => {
                control.do_send(ApplyLeaderUpdate {
                    report: update.backends,
                    gateways: update.gateways,
                    incarnations: parts.incarnations,
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
    let ListState { list, incarnations } = control.send(GetListState).await.ok()?;
    let request = Request::Observe(Box::new(ObserverRequest {
        presence: Presence {
            name: config.name.clone(),
            zone: config.zone.clone(),
            role: Role::Member(presence),
        },
        // Everything else comes with the log.
        known: KnownVersions {
            document_version: u64::MAX,
            is_current: true,
            store_epoch: u64::MAX,
            backends: list,
            members: MembersStamp::NEWEST,
        },
        sends_document_at_once: false,
        is_counted_here: false,
    }));
    let parts = RequestParts {
        known_incarnations: incarnations,
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

/// Tells the other members of the zone which gateways this one hears, for ever.
pub(crate) async fn report_to_zone_peers(control: Addr<ControlActor>, config: RelayConfig) {
    let mut links: BTreeMap<Ipv4Addr, RequestClient> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let Ok(taken) = control.send(GetZonePeerReport).await else {
            return;
        };
        links.retain(|member, _| taken.zone_peers.contains(member));
        if taken.zone_peers.is_empty() {
            continue;
        }
        let parts = RequestParts {
            member_stats: taken.replica_stats,
            ..RequestParts::default()
        };
        let presences = Request::RelayGatewayPresences(taken.presences);
        let encoded = parts.encode();
        let body = match encoded.and_then(|parts| encode_with_parts(&presences, &parts)) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%error, "cannot encode the words of gateways");
                continue;
            }
        };
        for zone_peer in taken.zone_peers {
            let link = links
                .entry(zone_peer)
                .or_insert_with(|| config.link(zone_peer));
            tell(link, body.clone());
        }
    }
}

/// Sends words without a wait for the answer: later ones follow soon.
fn tell(link: &RequestClient, body: Vec<u8>) {
    if !link.tell(body) {
        tracing::debug!(address = %link.address(), "a member of the zone is not reached");
    }
}
