//! Connections to other stores for the hand-over of records.

use luglink_fleet::{StoreName, StoreView};
use luglink_net::RequestClient;
use luglink_turns::{StoreRequest, StoreResponse};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time to wait for the response of another store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to wait before the first request on a new connection, so that it can be established.
const CONNECT_DELAY: Duration = Duration::from_millis(30);

/// Connections to other stores, opened on first use.
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

    /// Sends a hand-over request. Returns true if the other store acknowledged that the records
    /// are on disk.
    pub(crate) async fn hand_over(&self, to: &StoreName, request: &StoreRequest) -> bool {
        let Some((link, is_new)) = self.link(to) else {
            return false;
        };
        if is_new {
            actix_rt::time::sleep(CONNECT_DELAY).await;
        }
        let Ok(body) = encode_body(request) else {
            return false;
        };
        let Ok(response) = link.request(body, RESPONSE_TIMEOUT).await else {
            return false;
        };
        matches!(decode_body(&response), Ok(StoreResponse::Done))
    }
}
