//! Choice of the replica that continues a stream.

use luglink_fleet::{
    Backend, BackendChanges, BackendId, Incarnation, SoftwareVersion, StreamOrigin,
};
use luglink_scheduling::{Pool, RoutingRequest};
use luglink_types::Timestamp;
use std::collections::BTreeSet;

fn backend(id: &str, version: Option<&str>) -> Backend {
    Backend {
        id: BackendId(id.to_owned()),
        service: "s".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".to_owned(),
        slots: 4,
        draining: false,
        incarnation: Incarnation::UNKNOWN,
        version: version.map(|version| SoftwareVersion(version.to_owned())),
    }
}

fn pool(backends: &[Backend]) -> Pool {
    let mut pool = Pool::new("z");
    pool.apply(&BackendChanges {
        changed: backends.to_vec(),
        ..BackendChanges::default()
    });
    pool
}

/// Returns all replicas that are chosen for a stream of this origin.
fn chosen(pool: &Pool, origin: &StreamOrigin, tried: &[BackendId]) -> BTreeSet<String> {
    let choices = (0..200).filter_map(|draw| {
        let request = RoutingRequest {
            service: "s",
            tried,
            draw,
            origin: Some(origin),
            ..RoutingRequest::default()
        };
        pool.choose(&request, |_| true, Timestamp::ZERO)
    });
    choices.map(|choice| choice.backend.id.0).collect()
}

fn names(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

#[test]
fn a_stream_continues_at_the_only_unused_replica_of_its_version_among_many() {
    let mut backends: Vec<Backend> = (0..300)
        .map(|number| backend(&format!("other-{number}"), Some("v2")))
        .collect();
    backends.push(backend("same", Some("v1")));
    let pool = pool(&backends);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    assert_eq!(chosen(&pool, &origin, &[]), names(&["same"]));
    let tried = [BackendId("same".to_owned())];
    assert_eq!(chosen(&pool, &origin, &tried), names(&[]));
}

#[test]
fn a_stream_does_not_continue_at_a_replica_of_another_or_unknown_version() {
    let pool = pool(&[backend("a", Some("v2")), backend("b", None)]);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    assert_eq!(chosen(&pool, &origin, &[]), names(&[]));
}

#[test]
fn a_stream_of_an_unknown_version_continues_only_where_it_began() {
    let pool = pool(&[
        backend("a", None),
        backend("b", None),
        backend("c", Some("v1")),
    ]);
    let origin = StreamOrigin::at(&backend("a", None));
    assert_eq!(chosen(&pool, &origin, &[]), names(&["a"]));
}

#[test]
fn a_replica_that_restarted_at_another_version_does_not_continue_its_stream() {
    let began = backend("a", Some("v1"));
    let restarted = |version| Backend {
        incarnation: Incarnation(9),
        ..backend("a", version)
    };
    let origin = StreamOrigin::at(&began);
    for version in [Some("v2"), None] {
        assert!(!origin.may_continue_at(&restarted(version)));
    }
    assert!(origin.may_continue_at(&restarted(Some("v1"))));
    assert!(!origin.may_continue_at(&Backend {
        service: "t".to_owned(),
        ..began
    }));
}

#[test]
fn a_stream_spreads_over_all_replicas_of_its_version() {
    let pool = pool(&[
        backend("a", Some("v1")),
        backend("b", Some("v1")),
        backend("c", Some("v2")),
    ]);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    assert_eq!(chosen(&pool, &origin, &[]), names(&["a", "b"]));
}
