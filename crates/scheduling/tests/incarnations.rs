//! A replica that starts again under its old identifier: nothing that was believed of it holds.

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
    }
}

fn show(pool: &mut Pool, before: &[Backend], after: &[Backend]) {
    let before = BackendList::new(before.to_vec());
    pool.apply(&before.changes_to(&BackendList::new(after.to_vec())));
}

fn pool_of(replicas: &[Backend]) -> Pool {
    let mut pool = Pool::new("here");
    show(&mut pool, &[], replicas);
    pool
}

/// Times that each of two replicas is chosen for a hundred requests.
fn choices(pool: &Pool) -> (usize, usize) {
    let chosen = (0..100).map(|draw| {
        let wish = RoutingRequest {
            service: "llm",
            draw,
            ..RoutingRequest::default()
        };
        pool.choose(&wish, |_| true, NOW).unwrap().backend.id.0
    });
    let chosen: Vec<String> = chosen.collect();
    let of = |name: &str| chosen.iter().filter(|one| *one == name).count();
    (of("a"), of("b"))
}

#[test]
fn a_new_life_gets_work_although_the_old_one_was_ejected() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    for _ in 0..6 {
        pool.failed(&id("a"), NOW);
    }
    pool.succeeded(&id("b"), Duration::from_millis(20));
    assert_eq!(choices(&pool), (0, 100), "it fails, so it rests");
    show(&mut pool, &before, &[replica("a", 8), replica("b", 5)]);
    let (reborn, other) = choices(&pool);
    assert!(reborn > 20 && other > 20, "{reborn} and {other}");
}

#[test]
fn a_new_life_is_not_slow_because_the_old_one_was() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    pool.succeeded(&id("a"), Duration::from_secs(9));
    pool.succeeded(&id("b"), Duration::from_millis(20));
    assert_eq!(choices(&pool), (0, 100));
    show(&mut pool, &before, &[replica("a", 8), replica("b", 5)]);
    assert!(choices(&pool).0 > 20);
}

#[test]
fn requests_that_wait_on_the_old_life_stay_counted_until_they_end() {
    let before = [replica("a", 5)];
    let mut pool = pool_of(&before);
    pool.begin(&id("a"));
    pool.begin(&id("a"));
    show(&mut pool, &before, &[replica("a", 8)]);
    pool.begin(&id("a"));
    let under_way = |pool: &Pool| pool.in_flight().map(|(_, count)| count).sum::<u32>();
    assert_eq!(under_way(&pool), 3);
    pool.end(&id("a"));
    pool.end(&id("a"));
    assert_eq!(under_way(&pool), 1, "the one that the new life has");
}

#[test]
fn whoever_was_sent_to_the_old_life_is_told_apart() {
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
        pool.lists(&id("a")),
        "it may have run there: it is not gone"
    );
}

#[test]
fn a_change_that_says_nothing_of_lives_forgets_nothing() {
    let before = [replica("a", 5), replica("b", 5)];
    let mut pool = pool_of(&before);
    for _ in 0..6 {
        pool.failed(&id("a"), NOW);
    }
    let untold = Backend {
        slots: 11,
        ..replica("a", 0)
    };
    show(&mut pool, &before, &[untold, replica("b", 5)]);
    assert_eq!(choices(&pool), (0, 100));
    assert_eq!(pool.usable(&id("a")).unwrap().incarnation, Incarnation(5));
    show(&mut pool, &before, &[replica("a", 6), replica("b", 5)]);
    assert!(choices(&pool).0 > 20, "a restart is still seen after it");
}
