//! Requests that end their replicas while one gateway is cut off from the turn stores, and from the
//! control members too, by connections that fall silent.

use crate::metrics::{metrics, value};
use crate::support::caller::{TestRequest, TestResponse};
use crate::support::proxy::Proxy;
use crate::support::received::ReceivedRequest;
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};
use luglink_gateway_server::GatewayServer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of crashes under a request after which no replica gets it.
const MAX_CRASHES: usize = 3;

const ATTEMPTS: usize = 7;

const REPLICAS: usize = 9;

/// Part of the path of requests that crash their replicas.
const CRASHING: &str = "crash";

/// Time within which a gateway that is not cut off serves an innocent request, far above the usual
/// one.
const INNOCENT_TIMEOUT: Duration = Duration::from_secs(2);

struct Setup {
    fleet: Fleet,
    replicas: Vec<Replica>,
    /// Number of connections to each store before the second gateway started.
    first_connections: Vec<usize>,
    second: SocketAddr,
    /// Proxies through which the second gateway reaches the members.
    member_proxies: Vec<Proxy>,
    second_gateway: GatewayServer,
}

impl Setup {
    async fn start() -> Self {
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            let script = Script::CrashesOn(CRASHING);
            replicas.push(Replica::start(&format!("r{number}"), script).await);
        }
        let fleet = Fleet::start_behind_proxies(replicas.clone()).await;
        fleet.configure(&configuration(1)).await;
        for number in 0..2 * REPLICAS {
            let id = format!("warm-{number}");
            let warm = TestRequest::get("/safe/warm", &id);
            warm.send(fleet.gateway_address).await;
        }
        let accepted = fleet.store_proxies.iter().map(|proxy| proxy.accepted());
        let first_connections = accepted.collect();
        let (gateway, second, member_proxies) = fleet.start_second_gateway_behind_proxies().await;
        let setup = Self {
            fleet,
            replicas,
            first_connections,
            second,
            member_proxies,
            second_gateway: gateway,
        };
        for number in 0..2 * REPLICAS {
            let id = format!("warm-again-{number}");
            let warm = TestRequest::get("/safe/warm", &id).send(second).await;
            assert_eq!(warm.status, 200);
        }
        setup
    }

    fn cut_off_second(&self) {
        let proxies = self.fleet.store_proxies.iter();
        for (proxy, first) in proxies.zip(&self.first_connections) {
            proxy.silence_from(*first);
        }
    }

    fn cut_off_second_from_all(&self) {
        self.cut_off_second();
        for proxy in &self.member_proxies {
            proxy.silence_from(0);
        }
    }

    fn restore(&self) {
        for proxy in self.fleet.store_proxies.iter().chain(&self.member_proxies) {
            proxy.restore();
        }
    }

    fn crashed(&self) -> usize {
        let replicas = self.replicas.iter();
        replicas.filter(|replica| replica.has_crashed()).count()
    }

    /// Returns the number of replicas that have got the request.
    fn reached(&self) -> usize {
        let is_bad = |seen: &ReceivedRequest| seen.target.contains(CRASHING);
        let replicas = self.replicas.iter();
        replicas
            .filter(|replica| replica.seen.borrow().iter().any(is_bad))
            .count()
    }

    async fn insist(&self, gateway: SocketAddr) -> TestResponse {
        let mut last = TestResponse::default();
        for number in 0..ATTEMPTS {
            last = call(&format!("attempt-{number}")).send(gateway).await;
        }
        last
    }
}

fn call(id: &str) -> TestRequest {
    TestRequest::get("/safe/crash", id)
}

#[actix_rt::test]
async fn a_gateway_that_is_cut_off_sends_no_request_after_the_third_end() {
    let setup = Setup::start().await;
    setup.cut_off_second();
    assert_limited_at_second(&setup).await;
}

#[actix_rt::test]
async fn a_gateway_that_is_cut_off_from_all_sends_no_request_after_the_third_end() {
    let setup = Setup::start().await;
    setup.cut_off_second_from_all();
    assert_limited_at_second(&setup).await;
}

async fn assert_limited_at_second(setup: &Setup) {
    setup.insist(setup.fleet.gateway_address).await;
    assert_eq!(setup.crashed(), MAX_CRASHES);
    setup.insist(setup.second).await;
    assert_eq!(setup.crashed(), MAX_CRASHES);
    setup.restore();
    wait_until("the request is refused for good", || async {
        let response = call("last").send(setup.second).await;
        let retry_after = response.header("retry-after");
        let delay = retry_after.and_then(|delay| delay.parse::<f64>().ok());
        response.status == 503 && delay.is_some_and(|delay| delay > 60.0)
    })
    .await;
    assert_eq!(setup.crashed(), MAX_CRASHES);
}

/// Callers of a gateway that hears of nobody are told at once, and served elsewhere in time.
#[actix_rt::test]
async fn innocent_requests_are_served_elsewhere_while_one_gateway_is_cut_off_from_all() {
    let setup = Setup::start().await;
    setup.cut_off_second_from_all();
    for number in 0..20 {
        let began = Instant::now();
        let path = format!("/safe/innocent-{number}");
        let first = TestRequest::get(&path, &format!("first-{number}"));
        let first = first.send(setup.second).await;
        if first.status != 200 {
            assert_eq!(first.status, 503, "{number}: {first:?}");
            assert!(first.header("retry-after").is_some(), "{number}: {first:?}");
            let second = TestRequest::get(&path, &format!("second-{number}"));
            let second = second.send(setup.fleet.gateway_address).await;
            assert_eq!(second.status, 200, "{number}: {second:?}");
        }
        assert!(began.elapsed() < INNOCENT_TIMEOUT, "{number}");
    }
}

#[actix_rt::test]
async fn a_gateway_that_is_cut_off_sends_no_request_under_which_it_knows_an_end() {
    let setup = Setup::start().await;
    let once = call("first").with("luglink-deadline-ms", 300);
    once.send(setup.fleet.gateway_address).await;
    // A replica may still run the attempt that its caller has given up.
    wait_until("all runs of the request have ended", || async {
        setup.crashed() > 0 && setup.crashed() == setup.reached()
    })
    .await;
    let known = setup.crashed();
    setup.cut_off_second();
    // Without a lease, the gateway cannot tell whether more replicas have ended since.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let last = setup.insist(setup.second).await;
    assert_eq!(setup.crashed(), known);
    assert_eq!(last.status, 503, "{last:?}");
}

#[actix_rt::test]
async fn innocent_requests_are_served_while_one_gateway_is_cut_off() {
    let setup = Setup::start().await;
    setup.cut_off_second();
    for (number, gateway) in [setup.fleet.gateway_address, setup.second]
        .into_iter()
        .cycle()
        .take(20)
        .enumerate()
    {
        let began = Instant::now();
        let path = format!("/safe/innocent-{number}");
        let response = TestRequest::get(&path, &path[1..]).send(gateway).await;
        assert_eq!(response.status, 200, "{number}: {response:?}");
        assert!(began.elapsed() < INNOCENT_TIMEOUT, "{number}");
    }
}

#[actix_rt::test]
async fn requests_that_wait_long_before_a_replica_gets_them_are_counted_by_step() {
    let setup = Setup::start().await;
    setup.cut_off_second_from_all();
    let series = "luglink_slow_starts_total{step=\"crash_look_up\"}";
    // Until its leases end, the gateway asks nobody.
    wait_until("a request waits for holders of reports", || async {
        let request = TestRequest::get("/safe/innocent", "slow");
        let request = request.with("luglink-deadline-ms", 1_000);
        request.send(setup.second).await;
        let gateway = metrics(setup.second_gateway.metrics_address).await;
        value(&gateway.body, series) >= 1.0
    })
    .await;
    let first = metrics(setup.fleet.gateway.metrics_address).await;
    assert_eq!(value(&first.body, series), 0.0, "that gateway is in touch");
}

/// Time that the callers of the next test allow, and the part of it that holders of reports may take. A look-up
/// that has begun takes 150 ms at stores and at members each.
const ALLOWED: Duration = Duration::from_secs(2);

const MAX_LOOK_UP: Duration = Duration::from_millis(500 + 300);

#[actix_rt::test]
async fn a_request_spends_a_small_part_of_its_time_on_holders_that_do_not_answer() {
    let setup = Setup::start().await;
    setup.cut_off_second_from_all();
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut refused = 0;
    for number in 0.. {
        if began.elapsed() > ALLOWED {
            break;
        }
        let id = format!("innocent-{number}");
        let request = TestRequest::get("/safe/innocent", &id);
        let request = request.with("luglink-deadline-ms", ALLOWED.as_millis());
        let sent = Instant::now();
        let response = request.send(setup.second).await;
        slowest = slowest.max(sent.elapsed());
        refused += usize::from(response.status == 503);
    }
    assert!(refused > 0, "its leases have ended");
    assert!(slowest <= MAX_LOOK_UP, "{slowest:?}");
}
