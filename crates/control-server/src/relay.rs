//! What members tell each other beside consensus: the leader's list of replicas and number of
//! gateways to all, and the words of gateways to the other members of a zone.
//!
//! So gateways need ask only a few members near them, and the leader hears the members and not the
//! gateways.

use crate::actor::{ControlActor, TakeLeaderNews};
use crate::looks::{DescribeList, ListWord, LookAtFleet, TakeWords};
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
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// Pause after a question that failed, or while there is no leader to ask.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Shortest time between two questions to the leader.
const QUESTION_INTERVAL: Duration = Duration::from_millis(30);

/// Time between two tellings of gateways' words. A gateway that falls silent is so noticed by the
/// members that do not hear it themselves a quarter of a second later than by those that do.
const WORDS_INTERVAL: Duration = Duration::from_millis(250);

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
    let mut is_heard = false;
    loop {
        let Ok(look) = control.send(LookAtFleet).await else {
            return;
        };
        let Some(leader) = look.followed_leader else {
            followed = None;
            actix_rt::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        let (_, link) = match followed.take() {
            Some((known, link)) if known == leader => followed.insert((known, link)),
            _ => followed.insert((leader, config.link(leader))),
        };
        let presence = MemberPresence {
            gateways: look.own_gateways,
        };
        let news = ask_leader(&control, &config, link, presence).await;
        if is_heard != news.is_some() {
            is_heard = news.is_some();
            let list_age_ms = look.list_age.map(milliseconds);
            match is_heard {
                true => tracing::info!(%leader, list_age_ms, "following the leader's list"),
                false => tracing::warn!(%leader, list_age_ms, "the leader's list is not heard"),
            }
        }
        match news {
            Some((news, parts)) => {
                control.do_send(TakeLeaderNews {
                    report: news.backends,
                    gateways: news.gateways,
                    incarnations: parts.incarnations,
                });
                actix_rt::time::sleep(QUESTION_INTERVAL).await;
            }
            None => actix_rt::time::sleep(FAILURE_PAUSE).await,
        }
    }
}

async fn ask_leader(
    control: &Addr<ControlActor>,
    config: &RelayConfig,
    link: &RequestClient,
    presence: MemberPresence,
) -> Option<(ObserverUpdate, ResponseParts)> {
    let ListWord { list, incarnations } = control.send(DescribeList).await.ok()?;
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
        wants_document_at_once: false,
        is_counted_here: false,
    }));
    let parts = RequestParts {
        known_incarnations: incarnations,
        ..RequestParts::default()
    };
    let body = encode_with_parts(&request, &parts.encode().ok()?).ok()?;
    let answer = link.request(body, ANSWER_LIMIT).await.ok()?;
    let (response, parts) = decode_with_parts(&answer).ok()?;
    match response {
        Response::ObserverUpdate(news) => Some((*news, ResponseParts::decode(&parts).ok()?)),
        _ => None,
    }
}

/// Tells the other members of the zone which gateways this one hears, for ever.
pub(crate) async fn tell_neighbours(control: Addr<ControlActor>, config: RelayConfig) {
    let mut links: BTreeMap<Ipv4Addr, RequestClient> = BTreeMap::new();
    loop {
        actix_rt::time::sleep(WORDS_INTERVAL).await;
        let Ok(taken) = control.send(TakeWords).await else {
            return;
        };
        links.retain(|member, _| taken.neighbours.contains(member));
        if taken.neighbours.is_empty() {
            continue;
        }
        let parts = RequestParts {
            member_stats: taken.replica_stats,
            ..RequestParts::default()
        };
        let words = Request::HearGateways(taken.words);
        let encoded = parts.encode();
        let body = match encoded.and_then(|parts| encode_with_parts(&words, &parts)) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%error, "cannot encode the words of gateways");
                continue;
            }
        };
        for neighbour in taken.neighbours {
            let link = links
                .entry(neighbour)
                .or_insert_with(|| config.link(neighbour));
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
