//! Seeded disturbances that overlap.

use crate::fleet::{Fleet, Process};
use crate::random::Random;
use rustix::process::Signal;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Disturbs the fleet for `duration`, then waits until the last disturbances are over.
pub async fn run(fleet: &Fleet, seed: u64, duration: Duration) {
    let mut random = Random::new(seed);
    // While stores and members restart, no resumption is judged.
    let range = if seed.is_multiple_of(2) { 100 } else { 88 };
    let mut pending = Vec::new();
    let end = Instant::now() + duration;
    while Instant::now() < end {
        actix_rt::time::sleep(random.millis(60..500)).await;
        pending.extend(disturb(fleet, &mut random, range).await);
    }
    for disturbance in pending {
        disturbance.await.expect("a disturbance ends");
    }
}

type Disturbance = actix_rt::task::JoinHandle<()>;

/// Starts one kind of disturbance, the kinds being numbered up to `range`.
async fn disturb(fleet: &Fleet, random: &mut Random, range: usize) -> Option<Disturbance> {
    let gateways = Rc::clone(&fleet.gateways);
    let number = random.below(gateways.len());
    let pause = random.millis(100..700);
    let disturbance = match random.below(range) {
        0..25 => {
            actix_rt::spawn(async move { restart(&gateways[number], Signal::KILL, pause).await })
        }
        25..40 => {
            actix_rt::spawn(async move { restart(&gateways[number], Signal::TERM, pause).await })
        }
        40..50 => actix_rt::spawn(async move { freeze(&gateways[number], pause).await }),
        50..55 => {
            gateways[number].signal(Signal::HUP);
            return None;
        }
        55..75 => {
            fleet.replicas.crash(random).await;
            return None;
        }
        75..88 => {
            fleet.replicas.release(random).await;
            return None;
        }
        88..92 => {
            let stores = Rc::clone(&fleet.stores);
            let store = random.below(stores.len());
            actix_rt::spawn(async move { restart(&stores[store], Signal::KILL, pause).await })
        }
        92..95 => {
            let members = Rc::clone(&fleet.members);
            let member = random.below(members.len());
            actix_rt::spawn(async move { restart(&members[member], Signal::KILL, pause).await })
        }
        _ => {
            let fleet = fleet.clone();
            actix_rt::spawn(async move {
                fleet.configure().await;
            })
        }
    };
    Some(disturbance)
}

/// Ends a process by a signal and starts it again after a pause. Does nothing if the process is
/// being restarted already.
pub async fn restart(process: &Process, signal: Signal, pause: Duration) {
    process.signal(signal);
    if process.wait_for_exit().await {
        actix_rt::time::sleep(pause).await;
        process.start_again();
    }
}

pub async fn freeze(process: &Process, duration: Duration) {
    process.signal(Signal::STOP);
    actix_rt::time::sleep(duration).await;
    process.signal(Signal::CONT);
}
