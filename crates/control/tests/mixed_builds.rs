//! Compatibility of messages between builds with and without optional parts.

use luglink_control::{Request, RequestParts, Response, ResponseParts};
use luglink_fleet::{
    Backend, BackendId, BackendList, DiskId, Incarnation, KnownIncarnations, KnownReplicaVersions,
    MAX_REPLICA_STATS, MemberStats, ObserverUpdate, ReplicaIncarnation, ReplicaKey, ReplicaStats,
    ReplicaVersion, SettledStores, SoftwareVersion, StatsReport, StoreName, ZoneStats,
};
use luglink_wire::{decode_body, decode_with_parts, encode_body, encode_with_parts};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Layout of a replica in builds without incarnations.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OlderBackend {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
}

fn backend() -> Backend {
    Backend {
        id: BackendId("i-1".to_owned()),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining: true,
        incarnation: Incarnation(1_765_000_000_123),
        version: Some(SoftwareVersion("v1".to_owned())),
    }
}

fn older_backend() -> OlderBackend {
    OlderBackend {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining: true,
    }
}

fn replica_stats() -> StatsReport {
    StatsReport(vec![ReplicaStats {
        replica: ReplicaKey(u32::MAX),
        in_flight_tenths: 12,
        samples_tenths: 34,
        step_micros: 56_789,
        failures_tenths: 3,
        reporting_gateways: 2,
    }])
}

fn zone_stats() -> ZoneStats {
    ZoneStats {
        replica_stats: replica_stats(),
        age: Duration::from_millis(250),
    }
}

fn request_parts() -> RequestParts {
    RequestParts {
        known_incarnations: Some(KnownIncarnations { sum: 77 }),
        known_replica_versions: Some(KnownReplicaVersions { sum: 78 }),
        replica_stats: Some(replica_stats()),
        member_stats: Some(MemberStats {
            member: 3,
            zones: [("z".to_owned(), zone_stats())].into(),
        }),
    }
}

fn response_parts() -> ResponseParts {
    ResponseParts {
        incarnations: vec![ReplicaIncarnation {
            replica: BackendId("i-1".to_owned()),
            incarnation: Incarnation(5),
        }],
        replica_versions: vec![ReplicaVersion {
            replica: BackendId("i-1".to_owned()),
            incarnation: Incarnation(5),
            version: SoftwareVersion("v2".to_owned()),
        }],
        zone_stats: Some(zone_stats()),
        settled_stores: Some(SettledStores(
            [
                (StoreName("s-1".to_owned()), DiskId::Known(4)),
                (StoreName("s-2".to_owned()), DiskId::Unknown),
            ]
            .into(),
        )),
    }
}

#[test]
fn the_layout_of_lists_matches_older_builds() {
    let newer = encode_body(&BackendList::new(vec![backend()])).unwrap();
    let older = encode_body(&vec![older_backend()]).unwrap();
    assert_eq!(newer, older);
    let read: BackendList = decode_body(&older).unwrap();
    let only = read.backends().next().unwrap();
    assert_eq!(only.incarnation, Incarnation::UNKNOWN);
    assert_eq!(only.version, None);
}

#[test]
fn an_older_build_reads_a_request_with_parts() {
    let parts = request_parts().encode().unwrap();
    let bytes = encode_with_parts(&Request::Status, &parts).unwrap();
    let read: Request = decode_body(&bytes).unwrap();
    assert_eq!(read, Request::Status);
}

#[test]
fn an_older_build_reads_a_response_with_parts() {
    let update = Response::ObserverUpdate(Box::new(ObserverUpdate {
        gateways: 9,
        ..ObserverUpdate::default()
    }));
    let parts = response_parts().encode().unwrap();
    let bytes = encode_with_parts(&update, &parts).unwrap();
    let read: Response = decode_body(&bytes).unwrap();
    assert_eq!(read, update);
}

#[test]
fn messages_of_an_older_build_have_no_parts() {
    let bytes = encode_body(&Request::Status).unwrap();
    let (_, parts) = decode_with_parts::<Request>(&bytes).unwrap();
    let parts = RequestParts::decode(&parts).unwrap();
    assert_eq!(parts, RequestParts::default());
    let (_, parts) = decode_with_parts::<Response>(&encode_body(&Response::Done).unwrap()).unwrap();
    let parts = ResponseParts::decode(&parts).unwrap();
    assert_eq!(parts, ResponseParts::default());
}

#[test]
fn parts_round_trip() {
    let bytes = encode_with_parts(&Request::Status, &request_parts().encode().unwrap()).unwrap();
    let (_, parts) = decode_with_parts::<Request>(&bytes).unwrap();
    assert_eq!(RequestParts::decode(&parts).unwrap(), request_parts());
    let bytes = encode_with_parts(&Response::Done, &response_parts().encode().unwrap()).unwrap();
    let (_, parts) = decode_with_parts::<Response>(&bytes).unwrap();
    assert_eq!(ResponseParts::decode(&parts).unwrap(), response_parts());
}

/// Maximum size of an encoded statistics report, in bytes.
const MAX_STATS_BYTES: usize = 2_048;

#[test]
fn a_stats_report_stays_small() {
    let largest = ReplicaStats {
        replica: ReplicaKey(u32::MAX),
        in_flight_tenths: 40_000,
        samples_tenths: 40_000,
        step_micros: 10_000_000,
        failures_tenths: 40_000,
        reporting_gateways: 864,
    };
    let bytes = encode_body(&StatsReport(vec![largest; MAX_REPLICA_STATS])).unwrap();
    assert!(bytes.len() <= MAX_STATS_BYTES, "{}", bytes.len());
}
