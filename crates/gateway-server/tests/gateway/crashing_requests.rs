//! Requests that end every replica that runs them, and the requests that run beside them.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::ending::Ending;
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};
use luglink_edge::RouteKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of crashes under a request after which no replica gets it.
const MAX_CRASHES: usize = 3;

/// Number of attempts of a caller that does not give up.
const ATTEMPTS: usize = 7;

const REPLICAS: usize = 9;

/// Time between two crashes of a wave, about as long as a request takes.
const WAVE_INTERVAL: Duration = Duration::from_millis(70);

/// Part of the path of requests that crash their replicas.
const CRASHING: &str = "crash";

async fn replicas(script: Script) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(Replica::start(&format!("r{number}"), script.clone()).await);
    }
    replicas
}

async fn fleet_of(replicas: &[Replica]) -> Fleet {
    let fleet = Fleet::start(replicas.to_vec()).await;
    fleet.configure(&configuration(1)).await;
    fleet
}

async fn fleet(script: Script) -> (Fleet, Vec<Replica>) {
    let replicas = replicas(script).await;
    let fleet = fleet_of(&replicas).await;
    (fleet, replicas)
}

fn crashed(replicas: &[Replica]) -> usize {
    let crashed = replicas.iter().filter(|replica| replica.has_crashed());
    crashed.count()
}

/// Sends attempts of one request to the gateways in turn. Returns the last response.
async fn insist(request: impl Fn(&str) -> TestRequest, gateways: &[SocketAddr]) -> TestResponse {
    let mut last = TestResponse::default();
    for number in 0..ATTEMPTS {
        let to = gateways[number % gateways.len()];
        last = request(&format!("attempt-{number}")).send(to).await;
    }
    last
}

fn stream(id: &str) -> TestRequest {
    TestRequest::post("/resumable/x", id, "the same body")
}

fn call(id: &str) -> TestRequest {
    TestRequest::get("/safe/crash", id)
}

/// Asserts that an attempt was refused without a run, and that its caller knows when to come back.
fn assert_refused(response: &TestResponse) {
    assert_eq!(response.status, 503, "{response:?}");
    let retry_after = response.header("retry-after").expect("a retry delay");
    assert!(retry_after.parse::<f64>().unwrap() > 60.0, "{response:?}");
}

#[actix_rt::test]
async fn a_stream_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::StreamCrashes(2)).await;
    let last = insist(stream, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_stream_without_events_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::StreamCrashes(0)).await;
    let last = insist(stream, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_call_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let last = insist(call, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_hedged_call_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        route.max_attempts = 6;
        route.target_latency_ms = 20;
    }
    fleet.configure(&configuration).await;
    wait_until("the routes are in force", || async {
        let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
        metrics.body.contains("luglink_configuration_version 2")
    })
    .await;
    let last = insist(call, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_request_is_sent_by_no_gateway_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let (_second, address) = fleet.start_ready_second_gateway().await;
    let last = insist(call, &[fleet.gateway_address, address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_gateway_that_has_just_started_knows_the_crashes_under_a_request() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    insist(call, &[fleet.gateway_address]).await;
    let (_second, address) = fleet.start_ready_second_gateway().await;
    let last = insist(call, &[address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn a_request_that_may_not_be_repeated_is_not_refused_as_not_run_where_it_crashed() {
    let (fleet, _replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    for number in 0..MAX_CRASHES {
        let request = TestRequest::post("/unsafe/crash", &format!("{number}"), "body");
        assert_eq!(request.send(fleet.gateway_address).await.status, 502);
    }
    let request = TestRequest::post("/unsafe/crash", "last", "body");
    assert_refused(&request.send(fleet.gateway_address).await);
}

#[actix_rt::test]
async fn requests_beside_one_that_crashes_its_replicas_are_served() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let gateway = fleet.gateway_address;
    let bystander = |number: usize| async move {
        for attempt in 0..3 {
            let id = format!("b{number}-{attempt}");
            let request = TestRequest::get(&format!("/safe/{number}"), &id);
            if request.send(gateway).await.status == 200 {
                return true;
            }
        }
        false
    };
    for round in 0..4 {
        let numbers = round * 20..(round + 1) * 20;
        let bystanders = futures_util::future::join_all(numbers.map(bystander));
        let crashing = call(&format!("crashing-{round}")).send(gateway);
        let (_, served) = tokio::join!(crashing, bystanders);
        assert!(served.into_iter().all(|served| served));
    }
    assert_eq!(crashed(&replicas), MAX_CRASHES);
}

#[actix_rt::test]
async fn a_request_whose_connections_are_reset_by_living_replicas_is_not_refused_for_good() {
    let (fleet, replicas) = fleet(Script::ClosesOn("reset")).await;
    let gateway = fleet.gateway_address;
    let warm_up = (0..60).map(|number| {
        let request = TestRequest::get(&format!("/safe/{number}"), &format!("w{number}"));
        request.send(gateway)
    });
    futures_util::future::join_all(warm_up).await;
    let request = |id: &str| TestRequest::get("/safe/reset", id);
    assert_eq!(insist(request, &[gateway]).await.status, 502);
    for replica in &replicas {
        replica.set_script(Script::Answer);
    }
    assert_eq!(request("answered").send(gateway).await.status, 200);
}

/// Sends a request that no replica answers until its own deadline.
async fn give_up(fleet: &Fleet, id: &str) {
    let request = TestRequest::get("/safe/silent", id).with("luglink-deadline-ms", 700);
    assert_eq!(request.send(fleet.gateway_address).await.status, 504);
}

#[actix_rt::test]
async fn runs_that_were_given_up_are_not_taken_for_crashes_while_their_replicas_are_watched() {
    let (fleet, _replicas) = fleet(Script::Mute).await;
    for number in 0..2 {
        give_up(&fleet, &format!("silent-{number}")).await;
    }
    // Longer than the deadline of the requests, shorter than the watch.
    actix_rt::time::sleep(Duration::from_millis(4_500)).await;
    let response = TestRequest::get("/safe/silent", "later")
        .send(fleet.gateway_address)
        .await;
    let retry_after = response.header("retry-after").unwrap_or("0");
    assert!(retry_after.parse::<f64>().unwrap() < 1.0, "{response:?}");
}

#[actix_rt::test]
async fn a_request_that_was_given_up_is_served_once_its_replicas_respond_again() {
    let (fleet, replicas) = fleet(Script::Answer).await;
    let gateway = fleet.gateway_address;
    let others = |round: usize| {
        let requests = (0..90).map(move |number| {
            let id = format!("{round}-{number}");
            TestRequest::get(&format!("/safe/{id}"), &id).send(gateway)
        });
        futures_util::future::join_all(requests)
    };
    others(0).await;
    for replica in &replicas {
        replica.set_script(Script::Mute);
    }
    for number in 0..2 {
        give_up(&fleet, &format!("silent-{number}")).await;
    }
    for replica in &replicas {
        replica.set_script(Script::Answer);
    }
    others(1).await;
    let response = TestRequest::get("/safe/silent", "later")
        .send(gateway)
        .await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[actix_rt::test]
async fn a_request_that_silent_engines_have_survived_is_sent_again() {
    let replicas = replicas(Script::Mute).await;
    for replica in &replicas {
        replica.running.set(Some(1));
        replica.started_ms.set(5);
    }
    let fleet = fleet_of(&replicas).await;
    for number in 0..2 {
        give_up(&fleet, &format!("silent-{number}")).await;
    }
    for replica in &replicas {
        replica.set_script(Script::Answer);
    }
    let response = TestRequest::get("/safe/silent", "later")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[actix_rt::test]
async fn a_turn_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::StreamCrashes(1)).await;
    let (_second, address) = fleet.start_ready_second_gateway().await;
    let turn = |id: &str| {
        TestRequest::post("/kept/x", id, "input")
            .with("luglink-program", "p")
            .with("luglink-token-budget", 5_000)
            .with("luglink-token-usage", "100,50")
    };
    let last = insist(turn, &[fleet.gateway_address, address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

#[actix_rt::test]
async fn another_turn_of_the_same_program_has_a_count_of_its_own() {
    let (fleet, replicas) = fleet(Script::StreamCrashes(1)).await;
    let turn = |id: &str, input: &'static str| {
        TestRequest::post("/kept/x", id, input)
            .with("luglink-program", "p")
            .with("luglink-token-budget", 5_000)
            .with("luglink-token-usage", "100,50")
    };
    insist(|id| turn(id, "input"), &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    for replica in &replicas {
        replica.set_script(Script::Stream);
    }
    let response = turn("other", "other input")
        .send(fleet.gateway_address)
        .await;
    assert_eq!((response.status, response.is_whole), (200, true));
}

#[actix_rt::test]
async fn a_call_of_a_program_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let call = |id: &str| call(id).with("luglink-program", "p");
    let last = insist(call, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}

/// Returns the number of crashed replicas that received a request.
fn crashed_with(replicas: &[Replica], path: &str) -> usize {
    let has_seen = |replica: &&Replica| {
        let seen = replica.seen.borrow();
        seen.iter().any(|seen| seen.target.contains(path))
    };
    let crashed = replicas.iter().filter(|replica| replica.has_crashed());
    crashed.filter(has_seen).count()
}

/// Sends attempts of a request until it is served. Returns false if none is.
async fn serve(gateway: SocketAddr, path: &str) -> bool {
    for attempt in 0..4 {
        let request = TestRequest::get(path, &format!("{path}{attempt}"));
        if request.send(gateway).await.status == 200 {
            return true;
        }
    }
    false
}

#[actix_rt::test]
async fn requests_in_a_wave_of_crashes_are_served_unless_three_replicas_ended_under_them() {
    let (fleet, replicas) = fleet(Script::ClosesOn("never")).await;
    let gateway = fleet.gateway_address;
    let wave = async {
        for replica in replicas.iter().take(REPLICAS - 2) {
            actix_rt::time::sleep(WAVE_INTERVAL).await;
            replica.crash();
        }
    };
    let caller = |number: usize| {
        let replicas = replicas.clone();
        async move {
            for round in 0..10 {
                let path = format!("/safe/{number}-{round}-");
                let served = serve(gateway, &path).await;
                assert!(
                    served || crashed_with(&replicas, &path) >= MAX_CRASHES,
                    "{path}"
                );
            }
        }
    };
    let callers = futures_util::future::join_all((0..12).map(caller));
    tokio::join!(callers, wave);
    assert_eq!(crashed(&replicas), REPLICAS - 2);
}

#[actix_rt::test]
async fn a_reset_of_the_only_connection_to_a_living_replica_is_no_crash() {
    let replicas = replicas(Script::ClosesOn("reset")).await;
    for replica in &replicas {
        replica.running.set(Some(1));
        replica.started_ms.set(5);
    }
    let fleet = fleet_of(&replicas).await;
    let request = |id: &str| TestRequest::get("/safe/reset", id);
    let gateway = fleet.gateway_address;
    assert_eq!(insist(request, &[gateway]).await.status, 502);
    for replica in &replicas {
        replica.set_script(Script::Answer);
    }
    assert_eq!(request("answered").send(gateway).await.status, 200);
}

#[actix_rt::test]
async fn a_whole_response_ends_the_count_of_crashes_under_a_request() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let gateway = fleet.gateway_address;
    assert_eq!(call("first").send(gateway).await.status, 502);
    let before = crashed(&replicas);
    for replica in &replicas {
        replica.set_script(Script::Answer);
    }
    assert_eq!(call("second").send(gateway).await.status, 200);
    for replica in &replicas {
        replica.set_script(Script::CrashesOn(CRASHING));
    }
    insist(call, &[gateway]).await;
    assert_eq!(crashed(&replicas), before + MAX_CRASHES);
}

#[actix_rt::test]
async fn a_run_counts_that_ends_its_replica_after_another_one_was_answered() {
    let (fleet, replicas) = fleet(Script::CrashesOn(CRASHING)).await;
    let gateway = fleet.gateway_address;
    let request = |id: &str| TestRequest::post("/unsafe/crash", id, "body");
    let set_scripts = |script: Script| {
        for replica in &replicas {
            replica.set_script(script.clone());
        }
    };
    let received = || {
        let counts = replicas.iter().map(|replica| replica.seen.borrow().len());
        counts.sum::<usize>()
    };
    assert_eq!(request("first").send(gateway).await.status, 502);
    set_scripts(Script::EndsOn(CRASHING, Ending::AfterGivenUp));
    let before = received();
    let given_up = request("given-up").with("luglink-deadline-ms", 1_500);
    let answered = async {
        wait_until("a replica runs the request", || async {
            received() > before
        })
        .await;
        set_scripts(Script::Answer);
        assert_eq!(request("answered").send(gateway).await.status, 200);
        set_scripts(Script::CrashesOn(CRASHING));
    };
    tokio::join!(given_up.send(gateway), answered);
    wait_until("its replica has ended", || async {
        crashed(&replicas) == 2
    })
    .await;
    insist(request, &[gateway]).await;
    assert_eq!(crashed(&replicas), 1 + MAX_CRASHES);
}

#[actix_rt::test]
async fn a_moved_stream_is_sent_to_no_replica_after_the_third_crash_under_it() {
    let (fleet, replicas) = fleet(Script::StreamCrashes(1)).await;
    let mut configuration = configuration(2);
    for route in &mut configuration.routes {
        route.max_attempts = 6;
        route.gap_aim_ms = (route.kind == RouteKind::Streaming).then_some(50);
    }
    fleet.configure(&configuration).await;
    let last = insist(stream, &[fleet.gateway_address]).await;
    assert_eq!(crashed(&replicas), MAX_CRASHES);
    assert_refused(&last);
}
