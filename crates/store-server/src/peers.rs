//! Links to other stores, for handing over.

use luglink_fleet::{StoreName, StoreView};
use luglink_net::RequestClient;
use luglink_turns::{StoreRequest, StoreResponse};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for another store's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Time for a new link to come up.
const LINK_TIME: Duration = Duration::from_millis(30);

/// Links to other stores, opened when they are first needed.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: RefCell<BTreeMap<StoreName, Rc<RequestClient>>>,
    addresses: RefCell<BTreeMap<StoreName, SocketAddr>>,
}

impl Peers {
    pub(crate) fn set_view(&self, view: &StoreView) {
        let members = view.members.iter();
        *self.addresses.borrow_mut() = members
            .map(|(name, member)| (name.clone(), member.address))
            .collect();
        let addresses = self.addresses.borrow();
        self.links
            .borrow_mut()
            .retain(|name, link| addresses.get(name) == Some(&link.address()));
    }

    fn link(&self, name: &StoreName) -> Option<(Rc<RequestClient>, bool)> {
        if let Some(link) = self.links.borrow().get(name) {
            return Some((Rc::clone(link), false));
        }
        let address = *self.addresses.borrow().get(name)?;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: ClientRole::StoreClient,
            id: 0,
        };
        let link = Rc::new(RequestClient::open(address, hello));
        self.links
            .borrow_mut()
            .insert(name.clone(), Rc::clone(&link));
        Some((link, true))
    }

    /// Hands over; returns whether the other store has it on disk.
    pub(crate) async fn hand_over(&self, to: &StoreName, request: &StoreRequest) -> bool {
        let Some((link, is_new)) = self.link(to) else {
            return false;
        };
        if is_new {
            actix_rt::time::sleep(LINK_TIME).await;
        }
        let Ok(body) = encode_body(request) else {
            return false;
        };
        let Ok(answer) = link.request(body, ANSWER_LIMIT).await else {
            return false;
        };
        matches!(decode_body(&answer), Ok(StoreResponse::Done))
    }
}
