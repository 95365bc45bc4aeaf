//! Placement of new programs by the reports of the replicas.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};

async fn fleet() -> (Fleet, [Replica; 2]) {
    let first = Replica::start("r0", Script::Stream).await;
    let second = Replica::start("r1", Script::Stream).await;
    let fleet = Fleet::start(vec![first.clone(), second.clone()]).await;
    fleet.configure(&configuration(1)).await;
    (fleet, [first, second])
}

/// Sends a turn on a route that does not keep the history, so that the caller sends the whole prompt.
async fn turn(fleet: &Fleet, program: &str, id: &str) -> TestResponse {
    let request = TestRequest::post("/resumable/x", id, "input")
        .with("luglink-program", program)
        .with("luglink-token-usage", "100,50")
        .with("luglink-token-budget", "500");
    request.send(fleet.gateway_address).await
}

#[actix_rt::test]
async fn programs_start_at_the_less_loaded_replica_and_stay_there() {
    let (fleet, [full, empty]) = fleet().await;
    full.running.set(Some(2));
    empty.running.set(Some(1));
    for number in 0..6 {
        let response = turn(&fleet, &format!("p{number}"), &format!("t{number}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!((full.requests(), empty.requests()), (0, 6));
    // Later turns stay there, whichever replica is less loaded by then or is the home replica.
    full.running.set(Some(0));
    for number in 0..6 {
        let response = turn(&fleet, &format!("p{number}"), &format!("u{number}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!((full.requests(), empty.requests()), (0, 12));
}

#[actix_rt::test]
async fn no_program_starts_while_all_replicas_are_full_and_running_ones_continue() {
    let (fleet, [first, second]) = fleet().await;
    first.running.set(Some(0));
    second.running.set(Some(0));
    assert_eq!(turn(&fleet, "begun", "t1").await.status, 200);
    first.running.set(Some(3));
    second.running.set(Some(4));
    let refused = turn(&fleet, "new", "t2").await;
    assert_eq!(refused.status, 503);
    let retry_delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..2.0).contains(&retry_delay), "{retry_delay}");
    assert_eq!(turn(&fleet, "begun", "t3").await.status, 200);
    assert_eq!(first.requests() + second.requests(), 2);
    second.running.set(Some(1));
    assert_eq!(turn(&fleet, "new", "t4").await.status, 200);
}

#[actix_rt::test]
async fn replicas_without_reports_still_get_programs() {
    let (fleet, [first, second]) = fleet().await;
    assert_eq!(turn(&fleet, "p", "t1").await.status, 200);
    assert_eq!(first.requests() + second.requests(), 1);
}
