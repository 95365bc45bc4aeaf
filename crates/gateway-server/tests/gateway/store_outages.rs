//! Programs whose records reach other stores in each outage of a single one. No outages overlap.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(6);

const TIMEOUT: Duration = Duration::from_secs(1);

/// Time of the second turns, at the end of the retention of the first ones.
const SECOND_TURNS: Duration = Duration::from_millis(5_500);

/// Time of the last turns: stores have dropped the records of the first turns that they were not told
/// to keep longer, and the second turns are still retained.
const LAST_TURNS: Duration = Duration::from_millis(10_000);

const MAX_SENDS: usize = 4;

/// Tokens of a turn.
const TURN_TOKENS: u64 = 50;

struct Setup {
    fleet: Fleet,
    _second_gateway: luglink_gateway_server::GatewayServer,
    /// Address of a gateway that has no copies of the first turns.
    second: SocketAddr,
}

impl Setup {
    async fn start() -> Self {
        let replica = Replica::start("r0", Script::Stream).await;
        let fleet = Fleet::start_behind_proxies(vec![replica]).await;
        let mut configuration = configuration(1);
        for route in &mut configuration.routes {
            route.retention_ms = RETENTION.as_millis() as u64;
            route.timeout_ms = TIMEOUT.as_millis() as u64;
        }
        fleet.configure(&configuration).await;
        let (second_gateway, second) = fleet.start_ready_second_gateway().await;
        Self {
            fleet,
            _second_gateway: second_gateway,
            second,
        }
    }

    /// Sends a turn while one store is cut off, to which nothing of it gets.
    async fn send_without(&self, store: usize, turn: TestRequest, gateway: SocketAddr) -> u16 {
        let proxy = &self.fleet.store_proxies[store];
        proxy.silence_from(0);
        let response = send(turn, gateway).await;
        proxy.lose_held();
        response.status
    }
}

fn turn(path: &str, id: &str) -> TestRequest {
    TestRequest::post(path, id, "input")
        .with("luglink-program", "program")
        .with("luglink-session", "session")
        .with("luglink-token-usage", format!("100,{TURN_TOKENS}"))
}

/// Sends a turn again while it is refused, for less than the time between two turns.
async fn send(turn: TestRequest, gateway: SocketAddr) -> TestResponse {
    let mut response = TestResponse::default();
    for _ in 0..MAX_SENDS {
        response = turn.clone().send(gateway).await;
        if response.status != 503 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
    }
    response
}

async fn sleep_until(time: Instant) {
    actix_rt::time::sleep(time.saturating_duration_since(Instant::now())).await;
}

/// Guards against turns that stores acknowledge without the turns that these continue: the latter
/// then expire on the stores that missed the acknowledged one.
#[actix_rt::test]
async fn a_turn_is_continued_after_each_store_was_cut_off_once() {
    let setup = Setup::start().await;
    let gateway = setup.fleet.gateway_address;
    let began = Instant::now();
    let first = turn("/kept/x", "t1");
    assert_eq!(setup.send_without(2, first, gateway).await, 200);
    sleep_until(began + SECOND_TURNS).await;
    let second = turn("/kept/x", "t2").with("luglink-previous-turn", "t1");
    assert_eq!(setup.send_without(0, second, gateway).await, 200);
    sleep_until(began + LAST_TURNS).await;
    let third = turn("/kept/x", "t3").with("luglink-previous-turn", "t2");
    assert_eq!(setup.send_without(1, third, setup.second).await, 200);
}

/// Guards against spends that stores acknowledge without the earlier spends of the program.
#[actix_rt::test]
async fn a_budget_is_kept_after_each_store_was_cut_off_once() {
    let setup = Setup::start().await;
    let gateway = setup.fleet.gateway_address;
    let turn = |id: &str| turn("/resumable/x", id).with("luglink-token-budget", 3 * TURN_TOKENS);
    let began = Instant::now();
    assert_eq!(setup.send_without(2, turn("t1"), gateway).await, 200);
    sleep_until(began + SECOND_TURNS).await;
    assert_eq!(setup.send_without(0, turn("t2"), gateway).await, 200);
    sleep_until(began + LAST_TURNS).await;
    let third = setup.send_without(1, turn("t3"), setup.second).await;
    let fourth = setup.send_without(1, turn("t4"), setup.second).await;
    assert_eq!((third, fourth), (200, 402));
}
