//! Seeded losses of stores that overlap, within what the deployment tolerates: one disk at a time.

use crate::chaos::{freeze, restart};
use crate::fleet::{Fleet, Process};
use crate::random::Random;
use rustix::process::Signal;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time in which the disturbances of one round begin.
const ROUND_DURATION: Duration = Duration::from_secs(3);

/// Time after a round in which no store or member is disturbed: a store that was filled within 4.3 s
/// of its return no longer counts as lost, and 3 s of contact follow.
const QUIET_DURATION: Duration = Duration::from_millis(7_300);

const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);

type Disturbance = actix_rt::task::JoinHandle<()>;

/// Stores of a fleet, of which some are gone for good and some have not started yet.
pub struct StoreChaos {
    fleet: Fleet,
    random: Random,
    /// Positions of the running stores.
    running: Vec<usize>,
    next_spare: usize,
    pending: Vec<Disturbance>,
}

impl StoreChaos {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        for process in fleet.members.iter().chain(&*fleet.stores) {
            process.end_first_start();
        }
        Self {
            fleet: fleet.clone(),
            random: Random::new(seed),
            running: (0..fleet.stores.len()).collect(),
            next_spare: fleet.stores.len(),
            pending: Vec::new(),
        }
    }

    /// Plays rounds of disturbances, each with at most one lost disk and a quiet time after it.
    pub async fn run(&mut self, rounds: usize) {
        // With a fourth store, lost ones are replaced by the others.
        self.add_spare();
        self.wait_quietly().await;
        for _ in 0..rounds {
            let end = Instant::now() + ROUND_DURATION;
            let mut may_lose_disk = true;
            while Instant::now() < end {
                let disturbance = self.disturb(&mut may_lose_disk);
                self.pending.extend(disturbance);
                let pause = self.random.millis(50..700);
                actix_rt::time::sleep(pause).await;
            }
            self.wait_quietly().await;
        }
    }

    /// Kills all stores and members at once; one of the stores may lose its disk and comes back first
    /// together with another one. Returns once all were started again.
    pub async fn final_fault(&mut self) {
        let wiped = self.random.percent(80).then(|| self.any_running());
        let companion = self.any_running();
        for number in self.running.clone() {
            let is_wiped = wiped == Some(number);
            let pause = match is_wiped || number == companion {
                true => self.random.millis(100..300),
                false => self.random.millis(900..1_300),
            };
            let disturbance = self.restart_store(number, Signal::KILL, pause, is_wiped);
            self.pending.push(disturbance);
        }
        for number in 0..self.fleet.members.len() {
            let pause = self.random.millis(100..900);
            self.pending.push(self.restart_member(number, pause));
        }
        self.join().await;
    }

    async fn join(&mut self) {
        for disturbance in std::mem::take(&mut self.pending) {
            disturbance.await.expect("a disturbance ends");
        }
    }

    async fn wait_quietly(&mut self) {
        self.join().await;
        actix_rt::time::sleep(QUIET_DURATION).await;
    }

    fn any_running(&mut self) -> usize {
        self.running[self.random.below(self.running.len())]
    }

    fn disturb(&mut self, may_lose_disk: &mut bool) -> Option<Disturbance> {
        let number = self.any_running();
        // Shorter than the time after which a silent store is marked as lost.
        let pause = self.random.millis(100..1_800);
        match self.random.below(100) {
            0..20 => Some(self.restart_store(number, Signal::TERM, pause, false)),
            20..35 => Some(self.restart_store(number, Signal::KILL, pause, false)),
            35..50 => {
                let duration = self.random.millis(300..3_000);
                let fleet = self.fleet.clone();
                Some(actix_rt::spawn(async move {
                    freeze(store(&fleet, number), duration).await;
                }))
            }
            50..60 => {
                let gateway = self.random.below(self.fleet.gateways.len());
                let gateways = Rc::clone(&self.fleet.gateways);
                Some(actix_rt::spawn(async move {
                    restart(&gateways[gateway], Signal::KILL, pause).await;
                }))
            }
            60..68 => {
                let member = self.random.below(self.fleet.members.len());
                Some(self.restart_member(member, pause))
            }
            68..82 if std::mem::take(may_lose_disk) => {
                Some(self.restart_store(number, Signal::KILL, pause, true))
            }
            82..92 if self.next_spare < self.store_count() && std::mem::take(may_lose_disk) => {
                Some(self.replace(number))
            }
            92..96 if self.next_spare < self.store_count() && std::mem::take(may_lose_disk) => {
                Some(self.retire(number))
            }
            96..100 => {
                for number in self.running.clone() {
                    let pause = self.random.millis(100..900);
                    let disturbance = self.restart_store(number, Signal::KILL, pause, false);
                    self.pending.push(disturbance);
                }
                None
            }
            _ => None,
        }
    }

    fn store_count(&self) -> usize {
        self.fleet.stores.len() + self.fleet.spare_stores.len()
    }

    fn restart_store(
        &self,
        number: usize,
        signal: Signal,
        pause: Duration,
        is_wiped: bool,
    ) -> Disturbance {
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            let process = store(&fleet, number);
            while is_wiped && !process.is_running() {
                actix_rt::time::sleep(REPLACEMENT_DELAY).await;
            }
            process.signal(signal);
            if process.wait_for_exit().await {
                if is_wiped {
                    process.wipe_store();
                }
                actix_rt::time::sleep(pause).await;
                process.start_again();
            }
        })
    }

    fn restart_member(&self, number: usize, pause: Duration) -> Disturbance {
        let members = Rc::clone(&self.fleet.members);
        actix_rt::spawn(async move { restart(&members[number], Signal::KILL, pause).await })
    }

    /// Starts the next spare store.
    fn add_spare(&mut self) -> usize {
        let number = self.next_spare;
        self.next_spare += 1;
        self.running.push(number);
        store(&self.fleet, number).start_again();
        number
    }

    /// A store is gone for good, and an empty one starts at another address.
    fn replace(&mut self, number: usize) -> Disturbance {
        self.running.retain(|running| *running != number);
        let successor = self.next_spare;
        self.next_spare += 1;
        self.running.push(successor);
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            let process = store(&fleet, number);
            process.signal(Signal::KILL);
            while process.is_running() && !process.wait_for_exit().await {
                actix_rt::time::sleep(REPLACEMENT_DELAY).await;
            }
            actix_rt::time::sleep(REPLACEMENT_DELAY).await;
            store(&fleet, successor).start_again();
        })
    }

    /// A store is added, and another one is retired. The retired one keeps running.
    fn retire(&mut self, number: usize) -> Disturbance {
        self.add_spare();
        self.running.retain(|running| *running != number);
        let fleet = self.fleet.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            let name = store(&fleet, number).name().to_owned();
            fleet.retire(&name).await;
        })
    }
}

fn store(fleet: &Fleet, number: usize) -> &Process {
    let founders = fleet.stores.len();
    match number.checked_sub(founders) {
        Some(spare) => &fleet.spare_stores[spare],
        None => &fleet.stores[number],
    }
}
