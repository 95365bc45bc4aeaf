//! Streams whose replicas keep silent: they go on at another replica where the route allows it,
//! and nowhere else.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script, event};
use crate::support::{Fleet, configuration, route, wait_until};
use futures_util::future::join_all;
use luglink_edge::{Configuration, RouteKind};
use std::time::{Duration, Instant};

/// Requests that may be sent before one meets a certain replica of two.
const MOST_REQUESTS: usize = 40;

/// Time within which a stream that moves has its whole answer.
const SOON: Duration = Duration::from_secs(1);

fn configuration_with_moves() -> Configuration {
    let mut configuration = configuration(1);
    let mut movable = route("/movable/", RouteKind::Streaming);
    movable.resumable = true;
    movable.gap_aim_ms = Some(300);
    let once = route("/once/", RouteKind::Streaming);
    configuration.routes.extend([movable, once]);
    configuration
}

async fn fleet_with(configuration: Configuration, scripts: &[Script]) -> (Fleet, Vec<Replica>) {
    let mut replicas = Vec::new();
    for (number, script) in scripts.iter().enumerate() {
        replicas.push(Replica::start(&format!("r{number}"), script.clone()).await);
    }
    let fleet = Fleet::start(replicas.clone()).await;
    fleet.configure(&configuration).await;
    (fleet, replicas)
}

async fn fleet(scripts: &[Script]) -> (Fleet, Vec<Replica>) {
    fleet_with(configuration_with_moves(), scripts).await
}

fn whole_stream() -> String {
    (0..5).map(event).collect()
}

async fn ask_whole(fleet: &Fleet, id: String) -> TestResponse {
    let began = Instant::now();
    let ask = TestRequest::post("/movable/x", &id, "body");
    let got = ask.send(fleet.gateway_address).await;
    assert_eq!((got.status, got.is_whole), (200, true), "{got:?}");
    assert_eq!(got.body, whole_stream());
    assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    got
}

/// Sends streams, two at once so that they go to different replicas, until one was sent to
/// `replica`. Each must be answered soon and whole. Returns the answer of that one.
async fn ask_until_met(fleet: &Fleet, replica: &Replica) -> TestResponse {
    for number in 0..MOST_REQUESTS {
        let ids = [format!("a{number}"), format!("b{number}")];
        let asks = ids.iter().map(|id| ask_whole(fleet, id.clone()));
        let answers = join_all(asks).await;
        let met = ids.iter().position(|id| {
            let seen = replica.seen.borrow();
            seen.iter().any(|seen| seen.id() == id)
        });
        if let Some(met) = met {
            return answers[met].clone();
        }
    }
    panic!("no request met the replica");
}

/// Sends requests with one whole answer, two at once, until one was sent to `replica`.
async fn ask_safe_until_met(fleet: &Fleet, replica: &Replica) {
    wait_until("a request met the silent replica", || async {
        let asks = ["late-a", "late-b"].map(|id| TestRequest::get("/safe/x", id));
        let answers = join_all(asks.map(|ask| ask.send(fleet.gateway_address))).await;
        assert!(answers.iter().all(|got| got.status == 200), "{answers:?}");
        replica.closed.get() > 0
    })
    .await;
}

fn runs_of(replicas: &[Replica], id: &str) -> usize {
    let seen = replicas.iter().map(|replica| {
        let seen = replica.seen.borrow();
        seen.iter().filter(|seen| seen.id() == id).count()
    });
    seen.sum()
}

/// Requests that a silent replica need not work on any more.
fn runs_freed(replica: &Replica) -> usize {
    replica.closed.get() as usize
}

async fn metric(fleet: &Fleet, series: &str) -> f64 {
    let text = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    let mut lines = text.body.lines();
    let value = lines.find_map(|line| line.strip_prefix(series));
    value
        .and_then(|rest| rest.trim().parse().ok())
        .unwrap_or(0.0)
}

#[actix_rt::test]
async fn a_stream_at_a_silent_replica_is_answered_by_another_one() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Stream]).await;
    let got = ask_until_met(&fleet, &replicas[0]).await;
    let signature = got.header("luglink-signature").unwrap();
    assert!(signature.ends_with("-by-r1"), "{signature}");
    assert_eq!(runs_freed(&replicas[0]), replicas[0].requests());
    let moved = metric(&fleet, "luglink_moves_total{route=\"movable\"}").await;
    assert_eq!(moved, replicas[0].requests() as f64);
    assert_eq!(metric(&fleet, "luglink_move_seconds_count").await, moved);
}

#[actix_rt::test]
async fn a_stream_that_falls_silent_goes_on_after_its_last_event() {
    let (fleet, replicas) = fleet(&[Script::StreamSilent(2), Script::Stream]).await;
    let got = ask_until_met(&fleet, &replicas[0]).await;
    let signature = got.header("luglink-signature").unwrap();
    assert!(signature.ends_with("-by-r0"), "{signature}");
    assert_eq!(replicas[1].last().headers["last-event-id"], "1");
    assert_eq!(runs_freed(&replicas[0]), replicas[0].requests());
}

#[actix_rt::test]
async fn a_replica_that_declines_a_moved_stream_is_passed_over() {
    for silent in [Script::Mute, Script::StreamSilent(2)] {
        let scripts = [silent, Script::Decline, Script::Stream];
        let (fleet, replicas) = fleet(&scripts).await;
        ask_until_met(&fleet, &replicas[0]).await;
    }
}

#[actix_rt::test]
async fn never_more_replicas_than_the_route_allows() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Mute, Script::Mute]).await;
    let to = fleet.gateway_address;
    let ask = |path: &str, id: &str| {
        TestRequest::post(path, id, "body").with("luglink-deadline-ms", 1_500)
    };
    let got = ask("/movable/x", "twice").send(to).await;
    assert_eq!((got.status, runs_of(&replicas, "twice")), (504, 2));
    let got = ask("/once/x", "once").send(to).await;
    assert_eq!((got.status, runs_of(&replicas, "once")), (504, 1));
    // Resumable, with one attempt.
    let got = ask("/resumable/x", "single").send(to).await;
    assert_eq!((got.status, runs_of(&replicas, "single")), (504, 1));
    for replica in &replicas {
        replica.set_script(Script::StreamSilent(2));
    }
    for (path, id, allowed) in [("/movable/x", "two", 2), ("/resumable/x", "one", 1)] {
        let got = ask(path, id).send(to).await;
        assert!(!got.is_whole);
        assert_eq!(runs_of(&replicas, id), allowed, "{path}");
    }
}

#[actix_rt::test]
async fn a_stream_without_time_for_any_replica_is_refused_before_it_is_sent() {
    let (fleet, replicas) = fleet(&[Script::Stream]).await;
    let to = fleet.gateway_address;
    for number in 0..30 {
        let ask = TestRequest::post("/movable/x", &format!("m{number}"), "body");
        assert_eq!(ask.send(to).await.status, 200);
    }
    let late =
        |path: &str, id: &str| TestRequest::post(path, id, "body").with("luglink-deadline-ms", 1);
    let got = late("/movable/x", "late").send(to).await;
    assert_eq!((got.status, runs_of(&replicas, "late")), (503, 0));
    assert!(got.header("retry-after").is_some());
    let hopeless = "luglink_hopeless_total{route=\"movable\"}";
    assert_eq!(metric(&fleet, hopeless).await, 1.0);
    late("/resumable/x", "other").send(to).await;
    assert_eq!(metric(&fleet, hopeless).await, 1.0);
}

#[actix_rt::test]
async fn a_second_replica_is_asked_as_soon_as_an_answer_is_unusually_late() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    let to = fleet.gateway_address;
    for number in 0..40 {
        let ask = TestRequest::get("/safe/x", &format!("s{number}"));
        assert_eq!(ask.send(to).await.status, 200);
    }
    replicas[0].set_script(Script::Mute);
    ask_safe_until_met(&fleet, &replicas[0]).await;
    let early = metric(&fleet, "luglink_hedges_total{when=\"early\"}").await;
    assert!(early >= 1.0, "{early}");
}

#[actix_rt::test]
async fn second_sends_keep_their_time_where_no_stream_may_move() {
    let (fleet, replicas) = fleet_with(configuration(1), &[Script::Answer, Script::Answer]).await;
    let to = fleet.gateway_address;
    for number in 0..40 {
        let ask = TestRequest::get("/safe/x", &format!("s{number}"));
        assert_eq!(ask.send(to).await.status, 200);
    }
    replicas[0].set_script(Script::Mute);
    ask_safe_until_met(&fleet, &replicas[0]).await;
    let early = metric(&fleet, "luglink_hedges_total{when=\"early\"}").await;
    assert_eq!(early, 0.0);
}

#[actix_rt::test]
async fn callers_that_leave_before_their_answer_are_counted() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let to = fleet.gateway_address;
    let asking = actix_rt::spawn(TestRequest::post("/once/x", "one", "body").send(to));
    wait_until("the replica has it", || async {
        replicas[0].requests() == 1
    })
    .await;
    // Dropping the task closes the caller's connection.
    asking.abort();
    let series = "luglink_callers_gone_total{awaited=\"answer\"}";
    wait_until("it is counted", || async {
        metric(&fleet, series).await == 1.0
    })
    .await;
}
