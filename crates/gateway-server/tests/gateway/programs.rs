//! Turns: chains, budgets, streams that break, planned stops and configurations.

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

async fn send(fleet: &Fleet, ask: TestRequest) -> TestResponse {
    ask.send(fleet.gateway_address).await
}

#[actix_rt::test]
async fn a_turn_brings_only_what_is_new_and_the_replica_gets_everything() {
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
    // Several turns may go on from the same one.
    let branch = turn("/kept/x", "t4", "other").with("luglink-previous-turn", "t1");
    assert_eq!(send(&fleet, branch).await.status, 200);
    let prompt = format!("first {words}other");
    assert_eq!(String::from_utf8(replica.last().body).unwrap(), prompt);
}

#[actix_rt::test]
async fn a_turn_that_nobody_said_is_not_gone_on_from() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let ask = turn("/kept/x", "t1", "x").with("luglink-previous-turn", "never");
    assert_eq!(send(&fleet, ask).await.status, 404);
    assert_eq!(replica.requests(), 0);
}

#[actix_rt::test]
async fn a_turn_that_broke_off_is_not_kept_and_does_not_look_whole() {
    let (fleet, replica) = fleet(Script::StreamBroken(2)).await;
    // In the middle of an event, between two events, and with a proper end inside an event.
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
        assert_eq!(replica.requests(), before + 1, "it may have run");
        let next = turn("/kept/x", &format!("n{number}"), "x").with("luglink-previous-turn", id);
        assert_eq!(send(&fleet, next).await.status, 404, "{script:?}");
    }
}

#[actix_rt::test]
async fn a_resumable_stream_goes_on_in_the_same_answer() {
    let (fleet, replica) = fleet(Script::StreamBroken(3)).await;
    let script = Rc::clone(&replica.script);
    let seen = Rc::clone(&replica.seen);
    actix_rt::spawn(async move {
        while seen.borrow().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        *script.borrow_mut() = Script::Stream;
    });
    let got = send(&fleet, turn("/resumable/x", "t1", "x")).await;
    assert!(got.is_whole);
    assert_eq!(got.body, events(0..5));
    assert_eq!(got.header("luglink-signature"), Some("of-t1-by-r0"));
    assert_eq!(replica.last().headers["last-event-id"], "2");
}

#[actix_rt::test]
async fn a_budget_is_not_passed_and_a_turn_over_it_does_not_run() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let ask = |id: &str| turn("/resumable/x", id, "x").with("luglink-token-budget", 120);
    // Each turn gives 5 events of 10 tokens and may give 50.
    assert_eq!(send(&fleet, ask("t1")).await.status, 200);
    assert_eq!(send(&fleet, ask("t2")).await.status, 200);
    assert_eq!(send(&fleet, ask("t3")).await.status, 402);
    assert_eq!(replica.requests(), 2);
}

#[actix_rt::test]
async fn a_turn_that_gave_less_gives_the_rest_back() {
    let (fleet, replica) = fleet(Script::StreamBroken(1)).await;
    let ask = |id: &str| turn("/kept/x", id, "x").with("luglink-token-budget", 70);
    assert!(!send(&fleet, ask("t1")).await.is_whole);
    replica.set_script(Script::Stream);
    wait_until("10 tokens count, not 50", || async {
        send(&fleet, ask("t2")).await.status == 200
    })
    .await;
}

#[actix_rt::test]
async fn turns_that_race_never_pass_the_budget_together() {
    let (fleet, replica) = fleet(Script::Stream).await;
    let asks = (0..8).map(|number| {
        let ask = turn("/resumable/x", &format!("t{number}"), "x");
        send(&fleet, ask.with("luglink-token-budget", 150))
    });
    let got = futures_util::future::join_all(asks).await;
    let served = got.iter().filter(|got| got.status == 200).count();
    assert!(served <= 3, "{served} turns of 50 tokens");
    assert_eq!(replica.requests(), served);
    assert!(got.iter().all(|got| matches!(got.status, 200 | 402)));
}

#[actix_rt::test]
async fn a_planned_stop_finishes_what_is_under_way() {
    let (fleet, replica) = fleet(Script::StreamEndless).await;
    let slow = turn("/resumable/x", "t1", "x").with("luglink-deadline-ms", "1500");
    let address = fleet.gateway_address;
    let under_way = actix_rt::spawn(async move { slow.send(address).await });
    wait_until("it is under way", || async { replica.requests() == 1 }).await;
    let gateway = Rc::clone(&fleet.gateway);
    let stopping = actix_rt::spawn(async move { gateway.stop().await });
    wait_until("no callers are wanted", || async {
        get(fleet.ready_address, "/v1/ready").await.status == 503
    })
    .await;
    assert!(stopping.await.unwrap(), "all ended in time");
    let got = under_way.await.unwrap();
    assert_eq!(got.status, 200);
    assert!(got.body.len() > events(0..10).len(), "it went on");
}

#[actix_rt::test]
async fn callers_are_told_where_to_go() {
    let (fleet, _) = fleet(Script::Answer).await;
    wait_until("the gateway is named", || async {
        let got = get(fleet.resolution_address, "/v1/gateways?zone=here").await;
        got.status == 200 && got.body.contains(&fleet.gateway_address.to_string())
    })
    .await;
    fleet.gateway.stop().await;
    wait_until("it is not named any more", || async {
        get(fleet.resolution_address, "/v1/gateways").await.status == 503
    })
    .await;
}

#[actix_rt::test]
async fn a_configuration_that_breaks_a_rule_is_refused_and_changes_nothing() {
    let (fleet, _) = fleet(Script::Answer).await;
    let to = fleet.operator_address;
    let mut broken = configuration(9);
    broken.routes[0].timeout_ms = 0;
    let body = serde_json::to_vec(&broken).unwrap();
    let got = put(to, "/v1/configuration", body.clone()).await;
    assert_eq!(got.status, 400);
    assert!(got.body.contains("routes[0].timeout_ms"), "{}", got.body);
    let cut = put(to, "/v1/configuration", body[..body.len() / 2].to_vec()).await;
    assert_eq!(cut.status, 400);
    let ask = TestRequest::get("/safe/x", "one");
    assert_eq!(send(&fleet, ask).await.status, 200);
}

#[actix_rt::test]
async fn a_newer_configuration_is_in_force_and_an_older_one_changes_nothing() {
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
async fn members_and_stores_wait_for_a_disk_that_cannot_be_used() {
    let folder = tempfile::tempdir().unwrap();
    // A file where the first member's folder should be stands in for a disk that takes nothing.
    let taken = folder.path().join("member-1");
    std::fs::write(&taken, "in the way").unwrap();
    let replica = Replica::start("r0", Script::Answer).await;
    let fleet = Fleet::start_in(folder, vec![replica]).await;
    // The other two serve; the first one says that it cannot.
    let got = get(fleet.operator_address, "/v1/configuration").await;
    assert_eq!(got.status, 503);
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
async fn a_gateway_finds_members_that_its_settings_name_later() {
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
