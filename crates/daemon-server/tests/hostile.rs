//! Tests with malformed and hostile requests: they are refused with a clear problem, and the daemon
//! keeps serving.

use awc::Client;
use luglink_daemon_server::{DaemonServer, start};
use luglink_settings::{DaemonSettings, MemberAddress};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Body limit of the test daemon, in bytes.
const MAX_BODY_BYTES: usize = 10_000;

/// Starts a daemon whose control members are unreachable.
fn start_daemon() -> DaemonServer {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    start(&DaemonSettings {
        id: 1,
        zone: "a".to_owned(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        members: vec![MemberAddress {
            id: 1,
            address: unreachable,
        }],
        program_groups: 2,
        platform: None,
        subset_size: 4,
        max_queued_calls: 4,
        max_requests_per_replica: 4,
        history_cache_bytes: 1_000,
        max_body_bytes: MAX_BODY_BYTES,
        engine_poll_ms: 1_000,
        drain_timeout_ms: 1_000,
    })
    .unwrap()
}

struct Answer {
    status: u16,
    body: Value,
}

async fn post(server: &DaemonServer, path: &str, body: impl Into<Vec<u8>>) -> Answer {
    let url = format!("http://{}{path}", server.address);
    let mut response = Client::default()
        .post(url)
        .send_body(body.into())
        .await
        .unwrap();
    let status = response.status().as_u16();
    let body = response.json().await.unwrap_or(Value::Null);
    Answer { status, body }
}

fn assert_problem(answer: &Answer, status: u16, mentions: &str) {
    assert_eq!(answer.status, status, "{}", answer.body);
    assert_eq!(answer.body["executed"], "no", "{}", answer.body);
    assert_eq!(answer.body["status"], status);
    assert!(answer.body["code"].is_string());
    let detail = answer.body["detail"].as_str().unwrap_or_default();
    assert!(
        detail.contains(mentions),
        "`{mentions}` is not in `{detail}`"
    );
}

async fn assert_alive(server: &DaemonServer) {
    let url = format!("http://{}/healthz", server.address);
    let health = Client::default().get(url).send().await.unwrap();
    assert!(health.status().is_success());
}

#[actix_rt::test]
async fn malformed_requests_are_refused_with_the_invalid_field() {
    let server = start_daemon();
    let program = "prg_00000000000000010000000000000001";
    let calls = format!("/v1/programs/{program}/calls");
    let cases: [(&str, &str, u16, &str); 9] = [
        ("/v1/programs", "{", 400, "body"),
        ("/v1/programs", "[]", 400, "body"),
        (
            "/v1/programs",
            "{\"tenant\":\"t\",\"class\":\"c\",\"model\":\"m\",\"colour\":1}",
            400,
            "colour",
        ),
        (
            "/v1/programs",
            "{\"tenant\":\"t\",\"class\":\"c\",\"model\":\"m\",\"budget\":{\"tokens\":-1}}",
            400,
            "-1",
        ),
        (
            "/v1/programs/prg_nothex/calls",
            "{\"messages\":[]}",
            400,
            "program",
        ),
        (&calls, "{\"messages\":[]}", 400, "messages"),
        (
            &calls,
            "{\"messages\":[{\"role\":\"king\",\"content\":\"x\"}]}",
            400,
            "king",
        ),
        (
            "/v1/chat/completions",
            "{\"model\":\"m\",\"messages\":[]}",
            400,
            "messages",
        ),
        ("/nowhere", "", 404, "/nowhere"),
    ];
    for (path, body, status, mentions) in cases {
        assert_problem(&post(&server, path, body).await, status, mentions);
    }
    assert_alive(&server).await;
}

#[actix_rt::test]
async fn too_long_body_is_refused() {
    let server = start_daemon();
    let body = vec![b' '; MAX_BODY_BYTES + 1];
    let answer = post(&server, "/v1/programs", body).await;
    assert_eq!(answer.status, 413, "{}", answer.body);
    assert_eq!(answer.body["executed"], "no");
    assert_alive(&server).await;
}

#[actix_rt::test]
async fn invalid_headers_are_refused() {
    let server = start_daemon();
    let body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    let long = "k".repeat(256);
    let cases: [(&str, &[u8]); 6] = [
        ("x-luglink-sequence", b"first"),
        ("x-luglink-program", b"prg_"),
        ("x-luglink-repeatable", b"perhaps"),
        ("x-luglink-priority", b"urgent"),
        ("idempotency-key", long.as_bytes()),
        ("idempotency-key", b"\xff\xfe"),
    ];
    for (name, value) in cases {
        let url = format!("http://{}/v1/chat/completions", server.address);
        let request = Client::default().post(url).insert_header((name, value));
        let mut response = request.send_body(body).await.unwrap();
        let status = response.status().as_u16();
        let body = response.json().await.unwrap_or(Value::Null);
        assert_eq!(status, 400, "{name}: {body}");
        assert_eq!(body["executed"], "no");
    }
    assert_alive(&server).await;
}

#[actix_rt::test]
async fn without_control_members_a_call_is_not_run() {
    let server = start_daemon();
    let body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
    let answer = post(&server, "/v1/chat/completions", body).await;
    assert_problem(&answer, 503, "configuration");
    assert_eq!(answer.body["code"], "control_unavailable");
}

/// Sends raw bytes and reads the response until the connection closes or the read times out.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

#[actix_rt::test]
async fn paths_with_non_ascii_characters_are_refused() {
    let server = start_daemon();
    let path = "é".repeat(150);
    let request = format!("GET /{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let address = server.address;
    let answer = actix_web::rt::task::spawn_blocking(move || send_raw(address, request.as_bytes()));
    let answer = String::from_utf8_lossy(&answer.await.unwrap()).into_owned();
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert_alive(&server).await;
}

#[actix_rt::test]
async fn random_bytes_are_refused_and_the_daemon_keeps_serving() {
    let server = start_daemon();
    let config = proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..proptest::test_runner::Config::default()
    };
    let mut runner = TestRunner::new(config);
    let garbage = proptest::collection::vec(proptest::num::u8::ANY, 0..300);
    let path = "(GET|POST|FOO) /v1/[a-z/%0-9]{0,30} HTTP/1.[01]\r\n([a-z-]{1,9}: [ -~]{0,20}\r\n){0,3}\r\n";
    let mut refused = 0;
    for _ in 0..20 {
        let bytes = garbage.new_tree(&mut runner).unwrap().current();
        let request = proptest::string::string_regex(path).unwrap();
        let request = request.new_tree(&mut runner).unwrap().current();
        let address = server.address;
        let sent = actix_web::rt::task::spawn_blocking(move || {
            let first = send_raw(address, &bytes);
            let second = send_raw(address, request.as_bytes());
            [first, second]
        });
        let answers = sent.await.unwrap();
        let is_refusal = |answer: &&Vec<u8>| answer.starts_with(b"HTTP/1.1 4");
        refused += answers.iter().filter(is_refusal).count();
    }
    assert!(refused >= 20, "only {refused} were answered with a refusal");
    assert_alive(&server).await;
}
