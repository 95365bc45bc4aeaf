//! Turns of programs: history, budgets, broken streams, planned stops and configurations.

use crate::support::caller::{TestRequest, TestResponse, get, put};
use crate::support::replica::{Replica, Script, event};
use crate::support::{Fleet, configuration, wait_until};
use std::rc::Rc;
use std::time::Duration;

async fn fleet(script: Script) -> (Fleet, Replica) {
    let replica = Replica::start("r0", script).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    (fleet, replica)
}

fn turn(path: &str, id: &str, input: &str) -> TestRequest {
    TestRequest::post(path, id, input)
        .with("luglink-program", "program")
        .with("luglink-session", "session")
        .with("luglink-token-usage", "100,50")
}

fn events(numbers: std::ops::Range<usize>) -> String {
    numbers.map(event).collect()
}

async fn send(fleet: &Fleet, request: TestRequest) -> TestResponse {
    request.send(fleet.gateway_address).await
}

#[actix_rt::test]
async fn the_gateway_prepends_the_history_to_the_new_input() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let first = send(&fleet, turn("/kept/x", "t1", "first ")).await;
    assert_eq!((first.status, first.is_whole), (200, true));
    assert_eq!(first.body, events(0..5));
    let second = turn("/kept/x", "t2", "second ").with("luglink-previous-turn", "t1");
    assert_eq!(send(&fleet, second).await.status, 200);
    let third = turn("/kept/x", "t3", "third").with("luglink-previous-turn", "t2");
    assert_eq!(send(&fleet, third).await.status, 200);
    let words = "word0\nword1\nword2\nword3\nword4\n";
    let prompt = format!("first {words}second {words}third");
    assert_eq!(String::from_utf8(replica.last().body).unwrap(), prompt);
    // Several turns may continue the same turn.
    let branch = turn("/kept/x", "t4", "other").with("luglink-previous-turn", "t1");
    assert_eq!(send(&fleet, branch).await.status, 200);
    let prompt = format!("first {words}other");
    assert_eq!(String::from_utf8(replica.last().body).unwrap(), prompt);
}

#[actix_rt::test]
async fn a_turn_that_continues_an_unknown_turn_is_refused() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let request = turn("/kept/x", "t1", "x").with("luglink-previous-turn", "never");
    assert_eq!(send(&fleet, request).await.status, 404);
    assert_eq!(replica.requests(), 0);
}

#[actix_rt::test]
async fn a_broken_turn_is_not_stored_and_its_answer_is_not_complete() {
    let (fleet, replica) = fleet(Script::StreamBroken(2)).await;
    // Broken inside an event, broken between two events, and ended properly inside an event.
    let scripts = [
        Script::StreamBroken(2),
        Script::StreamCut(2),
        Script::StreamEndsInside(2),
    ];
    for (number, script) in scripts.into_iter().enumerate() {
        replica.set_script(script.clone());
        let before = replica.requests();
        let id = format!("t{number}");
        let broken = send(&fleet, turn("/kept/x", &id, "x")).await;
        assert!(!broken.is_whole, "{script:?}");
        assert_eq!(broken.body, events(0..2), "{script:?}");
        assert_eq!(
            replica.requests(),
            before + 1,
            "a turn that may have run was sent again"
        );
        let next = turn("/kept/x", &format!("n{number}"), "x").with("luglink-previous-turn", id);
        assert_eq!(send(&fleet, next).await.status, 404, "{script:?}");
    }
}

#[actix_rt::test]
async fn a_broken_resumable_stream_resumes_in_the_same_answer() {
    let (fleet, replica) = fleet(Script::StreamBroken(3)).await;
    let script = Rc::clone(&replica.script);
    let seen = Rc::clone(&replica.seen);
    actix_rt::spawn(async move {
        while seen.borrow().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        *script.borrow_mut() = Script::Stream;
    });
    let response = send(&fleet, turn("/resumable/x", "t1", "x")).await;
    assert!(response.is_whole);
    assert_eq!(response.body, events(0..5));
    assert_eq!(response.header("luglink-signature"), Some("of-t1-by-r0"));
    assert_eq!(replica.last().headers["last-event-id"], "2");
}

#[actix_rt::test]
async fn a_turn_beyond_the_budget_does_not_run() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let request = |id: &str| turn("/resumable/x", id, "x").with("luglink-token-budget", 120);
    // Each turn generates 5 events of 10 tokens; its ceiling is 50 tokens.
    assert_eq!(send(&fleet, request("t1")).await.status, 200);
    assert_eq!(send(&fleet, request("t2")).await.status, 200);
    assert_eq!(send(&fleet, request("t3")).await.status, 402);
    assert_eq!(replica.requests(), 2);
}

#[actix_rt::test]
async fn an_incomplete_turn_releases_its_unused_tokens() {
    let (fleet, replica) = fleet(Script::StreamBroken(1)).await;
    let request = |id: &str| turn("/kept/x", id, "x").with("luglink-token-budget", 70);
    assert!(!send(&fleet, request("t1")).await.is_whole);
    replica.set_script(Script::Stream);
    wait_until("the first turn counts 10 tokens instead of 50", || async {
        send(&fleet, request("t2")).await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn concurrent_turns_never_exceed_the_budget() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let requests = (0..8).map(|number| {
        let request = turn("/resumable/x", &format!("t{number}"), "x");
        send(&fleet, request.with("luglink-token-budget", 150))
    });
    let responses = futures_util::future::join_all(requests).await;
    let served = responses
        .iter()
        .filter(|response| response.status == 200)
        .count();
    assert!(served <= 3, "{served} turns of 50 tokens");
    assert_eq!(replica.requests(), served);
    assert!(
        responses
            .iter()
            .all(|response| matches!(response.status, 200 | 402))
    );
}

#[actix_rt::test]
async fn a_planned_stop_finishes_requests_in_flight() {
    let (fleet, replica) = fleet(Script::StreamEndless).await;
    let slow = turn("/resumable/x", "t1", "x").with("luglink-deadline-ms", "1500");
    let address = fleet.gateway_address;
    let in_flight = actix_rt::spawn(async move { slow.send(address).await });
    wait_until("the request is in flight", || async {
        replica.requests() == 1
    })
    .await;
    let gateway = Rc::clone(&fleet.gateway);
    let stopping = actix_rt::spawn(async move { gateway.stop().await });
    wait_until("the gateway is not ready", || async {
        get(fleet.ready_address, "/v1/ready").await.status == 503
    })
    .await;
    assert!(stopping.await.unwrap(), "not all requests ended in time");
    let response = in_flight.await.unwrap();
    assert_eq!(response.status, 200);
    assert!(
        response.body.len() > events(0..10).len(),
        "the stream ended when the stop began"
    );
}

#[actix_rt::test]
async fn a_running_gateway_is_resolved_and_a_stopped_one_is_not() {
    let (fleet, _) = fleet(Script::Answer).await;
    wait_until("the gateway is resolved", || async {
        let response = get(fleet.resolution_address, "/v1/gateways?zone=here").await;
        response.status == 200 && response.body.contains(&fleet.gateway_address.to_string())
    })
    .await;
    fleet.gateway.stop().await;
    wait_until("the gateway is no longer resolved", || async {
        get(fleet.resolution_address, "/v1/gateways").await.status == 503
    })
    .await;
}

#[actix_rt::test]
async fn an_invalid_configuration_is_refused_and_has_no_effect() {
    let (fleet, _) = fleet(Script::Answer).await;
    let to = fleet.operator_address;
    let mut broken = configuration(9);
    broken.routes[0].timeout_ms = 0;
    let body = serde_json::to_vec(&broken).unwrap();
    let response = put(to, "/v1/configuration", body.clone()).await;
    assert_eq!(response.status, 400);
    assert!(
        response.body.contains("routes[0].timeout_ms"),
        "{}",
        response.body
    );
    let cut = put(to, "/v1/configuration", body[..body.len() / 2].to_vec()).await;
    assert_eq!(cut.status, 400);
    let request = TestRequest::get("/safe/x", "one");
    assert_eq!(send(&fleet, request).await.status, 200);
}

#[actix_rt::test]
async fn a_newer_configuration_takes_effect_and_an_older_one_does_not() {
    let (fleet, _) = fleet(Script::Answer).await;
    let mut newer = configuration(5);
    newer.routes.remove(0);
    fleet.configure(&newer).await;
    wait_until("the route is gone", || async {
        send(&fleet, TestRequest::get("/safe/x", "one"))
            .await
            .status
            == 404
    })
    .await;
    fleet.configure(&configuration(4)).await;
    assert_eq!(
        send(&fleet, TestRequest::get("/safe/x", "two"))
            .await
            .status,
        404
    );
}

#[actix_rt::test]
async fn members_and_stores_wait_for_an_unusable_disk() {
    let folder = tempfile::tempdir().unwrap();
    // A file in place of the first member's folder simulates an unusable disk.
    let taken = folder.path().join("member-1");
    std::fs::write(&taken, "in the way").unwrap();
    let replica = Replica::start("r0", Script::Answer).await;
    let fleet = Fleet::start_in(folder, vec![replica]).await;
    // The other two members serve; the first one reports that it is unavailable.
    let response = get(fleet.operator_address, "/v1/configuration").await;
    assert_eq!(response.status, 503);
    std::fs::remove_file(&taken).unwrap();
    fleet.configure(&configuration(1)).await;
    assert_eq!(
        send(&fleet, TestRequest::get("/safe/x", "one"))
            .await
            .status,
        200
    );
}

#[actix_rt::test]
async fn a_gateway_observes_members_that_are_added_later() {
    let replica = Replica::start("r0", Script::Answer).await;
    let fleet = Fleet::start_with_unreachable_seeds(vec![replica]).await;
    let ready = get(fleet.ready_address, "/v1/ready").await;
    assert_eq!(ready.status, 503);
    fleet.gateway.add_members(&fleet.member_addresses[..1]);
    fleet.configure(&configuration(1)).await;
    assert_eq!(
        send(&fleet, TestRequest::get("/safe/x", "one"))
            .await
            .status,
        200
    );
}
