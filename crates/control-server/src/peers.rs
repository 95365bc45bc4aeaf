//! Links for consensus messages to the other members.

use luglink_net::{Link, LinkEvent};
use luglink_raft::Envelope;
use luglink_settings::MemberAddress;
use luglink_types::{GroupId, MemberId};
use luglink_wire::{ClientRole, Frame, Hello, PROTOCOL_VERSION, encode_body};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Idle time after which a link that was opened on demand is closed.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// A link with the time of its last use.
struct PeerLink {
    link: Link,
    last_used: Instant,
}

/// Links to the other members, one for each.
pub(crate) struct Peers {
    hello: Hello,
    links: BTreeMap<MemberId, PeerLink>,
    /// Port of all members, if the id of a member is its IPv4 address.
    port: Option<u16>,
}

fn open(address: SocketAddr, hello: Hello) -> PeerLink {
    let ignore = |_: LinkEvent| {
        // Links only send. Messages of the other member arrive over a link of its own.
    };
    PeerLink {
        link: Link::open(address, hello, ignore),
        last_used: Instant::now(),
    }
}

fn hello(own: MemberId) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: ClientRole::Member,
        id: own.0,
    }
}

impl Peers {
    /// Opens links to the members that the settings name.
    pub(crate) fn open(own: MemberId, members: &[MemberAddress]) -> Self {
        let others = members.iter().filter(|member| member.id != own.0);
        let hello = hello(own);
        let links = others.map(|member| (MemberId(member.id), open(member.address, hello)));
        Self {
            hello,
            links: links.collect(),
            port: None,
        }
    }

    /// Creates a set of links that are opened on demand, to members whose ids are their IPv4
    /// addresses.
    pub(crate) fn by_address(own: MemberId, port: u16) -> Self {
        Self {
            hello: hello(own),
            links: BTreeMap::new(),
            port: Some(port),
        }
    }

    /// Closes the idle links that were opened on demand.
    pub(crate) fn close_unused(&mut self) {
        if self.port.is_some() {
            self.links
                .retain(|_, peer| peer.last_used.elapsed() < UNUSED_LINK_TIMEOUT);
        }
    }

    /// Sends a message. A message that cannot be sent is dropped; consensus retries it.
    pub(crate) fn send(&mut self, group: GroupId, envelope: &Envelope) {
        let to = envelope.to.member;
        if let (Some(port), false) = (self.port, self.links.contains_key(&to)) {
            let address = SocketAddr::from((Ipv4Addr::from(to.0), port));
            self.links.insert(to, open(address, self.hello));
        }
        let Some(peer) = self.links.get_mut(&to) else {
            return;
        };
        peer.last_used = Instant::now();
        match encode_body(envelope) {
            Ok(body) => {
                peer.link.send(Frame::peer(group.0, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode a consensus message"),
        }
    }
}
