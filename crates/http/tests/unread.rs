//! Tests of the write stall timeout: a caller that does not read its response is disconnected.

use bytes::Bytes;
use http::{Request, Response};
use luglink_http::{
    Abort, RequestBody, ServeOptions, StopSignal, serve, stop_channel, stream_body,
};
use luglink_limits::ListenerKind;
use luglink_net::{ConnectionMetrics, Connections};
use luglink_telemetry::Metrics;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const STALL_TIMEOUT: Duration = Duration::from_millis(300);

const PART_BYTES: usize = 16 << 10;

/// Limit of the queue plus one part.
const MAX_WAITING_BYTES: u64 = (64 << 10) + PART_BYTES as u64;

/// Starts a server whose responses never end and sends it a request. Returns the caller's
/// connection, the server's stop signal and a flag that is set once the response was aborted.
async fn start_endless_response(
    limit: Option<Duration>,
) -> (TcpStream, StopSignal, Rc<Cell<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_, signal) = stop_channel();
    let options = move || ServeOptions {
        max_connections: 10,
        max_header_bytes: 16 << 10,
        idle_timeout: Duration::from_secs(30),
        write_stall_timeout: limit,
    };
    let has_ended = Rc::new(Cell::new(false));
    let ended = Rc::clone(&has_ended);
    let handler = Rc::new(move |_: Request<RequestBody>| {
        let ended = Rc::clone(&ended);
        async move {
            let (sender, body) = stream_body();
            actix_rt::spawn(async move {
                while sender.send(Bytes::from(vec![b'x'; PART_BYTES])).await {
                    assert!(sender.waiting_bytes() <= MAX_WAITING_BYTES);
                }
                ended.set(true);
            });
            Ok::<_, Abort>(Response::new(body))
        }
    });
    let metrics = ConnectionMetrics::register(&Metrics::new()).unwrap();
    let connections = Connections::new(ListenerKind::Callers, &metrics);
    let serving = serve(listener, connections, options, signal.clone(), handler);
    actix_rt::spawn(serving);
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    (caller, signal, has_ended)
}

#[actix_rt::test]
async fn a_connection_that_is_not_read_is_closed() {
    let (_caller, signal, has_ended) = start_endless_response(Some(STALL_TIMEOUT)).await;
    for _ in 0..600 {
        if has_ended.get() && signal.open_connections() == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the connection is still open");
}

#[actix_rt::test]
async fn a_connection_that_is_read_stays_open() {
    let (mut caller, signal, has_ended) = start_endless_response(Some(STALL_TIMEOUT)).await;
    let mut buffer = vec![0; PART_BYTES];
    for _ in 0..20 {
        assert!(caller.read(&mut buffer).await.unwrap() > 0);
        actix_rt::time::sleep(STALL_TIMEOUT / 10).await;
    }
    assert!(!has_ended.get());
    assert_eq!(signal.open_connections(), 1);
}

#[actix_rt::test]
async fn a_connection_without_a_timeout_stays_open() {
    let (_caller, signal, has_ended) = start_endless_response(None).await;
    actix_rt::time::sleep(STALL_TIMEOUT * 4).await;
    assert!(!has_ended.get());
    assert_eq!(signal.open_connections(), 1);
}
