//! Requests of a newer build that this build does not know.

use crate::support::{Fleet, wait_until};
use luglink_control::{Request, Response};
use luglink_net::RequestClient;
use luglink_turns::{StoreRequest, StoreResponse};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

/// Request of a kind that no build knows yet.
const UNKNOWN_REQUEST: [u8; 3] = [120, 1, 2];

fn client(address: SocketAddr, role: ClientRole) -> RequestClient {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        role,
        id: 0,
    };
    RequestClient::open(address, hello)
}

/// The member answers the unknown request, and also those sent before and after it on the same
/// connection. Closing the connection would fail all requests in flight on it.
#[actix_rt::test]
async fn a_member_rejects_an_unknown_request_and_keeps_the_connection() {
    let fleet = Fleet::start(Vec::new()).await;
    let member = client(fleet.member_addresses[0], ClientRole::Observer);
    let status = encode_body(&Request::Status).unwrap();
    wait_until("the member has loaded its state", || async {
        let answer = member.request(status.clone(), LIMIT).await;
        let answer = answer.ok().and_then(|answer| decode_body(&answer).ok());
        matches!(answer, Some(Response::Status(_)))
    })
    .await;
    let (before, unknown, after) = tokio::join!(
        member.request(status.clone(), LIMIT),
        member.request(UNKNOWN_REQUEST.to_vec(), LIMIT),
        member.request(status, LIMIT),
    );
    let unknown: Response = decode_body(&unknown.unwrap()).unwrap();
    let Response::Unavailable { reason } = unknown else {
        panic!("expected Unavailable, got {unknown:?}");
    };
    assert!(reason.contains("does not know"), "{reason}");
    for answer in [before, after] {
        let answer: Response = decode_body(&answer.unwrap()).unwrap();
        assert!(matches!(answer, Response::Status(_)), "{answer:?}");
    }
}

#[actix_rt::test]
async fn a_store_rejects_an_unknown_request_and_keeps_the_connection() {
    let fleet = Fleet::start(Vec::new()).await;
    let store = client(fleet.stores[0].address, ClientRole::StoreClient);
    let account = StoreRequest::Account(luglink_turns::ProgramName("p".to_owned()));
    let account = encode_body(&account).unwrap();
    let (before, unknown, after) = tokio::join!(
        store.request(account.clone(), LIMIT),
        store.request(UNKNOWN_REQUEST.to_vec(), LIMIT),
        store.request(account, LIMIT),
    );
    let unknown: StoreResponse = decode_body(&unknown.unwrap()).unwrap();
    assert!(
        matches!(unknown, StoreResponse::Failed { .. }),
        "{unknown:?}"
    );
    for answer in [before, after] {
        let answer: StoreResponse = decode_body(&answer.unwrap()).unwrap();
        assert!(matches!(answer, StoreResponse::Account(_)), "{answer:?}");
    }
}
