//! What clients at the limits read: refusals that they see, and responses to what is inside the limits.

use crate::fleet::{CALL_PATH, Fleet, HOST};
use crate::replicas::Faults;
use crate::{PLAN, alone};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of every wait, far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest body that an operator may send, in bytes.
const OPERATOR_BODY_BYTES: usize = 16 << 20;

/// Bytes by which a body that is sent whole exceeds the limit.
const EXCESS_BYTES: usize = 1 << 20;

/// Response to bytes that were sent as they are.
#[derive(Debug)]
struct RawResponse {
    text: String,
    /// True if the connection was closed in order after the response.
    is_whole: bool,
}

impl RawResponse {
    fn statuses(&self) -> Vec<&str> {
        let lines = self.text.lines();
        let statuses = lines.filter_map(|line| line.strip_prefix("HTTP/1."));
        statuses.filter_map(|line| line.split(' ').nth(1)).collect()
    }
}

/// Sends all parts, then reads until the connection is closed. A part that cannot be sent any more is
/// passed over.
async fn exchange(address: SocketAddr, parts: &[&[u8]]) -> RawResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let exchanging = async {
        for part in parts {
            if stream.write_all(part).await.is_err() {
                break;
            }
        }
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes).await;
        RawResponse {
            text: String::from_utf8_lossy(&bytes).into_owned(),
            is_whole: read.is_ok(),
        }
    };
    let exchanged = actix_rt::time::timeout(WAIT_TIMEOUT, exchanging).await;
    exchanged.expect("the connection is closed")
}

fn caller_head(version: &str, headers: &str) -> String {
    format!(
        "POST {CALL_PATH} HTTP/{version}\r\nhost: {HOST}\r\nluglink-request-id: one\r\n\
         luglink-deadline-ms: 4000\r\n{headers}\r\n"
    )
}

fn operator_head(headers: &str) -> String {
    format!("POST /v1/configuration HTTP/1.1\r\nhost: operator\r\n{headers}\r\n")
}

fn too_long() -> usize {
    PLAN.max_body_bytes + EXCESS_BYTES
}

async fn fleet() -> Fleet {
    Fleet::start_as(1, PLAN, Faults::None).await
}

#[actix_rt::test]
async fn a_long_body_of_a_caller_is_refused_before_it_is_sent() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let length = format!("content-length: {}\r\n", too_long());
    let heads = [
        caller_head("1.1", &length),
        caller_head("1.1", &format!("expect: 100-continue\r\n{length}")),
        caller_head("1.0", &length),
    ];
    for head in heads {
        let response = exchange(fleet.addresses[0], &[head.as_bytes()]).await;
        assert_eq!(response.statuses(), ["413"], "{head}: {response:?}");
        assert!(response.is_whole, "{head}: {response:?}");
    }
}

#[actix_rt::test]
async fn a_caller_that_sends_a_long_body_reads_its_refusal() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let body = vec![b'x'; too_long()];
    let announced = caller_head("1.1", &format!("content-length: {}\r\n", body.len()));
    let response = exchange(fleet.addresses[0], &[announced.as_bytes(), &body]).await;
    assert_eq!(response.statuses(), ["413"], "{response:?}");
    let chunked = caller_head("1.1", "transfer-encoding: chunked\r\n");
    let size = format!("{:x}\r\n", body.len());
    let parts = [chunked.as_bytes(), size.as_bytes(), &body, b"\r\n0\r\n\r\n"];
    let response = exchange(fleet.addresses[0], &parts).await;
    assert_eq!(response.statuses(), ["413"], "{response:?}");
}

#[actix_rt::test]
async fn a_request_behind_a_refused_body_is_not_taken_from_it() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let head = caller_head("1.1", &format!("content-length: {}\r\n", too_long()));
    let behind = caller_head("1.1", "content-length: 0\r\n");
    let parts = [head.as_bytes(), behind.as_bytes(), behind.as_bytes()];
    let response = exchange(fleet.addresses[0], &parts).await;
    assert_eq!(response.statuses(), ["413"], "{response:?}");
}

#[actix_rt::test]
async fn a_body_as_long_as_the_limit_is_served() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let body = vec![b'x'; PLAN.max_body_bytes];
    let length = format!("content-length: {}\r\nconnection: close\r\n", body.len());
    let announced = caller_head("1.1", &length);
    let response = exchange(fleet.addresses[0], &[announced.as_bytes(), &body]).await;
    assert_eq!(response.statuses(), ["200"], "{response:?}");
    let headers = "transfer-encoding: chunked\r\nconnection: close\r\n";
    let chunked = caller_head("1.1", headers).replace(": one", ": two");
    let size = format!("{:x}\r\n", body.len());
    let parts = [chunked.as_bytes(), size.as_bytes(), &body, b"\r\n0\r\n\r\n"];
    let response = exchange(fleet.addresses[0], &parts).await;
    assert_eq!(response.statuses(), ["200"], "{response:?}");
}

#[actix_rt::test]
async fn a_long_body_of_an_operator_is_refused_before_it_is_sent() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let length = format!("content-length: {}\r\n", OPERATOR_BODY_BYTES + EXCESS_BYTES);
    for headers in [format!("expect: 100-continue\r\n{length}"), length] {
        let head = operator_head(&headers);
        let response = exchange(fleet.operator(), &[head.as_bytes()]).await;
        assert_eq!(response.statuses(), ["413"], "{head}: {response:?}");
    }
}

#[actix_rt::test]
async fn an_operator_that_sends_a_long_body_reads_its_refusal() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let body = vec![b'x'; OPERATOR_BODY_BYTES + EXCESS_BYTES];
    let head = operator_head(&format!("content-length: {}\r\n", body.len()));
    let response = exchange(fleet.operator(), &[head.as_bytes(), &body]).await;
    assert_eq!(response.statuses(), ["413"], "{response:?}");
    let head = operator_head("transfer-encoding: chunked\r\n");
    let size = format!("{:x}\r\n", body.len());
    let parts = [head.as_bytes(), size.as_bytes(), &body, b"\r\n0\r\n\r\n"];
    let response = exchange(fleet.operator(), &parts).await;
    assert_eq!(response.statuses(), ["413"], "{response:?}");
}

#[actix_rt::test]
async fn an_unfinished_body_of_an_operator_is_given_up() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let head = operator_head("content-length: 1000\r\n");
    let response = exchange(fleet.operator(), &[head.as_bytes(), b"{\"version\":"]).await;
    assert_eq!(response.statuses(), ["408"], "{response:?}");
}

#[actix_rt::test]
async fn a_caller_with_an_unfinished_body_is_told_that_it_has_not_run() {
    let _alone = alone().await;
    let fleet = fleet().await;
    let head = caller_head("1.1", "content-length: 1000\r\n");
    let response = exchange(fleet.addresses[0], &[head.as_bytes(), b"half"]).await;
    assert_eq!(response.statuses(), ["408"], "{response:?}");
}
