//! A link that comes up, breaks and comes up again.

use luglink_net::{ListenerEvent, RequestClient, serve};
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

/// Answers each request with its own body.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let senders = Rc::new(RefCell::new(std::collections::BTreeMap::new()));
    actix_rt::spawn(serve(listener, move |event| match event {
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

const LIMIT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn a_request_that_is_made_before_the_link_is_up_goes_with_it() {
    let client = RequestClient::open(echo().await, hello());
    // The link's own task must have begun to connect, not to have connected.
    tokio::task::yield_now().await;
    let answer = client.request(b"first".to_vec(), LIMIT).await;
    assert_eq!(answer.unwrap(), b"first");
}

#[actix_rt::test]
async fn answers_find_their_requests_whatever_their_order() {
    let client = Rc::new(RequestClient::open(echo().await, hello()));
    tokio::task::yield_now().await;
    let asks: Vec<_> = (0..50_u8)
        .map(|number| {
            let client = Rc::clone(&client);
            actix_rt::spawn(async move { client.request(vec![number], LIMIT).await.unwrap() })
        })
        .collect();
    for (number, ask) in asks.into_iter().enumerate() {
        assert_eq!(ask.await.unwrap(), [u8::try_from(number).unwrap()]);
    }
}

#[actix_rt::test]
async fn a_request_to_a_dead_address_fails_without_waiting_for_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = RequestClient::open(address, hello());
    tokio::task::yield_now().await;
    let answer = client
        .request(b"x".to_vec(), Duration::from_secs(3_600))
        .await;
    assert!(answer.is_err());
}

#[actix_rt::test]
async fn what_is_sent_right_after_a_link_is_opened_goes_with_its_first_connection() {
    let address = echo().await;
    let client = RequestClient::open(address, hello());
    let answer = client
        .request(b"first".to_vec(), Duration::from_secs(20))
        .await;
    assert_eq!(answer.unwrap(), b"first");
}
