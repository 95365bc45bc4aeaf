//! Replicas that send bytes without end that are no answer.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::endless::{Endless, Pace};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, HELD_BYTES_LIMIT, configuration, wait_until};
use futures_util::future::join_all;
use std::time::Duration;

const REPLICAS: usize = 2;

const DEADLINE_MS: u64 = 1_200;

/// Time within which a caller has its answer, on a busy machine too.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of one connection that the operating system buffers.
const SOCKET_BYTES: usize = 8 << 20;

const BYSTANDERS: usize = 30;

/// Maximum number of connections on which the replicas send the bytes of one request.
const MAX_RUNS: usize = 8;

fn request(prefix: &str, id: &str) -> TestRequest {
    TestRequest::post(&format!("{prefix}endless"), id, "body")
        .with("luglink-deadline-ms", DEADLINE_MS)
}

/// Asserts that the caller gets an answer in time, that the connections are closed, that little was
/// read of the bytes, and that other requests are served meanwhile.
async fn assert_cut(part: Endless, pace: Pace, prefix: &'static str) -> TestResponse {
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let script = Script::Endless(part, pace);
        replicas.push(Replica::start(&format!("r{number}"), script).await);
    }
    let fleet = Fleet::start(replicas.clone()).await;
    fleet.configure(&configuration(1)).await;
    let gateway = fleet.gateway_address;
    let bystanders = (0..BYSTANDERS).map(|number| async move {
        actix_rt::time::sleep(Duration::from_millis(10 * number as u64)).await;
        let request = TestRequest::get(&format!("/safe/{number}"), &format!("b{number}"));
        request.send(gateway).await.status
    });
    let sending = actix_rt::time::timeout(ANSWER_TIMEOUT, request(prefix, "one").send(gateway));
    let (response, served) = tokio::join!(sending, join_all(bystanders));
    let response = response.unwrap_or_else(|_| panic!("{part:?}, {pace:?}: no answer"));
    assert_eq!(served, vec![200; BYSTANDERS], "{part:?}, {pace:?}");
    wait_until("the connections are closed", || async {
        replicas.iter().any(|replica| replica.closed.get() > 0)
    })
    .await;
    let sent = replicas.iter().map(|replica| replica.endless_bytes.get());
    let bound = MAX_RUNS * SOCKET_BYTES + usize::try_from(HELD_BYTES_LIMIT).unwrap();
    assert!(sent.sum::<usize>() < bound, "{part:?}, {pace:?}");
    response
}

/// Asserts that the caller of a request gets no success that looks complete.
async fn assert_failed(part: Endless, pace: Pace, prefix: &'static str) {
    let response = assert_cut(part, pace, prefix).await;
    let looks_whole = response.status == 200 && response.is_whole;
    assert!(!looks_whole, "{part:?}, {pace:?}: {response:?}");
}

macro_rules! endless {
    ($($name:ident: $part:ident;)*) => {
        $(
            #[actix_rt::test]
            async fn $name() {
                for prefix in ["/safe/", "/unsafe/", "/resumable/"] {
                    assert_failed(Endless::$part, Pace::Full, prefix).await;
                }
                assert_failed(Endless::$part, Pace::Slow, "/unsafe/").await;
            }
        )*
    };
}

endless! {
    an_endless_status_line_is_cut: StatusLine;
    endless_header_lines_are_cut: HeaderLines;
    endless_interim_responses_are_cut: InterimResponses;
    an_endless_chunk_size_is_cut: ChunkSize;
    an_endless_chunk_extension_is_cut: ChunkExtension;
    endless_trailers_are_cut: Trailers;
    an_endless_event_is_cut: Event;
    an_endless_body_is_cut: Body;
}

#[actix_rt::test]
async fn endless_bytes_after_a_response_close_its_connection() {
    for prefix in ["/safe/", "/unsafe/"] {
        let response = assert_cut(Endless::Surplus, Pace::Full, prefix).await;
        assert_eq!((response.status, response.body.as_str()), (200, "word"));
    }
}
