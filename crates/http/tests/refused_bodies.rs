//! Clients read the refusal of a body that they are still sending.

use http::{Request, Response, StatusCode};
use luglink_http::{Abort, RequestBody, ServeOptions, empty_body, serve, stop_channel};
use luglink_limits::ListenerKind;
use luglink_net::{ConnectionMetrics, Connections};
use luglink_telemetry::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Body that a client sends before it reads, more than the operating system buffers.
const SENT_BYTES: usize = 6 << 20;

/// Body of a client that does not stop, more than a server discards.
const ENDLESS_BYTES: usize = 256 << 20;

const PART_BYTES: usize = 64 << 10;

/// Starts a server that refuses each request before it reads the body.
async fn start_refusing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = || ServeOptions {
        max_connections: 10,
        max_header_bytes: 16 << 10,
        idle_timeout: Duration::from_secs(30),
        write_stall_timeout: None,
    };
    let handler = Rc::new(|_: Request<RequestBody>| async {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
        Ok::<_, Abort>(response)
    });
    let metrics = ConnectionMetrics::register(&Metrics::new()).unwrap();
    let connections = Connections::new(ListenerKind::Callers, &metrics);
    let (_, signal) = stop_channel();
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
    address
}

async fn begin(address: SocketAddr, framing: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

#[actix_rt::test]
async fn a_client_that_sends_its_body_first_reads_the_refusal() {
    let address = start_refusing_server().await;
    let length = format!("Content-Length: {SENT_BYTES}");
    let chunk = format!("Transfer-Encoding: chunked\r\n\r\n{SENT_BYTES:x}");
    for framing in [length, chunk] {
        let mut stream = begin(address, &framing).await;
        for _ in 0..SENT_BYTES / PART_BYTES {
            stream.write_all(&[b'x'; PART_BYTES]).await.unwrap();
        }
        stream.shutdown().await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    }
}

#[actix_rt::test]
async fn a_client_that_does_not_stop_is_cut() {
    let address = start_refusing_server().await;
    let mut stream = begin(address, "Content-Length: 100000000000").await;
    let mut sent = 0;
    while sent < ENDLESS_BYTES && stream.write_all(&[b'x'; PART_BYTES]).await.is_ok() {
        sent += PART_BYTES;
    }
    assert!(sent < ENDLESS_BYTES);
}
