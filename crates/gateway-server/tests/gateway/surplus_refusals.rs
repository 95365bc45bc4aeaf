//! Replicas that send a refusal twice, the second time in the place of a later response.

use crate::support::caller::TestRequest;
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};

const REQUESTS: usize = 8;

async fn start(replicas: usize) -> (Fleet, Vec<Replica>) {
    let mut started = Vec::new();
    for number in 0..replicas {
        let script = Script::DeclinesTwice;
        started.push(Replica::start(&format!("r{number}"), script).await);
    }
    let fleet = Fleet::start(started.clone()).await;
    fleet.configure(&configuration(1)).await;
    (fleet, started)
}

/// Guards against a request that runs at two replicas because the copy of a refusal was taken for the
/// response to its next send on the same connection.
#[actix_rt::test]
async fn a_refusal_that_is_sent_twice_does_not_let_a_request_run_twice() {
    let (fleet, replicas) = start(2).await;
    for number in 0..REQUESTS {
        let id = format!("u{number}");
        let request = TestRequest::get("/unsafe/x", &id);
        let status = request.send(fleet.gateway_address).await.status;
        let runs = replicas.iter().map(|replica| {
            let runs = replica.runs.borrow();
            runs.iter().filter(|run| **run == id).count()
        });
        let runs: usize = runs.sum();
        let is_promised = matches!(status, 429 | 503);
        let allowed = if is_promised { 0 } else { 1 };
        assert!(runs <= allowed, "{id}: {runs} runs, status {status}");
    }
}

/// Guards against responses that are shifted by one on a connection on which a refusal was taken for
/// the report of its replica.
#[actix_rt::test]
async fn a_refusal_in_the_place_of_a_report_does_not_shift_later_responses() {
    let (fleet, replicas) = start(1).await;
    replicas[0].running.set(Some(0));
    for number in 0..REQUESTS {
        let declined = TestRequest::get("/unsafe/x", &format!("u{number}"));
        let declined = declined.with("luglink-deadline-ms", 20);
        declined.send(fleet.gateway_address).await;
        replicas[0].set_script(Script::Stream);
        let turn = TestRequest::post("/resumable/x", &format!("t{number}"), "input")
            .with("luglink-program", format!("p{number}"))
            .with("luglink-session", "session")
            .with("luglink-token-usage", "100,50")
            .with("luglink-token-budget", 1_000);
        let status = turn.send(fleet.gateway_address).await.status;
        assert_eq!(status, 200, "t{number}");
        replicas[0].set_script(Script::DeclinesTwice);
    }
}
