//! Requests for admission to the configuration group of a running fleet.

use crate::actor::ControlActor;
use crate::queries::GetFleetStatus;
use actix::Addr;
use luglink_control::{Request, Response};
use luglink_net::RequestClient;
use luglink_raft::Peer;
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Interval between rounds of join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a join request to one member.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Members to send join requests to.
#[derive(Clone, Debug)]
pub(crate) struct JoinConfig {
    /// Address of this member, to which no request is sent.
    pub(crate) own: SocketAddr,
    /// Members that the settings name, which may change at runtime.
    pub(crate) seeds: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Sends join requests while this member has no contact with a leader. A member that does not lead
/// responds with the leader it knows, which is then asked as well.
pub(crate) async fn join_when_leaderless(control: Addr<ControlActor>, config: JoinConfig) {
    let mut links: BTreeMap<SocketAddr, RequestClient> = BTreeMap::new();
    let mut leader: Option<SocketAddr> = None;
    loop {
        actix_rt::time::sleep(JOIN_INTERVAL).await;
        let status = control.send(GetFleetStatus).await;
        let Some(peer) = status.ok().and_then(|status| status.wants_to_join) else {
            links.clear();
            continue;
        };
        let seeds = config.seeds.borrow().clone();
        let targets = seeds.into_iter().chain(leader);
        for target in targets.filter(|target| *target != config.own) {
            let link = links
                .entry(target)
                .or_insert_with(|| RequestClient::open(target, hello(peer)));
            if let Some(leader_ip) = send_join_request(link, peer).await {
                leader = Some(SocketAddr::from((leader_ip, config.own.port())));
            }
        }
    }
}

fn hello(peer: Peer) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: ClientRole::Observer,
        id: peer.member.0,
    }
}

/// Sends a join request to one member. Returns the leader if the response names one.
async fn send_join_request(link: &RequestClient, peer: Peer) -> Option<Ipv4Addr> {
    let body = encode_body(&Request::Join(peer)).ok()?;
    let answer = link.request(body, REQUEST_TIMEOUT).await.ok()?;
    match decode_body(&answer).ok()? {
        Response::NotLeader { leader, .. } => leader.map(|leader| Ipv4Addr::from(leader.0)),
        _ => None,
    }
}
