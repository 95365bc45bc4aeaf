//! Links to the other members.

use luglink_net::{Link, LinkEvent};
use luglink_raft::Envelope;
use luglink_settings::MemberAddress;
use luglink_types::{GroupId, MemberId};
use luglink_wire::{ClientRole, Frame, Hello, PROTOCOL_VERSION, encode_body};
use std::collections::BTreeMap;

/// One link to each other member.
pub(crate) struct Peers {
    links: BTreeMap<MemberId, Link>,
}

impl Peers {
    pub(crate) fn open(own: MemberId, members: &[MemberAddress]) -> Self {
        let others = members.iter().filter(|member| member.id != own.0);
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::Member,
            id: own.0,
        };
        let links = others.map(|member| {
            let ignore = |_: LinkEvent| {
                // Links only send; the other member's messages come over its own link.
            };
            (
                MemberId(member.id),
                Link::open(member.address, hello, ignore),
            )
        });
        Self {
            links: links.collect(),
        }
    }

    /// Sends a message; what cannot be sent is dropped, and consensus sends it again.
    pub(crate) fn send(&self, group: GroupId, envelope: &Envelope) {
        let Some(link) = self.links.get(&envelope.to.member) else {
            return;
        };
        match encode_body(envelope) {
            Ok(body) => {
                link.send(Frame::peer(group.0, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode a consensus message"),
        }
    }
}
