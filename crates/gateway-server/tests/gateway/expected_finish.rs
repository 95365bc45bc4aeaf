//! Engines chosen by when a turn is expected to be finished there.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};

/// A fleet whose configuration lets a streaming route use a second replica, or not.
async fn fleet(may_use_second: bool) -> (Fleet, Vec<Replica>) {
    let mut replicas = Vec::new();
    for name in ["r0", "r1", "r2"] {
        replicas.push(Replica::start(name, Script::Stream).await);
    }
    let fleet = Fleet::start(replicas.clone()).await;
    let mut configuration = configuration(1);
    if may_use_second {
        for route in &mut configuration.routes {
            route.max_attempts = 2;
        }
    }
    fleet.configure(&configuration).await;
    (fleet, replicas)
}

async fn turn(fleet: &Fleet, program: &str, id: &str) -> TestResponse {
    let ask = TestRequest::post("/resumable/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-usage", "1460,50")
        .with(
            "luglink-prompt-parts",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        )
        .with("luglink-token-budget", "500");
    ask.send(fleet.gateway_address).await
}

async fn expectations(fleet: &Fleet) -> u32 {
    let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    let mut lines = metrics.body.lines();
    let count = lines.find_map(|line| line.strip_prefix("luglink_expected_seconds_count "));
    count.unwrap().trim().parse().unwrap()
}

#[actix_rt::test]
async fn programs_stay_where_they_began() {
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
        let got: Vec<usize> = counts
            .map(|(replica, before)| replica.requests() - before)
            .collect();
        assert_eq!(got.iter().max(), Some(&3), "{got:?}");
    }
}

#[actix_rt::test]
async fn nothing_is_expected_where_the_configuration_does_not_call_for_it() {
    let (fleet, _) = fleet(false).await;
    assert_eq!(turn(&fleet, "p", "t").await.status, 200);
    assert_eq!(expectations(&fleet).await, 0);
}

#[actix_rt::test]
async fn a_turn_whose_caller_says_nothing_of_its_prompt_is_served() {
    let (fleet, _) = fleet(true).await;
    let ask = TestRequest::post("/resumable/x", "t", "input").with("luglink-program", "p");
    assert_eq!(ask.send(fleet.gateway_address).await.status, 200);
    assert_eq!(expectations(&fleet).await, 0);
}
