//! Tests of requests over a link.

use luglink_limits::Machine;
use luglink_net::{ListenerEvent, ListenerLimits, RequestClient, serve};
use luglink_telemetry::Metrics;
use luglink_wire::{ClientRole, Frame, Hello, PROTOCOL_VERSION};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        role: ClientRole::Observer,
        id: 1,
    }
}

/// Starts a server that answers each request with the request's own body.
async fn start_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let senders = Rc::new(RefCell::new(std::collections::BTreeMap::new()));
    let limits = ListenerLimits::for_machine(Machine::default(), &Metrics::new()).unwrap();
    actix_rt::spawn(serve(listener, limits, move |event| match event {
        ListenerEvent::Opened {
            connection, sender, ..
        } => {
            senders.borrow_mut().insert(connection, sender);
        }
        ListenerEvent::Frame {
            connection,
            frame: Frame::Request {
                correlation, body, ..
            },
        } => {
            senders.borrow()[&connection].send(Frame::response(correlation, body));
        }
        ListenerEvent::Frame { .. } | ListenerEvent::Closed { .. } => {}
    }));
    address
}

const TIMEOUT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_request_sent_while_the_link_connects_is_answered() {
    let client = RequestClient::open(start_echo_server().await, hello());
    // Let the link's task start to connect, without waiting for the connection.
    tokio::task::yield_now().await;
    let response = client.request(b"first".to_vec(), TIMEOUT).await;
    assert_eq!(response.unwrap(), b"first");
}

#[actix_rt::test]
async fn responses_are_matched_to_concurrent_requests() {
    let client = Rc::new(RequestClient::open(start_echo_server().await, hello()));
    tokio::task::yield_now().await;
    let requests: Vec<_> = (0..50_u8)
        .map(|number| {
            let client = Rc::clone(&client);
            actix_rt::spawn(async move { client.request(vec![number], TIMEOUT).await.unwrap() })
        })
        .collect();
    for (number, request) in requests.into_iter().enumerate() {
        assert_eq!(request.await.unwrap(), [u8::try_from(number).unwrap()]);
    }
}

#[actix_rt::test]
async fn a_request_to_an_unreachable_address_fails_before_its_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = RequestClient::open(address, hello());
    tokio::task::yield_now().await;
    let response = client
        .request(b"x".to_vec(), Duration::from_secs(3_600))
        .await;
    assert!(response.is_err());
}

#[actix_rt::test]
async fn a_request_sent_right_after_opening_the_link_is_answered() {
    let address = start_echo_server().await;
    let client = RequestClient::open(address, hello());
    let response = client
        .request(b"first".to_vec(), Duration::from_secs(20))
        .await;
    assert_eq!(response.unwrap(), b"first");
}
