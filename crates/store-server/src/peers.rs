//! Connections to other stores for the hand-over of records.

use luglink_fleet::{StoreName, StoreView};
use luglink_net::RequestClient;
use luglink_turns::{CountedReport, CrashRequest, OriginRequest, StoreRequest, StoreResponse};
use luglink_wire::{
    ClientRole, Hello, PROTOCOL_VERSION, WireError, decode_body, decode_with_parts, encode_body,
    encode_with_parts,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time to wait for the response of another store.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for crash reports, which the other store acknowledges once the gateways with a lease have
/// them.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

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

    async fn request(&self, to: &StoreName, body: Vec<u8>, limit: Duration) -> Option<Vec<u8>> {
        let (link, is_new) = self.link(to)?;
        if is_new {
            actix_rt::time::sleep(CONNECT_DELAY).await;
        }
        link.request(body, limit).await.ok()
    }

    /// Sends a hand-over request. Returns true if the other store acknowledged that the records
    /// are on disk.
    pub(crate) async fn hand_over(&self, to: &StoreName, request: &StoreRequest) -> bool {
        let Ok(body) = encode_body(request) else {
            return false;
        };
        let response = self.request(to, body, RESPONSE_TIMEOUT).await;
        response.is_some_and(|response| matches!(decode_body(&response), Ok(StoreResponse::Done)))
    }

    /// Sends crash reports that the other store owns. Returns true if it acknowledged that they are on
    /// disk and known to all gateways, or if it is of a build that takes none.
    pub(crate) async fn hand_over_reports(
        &self,
        to: &StoreName,
        reports: Vec<CountedReport>,
    ) -> bool {
        let Ok(body) = encode_take_over(reports) else {
            return false;
        };
        let Some(response) = self.request(to, body, REPORT_TIMEOUT).await else {
            return false;
        };
        matches!(
            decode_with_parts(&response),
            Ok((StoreResponse::Chain(_), _))
        )
    }
}

fn encode_take_over(reports: Vec<CountedReport>) -> Result<Vec<u8>, WireError> {
    let parts = CrashRequest::TakeOver(reports).encode()?;
    encode_with_parts(&OriginRequest::message(), &parts)
}
