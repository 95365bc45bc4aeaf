//! Restart of a replica under its old identifier: earlier observations no longer hold.

use luglink_fleet::{Backend, BackendId, BackendList, Incarnation};
use luglink_scheduling::{Pool, RoutingRequest};
use luglink_types::Timestamp;
use std::time::Duration;

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn id(text: &str) -> BackendId {
    BackendId(text.to_owned())
}

fn replica(text: &str, start: u64) -> Backend {
    Backend {
        id: id(text),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".to_owned(),
        slots: 10,
        draining: false,
        incarnation: Incarnation(start),
        version: None,
    }
}

fn apply_list(pool: &mut Pool, before: &[Backend], after: &[Backend]) {
    let before = BackendList::new(before.to_vec());
    pool.apply(&before.changes_to(&BackendList::new(after.to_vec())));
}

fn pool_of(replicas: &[Backend]) -> Pool {
    let mut pool = Pool::new("here");
    apply_list(&mut pool, &[], replicas);
    pool
}

/// Returns how often each of two replicas is chosen for a hundred requests.
fn choices(pool: &Pool) -> (usize, usize) {
    let chosen = (0..100).map(|draw| {
        let request = RoutingRequest {
            service: "llm",
            draw,
            ..RoutingRequest::default()
        };
        pool.choose(&request, |_| true, NOW).unwrap().backend.id.0
    });
    let chosen: Vec<String> = chosen.collect();
    let of = |name: &str| chosen.iter().filter(|one| *one == name).count();
    (of("a"), of("b"))
}

#[test]
fn a_restarted_replica_gets_work_after_an_ejection() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    for _ in 0..6 {
        pool.failed(&id("a"), NOW);
    }
    pool.succeeded(&id("b"), Duration::from_millis(20));
    assert_eq!(choices(&pool), (0, 100), "the failing replica is ejected");
    apply_list(&mut pool, &before, &[replica("a", 8), replica("b", 5)]);
    let (restarted, other) = choices(&pool);
    assert!(restarted > 20 && other > 20, "{restarted} and {other}");
}

#[test]
fn a_restarted_replica_does_not_inherit_slowness() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    pool.succeeded(&id("a"), Duration::from_secs(9));
    pool.succeeded(&id("b"), Duration::from_millis(20));
    assert_eq!(choices(&pool), (0, 100));
    apply_list(&mut pool, &before, &[replica("a", 8), replica("b", 5)]);
    assert!(choices(&pool).0 > 20);
}

#[test]
fn requests_at_the_old_incarnation_stay_counted_until_they_end() {
    let before = [replica("a", 5)];
    let mut pool = pool_of(&before);
    pool.begin(&id("a"));
    pool.begin(&id("a"));
    apply_list(&mut pool, &before, &[replica("a", 8)]);
    pool.begin(&id("a"));
    let in_flight = |pool: &Pool| pool.in_flight().map(|(_, count)| count).sum::<u32>();
    assert_eq!(in_flight(&pool), 3);
    pool.end(&id("a"));
    pool.end(&id("a"));
    assert_eq!(
        in_flight(&pool),
        1,
        "only the request at the new incarnation is left"
    );
}

#[test]
fn requests_sent_to_the_old_incarnation_are_recognized() {
    let before = [replica("a", 5)];
    let mut pool = pool_of(&before);
    let sent_to = pool.usable(&id("a")).unwrap().clone();
    assert!(!pool.has_restarted(&sent_to));
    let changes =
        BackendList::new(before.to_vec()).changes_to(&BackendList::new(vec![replica("a", 8)]));
    assert_eq!(pool.restarted(&changes), [id("a")]);
    pool.apply(&changes);
    assert!(pool.has_restarted(&sent_to));
    assert!(
        pool.listed(&id("a")).is_some(),
        "the replica is still listed, so the request may have run there"
    );
}

#[test]
fn a_change_without_incarnations_keeps_the_record() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    for _ in 0..6 {
        pool.failed(&id("a"), NOW);
    }
    let without_incarnation = Backend {
        slots: 11,
        ..replica("a", 0)
    };
    apply_list(&mut pool, &before, &[without_incarnation, replica("b", 5)]);
    assert_eq!(choices(&pool), (0, 100));
    assert_eq!(pool.usable(&id("a")).unwrap().incarnation, Incarnation(5));
    apply_list(&mut pool, &before, &[replica("a", 6), replica("b", 5)]);
    assert!(choices(&pool).0 > 20, "a later restart is still detected");
}
