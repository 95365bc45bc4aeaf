//! Cost of a choice and of a list change with 100 to 20,000 replicas.
//!
//! Run with `cargo bench -p luglink-scheduling`. `docs/CAPACITY.md` lists the results: release
//! build, median of each on one core of a shared machine.

use divan::{Bencher, black_box};
use luglink_fleet::{Backend, BackendId, BackendList, Incarnation, StatsReport};
use luglink_scheduling::{CandidateScope, Pool, RoutingRequest, Work};
use luglink_types::Timestamp;

const REPLICAS: [usize; 4] = [100, 1_000, 10_000, 20_000];

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Number of replicas that change at once while a service is replaced or emptied.
const CHANGED: usize = 60;

fn main() {
    divan::main();
}

fn list(count: usize, draining: usize) -> BackendList {
    let backend = |number: usize| Backend {
        id: BackendId(format!("i-{number:08x}")),
        service: if (number / ZONES.len()).is_multiple_of(3) {
            "plain"
        } else {
            "llm"
        }
        .to_owned(),
        address: ([10, 0, 0, 1], 1_000).into(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 6,
        draining: number < draining,
        incarnation: Incarnation::UNKNOWN,
        version: None,
    };
    BackendList::new((0..count).map(backend).collect())
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::new("a");
    pool.apply(&BackendList::default().changes_to(&list(count, 0)));
    pool
}

#[divan::bench(args = REPLICAS)]
fn choose(bencher: Bencher<'_, '_>, replicas: usize) {
    let pool = pool(replicas);
    let mut draw = 0;
    bencher.bench_local(|| {
        draw += 1;
        let request = RoutingRequest {
            service: "plain",
            draw,
            ..RoutingRequest::default()
        };
        pool.choose(black_box(&request), |_| false, Timestamp::ZERO)
    });
}

#[divan::bench(args = REPLICAS)]
fn choose_by_finish(bencher: Bencher<'_, '_>, replicas: usize) {
    let mut pool = pool(replicas);
    pool.set_expected_finish(true);
    let now = Timestamp::from_millis(1);
    pool.set_zone_view(&StatsReport::default(), now);
    for number in 0..64 {
        pool.note_connected(&BackendId(format!("i-{:08x}", number * ZONES.len())));
    }
    let mut draw = 0;
    bencher.bench_local(|| {
        draw += 1;
        let request = RoutingRequest {
            service: "llm",
            draw,
            work: Some(Work {
                prompt_tokens: 3_000,
                events: 6.0,
                tokens_per_event: 6,
                ..Work::default()
            }),
            ..RoutingRequest::default()
        };
        pool.choose(black_box(&request), |_| true, now)
    });
}

#[divan::bench(args = REPLICAS)]
fn candidates(bencher: Bencher<'_, '_>, replicas: usize) {
    let pool = pool(replicas);
    let mut program = 0;
    bencher.bench_local(|| {
        program += 1;
        pool.candidates("llm", program, CandidateScope::Home, 2, Timestamp::ZERO)
    });
}

#[divan::bench(args = REPLICAS)]
fn take_a_change_of_60(bencher: Bencher<'_, '_>, replicas: usize) {
    let lists = [list(replicas, 0), list(replicas, CHANGED)];
    let forward = lists[0].changes_to(&lists[1]);
    let back = lists[1].changes_to(&lists[0]);
    let mut pool = pool(replicas);
    let mut copy = lists[0].clone();
    bencher.bench_local(|| {
        for changes in [&forward, &back] {
            assert!(copy.apply(changes));
            pool.apply(changes);
        }
    });
}
