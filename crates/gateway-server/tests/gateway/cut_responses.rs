//! Responses of replicas that end early, in the head or later: no caller gets one that looks whole.

use crate::support::cut::{Cut, Framing};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, HOST, configuration, route};
use luglink_edge::RouteKind;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Parts of the response that are sent, in percent: within the head, at its end and after it.
const PERCENTS: [usize; 6] = [1, 30, 55, 75, 90, 99];

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Trailers];

/// A whole response.
const WHOLE: Cut = Cut {
    framing: Framing::Chunked,
    percent: 100,
    resets: false,
    is_continuation: false,
};

const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

/// What a caller received on one connection.
struct Received {
    bytes: Vec<u8>,
    /// True if the connection was closed in order.
    is_closed: bool,
}

impl Received {
    /// Returns the body of a successful response that looks whole to the caller.
    fn whole_body(&self) -> Option<String> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let is_success = head.split(' ').nth(1)? == "200";
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|length| length.trim().parse::<usize>().ok());
        let is_chunked = head.contains("transfer-encoding: chunked");
        let is_whole = match length {
            Some(length) => body.len() >= length,
            None if is_chunked => body.ends_with("0\r\n\r\n"),
            None => self.is_closed,
        };
        let body = match is_chunked {
            true => unchunked(body),
            false => body.to_owned(),
        };
        (is_success && is_whole).then_some(body)
    }
}

fn unchunked(mut body: &str) -> String {
    let mut whole = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        whole += rest.get(..size).unwrap_or_default();
        body = rest.get(size + 2..).unwrap_or_default();
    }
    whole
}

/// Sends a request on a connection of its own, which the gateway closes.
async fn exchange(to: SocketAddr, version: &str, target: &str, id: &str) -> Received {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let method = match target.contains("/safe/") {
        true => "GET",
        false => "POST",
    };
    let request = format!(
        "{method} {target} {version}\r\nHost: {HOST}\r\nLuglink-Request-Id: {id}\r\n\
         Luglink-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).await.is_ok();
    Received { bytes, is_closed }
}

/// Asserts that no response on a route looks whole that the replicas have cut.
async fn assert_no_cut_looks_whole(path: &str, is_continuation: bool) {
    let replicas = [
        Replica::start("r0", Script::Answer).await,
        Replica::start("r1", Script::Answer).await,
    ];
    let fleet = Fleet::start(replicas.to_vec()).await;
    let mut configuration = configuration(1);
    let plain = route("/plain/", RouteKind::Streaming);
    configuration.routes.push(plain);
    fleet.configure(&configuration).await;
    for replica in &replicas {
        replica.set_script(Script::Cuts(WHOLE));
    }
    for version in VERSIONS {
        let (target, id) = (format!("{path}cut-whole"), format!("whole-{version}"));
        let received = exchange(fleet.gateway_address, version, &target, &id).await;
        assert_eq!(received.whole_body(), Some(Cut::body(&target)), "{version}");
    }
    let mut number = 0;
    for framing in FRAMINGS {
        for percent in PERCENTS {
            for resets in [false, true] {
                for version in VERSIONS {
                    let cut = Cut {
                        framing,
                        percent,
                        resets,
                        is_continuation,
                    };
                    for replica in &replicas {
                        replica.set_script(Script::Cuts(cut));
                    }
                    number += 1;
                    let (target, id) = (format!("{path}cut-{number}"), format!("cut-{number}"));
                    let received = exchange(fleet.gateway_address, version, &target, &id).await;
                    if let Some(body) = received.whole_body() {
                        assert_eq!(body, Cut::body(&target), "{version} {target}: {cut:?}");
                    }
                }
            }
        }
    }
}

macro_rules! cut {
    ($($name:ident: $path:literal, $is_continuation:literal;)*) => {
        $(
            #[actix_rt::test]
            async fn $name() {
                assert_no_cut_looks_whole($path, $is_continuation).await;
            }
        )*
    };
}

cut! {
    a_cut_response_of_a_repeatable_request_never_looks_whole: "/safe/", false;
    a_cut_response_of_an_unsafe_request_never_looks_whole: "/unsafe/", false;
    a_cut_stream_never_looks_whole: "/plain/", false;
    a_cut_resumable_stream_never_looks_whole: "/resumable/", false;
    a_stream_whose_continuation_is_cut_in_its_head_never_looks_whole: "/resumable/", true;
    a_cut_turn_never_looks_whole: "/kept/", false;
}
