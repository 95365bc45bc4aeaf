//! Misbehaving replicas: only a complete response to the caller's own request is passed on as a
//! success, and a request that may have run is run again only if its route allows it.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};

async fn fleet(scripts: &[Script]) -> (Fleet, Vec<Replica>) {
    let mut replicas = Vec::new();
    for (number, script) in scripts.iter().enumerate() {
        replicas.push(Replica::start(&format!("r{number}"), script.clone()).await);
    }
    let fleet = Fleet::start(replicas.clone()).await;
    fleet.configure(&configuration(1)).await;
    (fleet, replicas)
}

fn runs(replicas: &[Replica]) -> usize {
    replicas.iter().map(Replica::requests).sum()
}

/// Sends an unsafe request with a path of its own: attempts of one request are limited together while
/// replicas may have ended under some of them.
async fn send_unsafe(fleet: &Fleet, id: &str) -> TestResponse {
    TestRequest::post(&format!("/unsafe/{id}"), id, "body")
        .send(fleet.gateway_address)
        .await
}

/// The same for a safe request.
async fn send_safe(fleet: &Fleet, id: &str) -> TestResponse {
    TestRequest::get(&format!("/safe/{id}"), id)
        .send(fleet.gateway_address)
        .await
}

#[actix_rt::test]
async fn request_and_response_are_forwarded_unchanged() {
    let (fleet, replicas) = fleet(&[Script::Answer]).await;
    let response = TestRequest::post("/unsafe/a%20b?c=d", "one", "the body")
        .with("x-own", "kept")
        .with("connection", "x-hop")
        .with("x-hop", "dropped")
        .send(fleet.gateway_address)
        .await;
    assert_eq!((response.status, response.is_whole), (200, true));
    assert_eq!(response.body, "answer of r0 to one");
    assert_eq!(response.header("luglink-signature"), Some("of-one"));
    assert_eq!(response.header("x-kept"), Some("as it is"));
    let seen = replicas[0].last();
    assert_eq!(seen.target, "POST /unsafe/a%20b?c=d HTTP/1.1");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.headers["x-own"], "kept");
    assert!(!seen.headers.contains_key("x-hop"));
    assert_eq!(seen.headers["luglink-expected-replica"], "r0");
    let left: u64 = seen.headers["luglink-deadline-ms"].parse().unwrap();
    assert!(left <= 3_000);
}

#[actix_rt::test]
async fn invalid_responses_never_reach_a_caller_as_a_success_and_are_not_retried() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    let scripts = [
        Script::Cut,
        Script::Foreign,
        Script::Unsigned,
        Script::Encoded,
        Script::Noise,
        Script::Close,
    ];
    for (number, script) in scripts.iter().enumerate() {
        for replica in &replicas {
            replica.set_script(script.clone());
        }
        let before = runs(&replicas);
        let response = send_unsafe(&fleet, &format!("u{number}")).await;
        assert_eq!(response.status, 502, "{script:?}");
        assert_eq!(response.header("luglink-signature"), None, "{script:?}");
        assert_eq!(runs(&replicas), before + 1, "{script:?}");
    }
}

/// Guards against a caller that gets a response whose status no response has.
#[actix_rt::test]
async fn a_response_with_an_impossible_status_is_none() {
    let statuses = [
        "000 X",
        "099 X",
        "0 X",
        "abc X",
        "-20 X",
        "101 Switching Protocols",
        "103 Early Hints",
        "199 X",
        "600 X",
        "999 X",
        "1000 X",
    ];
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    for (number, status) in statuses.into_iter().enumerate() {
        replicas[0].set_script(Script::Status(status));
        replicas[1].set_script(Script::Status(status));
        let before = runs(&replicas);
        let id = format!("u{number}");
        let request = TestRequest::get(&format!("/unsafe/{number}"), &id);
        let request = request.with("luglink-deadline-ms", 500);
        let response = request.send(fleet.gateway_address).await;
        assert!(
            matches!(response.status, 502 | 504),
            "{status}: {response:?}"
        );
        assert_eq!(response.header("luglink-signature"), None, "{status}");
        assert_eq!(runs(&replicas), before + 1, "{status}");
        replicas[1].set_script(Script::Answer);
        let request = TestRequest::get(&format!("/safe/{number}"), &format!("s{number}"));
        let response = request.send(fleet.gateway_address).await;
        assert_eq!(response.status, 200, "{status}");
        assert_eq!(
            response.body,
            format!("answer of r1 to s{number}"),
            "{status}"
        );
    }
}

/// The same for streams, with a status under which a body of events would be passed on.
#[actix_rt::test]
async fn a_stream_with_an_impossible_status_is_not_passed_on() {
    let (fleet, replicas) = fleet(&[Script::Answer]).await;
    for (number, status) in ["101 X", "199 X", "600 X", "999 X"].into_iter().enumerate() {
        replicas[0].set_script(Script::Status(status));
        let turn = TestRequest::post(&format!("/kept/{number}"), &format!("t{number}"), "input")
            .with("luglink-program", "program")
            .with("luglink-session", "session")
            .with("luglink-token-usage", "100,50")
            .with("luglink-deadline-ms", 500);
        let response = turn.send(fleet.gateway_address).await;
        assert!(
            matches!(response.status, 502 | 504),
            "{status}: {response:?}"
        );
        assert_eq!(response.header("luglink-signature"), None, "{status}");
    }
}

#[actix_rt::test]
async fn repeatable_request_is_retried_at_another_replica() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    for (number, script) in [Script::Cut, Script::Foreign, Script::Close]
        .iter()
        .enumerate()
    {
        replicas[0].set_script(script.clone());
        for round in 0..4 {
            let id = format!("s{number}-{round}");
            let response = send_safe(&fleet, &id).await;
            assert_eq!(response.status, 200, "{script:?}");
            assert_eq!(response.body, format!("answer of r1 to {id}"));
        }
    }
}

#[actix_rt::test]
async fn surplus_response_is_not_used_for_the_next_request() {
    let (fleet, _) = fleet(&[Script::Extra]).await;
    for number in 0..6 {
        let id = format!("n{number}");
        let response = send_unsafe(&fleet, &id).await;
        if response.status == 200 {
            assert_eq!(response.body, format!("answer of r0 to {id}"));
        } else {
            assert_eq!(response.status, 502);
        }
    }
}

#[actix_rt::test]
async fn response_without_a_length_ends_with_its_connection() {
    let (fleet, replicas) = fleet(&[Script::Unframed]).await;
    let response = send_unsafe(&fleet, "one").await;
    assert_eq!((response.status, response.is_whole), (200, true));
    assert_eq!(response.body, "answer of r0 to one");
    let before = replicas[0].accepted.get();
    send_unsafe(&fleet, "two").await;
    assert_eq!(
        replicas[0].accepted.get(),
        before + 1,
        "the connection was reused"
    );
}

#[actix_rt::test]
async fn response_before_the_end_of_the_body_does_not_corrupt_the_next_request() {
    let (fleet, replicas) = fleet(&[Script::Early]).await;
    let body = vec![b'x'; 600_000];
    let response = TestRequest::post("/unsafe/x", "one", body.clone())
        .send(fleet.gateway_address)
        .await;
    assert_eq!((response.status, response.is_whole), (200, true));
    replicas[0].set_script(Script::Answer);
    let response = send_unsafe(&fleet, "two").await;
    assert_eq!(response.body, "answer of r0 to two");
    assert_eq!(replicas[0].last().id(), "two");
}

#[actix_rt::test]
async fn declined_request_is_sent_to_another_replica() {
    let (fleet, replicas) = fleet(&[Script::Decline, Script::Answer]).await;
    for number in 0..6 {
        let response = send_unsafe(&fleet, &format!("d{number}")).await;
        assert_eq!(response.status, 200);
    }
    replicas[0].set_script(Script::Misdirected);
    for number in 0..6 {
        let response = send_unsafe(&fleet, &format!("m{number}")).await;
        assert_eq!(response.status, 200);
    }
    replicas[1].set_script(Script::Decline);
    replicas[0].set_script(Script::Decline);
    let response = send_unsafe(&fleet, "all").await;
    assert_eq!(response.status, 503);
    let pause: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(pause > 0.0);
}

#[actix_rt::test]
async fn request_waits_for_capacity_instead_of_being_refused() {
    let (fleet, replicas) = fleet(&[Script::Decline, Script::Decline]).await;
    let pending = send_unsafe(&fleet, "patient");
    let restoring_capacity = async {
        // A replica that has received the request has declined it.
        crate::support::wait_until("both replicas received the request", || async {
            replicas.iter().all(|replica| replica.requests() > 0)
        })
        .await;
        replicas[0].set_script(Script::Answer);
    };
    let (response, ()) = futures_util::future::join(pending, restoring_capacity).await;
    assert_eq!(response.status, 200);
}

#[actix_rt::test]
async fn draining_replica_gets_no_more_requests() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    replicas[0].is_draining.set(true);
    crate::support::wait_until("the gateway knows of the draining", || async {
        let before = replicas[0].requests();
        for number in 0..8 {
            send_safe(&fleet, &format!("p{number}")).await;
        }
        replicas[0].requests() == before
    })
    .await;
    let before = replicas[0].requests();
    for number in 0..20 {
        assert_eq!(send_safe(&fleet, &format!("q{number}")).await.status, 200);
    }
    assert_eq!(replicas[0].requests(), before);
}

#[actix_rt::test]
async fn request_is_cancelled_at_the_replica_when_its_caller_disconnects() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let to = fleet.gateway_address;
    let pending = actix_rt::spawn(TestRequest::post("/unsafe/x", "one", "body").send(to));
    crate::support::wait_until("the replica has the request", || async {
        replicas[0].requests() == 1
    })
    .await;
    // Dropping the task closes the caller's connection.
    pending.abort();
    crate::support::wait_until("the unary request is cancelled", || async {
        replicas[0].has_cancelled("one")
    })
    .await;
    replicas[0].set_script(Script::StreamEndless);
    let request = TestRequest::post("/resumable/x", "two", "body");
    request.send_and_disconnect(to).await;
    crate::support::wait_until("the stream is cancelled", || async {
        replicas[0].has_cancelled("two")
    })
    .await;
}

#[actix_rt::test]
async fn request_at_a_stalled_replica_ends_at_its_deadline() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let response = TestRequest::get("/safe/x", "one")
        .with("luglink-deadline-ms", "1")
        .send(fleet.gateway_address)
        .await;
    assert!(matches!(response.status, 503 | 504), "{response:?}");
    assert!(replicas[0].requests() <= 1);
}

#[actix_rt::test]
async fn repeatable_request_at_a_stalled_replica_is_hedged() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Answer]).await;
    for number in 0..6 {
        let id = format!("s{number}");
        let response = send_safe(&fleet, &id).await;
        assert_eq!(response.status, 200, "{id}");
        assert_eq!(response.body, format!("answer of r1 to {id}"));
    }
    // A request that is not repeatable waits for its replica and runs nowhere else.
    replicas[1].set_script(Script::Mute);
    let before = runs(&replicas);
    let response = TestRequest::post("/unsafe/x", "u", "body")
        .with("luglink-deadline-ms", "900")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(response.status, 504);
    assert_eq!(runs(&replicas), before + 1);
    // The route's limit of attempts holds even if all replicas stall.
    let before = runs(&replicas);
    let response = TestRequest::get("/safe/x", "both")
        .with("luglink-deadline-ms", "1500")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(response.status, 504);
    assert_eq!(runs(&replicas), before + 2);
}

#[actix_rt::test]
async fn server_error_is_retried_if_repeatable_and_otherwise_passed_on() {
    let (fleet, replicas) = fleet(&[Script::Fail, Script::Answer]).await;
    for number in 0..6 {
        assert_eq!(send_safe(&fleet, &format!("s{number}")).await.status, 200);
    }
    replicas[1].set_script(Script::Fail);
    let response = send_safe(&fleet, "all").await;
    assert_eq!((response.status, response.body.as_str()), (500, "oops"));
    assert_eq!(response.header("luglink-signature"), Some("of-all"));
    let before = runs(&replicas);
    let response = send_unsafe(&fleet, "once").await;
    assert_eq!((response.status, response.body.as_str()), (500, "oops"));
    assert_eq!(response.header("luglink-signature"), Some("of-once"));
    assert_eq!(runs(&replicas), before + 1);
}

#[actix_rt::test]
async fn invalid_requests_are_refused_without_reaching_a_replica() {
    let (fleet, replicas) = fleet(&[Script::Answer]).await;
    let to = fleet.gateway_address;
    assert_eq!(
        TestRequest::get("/nowhere/x", "one").send(to).await.status,
        404
    );
    let mut anonymous = TestRequest::get("/safe/x", "one");
    anonymous.headers.clear();
    assert_eq!(anonymous.send(to).await.status, 400);
    let long = TestRequest::post("/unsafe/x", "two", vec![b'x'; (1 << 20) + 1]);
    assert_eq!(long.send(to).await.status, 413);
    let wide = TestRequest::get("/safe/x", "three").with("x-wide", "w".repeat(40_000));
    assert_eq!(wide.send(to).await.status, 431);
    assert_eq!(runs(&replicas), 0);
}

/// A replica that restarts under the same identifier does not have its previous connections. The
/// restart is visible only through the reported start time.
#[actix_rt::test]
async fn connections_to_a_restarted_replica_are_closed() {
    let replica = Replica::start("r0", Script::Answer).await;
    replica.started_ms.set(5);
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    let request = |id: &str| TestRequest::post("/safe/x", id, "").send(fleet.gateway_address);
    assert_eq!(request("before").await.status, 200);
    let closed = replica.closed.get();
    replica.started_ms.set(8);
    wait_until("the previous connection is closed", || async {
        replica.closed.get() > closed
    })
    .await;
    assert_eq!(request("after").await.status, 200);
    let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    assert!(metrics.body.contains("luglink_replica_restarts_total 1"));
}
