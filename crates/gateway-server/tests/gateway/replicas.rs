//! Replicas that misbehave: nothing but a whole answer of the request's own reaches a caller as
//! a success, and nothing that may have run is run again unless it may be.

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

async fn ask_unsafe(fleet: &Fleet, id: &str) -> TestResponse {
    TestRequest::post("/unsafe/x", id, "body")
        .send(fleet.gateway_address)
        .await
}

async fn ask_safe(fleet: &Fleet, id: &str) -> TestResponse {
    TestRequest::get("/safe/x", id)
        .send(fleet.gateway_address)
        .await
}

#[actix_rt::test]
async fn an_answer_is_given_on_as_it_is_and_the_request_too() {
    let (fleet, replicas) = fleet(&[Script::Answer]).await;
    let got = TestRequest::post("/unsafe/a%20b?c=d", "one", "the body")
        .with("x-own", "kept")
        .with("connection", "x-hop")
        .with("x-hop", "dropped")
        .send(fleet.gateway_address)
        .await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "answer of r0 to one");
    assert_eq!(got.header("luglink-signature"), Some("of-one"));
    assert_eq!(got.header("x-kept"), Some("as it is"));
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
async fn spoilt_answers_never_reach_a_caller_as_a_success_and_run_once() {
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
        let got = ask_unsafe(&fleet, &format!("u{number}")).await;
        assert_eq!(got.status, 502, "{script:?}");
        assert_eq!(got.header("luglink-signature"), None, "{script:?}");
        assert_eq!(runs(&replicas), before + 1, "{script:?}");
    }
}

#[actix_rt::test]
async fn what_may_be_repeated_is_sent_to_another_replica() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    for (number, script) in [Script::Cut, Script::Foreign, Script::Close]
        .iter()
        .enumerate()
    {
        replicas[0].set_script(script.clone());
        for round in 0..4 {
            let id = format!("s{number}-{round}");
            let got = ask_safe(&fleet, &id).await;
            assert_eq!(got.status, 200, "{script:?}");
            assert_eq!(got.body, format!("answer of r1 to {id}"));
        }
    }
}

#[actix_rt::test]
async fn a_surplus_answer_is_no_answer_to_the_next_request() {
    let (fleet, _) = fleet(&[Script::Extra]).await;
    for number in 0..6 {
        let id = format!("n{number}");
        let got = ask_unsafe(&fleet, &id).await;
        if got.status == 200 {
            assert_eq!(got.body, format!("answer of r0 to {id}"));
        } else {
            assert_eq!(got.status, 502);
        }
    }
}

#[actix_rt::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let (fleet, replicas) = fleet(&[Script::Unframed]).await;
    let got = ask_unsafe(&fleet, "one").await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "answer of r0 to one");
    let before = replicas[0].accepted.get();
    ask_unsafe(&fleet, "two").await;
    assert_eq!(
        replicas[0].accepted.get(),
        before + 1,
        "it is not used again"
    );
}

#[actix_rt::test]
async fn an_early_answer_leaves_the_rest_of_the_body_as_it_is() {
    let (fleet, replicas) = fleet(&[Script::Early]).await;
    let body = vec![b'x'; 600_000];
    let got = TestRequest::post("/unsafe/x", "one", body.clone())
        .send(fleet.gateway_address)
        .await;
    assert_eq!((got.status, got.is_whole), (200, true));
    replicas[0].set_script(Script::Answer);
    let got = ask_unsafe(&fleet, "two").await;
    assert_eq!(got.body, "answer of r0 to two");
    assert_eq!(replicas[0].last().id(), "two");
}

#[actix_rt::test]
async fn who_declines_was_not_given_the_request() {
    let (fleet, replicas) = fleet(&[Script::Decline, Script::Answer]).await;
    for number in 0..6 {
        let got = ask_unsafe(&fleet, &format!("d{number}")).await;
        assert_eq!(got.status, 200);
    }
    replicas[0].set_script(Script::Misdirected);
    for number in 0..6 {
        let got = ask_unsafe(&fleet, &format!("m{number}")).await;
        assert_eq!(got.status, 200);
    }
    replicas[1].set_script(Script::Decline);
    replicas[0].set_script(Script::Decline);
    let got = ask_unsafe(&fleet, "all").await;
    assert_eq!(got.status, 503);
    let pause: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(pause > 0.0);
}

#[actix_rt::test]
async fn a_request_waits_for_room_rather_than_be_sent_away() {
    let (fleet, replicas) = fleet(&[Script::Decline, Script::Decline]).await;
    let asking = ask_unsafe(&fleet, "patient");
    let making_room = async {
        // Both have said that they have no room.
        crate::support::wait_until("both were asked", || async {
            replicas.iter().all(|replica| replica.requests() > 0)
        })
        .await;
        replicas[0].set_script(Script::Answer);
    };
    let (got, ()) = futures_util::future::join(asking, making_room).await;
    assert_eq!(got.status, 200);
}

#[actix_rt::test]
async fn a_replica_that_leaves_gets_nothing_more() {
    let (fleet, replicas) = fleet(&[Script::Answer, Script::Answer]).await;
    replicas[0].is_draining.set(true);
    crate::support::wait_until("the gateway knows", || async {
        let before = replicas[0].requests();
        for number in 0..8 {
            ask_safe(&fleet, &format!("p{number}")).await;
        }
        replicas[0].requests() == before
    })
    .await;
    let before = replicas[0].requests();
    for number in 0..20 {
        assert_eq!(ask_safe(&fleet, &format!("q{number}")).await.status, 200);
    }
    assert_eq!(replicas[0].requests(), before);
}

#[actix_rt::test]
async fn a_caller_that_leaves_frees_the_replica() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let to = fleet.gateway_address;
    let asking = actix_rt::spawn(TestRequest::post("/unsafe/x", "one", "body").send(to));
    crate::support::wait_until("the replica has it", || async {
        replicas[0].requests() == 1
    })
    .await;
    // Dropping the task closes the caller's connection.
    asking.abort();
    crate::support::wait_until("the replica is free", || async {
        replicas[0].closed.get() == 1
    })
    .await;
    replicas[0].set_script(Script::StreamEndless);
    let ask = TestRequest::post("/resumable/x", "two", "body");
    ask.send_and_leave(to).await;
    crate::support::wait_until("the replica is free", || async {
        replicas[0].closed.get() == 2
    })
    .await;
}

#[actix_rt::test]
async fn a_silent_replica_costs_a_request_no_more_than_its_time() {
    let (fleet, replicas) = fleet(&[Script::Mute]).await;
    let got = TestRequest::get("/safe/x", "one")
        .with("luglink-deadline-ms", "1")
        .send(fleet.gateway_address)
        .await;
    assert!(matches!(got.status, 503 | 504), "{got:?}");
    assert!(replicas[0].requests() <= 1);
}

#[actix_rt::test]
async fn a_silent_replica_does_not_hold_up_what_may_be_repeated() {
    let (fleet, replicas) = fleet(&[Script::Mute, Script::Answer]).await;
    for number in 0..6 {
        let id = format!("s{number}");
        let got = ask_safe(&fleet, &id).await;
        assert_eq!(got.status, 200, "{id}");
        assert_eq!(got.body, format!("answer of r1 to {id}"));
    }
    // What may not be repeated waits for the replica that has it, and runs nowhere else.
    replicas[1].set_script(Script::Mute);
    let before = runs(&replicas);
    let got = TestRequest::post("/unsafe/x", "u", "body")
        .with("luglink-deadline-ms", "900")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(got.status, 504);
    assert_eq!(runs(&replicas), before + 1);
    // At most as many replicas as the route allows, though all are silent.
    let before = runs(&replicas);
    let got = TestRequest::get("/safe/x", "both")
        .with("luglink-deadline-ms", "1500")
        .send(fleet.gateway_address)
        .await;
    assert_eq!(got.status, 504);
    assert_eq!(runs(&replicas), before + 2);
}

#[actix_rt::test]
async fn a_failure_is_given_on_as_it_is_unless_another_replica_may_do_better() {
    let (fleet, replicas) = fleet(&[Script::Fail, Script::Answer]).await;
    for number in 0..6 {
        assert_eq!(ask_safe(&fleet, &format!("s{number}")).await.status, 200);
    }
    replicas[1].set_script(Script::Fail);
    let got = ask_safe(&fleet, "all").await;
    assert_eq!((got.status, got.body.as_str()), (500, "oops"));
    assert_eq!(got.header("luglink-signature"), Some("of-all"));
    let before = runs(&replicas);
    let got = ask_unsafe(&fleet, "once").await;
    assert_eq!((got.status, got.body.as_str()), (500, "oops"));
    assert_eq!(got.header("luglink-signature"), Some("of-once"));
    assert_eq!(runs(&replicas), before + 1);
}

#[actix_rt::test]
async fn what_is_not_allowed_is_refused_at_the_door() {
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

/// A replica that starts again under its identifier has none of the connections of before. The
/// restart shows in nothing but the time of its start.
#[actix_rt::test]
async fn connections_to_an_earlier_life_of_a_replica_are_not_kept() {
    let replica = Replica::start("r0", Script::Answer).await;
    replica.started_ms.set(5);
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    let ask = |id: &str| TestRequest::post("/safe/x", id, "").send(fleet.gateway_address);
    assert_eq!(ask("before").await.status, 200);
    let closed = replica.closed.get();
    replica.started_ms.set(8);
    wait_until("the connection of before is closed", || async {
        replica.closed.get() > closed
    })
    .await;
    assert_eq!(ask("after").await.status, 200);
    let metrics = get(fleet.gateway.metrics_address.unwrap(), "/metrics").await;
    assert!(metrics.body.contains("luglink_replica_restarts_total 1"));
}
