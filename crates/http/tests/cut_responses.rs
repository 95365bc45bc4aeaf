//! Responses that end early: none is taken for a whole one.

use luglink_http::{FetchError, FetchLimits, empty_body, fetch};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMITS: FetchLimits = FetchLimits {
    connect_timeout: Duration::from_secs(5),
    head_timeout: Duration::from_secs(5),
    max_body_bytes: 1 << 10,
};

const BODY: &str = "the whole body";

/// Responses with the same body, in both ways that tell its end.
fn responses() -> [String; 2] {
    let length = BODY.len();
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{BODY}"),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n\r\n"
        ),
    ]
}

/// Serves one connection, which ends after the first `count` bytes of the response.
async fn serve_cut(response: String, count: usize, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&response.as_bytes()[..count]).await;
        if resets {
            stream.set_zero_linger().unwrap();
        }
    });
    address
}

async fn fetch_from(address: SocketAddr) -> Result<http::Response<bytes::Bytes>, FetchError> {
    let request = http::Request::get("/x").header("host", "x");
    fetch(address, request.body(empty_body()).unwrap(), LIMITS).await
}

#[actix_rt::test]
async fn a_response_that_ends_early_is_an_error_wherever_it_ends() {
    for response in responses() {
        for resets in [false, true] {
            for count in 0..response.len() {
                let address = serve_cut(response.clone(), count, resets).await;
                let fetched = fetch_from(address).await;
                assert!(fetched.is_err(), "{count} bytes: {fetched:?}");
            }
        }
    }
}

#[actix_rt::test]
async fn a_whole_response_is_returned() {
    for response in responses() {
        let address = serve_cut(response.clone(), response.len(), false).await;
        assert_eq!(fetch_from(address).await.unwrap().body(), BODY);
    }
}

#[actix_rt::test]
async fn a_body_that_is_too_long_is_an_error() {
    let body = "x".repeat(LIMITS.max_body_bytes + 1);
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let count = response.len();
    let address = serve_cut(response, count, false).await;
    let error = fetch_from(address).await.unwrap_err();
    assert!(matches!(error, FetchError::TooLong { .. }), "{error}");
}
