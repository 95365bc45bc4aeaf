//! Origins of streams: their table, and messages about them between builds.

use luglink_fleet::{BackendId, Incarnation, SoftwareVersion, StoreName, StreamOrigin};
use luglink_quota::Tolerance;
use luglink_storage::{MemoryDisk, WalConfig};
use luglink_turns::{
    Chain, ChainQuery, OriginRecord, OriginRequest, OriginResponse, OriginTable, Output,
    Replication, RequestToken, StoreConfig, StoreNode, StoreRequest, StoreResponse, TurnId,
    hint_query, hint_request, hinted_origin,
};
use luglink_types::Timestamp;
use luglink_wire::{Parts, decode_body, decode_with_parts, encode_body, encode_with_parts};
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(6);

fn stream(number: usize) -> TurnId {
    TurnId(format!("s{number}"))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".to_owned(),
        replica: BackendId("i-1".to_owned()),
        incarnation: Incarnation(5),
        version: Some(SoftwareVersion(version.to_owned())),
    }
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

#[test]
fn an_origin_is_found_until_it_expires() {
    let mut table = OriginTable::new(8);
    table.record(&stream(1), &origin("v1"), RETENTION, at(0));
    assert_eq!(table.find(&stream(1), at(5)), Some(&origin("v1")));
    assert_eq!(table.find(&stream(1), at(6)), None);
    table.expire(at(6));
    assert!(table.is_empty());
}

#[test]
fn the_first_origin_of_a_stream_stays() {
    let mut table = OriginTable::new(8);
    table.record(&stream(1), &origin("v1"), RETENTION, at(0));
    table.record(&stream(1), &origin("v2"), RETENTION, at(1));
    assert_eq!(table.find(&stream(1), at(2)), Some(&origin("v1")));
}

#[test]
fn a_full_table_drops_the_origin_that_expires_first() {
    let mut table = OriginTable::new(3);
    for number in 0..5 {
        table.record(&stream(number), &origin("v1"), RETENTION, at(number as u64));
    }
    assert_eq!(table.len(), 3);
    let known: Vec<bool> = (0..5)
        .map(|number| table.find(&stream(number), at(5)).is_some())
        .collect();
    assert_eq!(known, [false, false, true, true, true]);
}

#[test]
fn origins_of_overlong_identifiers_and_times_are_bounded() {
    let mut table = OriginTable::new(8);
    let overlong = TurnId("x".repeat(10_000));
    table.record(&overlong, &origin("v1"), RETENTION, at(0));
    assert!(table.is_empty());
    table.record(&stream(1), &origin("v1"), Duration::MAX, at(0));
    assert_eq!(table.find(&stream(1), at(86_400)), None);
}

#[test]
fn a_store_without_origins_reads_the_requests_as_a_lookup_of_no_turn() {
    let record = OriginRecord {
        stream: stream(1),
        origin: origin("v1"),
        retention_ms: 6_000,
    };
    for request in [
        OriginRequest::Record(record),
        OriginRequest::Find(stream(1)),
    ] {
        let parts = request.encode().unwrap();
        let bytes = encode_with_parts(&OriginRequest::message(), &parts).unwrap();
        let older: StoreRequest = decode_body(&bytes).unwrap();
        let turn = TurnId::default();
        assert_eq!(older, StoreRequest::Lookup(ChainQuery { turn }));
        let (_, parts) = decode_with_parts::<StoreRequest>(&bytes).unwrap();
        assert_eq!(OriginRequest::decode(&parts).unwrap(), Some(request));
    }
}

#[test]
fn requests_and_responses_of_older_builds_have_no_origin() {
    let bytes = encode_body(&OriginRequest::message()).unwrap();
    let (_, parts) = decode_with_parts::<StoreRequest>(&bytes).unwrap();
    assert_eq!(OriginRequest::decode(&parts).unwrap(), None);
    let absent = StoreResponse::Chain(Chain::Absent { incarnation: 7 });
    let (_, parts) = decode_with_parts::<StoreResponse>(&encode_body(&absent).unwrap()).unwrap();
    assert_eq!(OriginResponse::decode(&parts).unwrap(), None);
}

#[test]
fn the_origin_in_a_response_round_trips() {
    for origin in [None, Some(origin("v1"))] {
        let response = OriginResponse { origin };
        let parts: Parts = response.encode().unwrap();
        assert_eq!(OriginResponse::decode(&parts).unwrap(), Some(response));
    }
}

fn store() -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: StoreName("store".to_owned()),
        replication: Replication::surviving(0),
        wal: WalConfig {
            segment_bytes: 1 << 20,
        },
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    };
    StoreNode::start(config, MemoryDisk::default(), 7, at(0)).unwrap()
}

fn respond(
    store: &mut StoreNode<MemoryDisk>,
    request: StoreRequest,
    now: Timestamp,
) -> StoreResponse {
    let token = RequestToken {
        client: 1,
        request: 1,
    };
    store.handle(token, request, now);
    match store.flush().pop() {
        Some(Output::Reply { response, .. }) => *response,
        other => panic!("expected a reply, got {other:?}"),
    }
}

/// Requests for hints are plain reservations, which stores of any build handle like this one.
#[test]
fn a_store_without_origins_keeps_them_as_hints_until_they_expire() {
    let mut store = store();
    let record = OriginRecord {
        stream: stream(1),
        origin: origin("v1"),
        retention_ms: 6_000,
    };
    respond(&mut store, hint_request(0, &record).unwrap(), at(0));
    let found = respond(&mut store, hint_query(0, &stream(1)), at(5));
    assert_eq!(hinted_origin(&found), Some(origin("v1")));
    let unknown = respond(&mut store, hint_query(0, &stream(2)), at(5));
    assert_eq!(hinted_origin(&unknown), None);
    store.tick(at(30));
    assert_eq!(store.counts(), (0, 0));
}

#[test]
fn a_hint_that_is_no_origin_is_ignored() {
    for hint in ["", "i-1", "zz", "00ff"] {
        let response = StoreResponse::Spent {
            account: luglink_turns::Account::default(),
            chain: None,
            served_by: Some(BackendId(hint.to_owned())),
        };
        assert_eq!(hinted_origin(&response), None, "{hint}");
    }
}
