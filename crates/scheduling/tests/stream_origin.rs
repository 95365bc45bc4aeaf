//! Choice of the replica that continues a stream.

use luglink_fleet::{
    Backend, BackendChanges, BackendId, Incarnation, SoftwareVersion, StreamOrigin,
};
use luglink_scheduling::{Pool, RoutingRequest};
use luglink_types::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

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
    pool.set_draining_continuation(Duration::from_secs(1));
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

/// Lists a replica as draining at `seconds`.
fn drain(pool: &mut Pool, id: &str, version: &str, seconds: u64) {
    let changes = BackendChanges {
        changed: vec![Backend {
            draining: true,
            ..backend(id, Some(version))
        }],
        ..BackendChanges::default()
    };
    pool.note_draining(&changes, at(seconds));
    pool.apply(&changes);
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn chosen_at(pool: &Pool, origin: &StreamOrigin, seconds: u64) -> Option<String> {
    let request = RoutingRequest {
        service: "s",
        origin: Some(origin),
        ..RoutingRequest::default()
    };
    let choice = pool.choose(&request, |_| true, at(seconds));
    let chosen = choice.map(|choice| choice.backend.id.0);
    assert_eq!(pool.has_continuation(origin, at(seconds)), chosen.is_some());
    chosen
}

/// Guards against a stream that goes on at its own replica when that one may get nothing any more.
#[test]
fn a_replica_has_drained_some_time_after_the_list_showed_it() {
    let mut pool = pool(&[backend("a", Some("v1")), backend("b", Some("v1"))]);
    let has_drained =
        |pool: &Pool, id: &str, seconds| pool.has_drained(&BackendId(id.to_owned()), at(seconds));
    drain(&mut pool, "a", "v1", 10);
    assert!(!has_drained(&pool, "a", 11));
    assert!(has_drained(&pool, "a", 12));
    assert!(!has_drained(&pool, "b", 200));
    assert!(!has_drained(&pool, "gone", 200));
}

#[test]
fn a_stream_continues_at_a_draining_replica_only_for_a_short_time_and_without_another_one() {
    let mut pool = pool(&[
        backend("a", Some("v1")),
        backend("b", Some("v1")),
        backend("c", Some("v2")),
    ]);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    drain(&mut pool, "a", "v1", 10);
    assert_eq!(chosen_at(&pool, &origin, 10).as_deref(), Some("b"));
    drain(&mut pool, "b", "v1", 12);
    assert_eq!(chosen_at(&pool, &origin, 12).as_deref(), Some("b"));
    assert_eq!(chosen_at(&pool, &origin, 13), None);
}

#[test]
fn a_replica_that_was_first_listed_as_draining_does_not_continue_streams() {
    let mut pool = pool(&[backend("c", Some("v2"))]);
    drain(&mut pool, "a", "v1", 10);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    assert_eq!(chosen_at(&pool, &origin, 10), None);
}

#[test]
fn a_replica_that_is_listed_as_draining_again_does_not_get_more_time() {
    let mut pool = pool(&[backend("a", Some("v1"))]);
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    for seconds in 10..20 {
        drain(&mut pool, "a", "v1", seconds);
    }
    assert_eq!(chosen_at(&pool, &origin, 11), None);
}

#[test]
fn a_stream_avoids_an_ejected_replica_while_an_unused_one_has_its_version() {
    let mut pool = pool(&[
        backend("a", Some("v1")),
        backend("b", Some("v1")),
        backend("c", Some("v2")),
        backend("d", Some("v2")),
    ]);
    pool.note_connected(&BackendId("c".to_owned()));
    pool.failed(&BackendId("a".to_owned()), at(10));
    let origin = StreamOrigin::at(&backend("gone", Some("v1")));
    for _ in 0..10 {
        assert_eq!(chosen_at(&pool, &origin, 10).as_deref(), Some("b"));
    }
}
