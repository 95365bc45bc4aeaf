//! Requests of a newer build that this build does not know.

use crate::support::{Fleet, wait_until};
use luglink_control::{Request, Response};
use luglink_fleet_client::ObserverConfig;
use luglink_limits::Machine;
use luglink_net::RequestClient;
use luglink_quota::Tolerance;
use luglink_store_server::StoreServerConfig;
use luglink_turns::{ProgramName, Replication, Spend, StoreRequest, StoreResponse, TurnId};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use std::net::SocketAddr;
use std::path::Path;
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
    let store = client(fleet.storage.stores[0].address, ClientRole::StoreClient);
    let account = StoreRequest::Account(ProgramName("p".to_owned()));
    let account = encode_body(&account).unwrap();
    // A store without a view of the stores refuses clients that send none.
    wait_until("the store has received a view", || async {
        let answer = store.request(account.clone(), LIMIT).await;
        let answer = answer.ok().and_then(|answer| decode_body(&answer).ok());
        matches!(answer, Some(StoreResponse::Account(_)))
    })
    .await;
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

/// A store whose disk is empty must not count towards a quorum of a gateway that sends no view.
#[actix_rt::test]
async fn a_store_with_an_empty_disk_does_not_answer_for_a_program() {
    let folder = tempfile::tempdir().unwrap();
    let store = luglink_store_server::start(store_without_members(folder.path())).await;
    let store = store.unwrap();
    let client = client(store.address, ClientRole::StoreClient);
    let program = ProgramName("p".to_owned());
    let reservation = StoreRequest::Spend {
        epoch: 4,
        program: program.clone(),
        turn: TurnId("t".to_owned()),
        spend: Spend::Reserved(10),
        retention_ms: 60_000,
        chain: None,
        served_by: None,
    };
    for request in [reservation, StoreRequest::Account(program)] {
        let body = encode_body(&request).unwrap();
        let answer = client.request(body, LIMIT).await.unwrap();
        let answer: StoreResponse = decode_body(&answer).unwrap();
        assert!(matches!(answer, StoreResponse::Failed { .. }), "{answer:?}");
    }
}

fn store_without_members(folder: &Path) -> StoreServerConfig {
    StoreServerConfig {
        name: "s".to_owned(),
        zone: "z".to_owned(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        advertised: None,
        data_folder: folder.to_owned(),
        first_start: false,
        replication: Replication::surviving(1),
        segment_bytes: 1 << 20,
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
        observer: ObserverConfig {
            seeds: Vec::new(),
            member_port: 1,
        },
        metrics_listen: None,
        machine: Machine::default(),
    }
}
