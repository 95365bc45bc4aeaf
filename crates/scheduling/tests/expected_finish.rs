//! Which replica gets a request when replicas are unequal, and turn slow.

mod support;

use luglink_fleet::{BackendId, BackendList, ReplicaKey, ReplicaSight, Sights};
use luglink_scheduling::{AnswerLengths, Pool, PromptParts, ReplicaState, Wish, Work, expect};
use luglink_types::Timestamp;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{ENGINES, Run, SLOWNESS, Seen, backends, id, pool, random, slow, speed, work};

const UNTIL_MS: u64 = 72_000;

/// Times what its speed earns that an engine may have.
const BOUND: f64 = 1.25;

fn play(by_finish: bool, seed: u64) -> Seen {
    let run = Run {
        until_ms: UNTIL_MS,
        by_finish,
        seed,
    };
    let seen = run.play();
    println!(
        "seed {seed}, by finish {by_finish}: mean {:.0} ms, 99th percentile {} ms, busiest {:.2} of earned, \
         begun at slow ones {} of {:.0}",
        mean(&seen.turn_ms),
        percentile(&seen.turn_ms, 0.99),
        busiest(&seen),
        seen.began_at_slow,
        earned_at_slow(&seen),
    );
    seen
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len() as f64
}

fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted[(sorted.len() as f64 * share) as usize]
}

/// Most requests at an engine over what its speed earns.
fn busiest(seen: &Seen) -> f64 {
    let requests: f64 = seen.occupied.iter().sum();
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let shares = (0..ENGINES).map(|engine| {
        let earned = requests * speed(engine) / speeds;
        seen.occupied[engine] / earned
    });
    shares.fold(0.0, f64::max)
}

/// Turns that engines earn, with the bound, while they have been slow for a second.
fn earned_at_slow(seen: &Seen) -> f64 {
    let speeds: f64 = (0..ENGINES).map(speed).sum();
    let per_ms = seen.began as f64 / UNTIL_MS as f64;
    let earned = (0..UNTIL_MS).filter_map(|at_ms| {
        let (engine, since_ms) = slow(at_ms)?;
        (since_ms >= 1_000).then(|| per_ms * speed(engine) / SLOWNESS / speeds)
    });
    BOUND * earned.sum::<f64>()
}

const SEEDS: [u64; 3] = [1, 88_172_645_463_325_252, 7_777_777];

#[test]
fn the_busiest_engine_has_little_more_than_its_speed_earns() {
    for seed in SEEDS {
        assert!(busiest(&play(false, seed)) > BOUND);
        assert!(busiest(&play(true, seed)) <= BOUND);
    }
}

#[test]
fn turns_leave_an_engine_within_a_second_of_its_turning_slow() {
    for seed in SEEDS {
        let plain = play(false, seed);
        assert!(plain.began_at_slow as f64 > earned_at_slow(&plain));
        let seen = play(true, seed);
        assert!(seen.began_at_slow as f64 <= earned_at_slow(&seen));
        assert!(percentile(&seen.turn_ms, 0.99) < percentile(&plain.turn_ms, 0.99));
        assert!(mean(&seen.turn_ms) < mean(&plain.turn_ms));
    }
}
