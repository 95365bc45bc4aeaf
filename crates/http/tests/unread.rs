//! A caller that does not read its answer does not keep its connection for ever.

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use luglink_http::{Abort, ServeOptions, StopSignal, serve, stop_channel, stream_body};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_millis(300);

const PART_BYTES: usize = 16 << 10;

/// More than the room of an answer and a part.
const MOST_WAITING_BYTES: u64 = (64 << 10) + PART_BYTES as u64;

/// Sends an answer without end to a caller that has asked for it. Returns its connection, the
/// server's signal and whether the answer has ended.
async fn endless(limit: Option<Duration>) -> (TcpStream, StopSignal, Rc<Cell<bool>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_, signal) = stop_channel();
    let options = move || ServeOptions {
        max_header_bytes: 16 << 10,
        idle_timeout: Duration::from_secs(30),
        write_stall_timeout: limit,
    };
    let has_ended = Rc::new(Cell::new(false));
    let ended = Rc::clone(&has_ended);
    let handler = Rc::new(move |_: Request<Incoming>| {
        let ended = Rc::clone(&ended);
        async move {
            let (sender, body) = stream_body();
            actix_rt::spawn(async move {
                while sender.send(Bytes::from(vec![b'x'; PART_BYTES])).await {
                    assert!(sender.waiting_bytes() <= MOST_WAITING_BYTES);
                }
                ended.set(true);
            });
            Ok::<_, Abort>(Response::new(body))
        }
    });
    actix_rt::spawn(serve(listener, options, signal.clone(), handler));
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    (caller, signal, has_ended)
}

#[actix_rt::test]
async fn a_connection_that_is_not_read_is_broken_off() {
    let (_caller, signal, has_ended) = endless(Some(LIMIT)).await;
    for _ in 0..600 {
        if has_ended.get() && signal.open_connections() == 0 {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the connection is still open");
}

#[actix_rt::test]
async fn one_that_is_read_goes_on() {
    let (mut caller, signal, has_ended) = endless(Some(LIMIT)).await;
    let mut buffer = vec![0; PART_BYTES];
    for _ in 0..20 {
        assert!(caller.read(&mut buffer).await.unwrap() > 0);
        actix_rt::time::sleep(LIMIT / 10).await;
    }
    assert!(!has_ended.get());
    assert_eq!(signal.open_connections(), 1);
}

#[actix_rt::test]
async fn without_a_limit_it_stays_open() {
    let (_caller, signal, has_ended) = endless(None).await;
    actix_rt::time::sleep(LIMIT * 4).await;
    assert!(!has_ended.get());
    assert_eq!(signal.open_connections(), 1);
}
