//! Memory held for callers that do not read their responses and for replicas that do not read
//! requests stays bounded, and other callers are served.

use crate::metrics::{metrics, value};
use crate::support::caller::TestRequest;
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, HELD_BYTES_LIMIT, HOST, configuration, wait_until};
use futures_util::future::join_all;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const STALLED_CALLERS: usize = 3;

const LONG_BODY_BYTES: usize = 1 << 20;

async fn fleet(script: Script) -> (Fleet, Replica) {
    let replica = Replica::start("r0", script).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(1)).await;
    (fleet, replica)
}

async fn metric(fleet: &Fleet, series: &str) -> f64 {
    let text = metrics(fleet.gateway.metrics_address).await.body;
    value(&text, &format!("luglink_{series}"))
}

async fn held(fleet: &Fleet) -> f64 {
    metric(fleet, "held_bytes").await
}

/// Requests a stream and never reads the response.
async fn send_without_reading(to: SocketAddr, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = format!(
        "POST /resumable/x HTTP/1.1\r\nHost: {HOST}\r\nLuglink-Request-Id: stalled-{id}\r\n\
         Luglink-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[actix_rt::test]
async fn streams_of_stalled_callers_are_aborted_and_others_are_served() {
    let (fleet, replica) = fleet(Script::Flood).await;
    let mut unread = Vec::new();
    for id in 0..STALLED_CALLERS {
        unread.push(send_without_reading(fleet.gateway_address, id).await);
    }
    let stalled = "streams_total{end=\"caller_stalled\"}";
    wait_until("all stalled callers are aborted", || async {
        assert!(held(&fleet).await <= HELD_BYTES_LIMIT as f64);
        let other = TestRequest::get("/safe/x", "other").send(fleet.gateway_address);
        assert_eq!(other.await.status, 200);
        metric(&fleet, stalled).await == STALLED_CALLERS as f64
    })
    .await;
    let cut = "held_cuts_total{reason=\"caller_stalled\"}";
    assert_eq!(metric(&fleet, cut).await, STALLED_CALLERS as f64);
    wait_until("all held bytes are released", || async {
        held(&fleet).await == 0.0
    })
    .await;
    wait_until("the replica's connections are closed", || async {
        replica.closed.get() >= STALLED_CALLERS as u32
    })
    .await;
}

#[actix_rt::test]
async fn endless_response_kept_as_history_is_aborted_at_the_request_limit() {
    let (fleet, _replica) = fleet(Script::Flood).await;
    let response = TestRequest::post("/kept/x", "t1", "input")
        .with("luglink-program", "program")
        .with("luglink-token-usage", "100,50")
        .send(fleet.gateway_address)
        .await;
    assert_eq!((response.status, response.is_whole), (200, false));
    let end = "streams_total{end=\"request_memory\"}";
    assert_eq!(metric(&fleet, end).await, 1.0);
    let cut = "held_cuts_total{reason=\"request_memory\"}";
    assert_eq!(metric(&fleet, cut).await, 1.0);
    wait_until("all held bytes are released", || async {
        held(&fleet).await == 0.0
    })
    .await;
}

#[actix_rt::test]
async fn bodies_that_a_replica_does_not_read_block_further_bodies_until_they_end() {
    let (fleet, replica) = fleet(Script::Unread).await;
    let long = |id: &str| {
        TestRequest::post("/unsafe/x", id, vec![b'x'; LONG_BODY_BYTES])
            .with("luglink-deadline-ms", "2500")
            .send(fleet.gateway_address)
    };
    let most = HELD_BYTES_LIMIT as usize / LONG_BODY_BYTES;
    let ids: Vec<String> = (0..most).map(|number| format!("long-{number}")).collect();
    let waiting = join_all(ids.iter().map(|id| long(id)));
    let meanwhile = async {
        wait_until("the bodies fill the limit", || async {
            held(&fleet).await == HELD_BYTES_LIMIT as f64
        })
        .await;
        let refused = long("one-more").await;
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some(), "{refused:?}");
        let reason = "held_refusals_total{reason=\"process_memory\"}";
        assert_eq!(metric(&fleet, reason).await, 1.0);
    };
    let (ended, ()) = tokio::join!(waiting, meanwhile);
    for response in ended {
        assert!(matches!(response.status, 502..=504), "{response:?}");
    }
    assert!(
        replica.requests() <= most,
        "the refused request reached the replica"
    );
    wait_until("all held bytes are released", || async {
        held(&fleet).await == 0.0
    })
    .await;
    replica.set_script(Script::Answer);
    wait_until("the gateway serves again", || async {
        let response = TestRequest::get("/safe/x", "after").send(fleet.gateway_address);
        response.await.status == 200
    })
    .await;
}

/// Announces a long body and sends a part of it.
async fn begin_long_body(to: SocketAddr, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nLuglink-Request-Id: unfinished-{id}\r\n\
         Luglink-Deadline-Ms: 4000\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

#[actix_rt::test]
async fn a_short_body_is_taken_in_place_of_an_unfinished_long_one() {
    let (fleet, replica) = fleet(Script::Answer).await;
    let mut unfinished = Vec::new();
    for id in 0..HELD_BYTES_LIMIT as usize / LONG_BODY_BYTES {
        unfinished.push(begin_long_body(fleet.gateway_address, id).await);
    }
    wait_until("the bodies fill the limit", || async {
        held(&fleet).await == HELD_BYTES_LIMIT as f64
    })
    .await;
    let short = TestRequest::post("/safe/x", "short", "body").send(fleet.gateway_address);
    assert_eq!(short.await.status, 200);
    let mut newest = unfinished.pop().unwrap();
    let mut status = [0; 12];
    newest.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 503");
    assert_eq!(replica.requests(), 1);
}

#[actix_rt::test]
async fn identifiers_that_are_too_long_to_keep_are_refused() {
    let (fleet, replica) = fleet(Script::Answer).await;
    let (longest, too_long) = ("x".repeat(256), "x".repeat(257));
    let turn = || TestRequest::post("/kept/x", "t1", "input").with("luglink-program", "program");
    let refused = [
        TestRequest::get("/safe/x", &too_long),
        turn().with("luglink-program", &too_long),
        turn().with("luglink-previous-turn", &too_long),
        turn().with("luglink-resumes", &too_long),
    ];
    for request in refused {
        let headers = request.headers.clone();
        let response = request.send(fleet.gateway_address).await;
        assert_eq!(response.status, 400, "{headers:?}: {response:?}");
    }
    assert_eq!(replica.requests(), 0);
    let allowed = TestRequest::get("/safe/x", &longest).send(fleet.gateway_address);
    assert_eq!(allowed.await.status, 200);
}
