//! Seeded mixes of hostile clients, beside processes that end, stand still and change.

use crate::chaos;
use crate::checks::{Peaks, assert_serves, is_ordinary_request_answered};
use crate::crowd::{Attack, Crowd, Pace};
use crate::fleet::Fleet;
use crate::messages::{Behaviour, Listener};
use crate::random::Random;
use crate::replicas::Faults;
use crate::{PLAN, alone};
use std::ops::Range;
use std::time::Duration;

/// Seeds of every test run.
const DEFAULT_SEEDS: Range<u64> = 0..4;

const DURATION: Duration = Duration::from_secs(6);

const ATTACKS: Range<usize> = 2..7;

const CONNECTIONS: Range<usize> = 5..80;

/// Share of attacks at the listeners of the internal protocol, in percent.
const INTERNAL_PERCENT: usize = 30;

const SLOW_PERCENT: usize = 30;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("HOSTILE_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("a range such as 0..50");
    first.parse().expect("a number")..end.parse().expect("a number")
}

fn pick<Item: Copy>(items: &[Item], random: &mut Random) -> Item {
    items[random.below(items.len())]
}

fn draw(random: &mut Random) -> Attack {
    let (listener, behaviour) = match random.percent(INTERNAL_PERCENT) {
        true => (
            pick(&Listener::INTERNAL, random),
            pick(&Behaviour::INTERNAL, random),
        ),
        false => (
            pick(&Listener::HTTP, random),
            pick(&Behaviour::HTTP, random),
        ),
    };
    Attack {
        listener,
        behaviour,
        connections: CONNECTIONS.start + random.below(CONNECTIONS.len()),
        pace: match random.percent(SLOW_PERCENT) {
            true => Pace::Slow,
            false => Pace::Full,
        },
    }
}

/// Plays one seed. Beside odd seeds, processes end, stand still and get configurations.
async fn play(seed: u64) {
    let mut random = Random::new(seed);
    let count = ATTACKS.start + random.below(ATTACKS.len());
    let attacks: Vec<Attack> = (0..count).map(|_| draw(&mut random)).collect();
    println!("seed {seed}: {attacks:?}");
    let fleet = Fleet::start_as(seed, PLAN, Faults::None).await;
    let peaks = Peaks::watch(&fleet, PLAN);
    let crowd = Crowd::start(&fleet, &attacks);
    if seed % 2 == 1 {
        chaos::run(&fleet, seed, DURATION).await;
    } else {
        actix_rt::time::sleep(DURATION).await;
    }
    let beside = is_ordinary_request_answered(&fleet, "beside").await;
    crowd.stop().await;
    peaks.assert_bounded();
    assert!(
        beside,
        "seed {seed}: no ordinary request was answered beside the crowd"
    );
    assert_serves(&fleet).await;
    assert_eq!(fleet.replicas.runs.count_with_prefix("hostile"), 0);
}

#[actix_rt::test]
async fn mixes_of_hostile_clients_are_withstood() {
    let _alone = alone().await;
    for seed in seeds() {
        play(seed).await;
    }
}
