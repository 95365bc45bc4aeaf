//! Turns whose streams callers resume are kept with their whole output, or not at all.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script, event};
use crate::support::{Fleet, configuration, route, wait_until};
use luglink_edge::{Configuration, RouteKind};
use std::net::SocketAddr;

const WHOLE_OUTPUT: &str = "word0\nword1\nword2\nword3\nword4\n";

/// Returns a configuration with a route whose turns may be resumed.
fn configuration_with_resumable_turns() -> Configuration {
    let mut configuration = configuration(1);
    let mut turns = route("/turns/", RouteKind::Streaming);
    turns.keeps_history = true;
    turns.resumable = true;
    turns.max_attempts = 1;
    turns.timeout_ms = 60_000;
    configuration.routes.push(turns);
    configuration
}

async fn fleet(replica: &Replica) -> Fleet {
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration_with_resumable_turns()).await;
    fleet
}

fn events(numbers: std::ops::Range<usize>) -> String {
    numbers.map(event).collect()
}

fn turn(id: &str, input: &str) -> TestRequest {
    TestRequest::post("/turns/x", id, input)
        .with("luglink-program", "program")
        .with("luglink-session", "session")
        .with("luglink-token-usage", "100,50")
        .with("luglink-deadline-ms", 60_000)
}

fn resuming(stream: &str, request: TestRequest, last_event: usize) -> TestRequest {
    request
        .with("luglink-resumes", stream)
        .with("last-event-id", last_event)
}

/// Sends a request whose replica stalls before event `end`, and disconnects once all earlier events of it
/// have arrived. Returns them. The replica sends all events of later requests.
async fn abandon(replica: &Replica, request: TestRequest, to: SocketAddr, end: usize) -> String {
    let (_, id) = request.headers[0].clone();
    replica.set_script(Script::StreamStalled(end));
    let last = request
        .headers
        .iter()
        .find(|(name, _)| *name == "last-event-id");
    let first = last.map_or(0, |(_, last)| last.parse::<usize>().unwrap() + 1);
    let received = request.send_and_disconnect_after(to, end - first).await;
    replica.set_script(Script::Stream);
    wait_until("the request is cancelled", || async {
        replica.has_cancelled(&id)
    })
    .await;
    received
}

/// Sends a turn that continues `previous`, and returns its prompt.
async fn next_prompt(replica: &Replica, previous: &str, to: SocketAddr) -> String {
    let id = format!("after-{previous}");
    let next = turn(&id, "next").with("luglink-previous-turn", previous);
    let response = next.send(to).await;
    assert_eq!((response.status, response.is_whole), (200, true));
    String::from_utf8(replica.last().body).unwrap()
}

fn assert_whole(response: &TestResponse, numbers: std::ops::Range<usize>) {
    let whole = (response.status, response.is_whole, response.body.as_str());
    assert_eq!(whole, (200, true, events(numbers).as_str()), "{response:?}");
}

fn assert_refused(response: &TestResponse, retry_after: Option<&str>) {
    let refusal = (response.status, response.header("retry-after"));
    assert_eq!(refusal, (503, retry_after), "{response:?}");
}

/// Guards against turns that are kept with the events of their last attempt only.
#[actix_rt::test]
async fn a_turn_that_its_caller_resumes_is_kept_with_its_whole_output() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&replica).await;
    let (_second, other) = fleet.start_ready_second_gateway().await;
    for (name, to) in [("here", fleet.gateway_address), ("elsewhere", other)] {
        let resumed = format!("resumed-{name}");
        let received = abandon(&replica, turn(name, "first "), fleet.gateway_address, 2).await;
        assert_eq!(received, events(0..2));
        let request = resuming(name, turn(&resumed, "first "), 1);
        assert_whole(&request.send(to).await, 2..5);
        assert_eq!(replica.last().headers["last-event-id"], "1");
        for gateway in [fleet.gateway_address, other] {
            let prompt = next_prompt(&replica, &resumed, gateway).await;
            assert_eq!(prompt, format!("first {WHOLE_OUTPUT}next"), "{name}");
        }
    }
}

/// Guards against later turns of a chain, and turns that are resumed again, that lose an earlier part.
#[actix_rt::test]
async fn a_later_turn_that_is_resumed_twice_is_kept_whole_whichever_attempt_is_named() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&replica).await;
    let (_second, other) = fleet.start_ready_second_gateway().await;
    assert_whole(&turn("root", "root ").send(other).await, 0..5);
    for named in ["first", "latest"] {
        let id = |attempt: &str| format!("{attempt}-{named}");
        let later =
            |attempt: &str| turn(&id(attempt), "later ").with("luglink-previous-turn", "root");
        abandon(&replica, later("first"), fleet.gateway_address, 2).await;
        let second = resuming(&id("first"), later("latest"), 1);
        let received = abandon(&replica, second, other, 4).await;
        assert_eq!(received, events(2..4));
        let third = resuming(&id(named), later("third"), 3);
        assert_whole(&third.send(fleet.gateway_address).await, 4..5);
        assert_eq!(replica.last().headers["last-event-id"], "3");
        let prompt = next_prompt(&replica, &id("third"), other).await;
        let expected = format!("root {WHOLE_OUTPUT}later {WHOLE_OUTPUT}next");
        assert_eq!(prompt, expected, "{named}");
    }
}

/// Guards against events that a gateway has passed on but its caller has not received.
#[actix_rt::test]
async fn a_turn_goes_on_after_the_last_event_that_its_caller_has() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&replica).await;
    for last in 0..5 {
        let (began, resumed) = (format!("began-{last}"), format!("resumed-{last}"));
        abandon(&replica, turn(&began, "first "), fleet.gateway_address, 5).await;
        let request = resuming(&began, turn(&resumed, "first "), last);
        assert_whole(&request.send(fleet.gateway_address).await, last + 1..5);
        let prompt = next_prompt(&replica, &resumed, fleet.gateway_address).await;
        assert_eq!(prompt, format!("first {WHOLE_OUTPUT}next"));
    }
}

/// Guards against a turn whose stream breaks at its replica and resumes within one response.
#[actix_rt::test]
async fn a_turn_that_resumes_within_one_response_is_kept_whole() {
    let replica = Replica::start("r0", Script::StreamCutOnce(3)).await;
    let fleet = fleet(&replica).await;
    assert_whole(
        &turn("t1", "first ").send(fleet.gateway_address).await,
        0..5,
    );
    assert_eq!(replica.last().headers["last-event-id"], "2");
    let prompt = next_prompt(&replica, "t1", fleet.gateway_address).await;
    assert_eq!(prompt, format!("first {WHOLE_OUTPUT}next"));
}

/// Guards against turns that run although their beginning is not known.
#[actix_rt::test]
async fn a_turn_whose_beginning_is_not_known_is_refused_at_once() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&replica).await;
    abandon(&replica, turn("began", "first "), fleet.gateway_address, 3).await;
    let requests = replica.requests();
    let unnamed = turn("unnamed", "first ").with("last-event-id", 1);
    let not_ascii = resuming("began", turn("not-ascii", "first "), 0).with("last-event-id", "é");
    let never_seen = resuming("never-seen", turn("unknown", "first "), 1);
    let other_input = resuming("began", turn("other-input", "other "), 1);
    let mut not_resumable = resuming("began", turn("not-resumable", "first "), 1);
    not_resumable.path = "/kept/x".to_owned();
    for request in [unnamed, not_ascii, never_seen, other_input, not_resumable] {
        let response = request.send(fleet.gateway_address).await;
        assert_refused(&response, None);
    }
    assert_eq!(replica.requests(), requests);
    let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    for reason in ["unnamed", "unknown_event", "not_found", "not_resumable"] {
        let count = format!("luglink_turn_resumptions_total{{output=\"{reason}\"}}");
        assert!(metrics.body.contains(&count), "{reason}");
    }
}

/// Guards against a response that ends as complete although the event that its caller names never came.
#[actix_rt::test]
async fn a_turn_resumed_after_an_event_that_never_was_does_not_end_as_complete() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = fleet(&replica).await;
    abandon(&replica, turn("began", "first "), fleet.gateway_address, 3).await;
    let request = resuming("began", turn("resumed", "first "), 7);
    let response = request.send(fleet.gateway_address).await;
    assert_eq!((response.is_whole, response.body.as_str()), (false, ""));
    let next = turn("next", "next").with("luglink-previous-turn", "resumed");
    assert_eq!(next.send(fleet.gateway_address).await.status, 404);
}

/// Returns the number of parts of outputs that a store has taken.
async fn recorded_outputs(metrics: SocketAddr) -> u64 {
    let body = get(metrics, "/metrics").await.body;
    let line = body.lines().find_map(|line| {
        line.strip_prefix("luglink_store_requests_total{kind=\"record_output\"} ")
    });
    line.map_or(0, |count| count.parse().unwrap())
}

/// Guards against a record that ends before the last event that the caller has, and against tokens that
/// count twice.
#[actix_rt::test]
async fn a_turn_is_kept_whole_when_its_record_ends_before_the_last_event_of_its_caller() {
    let replica = Replica::start("r0", Script::StreamStepwise).await;
    let fleet = Fleet::start_behind_proxies(vec![replica.clone()]).await;
    fleet.configure(&configuration_with_resumable_turns()).await;
    // Two turns of 50 tokens.
    let turn = |id: &str, input: &str| turn(id, input).with("luglink-token-budget", 100);
    let receiving = turn("began", "first ").send_and_disconnect_after(fleet.gateway_address, 3);
    let sending = async {
        replica.steps.add_permits(1);
        for store in &fleet.storage.stores {
            let metrics = store.metrics_address.unwrap();
            wait_until("the first event is recorded", || async {
                recorded_outputs(metrics).await > 0
            })
            .await;
        }
        for proxy in &fleet.store_proxies {
            proxy.silence_from(0);
        }
        replica.steps.add_permits(2);
    };
    let stepping = async {
        sending.await;
        std::future::pending::<()>().await;
    };
    let received = tokio::select! {
        received = receiving => received,
        () = stepping => unreachable!(),
    };
    assert_eq!(received, events(0..3));
    wait_until("the request is cancelled", || async {
        replica.has_cancelled("began")
    })
    .await;
    for proxy in &fleet.store_proxies {
        proxy.lose_held();
    }
    replica.set_script(Script::Stream);
    wait_until("the turn is resumed", || async {
        let request = resuming("began", turn("resumed", "first "), 2);
        let response = request.send(fleet.gateway_address).await;
        if response.status == 200 {
            assert_whole(&response, 3..5);
        }
        response.status == 200
    })
    .await;
    assert_eq!(replica.last().headers["last-event-id"], "0");
    wait_until("the tokens of the first attempt are settled", || async {
        let next = turn("next", "next").with("luglink-previous-turn", "resumed");
        next.send(fleet.gateway_address).await.status == 200
    })
    .await;
    let prompt = String::from_utf8(replica.last().body).unwrap();
    assert_eq!(prompt, format!("first {WHOLE_OUTPUT}next"));
    let beyond = turn("beyond", "x").with("luglink-previous-turn", "next");
    assert_eq!(beyond.send(fleet.gateway_address).await.status, 402);
}

/// Guards against a resumption that waits for stores which do not answer.
#[actix_rt::test]
async fn a_turn_is_refused_while_no_store_can_tell_its_beginning() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start_behind_proxies(vec![replica.clone()]).await;
    fleet.configure(&configuration_with_resumable_turns()).await;
    abandon(&replica, turn("began", "first "), fleet.gateway_address, 3).await;
    for proxy in &fleet.store_proxies {
        proxy.silence_from(0);
    }
    let resume = |id: &str| resuming("began", turn(id, "first "), 2).send(fleet.gateway_address);
    assert_refused(&resume("early").await, Some("0.800"));
    assert_eq!(replica.requests(), 1);
    for proxy in &fleet.store_proxies {
        proxy.restore();
    }
    wait_until("the turn is resumed", || async {
        let response = resume("late").await;
        response.status == 200 && response.is_whole
    })
    .await;
    let prompt = next_prompt(&replica, "late", fleet.gateway_address).await;
    assert_eq!(prompt, format!("first {WHOLE_OUTPUT}next"));
}
