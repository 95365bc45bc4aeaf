//! Lookups at replicas that break off.

use luglink_daemon::{EngineEvent, LookupDispatch};
use luglink_daemon_server::send_lookup;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const RESPONSES: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nwhole one",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole one\r\n0\r\n\r\n",
];

/// Serves one connection, which is closed after the first `count` bytes of the response.
async fn serve_cut(response: &'static str, count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&response.as_bytes()[..count]).await;
    });
    address
}

async fn look_up(address: SocketAddr) -> EngineEvent {
    let lookup = LookupDispatch {
        method: "GET".to_owned(),
        path: "/x?y=1".to_owned(),
        content_type: None,
        body: Vec::new(),
    };
    send_lookup(&address.to_string(), &lookup).await
}

#[actix_rt::test]
async fn a_lookup_whose_response_ends_early_is_broken() {
    for response in RESPONSES {
        for count in 0..response.len() {
            let address = serve_cut(response, count).await;
            let end = look_up(address).await;
            assert_eq!(end, EngineEvent::Broken, "{count} bytes");
        }
    }
}

#[actix_rt::test]
async fn a_whole_response_of_a_lookup_is_passed_on() {
    for response in RESPONSES {
        let address = serve_cut(response, response.len()).await;
        let whole = EngineEvent::LookupDone {
            status: 200,
            content_type: Some("text/plain".to_owned()),
            body: b"whole one".to_vec(),
        };
        assert_eq!(look_up(address).await, whole);
    }
}
