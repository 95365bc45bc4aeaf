//! Selection of replicas by the expected finish of a turn.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};

/// Starts a fleet of three replicas. With `allow_second_replica`, streams may be sent to a second
/// replica, which enables selection by expected finish.
async fn fleet(allow_second_replica: bool) -> (Fleet, Vec<Replica>) {
    let mut replicas = Vec::new();
    for name in ["r0", "r1", "r2"] {
        replicas.push(Replica::start(name, Script::Stream).await);
    }
    let fleet = Fleet::start(replicas.clone()).await;
    let mut configuration = configuration(1);
    if allow_second_replica {
        for route in &mut configuration.routes {
            route.max_attempts = 2;
        }
    }
    fleet.configure(&configuration).await;
    (fleet, replicas)
}

async fn turn(fleet: &Fleet, program: &str, id: &str) -> TestResponse {
    let request = TestRequest::post("/resumable/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-usage", "1460,50")
        .with(
            "luglink-prompt-parts",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        )
        .with("luglink-token-budget", "500");
    request.send(fleet.gateway_address).await
}

/// Returns the number of turns for which the gateway has recorded an expected time.
async fn expected_count(fleet: &Fleet) -> u32 {
    let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    let mut lines = metrics.body.lines();
    let count = lines.find_map(|line| line.strip_prefix("luglink_expected_seconds_count "));
    count.unwrap().trim().parse().unwrap()
}

#[actix_rt::test]
async fn later_turns_go_to_the_replica_of_the_first_turn() {
    let (fleet, replicas) = fleet(true).await;
    for replica in &replicas {
        replica.running.set(Some(0));
    }
    for number in 0..6 {
        let program = format!("p{number}");
        let before: Vec<usize> = replicas.iter().map(Replica::requests).collect();
        for turn_number in 0..3 {
            let id = format!("t{number}-{turn_number}");
            assert_eq!(turn(&fleet, &program, &id).await.status, 200);
        }
        let counts = replicas.iter().zip(&before);
        let new_requests: Vec<usize> = counts
            .map(|(replica, before)| replica.requests() - before)
            .collect();
        assert_eq!(new_requests.iter().max(), Some(&3), "{new_requests:?}");
    }
}

#[actix_rt::test]
async fn no_time_is_expected_unless_a_stream_may_use_a_second_replica() {
    let (fleet, _) = fleet(false).await;
    assert_eq!(turn(&fleet, "p", "t").await.status, 200);
    assert_eq!(expected_count(&fleet).await, 0);
}

#[actix_rt::test]
async fn a_turn_without_declared_prompt_tokens_is_served() {
    let (fleet, _) = fleet(true).await;
    let request = TestRequest::post("/resumable/x", "t", "input").with("luglink-program", "p");
    assert_eq!(request.send(fleet.gateway_address).await.status, 200);
    assert_eq!(expected_count(&fleet).await, 0);
}
