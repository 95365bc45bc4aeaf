//! Links to the other members.

use luglink_net::{Link, LinkEvent};
use luglink_raft::Envelope;
use luglink_settings::MemberAddress;
use luglink_types::{GroupId, MemberId};
use luglink_wire::{ClientRole, Frame, Hello, PROTOCOL_VERSION, encode_body};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Time after which a link that was opened when it was needed is closed when it is not.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// A link and when it was last used.
struct PeerLink {
    link: Link,
    used: Instant,
}

/// One link to each other member.
pub(crate) struct Peers {
    hello: Hello,
    links: BTreeMap<MemberId, PeerLink>,
    /// Internal port of all members, when members are named by their IP numbers.
    port: Option<u16>,
}

fn open(address: SocketAddr, hello: Hello) -> PeerLink {
    let ignore = |_: LinkEvent| {
        // Links only send; the other member's messages come over its own link.
    };
    PeerLink {
        link: Link::open(address, hello, ignore),
        used: Instant::now(),
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
    /// Links to members that the settings name.
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

    /// Links that are opened when they are needed, to members named by their IP numbers.
    pub(crate) fn by_address(own: MemberId, port: u16) -> Self {
        Self {
            hello: hello(own),
            links: BTreeMap::new(),
            port: Some(port),
        }
    }

    /// Closes links to members that nothing was sent to for long.
    pub(crate) fn close_unused(&mut self) {
        if self.port.is_some() {
            self.links
                .retain(|_, peer| peer.used.elapsed() < UNUSED_LINK_TIMEOUT);
        }
    }

    /// Sends a message; what cannot be sent is dropped, and consensus sends it again.
    pub(crate) fn send(&mut self, group: GroupId, envelope: &Envelope) {
        let to = envelope.to.member;
        if let (Some(port), false) = (self.port, self.links.contains_key(&to)) {
            let address = SocketAddr::from((Ipv4Addr::from(to.0), port));
            self.links.insert(to, open(address, self.hello));
        }
        let Some(peer) = self.links.get_mut(&to) else {
            return;
        };
        peer.used = Instant::now();
        match encode_body(envelope) {
            Ok(body) => {
                peer.link.send(Frame::peer(group.0, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode a consensus message"),
        }
    }
}
