//! Streams whose replica stalls move to another replica if the route allows it, and only then. Also
//! covers early hedging and callers that disconnect.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script, event};
use crate::support::{Fleet, configuration, route, wait_until};
use futures_util::future::join_all;
use luglink_edge::{Configuration, RouteKind};
use std::time::{Duration, Instant};

/// Maximum number of rounds until a request is sent to a given replica of two.
const MAX_ROUNDS: usize = 40;

/// Time within which a stream must be complete, including a move.
const MAX_MOVED_TIME: Duration = Duration::from_secs(1);

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

fn complete_stream() -> String {
    (0..5).map(event).collect()
}

async fn request_complete_stream(fleet: &Fleet, id: String) -> TestResponse {
    let began = Instant::now();
    let request = TestRequest::post("/movable/x", &id, "body");
    let response = request.send(fleet.gateway_address).await;
    assert_eq!(
        (response.status, response.is_whole),
        (200, true),
        "{response:?}"
    );
    assert_eq!(response.body, complete_stream());
    assert!(began.elapsed() < MAX_MOVED_TIME, "{:?}", began.elapsed());
    response
}

/// Requests pairs of concurrent streams, which go to different replicas, until one was sent to
/// `replica`. Each must be complete within [`MAX_MOVED_TIME`]. Returns the response to that one.
async fn request_until_sent_to(fleet: &Fleet, replica: &Replica) -> TestResponse {
    for number in 0..MAX_ROUNDS {
        let ids = [format!("a{number}"), format!("b{number}")];
        let requests = ids
            .iter()
            .map(|id| request_complete_stream(fleet, id.clone()));
        let answers = join_all(requests).await;
        let reached = ids.iter().position(|id| {
            let seen = replica.seen.borrow();
            seen.iter().any(|seen| seen.id() == id)
        });
        if let Some(reached) = reached {
            return answers[reached].clone();
        }
    }
    panic!("no request was sent to the replica");
}

/// Sends pairs of concurrent unary requests until one was sent to `replica` and cancelled there.
async fn request_safe_until_sent_to(fleet: &Fleet, replica: &Replica) {
    wait_until("a request is cancelled at the stalled replica", || async {
        let requests = ["late-a", "late-b"].map(|id| TestRequest::get("/safe/x", id));
        let answers = join_all(requests.map(|request| request.send(fleet.gateway_address))).await;
        assert!(
            answers.iter().all(|response| response.status == 200),
            "{answers:?}"
        );
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

/// Returns the number of requests that the gateway cancelled at a stalled replica.
fn cancelled_runs(replica: &Replica) -> usize {
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
async fn stream_at_a_stalled_replica_moves_to_another_one() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Stream]).await;
    let response = request_until_sent_to(&fleet, &replicas[0]).await;
    let signature = response.header("luglink-signature").unwrap();
    assert!(signature.ends_with("-by-r1"), "{signature}");
    assert_eq!(cancelled_runs(&replicas[0]), replicas[0].requests());
    let moved = metric(&fleet, "luglink_moves_total{route=\"movable\"}").await;
    assert_eq!(moved, replicas[0].requests() as f64);
    assert_eq!(metric(&fleet, "luglink_move_seconds_count").await, moved);
}

#[actix_rt::test]
async fn stream_that_stalls_resumes_elsewhere_after_its_last_event() {
    let (fleet, replicas) = fleet(&[Script::StreamStalled(2), Script::Stream]).await;
    let response = request_until_sent_to(&fleet, &replicas[0]).await;
    let signature = response.header("luglink-signature").unwrap();
    assert!(signature.ends_with("-by-r0"), "{signature}");
    assert_eq!(replicas[1].last().headers["last-event-id"], "1");
    assert_eq!(cancelled_runs(&replicas[0]), replicas[0].requests());
}

#[actix_rt::test]
async fn moved_stream_skips_a_replica_that_declines() {
    for stalled in [Script::Mute, Script::StreamStalled(2)] {
        let scripts = [stalled, Script::Decline, Script::Stream];
        let (fleet, replicas) = fleet(&scripts).await;
        request_until_sent_to(&fleet, &replicas[0]).await;
    }
}

#[actix_rt::test]
async fn stream_runs_at_no_more_replicas_than_the_route_allows() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Mute, Script::Mute]).await;
    let to = fleet.gateway_address;
    let request = |path: &str, id: &str| {
        // Runs that replicas never answered count for later attempts of the same request.
        TestRequest::post(path, id, id).with("luglink-deadline-ms", 1_500)
    };
    let response = request("/movable/x", "twice").send(to).await;
    assert_eq!((response.status, runs_of(&replicas, "twice")), (504, 2));
    let response = request("/once/x", "once").send(to).await;
    assert_eq!((response.status, runs_of(&replicas, "once")), (504, 1));
    // The route is resumable but allows a single attempt.
    let response = request("/resumable/x", "single").send(to).await;
    assert_eq!((response.status, runs_of(&replicas, "single")), (504, 1));
    for replica in &replicas {
        replica.set_script(Script::StreamStalled(2));
    }
    for (path, id, allowed) in [("/movable/x", "two", 2), ("/resumable/x", "one", 1)] {
        let response = request(path, id).send(to).await;
        assert!(!response.is_whole);
        assert_eq!(runs_of(&replicas, id), allowed, "{path}");
    }
}

#[actix_rt::test]
async fn stream_that_cannot_meet_its_deadline_is_refused_before_it_is_sent() {
    let (fleet, replicas) = fleet(&[Script::Stream]).await;
    let to = fleet.gateway_address;
    for number in 0..30 {
        let request = TestRequest::post("/movable/x", &format!("m{number}"), "body");
        assert_eq!(request.send(to).await.status, 200);
    }
    let late =
        |path: &str, id: &str| TestRequest::post(path, id, "body").with("luglink-deadline-ms", 1);
    let response = late("/movable/x", "late").send(to).await;
    assert_eq!((response.status, runs_of(&replicas, "late")), (503, 0));
    assert!(response.header("retry-after").is_some());
    let hopeless = "luglink_hopeless_total{route=\"movable\"}";
    assert_eq!(metric(&fleet, hopeless).await, 1.0);
    late("/resumable/x", "other").send(to).await;
    assert_eq!(metric(&fleet, hopeless).await, 1.0);
}

#[actix_rt::test]
async fn request_is_hedged_early_when_its_response_is_unusually_late() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    let to = fleet.gateway_address;
    for number in 0..40 {
        let request = TestRequest::get("/safe/x", &format!("s{number}"));
        assert_eq!(request.send(to).await.status, 200);
    }
    replicas[0].set_script(Script::Mute);
    request_safe_until_sent_to(&fleet, &replicas[0]).await;
    let early = metric(&fleet, "luglink_hedges_total{when=\"early\"}").await;
    assert!(early >= 1.0, "{early}");
}

#[actix_rt::test]
async fn requests_are_not_hedged_early_where_no_stream_may_move() {
    let (fleet, replicas) = fleet_with(configuration(1), &[Script::Answer, Script::Answer]).await;
    let to = fleet.gateway_address;
    for number in 0..40 {
        let request = TestRequest::get("/safe/x", &format!("s{number}"));
        assert_eq!(request.send(to).await.status, 200);
    }
    replicas[0].set_script(Script::Mute);
    request_safe_until_sent_to(&fleet, &replicas[0]).await;
    let early = metric(&fleet, "luglink_hedges_total{when=\"early\"}").await;
    assert_eq!(early, 0.0);
}

#[actix_rt::test]
async fn callers_that_disconnect_before_their_response_are_counted() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let to = fleet.gateway_address;
    let pending = actix_rt::spawn(TestRequest::post("/once/x", "one", "body").send(to));
    wait_until("the replica has the request", || async {
        replicas[0].requests() == 1
    })
    .await;
    // Dropping the task closes the caller's connection.
    pending.abort();
    let series = "luglink_callers_gone_total{awaited=\"answer\"}";
    wait_until("the disconnect is counted", || async {
        metric(&fleet, series).await == 1.0
    })
    .await;
}
