//! Callers that come back within the retention, as they count it: from the end of a response that they
//! have read late, to the time at which they send the next request.

use crate::support::caller::TestRequest;
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration};
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(2);

/// Time for which a response may take to be read, and the next request to get to the stores.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time between the storage of a turn and the next request at the stores.
const COME_BACK: Duration = Duration::from_millis(3_400);

const TURN_TOKENS: u64 = 50;

async fn start() -> Fleet {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start(vec![replica]).await;
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.retention_ms = RETENTION.as_millis() as u64;
        route.timeout_ms = TIMEOUT.as_millis() as u64;
    }
    fleet.configure(&configuration).await;
    fleet
}

fn turn(path: &str, id: &str, budget: u64) -> TestRequest {
    TestRequest::post(path, id, "input")
        .with("luglink-program", "program")
        .with("luglink-session", "session")
        .with("luglink-token-usage", format!("100,{TURN_TOKENS}"))
        .with("luglink-token-budget", budget)
}

/// Guards against a retention that begins when the turn is stored, before its caller has the answer.
#[actix_rt::test]
async fn a_turn_is_found_by_a_caller_that_has_read_the_answer_slowly() {
    let fleet = start().await;
    let first = turn("/kept/x", "t1", 2 * TURN_TOKENS);
    assert_eq!(first.send(fleet.gateway_address).await.status, 200);
    actix_rt::time::sleep(COME_BACK).await;
    let second = turn("/kept/x", "t2", 2 * TURN_TOKENS).with("luglink-previous-turn", "t1");
    assert_eq!(second.send(fleet.gateway_address).await.status, 200);
}

/// The same for the account of a program.
#[actix_rt::test]
async fn a_spent_budget_is_known_to_a_request_that_was_held_up() {
    let fleet = start().await;
    let first = turn("/resumable/x", "t1", TURN_TOKENS);
    assert_eq!(first.send(fleet.gateway_address).await.status, 200);
    actix_rt::time::sleep(COME_BACK).await;
    let second = turn("/resumable/x", "t2", TURN_TOKENS);
    assert_eq!(second.send(fleet.gateway_address).await.status, 402);
}
