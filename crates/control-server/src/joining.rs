//! Asks the members of a running fleet to let this one in.

use crate::actor::ControlActor;
use crate::looks::GetFleetStatus;
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

/// Time between rounds of questions.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for one member.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Where to ask.
#[derive(Clone, Debug)]
pub(crate) struct JoinConfig {
    /// This member's own address, which is not asked.
    pub(crate) own: SocketAddr,
    /// Members that the settings name, now.
    pub(crate) seeds: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Asks whenever this member hears no leader. Members that are asked in vain name the one that
/// leads, as far as they know.
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
            if let Some(leader_ip) = ask(link, peer).await {
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

/// Asks one member. Returns the leader that it names.
async fn ask(link: &RequestClient, peer: Peer) -> Option<Ipv4Addr> {
    let body = encode_body(&Request::Join(peer)).ok()?;
    let answer = link.request(body, REQUEST_TIMEOUT).await.ok()?;
    match decode_body(&answer).ok()? {
        Response::NotLeader { leader, .. } => leader.map(|leader| Ipv4Addr::from(leader.0)),
        _ => None,
    }
}
