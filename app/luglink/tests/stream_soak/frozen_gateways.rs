//! Innocent requests while a third of the gateways stand still and a turn store is cut off, and after both
//! are back.

use crate::callers::{Received, message};
use crate::chaos;
use crate::fleet::{CALL_PATH, Fleet, PATHS};
use crate::random::Random;
use crate::replicas::Faults;
use luglink_http::connect;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..2;

const GATEWAYS: usize = 9;

const FROZEN: usize = GATEWAYS / 3;

const CALLERS: usize = 24;

/// Time from the start of the traffic to the first disturbance, and between two of them.
const STEP: Duration = Duration::from_secs(1);

/// Time for which a store is cut off.
const CUT_DURATION: Duration = Duration::from_secs(7);

/// Time for which gateways stand still.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// Time for which the traffic goes on once all are back.
const CALM_DURATION: Duration = Duration::from_secs(4);

/// Time that a caller waits for the response to one attempt.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Probability that a caller leaves before its response, in percent. Its replica goes on.
const LEAVING_PERCENT: usize = 20;

/// Time after which such a caller leaves.
const PATIENCE: Duration = Duration::from_millis(15);

/// Time within which requests are to be answered.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Minimum share of the requests that are served at the first attempt, within the objective.
const MIN_SERVED_RATIO: f64 = 0.95;

/// The same for those of the time after the disturbances.
const MIN_CALM_RATIO: f64 = 0.99;

/// Maximum time over all attempts at one request.
const MAX_TIME: Duration = Duration::from_secs(5);

/// What the callers saw.
#[derive(Debug, Default)]
struct Seen {
    requests: usize,
    served_in_objective: usize,
    slowest: Duration,
}

impl Seen {
    fn add(&mut self, time: Duration, attempts: usize) {
        self.requests += 1;
        self.slowest = self.slowest.max(time);
        self.served_in_objective += usize::from(attempts == 1 && time <= OBJECTIVE);
    }

    fn served_ratio(&self) -> f64 {
        self.served_in_objective as f64 / self.requests.max(1) as f64
    }
}

struct Traffic {
    fleet: Fleet,
    frozen: Vec<usize>,
    is_calm: Cell<bool>,
    is_over: Cell<bool>,
    disturbed: RefCell<Seen>,
    calm: RefCell<Seen>,
}

impl Traffic {
    async fn call(self: Rc<Self>, caller: usize, seed: u64) {
        let mut random = Random::new(seed * 1_000 + caller as u64);
        for number in 0.. {
            if self.is_over.get() {
                return;
            }
            let name = format!("run-{caller}-{number}");
            if random.percent(LEAVING_PERCENT) {
                let name = format!("left-{name}");
                let left = self.attempt(&mut random, &name);
                let _ = actix_rt::time::timeout(PATIENCE, left).await;
            } else {
                self.insist(&mut random, &name).await;
            }
            actix_rt::time::sleep(random.millis(5..40)).await;
        }
    }

    /// Repeats a request until it is served.
    async fn insist(&self, random: &mut Random, name: &str) {
        let is_calm = self.is_calm.get();
        let began = Instant::now();
        let mut attempts = 1;
        while !self.attempt(random, name).await {
            assert!(began.elapsed() < MAX_TIME, "{name} is not served");
            attempts += 1;
            actix_rt::time::sleep(random.millis(20..80)).await;
        }
        let seen = match is_calm {
            true => &self.calm,
            false => &self.disturbed,
        };
        seen.borrow_mut().add(began.elapsed(), attempts);
    }

    /// Sends a request to a gateway that does not stand still. Returns true if it is answered.
    async fn attempt(&self, random: &mut Random, name: &str) -> bool {
        let gateway = loop {
            let gateway = random.below(GATEWAYS);
            if !self.frozen.contains(&gateway) || self.is_calm.get() {
                break gateway;
            }
        };
        let path = [PATHS[0], PATHS[1], CALL_PATH][random.below(3)];
        let address = self.fleet.addresses[gateway];
        let Ok(mut connection) = connect(address, RESPONSE_TIMEOUT).await else {
            return false;
        };
        let path = format!("{path}?{name}");
        let message = message(&path, name, RESPONSE_TIMEOUT, &Received::default());
        let response = actix_rt::time::timeout(RESPONSE_TIMEOUT, connection.send(message)).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }

    /// Cuts a store off, freezes gateways meanwhile, and waits until all have been back for a while.
    async fn disturb(&self, store: usize) {
        actix_rt::time::sleep(STEP).await;
        let cut = chaos::freeze(&self.fleet.stores[store], CUT_DURATION);
        let freezing = async {
            actix_rt::time::sleep(STEP).await;
            let gateways = &self.fleet.gateways;
            let freezes = self.frozen.iter();
            let freezes =
                freezes.map(|gateway| chaos::freeze(&gateways[*gateway], FREEZE_DURATION));
            futures_util::future::join_all(freezes).await;
        };
        tokio::join!(cut, freezing);
        actix_rt::time::sleep(STEP).await;
        self.is_calm.set(true);
        actix_rt::time::sleep(CALM_DURATION).await;
        self.is_over.set(true);
    }
}

async fn run_seed(seed: u64) {
    let fleet = Fleet::start(seed, GATEWAYS, Faults::None).await;
    let mut random = Random::new(seed);
    let store = random.below(fleet.stores.len());
    let first = random.below(GATEWAYS);
    let traffic = Rc::new(Traffic {
        fleet,
        frozen: (0..FROZEN).map(|next| (first + next) % GATEWAYS).collect(),
        is_calm: Cell::new(false),
        is_over: Cell::new(false),
        disturbed: RefCell::default(),
        calm: RefCell::default(),
    });
    let calling = (0..CALLERS).map(|caller| Rc::clone(&traffic).call(caller, seed));
    let calling = futures_util::future::join_all(calling);
    tokio::join!(calling, traffic.disturb(store));
    let (disturbed, calm) = (traffic.disturbed.borrow(), traffic.calm.borrow());
    println!("seed {seed}: disturbed {disturbed:?}, then {calm:?}");
    assert!(
        disturbed.served_ratio() >= MIN_SERVED_RATIO,
        "{disturbed:?}"
    );
    assert!(calm.served_ratio() >= MIN_CALM_RATIO, "{calm:?}");
}

#[actix_rt::test]
async fn innocent_requests_are_served_while_a_third_of_the_gateways_is_frozen_and_a_store_is_cut_off()
 {
    for seed in crate::seeds(DEFAULT_SEEDS) {
        run_seed(seed).await;
    }
}
