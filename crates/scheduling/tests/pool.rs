//! Choice of the replica that serves a request.

use luglink_fleet::{Backend, BackendId, BackendList, GatewayLoad, Incarnation, ServiceLoad};
use luglink_scheduling::{CandidateScope, Pool, RoutingRequest};
use luglink_types::Timestamp;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::Duration;

const SERVICE: &str = "llm";

fn id(text: &str) -> BackendId {
    BackendId(text.to_owned())
}

fn backend(text: &str, zone: &str) -> Backend {
    Backend {
        id: id(text),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots: 10,
        draining: false,
        incarnation: Incarnation::UNKNOWN,
        version: None,
    }
}

fn pool(backends: Vec<Backend>) -> Pool {
    let mut pool = Pool::new("here");
    apply_list(&mut pool, &BackendList::default(), backends);
    pool
}

/// Replaces the list `before`.
fn apply_list(pool: &mut Pool, before: &BackendList, backends: Vec<Backend>) {
    pool.apply(&before.changes_to(&BackendList::new(backends)));
}

fn chosen(pool: &Pool, request: &RoutingRequest<'_>, now: Timestamp) -> Option<String> {
    pool.choose(request, |_| true, now)
        .map(|choice| choice.backend.id.0)
}

fn request() -> RoutingRequest<'static> {
    RoutingRequest {
        service: SERVICE,
        ..RoutingRequest::default()
    }
}

#[test]
fn draining_replicas_and_other_services_get_no_requests() {
    let mut draining = backend("a", "here");
    draining.draining = true;
    let mut other = backend("b", "here");
    other.service = "tools".to_owned();
    let pool = pool(vec![draining, other]);
    assert_eq!(chosen(&pool, &request(), Timestamp::ZERO), None);
    assert!(pool.usable(&id("a")).is_none());
    assert!(pool.listed(&id("a")).is_some());
}

#[test]
fn a_tried_replica_is_not_chosen_again() {
    let pool = pool(vec![backend("a", "here"), backend("b", "there")]);
    let tried = [id("a")];
    let request = RoutingRequest {
        tried: &tried,
        ..request()
    };
    assert_eq!(chosen(&pool, &request, Timestamp::ZERO).unwrap(), "b");
}

#[test]
fn near_replicas_are_preferred_until_they_are_busier() {
    let mut pool = pool(vec![backend("near", "here"), backend("far", "there")]);
    assert_eq!(chosen(&pool, &request(), Timestamp::ZERO).unwrap(), "near");
    for _ in 0..3 {
        pool.begin(&id("near"));
    }
    assert_eq!(chosen(&pool, &request(), Timestamp::ZERO).unwrap(), "far");
    for _ in 0..3 {
        pool.end(&id("near"));
    }
    assert_eq!(chosen(&pool, &request(), Timestamp::ZERO).unwrap(), "near");
}

#[test]
fn the_replica_with_the_prompt_is_chosen_unless_much_busier() {
    let mut pool = pool(vec![backend("cold", "here"), backend("warm", "there")]);
    let warm = id("warm");
    let request = RoutingRequest {
        cached_at: Some(&warm),
        ..request()
    };
    pool.begin(&warm);
    assert_eq!(chosen(&pool, &request, Timestamp::ZERO).unwrap(), "warm");
    for _ in 0..8 {
        pool.begin(&warm);
    }
    assert_eq!(chosen(&pool, &request, Timestamp::ZERO).unwrap(), "cold");
}

#[test]
fn ejections_lengthen_with_each_failure_and_end_with_a_success() {
    let mut pool = pool(vec![backend("a", "here"), backend("b", "there")]);
    let now = Timestamp::from_millis(1_000);
    let first = pool.failed(&id("a"), now).unwrap().since(now);
    let second = pool.failed(&id("a"), now).unwrap().since(now);
    assert!(second > first);
    assert_eq!(chosen(&pool, &request(), now).unwrap(), "b");
    // After its ejection it is chosen again, at first only if the others have been tried.
    let later = now.plus(second);
    let tried = [id("b")];
    let alone = RoutingRequest {
        tried: &tried,
        ..request()
    };
    assert_eq!(chosen(&pool, &alone, later).unwrap(), "a");
    assert_eq!(chosen(&pool, &request(), later).unwrap(), "b");
    let much_later = now.plus(Duration::from_secs(60));
    assert_eq!(chosen(&pool, &request(), much_later).unwrap(), "a");
    pool.succeeded(&id("a"), Duration::from_millis(10));
    let again = pool.failed(&id("a"), later).unwrap().since(later);
    assert_eq!(again, first);
}

#[test]
fn if_all_replicas_are_ejected_the_shortest_ejection_is_chosen() {
    let mut pool = pool(vec![backend("a", "here"), backend("b", "there")]);
    let now = Timestamp::from_millis(1_000);
    pool.failed(&id("a"), now);
    pool.failed(&id("a"), now);
    pool.failed(&id("b"), now);
    assert_eq!(chosen(&pool, &request(), now).unwrap(), "b");
}

#[test]
fn a_new_list_keeps_the_records_of_remaining_replicas() {
    let before = vec![backend("a", "here"), backend("b", "here")];
    let mut pool = pool(before.clone());
    for _ in 0..4 {
        pool.begin(&id("a"));
    }
    let after = vec![backend("a", "here"), backend("c", "here")];
    apply_list(&mut pool, &BackendList::new(before), after);
    assert_eq!(chosen(&pool, &request(), Timestamp::ZERO).unwrap(), "c");
    assert!(pool.listed(&id("b")).is_none());
    // Requests at replicas that were removed end without an error.
    pool.end(&id("b"));
}

#[test]
fn gateways_with_the_same_list_agree_on_a_program_s_home() {
    let backends: Vec<Backend> = (0..5).map(|n| backend(&n.to_string(), "here")).collect();
    let mut elsewhere = Pool::new("there");
    apply_list(&mut elsewhere, &BackendList::default(), backends.clone());
    let here = pool(backends);
    let homes: Vec<_> = (0..100)
        .map(|program| here.home(SERVICE, program))
        .collect();
    let others: Vec<_> = (0..100)
        .map(|program| elsewhere.home(SERVICE, program))
        .collect();
    assert_eq!(homes, others);
    let used: std::collections::BTreeSet<_> = homes.into_iter().collect();
    assert_eq!(used.len(), 5, "programs spread over all replicas");
}

#[test]
fn occasional_failures_count_until_they_decay() {
    let mut pool = pool(vec![backend("grey", "here"), backend("sound", "there")]);
    let now = Timestamp::from_millis(100_000);
    assert_eq!(
        chosen(&pool, &request(), now).unwrap(),
        "grey",
        "the replica is nearer"
    );
    for _ in 0..3 {
        pool.note_failure(&id("grey"), now);
        pool.succeeded(&id("grey"), Duration::from_millis(10));
    }
    // A success ends an ejection, but does not erase the recorded failures.
    assert_eq!(chosen(&pool, &request(), now).unwrap(), "sound");
    let later = now.plus(Duration::from_secs(60));
    assert_eq!(chosen(&pool, &request(), later).unwrap(), "grey");
}

#[test]
fn a_replica_with_an_idle_connection_is_preferred_unless_busier_or_farther() {
    let mut pool = pool(vec![
        backend("new", "here"),
        backend("kept", "here"),
        backend("far", "there"),
    ]);
    for connected in ["kept", "far"] {
        pool.note_connected(&id(connected));
    }
    let chosen = |pool: &Pool, connected: &str, draw| {
        let request = RoutingRequest { draw, ..request() };
        pool.choose(&request, |id| id.0 == connected, Timestamp::ZERO)
            .map(|choice| choice.backend.id.0)
            .unwrap()
    };
    for draw in 0..100 {
        assert_eq!(chosen(&pool, "kept", draw), "kept");
        assert_ne!(
            chosen(&pool, "far", draw),
            "far",
            "a connection does not outweigh the distance"
        );
    }
    pool.begin(&id("kept"));
    for draw in 0..100 {
        assert_eq!(chosen(&pool, "kept", draw), "new");
    }
}

#[test]
fn programs_stay_in_a_zone_that_has_enough_replicas() {
    let in_zone = |zone: &str, count: usize| -> Vec<Backend> {
        (0..count)
            .map(|number| backend(&format!("{zone}-{number}"), zone))
            .collect()
    };
    let homes = |near: usize| -> std::collections::BTreeSet<String> {
        let mut backends = in_zone("here", near);
        backends.extend(in_zone("there", 20));
        let pool = pool(backends);
        let homes = (0..300).filter_map(|program| pool.home(SERVICE, program));
        homes.map(|home| home.0).collect()
    };
    let near = homes(15);
    assert_eq!(
        near.len(),
        15,
        "every replica of the zone is some program's home"
    );
    assert!(near.iter().all(|home| home.starts_with("here")));
    let few = homes(7);
    assert!(few.iter().any(|home| home.starts_with("there")), "{few:?}");
}

#[test]
fn draining_replicas_do_not_count_for_the_size_of_a_zone() {
    let mut backends: Vec<Backend> = (0..15)
        .map(|number| Backend {
            draining: number > 6,
            ..backend(&format!("here-{number}"), "here")
        })
        .collect();
    backends.extend((0..15).map(|number| backend(&format!("there-{number}"), "there")));
    let pool = pool(backends);
    let there = (0..300).filter_map(|program| pool.home(SERVICE, program));
    assert!(there.filter(|home| home.0.starts_with("there")).count() > 100);
}

#[test]
fn programs_stay_in_their_zones_only_if_every_zone_has_enough_replicas() {
    let in_zone = |zone: &str, count: usize| -> Vec<Backend> {
        let name = |number| format!("{zone}-{number}");
        (0..count)
            .map(|number| backend(&name(number), zone))
            .collect()
    };
    // If this zone kept its programs, its replicas would also get those of smaller zones.
    let mut backends = in_zone("here", 8);
    backends.extend(in_zone("there", 7));
    let pool = pool(backends);
    let homes: Vec<BackendId> = (0..600)
        .filter_map(|program| pool.home(SERVICE, program))
        .collect();
    let here = homes
        .iter()
        .filter(|home| home.0.starts_with("here"))
        .count();
    assert!((240..390).contains(&here), "{here} of 600");
}

#[test]
fn programs_of_a_zone_without_replicas_have_a_home_in_another_zone() {
    let backends = (0..15).map(|number| backend(&format!("there-{number}"), "there"));
    assert!(pool(backends.collect()).home(SERVICE, 1).is_some());
}

fn names(backends: &[Backend]) -> Vec<&str> {
    backends.iter().map(|found| found.id.0.as_str()).collect()
}

#[test]
fn a_program_s_home_is_its_first_candidate_and_the_next_ones_differ() {
    let backends = (0..10).map(|number| backend(&format!("here-{number}"), "here"));
    let pool = pool(backends.collect());
    for program in 0..100 {
        let home = pool.home(SERVICE, program).unwrap();
        let found = pool.candidates(SERVICE, program, CandidateScope::Home, 2, Timestamp::ZERO);
        let found = names(&found);
        assert_eq!(found[0], home.0);
        assert_ne!(found[0], found[1]);
    }
}

#[test]
fn ejected_replicas_are_the_last_candidates() {
    let backends = (0..3).map(|number| backend(&format!("here-{number}"), "here"));
    let mut pool = pool(backends.collect());
    let candidates = |pool: &Pool, count| {
        let found = pool.candidates(SERVICE, 1, CandidateScope::Home, count, Timestamp::ZERO);
        names(&found)
            .into_iter()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let before = candidates(&pool, 3);
    pool.failed(&id(&before[0]), Timestamp::ZERO);
    assert_eq!(candidates(&pool, 2), before[1..]);
    assert_eq!(candidates(&pool, 3)[2], before[0]);
}

#[test]
fn candidates_in_other_zones_are_separate_from_home() {
    let zone =
        |zone: &'static str| (0..8).map(move |number| backend(&format!("{zone}-{number}"), zone));
    let pool = pool(zone("here").chain(zone("there")).collect());
    let in_scope = |scope| pool.candidates(SERVICE, 1, scope, 20, Timestamp::ZERO);
    let (home, elsewhere) = (
        in_scope(CandidateScope::Home),
        in_scope(CandidateScope::OtherZones),
    );
    assert!(home.iter().all(|found| found.zone == "here"));
    assert!(elsewhere.iter().all(|found| found.zone == "there"));
    assert_eq!((home.len(), elsewhere.len()), (8, 8));
}

/// Returns the replicas of two zones.
fn two_zones(in_each: usize) -> Vec<Backend> {
    let zone = |zone: &'static str| {
        (0..in_each).map(move |number| backend(&format!("{zone}-{number}"), zone))
    };
    zone("here").chain(zone("there")).collect()
}

fn load(in_flight: u32) -> GatewayLoad {
    GatewayLoad {
        requests_per_minute: 60,
        services: vec![ServiceLoad {
            service: SERVICE.to_owned(),
            in_flight_hundredths: in_flight * 100,
        }],
    }
}

/// A choice compares the replicas that this gateway has used recently and a drawn one, not the
/// whole fleet.
#[test]
fn a_choice_compares_few_replicas_in_any_fleet() {
    for in_each in [50, 500, 5_000, 10_000] {
        let mut pool = pool(two_zones(in_each));
        // Over time this gateway uses every replica.
        for number in 0..in_each {
            let used = id(&format!("here-{number}"));
            pool.begin(&used);
            pool.end(&used);
        }
        let connection_checks = Cell::new(0);
        for draw in 0..50 {
            let request = RoutingRequest { draw, ..request() };
            let is_connected = |_: &BackendId| {
                connection_checks.set(connection_checks.get() + 1);
                false
            };
            pool.choose(&request, is_connected, Timestamp::ZERO)
                .unwrap();
        }
        assert!(
            connection_checks.get() <= 50 * 66,
            "{in_each}: {}",
            connection_checks.get()
        );
    }
}

#[test]
fn programs_start_at_as_many_replicas_as_the_load_needs() {
    let homes = |pool: &Pool| -> BTreeSet<BackendId> {
        let homes = (0..5_000).filter_map(|program| pool.home(SERVICE, program));
        homes.collect()
    };
    let mut pool = pool(two_zones(1_000));
    let idle = homes(&pool);
    assert!(idle.len() <= 16, "{}", idle.len());
    let now = Timestamp::from_millis(1_000);
    // Replicas have ten slots: four hundred slots for a hundred requests.
    pool.follow_zone_load(&load(100), now);
    let busy = homes(&pool);
    assert_eq!(busy.len(), 40);
    assert!(busy.is_superset(&idle), "replicas in use stay in use");
    pool.follow_zone_load(&load(0), now.plus(Duration::from_secs(1)));
    assert!(homes(&pool).len() > 30, "the working set shrinks slowly");
    pool.follow_zone_load(&load(0), now.plus(Duration::from_secs(100)));
    assert_eq!(homes(&pool), idle);
    pool.follow_zone_load(&load(100_000), now.plus(Duration::from_secs(101)));
    assert!(
        homes(&pool).len() > 980,
        "all replicas except those that no program maps to"
    );
}

#[test]
fn the_working_set_grows_at_once() {
    let mut pool = pool(two_zones(1_000));
    let in_scope = |pool: &Pool, scope| {
        let found = pool.candidates(SERVICE, 1, scope, 1_000, Timestamp::ZERO);
        let found: BTreeSet<BackendId> = found.into_iter().map(|found| found.id).collect();
        found
    };
    let before = in_scope(&pool, CandidateScope::Home);
    let spare = in_scope(&pool, CandidateScope::Spare);
    assert!(spare.is_disjoint(&before) && !spare.is_empty());
    pool.grow_working_set(SERVICE);
    let after = in_scope(&pool, CandidateScope::Home);
    assert!(after.len() > before.len() && after.is_superset(&before));
}

/// A crash of many replicas must leave the zone enough of them at once.
#[test]
fn draining_members_of_the_working_set_are_replaced() {
    let backends = two_zones(1_000);
    let mut pool = pool(backends.clone());
    let homes = |pool: &Pool| -> BTreeSet<BackendId> {
        let homes = (0..2_000).filter_map(|program| pool.home(SERVICE, program));
        homes.collect()
    };
    let before = homes(&pool);
    let draining: BTreeSet<&BackendId> = before.iter().take(8).collect();
    let left = backends.iter().cloned().map(|backend| Backend {
        draining: draining.contains(&backend.id),
        ..backend
    });
    apply_list(
        &mut pool,
        &BackendList::new(backends.clone()),
        left.collect(),
    );
    let after = homes(&pool);
    assert_eq!(after.len(), before.len());
    assert!(after.iter().all(|home| !draining.contains(home)));
    assert_eq!(after.intersection(&before).count(), before.len() - 8);
}

/// If all replicas that a gateway has used are busy, another one of the working set gets the
/// request.
#[test]
fn requests_use_the_working_set_until_all_of_it_was_tried() {
    let pool = pool(two_zones(1_000));
    let mut tried = Vec::new();
    let set: BTreeSet<String> = (0..2_000)
        .filter_map(|program| pool.home(SERVICE, program))
        .map(|home| home.0)
        .collect();
    for draw in 0..(set.len() as u64 + 5) {
        let request = RoutingRequest {
            tried: &tried,
            draw,
            ..request()
        };
        let chosen = chosen(&pool, &request, Timestamp::ZERO).unwrap();
        assert_eq!(set.contains(&chosen), tried.len() < set.len());
        assert!(chosen.starts_with("here"));
        tried.push(id(&chosen));
    }
}
