//! A caller's HTTP requests to a daemon.

use actix_web::web::Bytes;
use awc::Client;
use awc::error::{PayloadError, SendRequestError};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use luglink_engine_api::{HEADER_IDEMPOTENCY_KEY, HEADER_REPEATABLE, Problem, Usage};
use luglink_types::{RefusalCode, TokenUsage};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a caller gives a request up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What a caller gets for one sending of a request.
#[derive(Debug)]
pub(crate) enum Sent<T> {
    /// The answer.
    Answered(T),
    /// A refusal.
    Refused(Problem),
    /// No answer: the connection broke.
    Broken,
    /// No answer: the connection was never made.
    NotConnected,
}

/// A streamed answer and when its parts came.
#[derive(Debug)]
pub(crate) struct StreamedAnswer {
    pub(crate) text: String,
    pub(crate) usage: TokenUsage,
    pub(crate) first_part_at: Option<Instant>,
    pub(crate) gaps: Vec<Duration>,
}

#[derive(Deserialize)]
struct Created {
    program: String,
}

#[derive(Deserialize)]
struct AnswerBody {
    content: String,
    usage: Usage,
}

/// A client for one thread.
pub(crate) fn new_client() -> Client {
    Client::builder().timeout(REQUEST_TIMEOUT).finish()
}

/// The code of a refusal.
pub(crate) fn code_of(problem: &Problem) -> Option<RefusalCode> {
    let codes = RefusalCode::ALL.iter().copied();
    codes.into_iter().find(|code| code.as_str() == problem.code)
}

pub(crate) async fn create_program(
    client: &Client,
    daemon: SocketAddr,
    key: &str,
    body: &serde_json::Value,
) -> Sent<String> {
    let request = client
        .post(format!("http://{daemon}/v1/programs"))
        .insert_header((HEADER_IDEMPOTENCY_KEY, key));
    let mut response = match request.send_json(body).await {
        Ok(response) => response,
        Err(error) => return unanswered(&error),
    };
    if !response.status().is_success() {
        return refused(response.json::<Problem>().await.ok());
    }
    match response.json::<Created>().await {
        Ok(created) => Sent::Answered(created.program),
        Err(_) => Sent::Broken,
    }
}

/// Whether the program is known to have ended.
pub(crate) async fn end_program(client: &Client, daemon: SocketAddr, program: &str) -> Sent<()> {
    let request = client.delete(format!("http://{daemon}/v1/programs/{program}"));
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(error) => return unanswered(&error),
    };
    if response.status().is_success() {
        return Sent::Answered(());
    }
    refused(response.json::<Problem>().await.ok())
}

/// A call as its caller sends it.
pub(crate) struct CallToSend<'a> {
    pub(crate) program: &'a str,
    pub(crate) key: &'a str,
    pub(crate) text: &'a str,
    pub(crate) max_tokens: u64,
    pub(crate) repeatable: bool,
}

pub(crate) async fn call(
    client: &Client,
    daemon: SocketAddr,
    call: &CallToSend<'_>,
) -> Sent<StreamedAnswer> {
    let body = json!({
        "messages": [{ "role": "user", "content": call.text }],
        "max_tokens": call.max_tokens,
        "repeatable": call.repeatable,
    });
    let request = client
        .post(format!(
            "http://{daemon}/v1/programs/{}/calls",
            call.program
        ))
        .insert_header((HEADER_IDEMPOTENCY_KEY, call.key))
        .insert_header(("accept", "text/event-stream"));
    let mut response = match request.send_json(&body).await {
        Ok(response) => response,
        Err(error) => return unanswered(&error),
    };
    if !response.status().is_success() {
        return refused(response.json::<Problem>().await.ok());
    }
    read_stream(&mut response).await
}

async fn read_stream(
    response: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
) -> Sent<StreamedAnswer> {
    let mut events = response.eventsource();
    let mut first_part_at = None;
    let mut last_part_at: Option<Instant> = None;
    let mut gaps = Vec::new();
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "part" => {
                let now = Instant::now();
                first_part_at.get_or_insert(now);
                gaps.extend(last_part_at.map(|last| now - last));
                last_part_at = Some(now);
            }
            "answer" => {
                return match serde_json::from_str::<AnswerBody>(&event.data) {
                    Ok(answer) => Sent::Answered(StreamedAnswer {
                        text: answer.content,
                        usage: answer.usage.into(),
                        first_part_at,
                        gaps,
                    }),
                    Err(_) => Sent::Broken,
                };
            }
            "problem" => return refused(serde_json::from_str(&event.data).ok()),
            _ => {}
        }
    }
    Sent::Broken
}

pub(crate) async fn lookup(
    client: &Client,
    daemon: SocketAddr,
    service: &str,
    request: &str,
    repeatable: bool,
) -> Sent<String> {
    let sent = client
        .get(format!(
            "http://{daemon}/v1/services/{service}/lookup/{request}"
        ))
        .insert_header((HEADER_REPEATABLE, repeatable.to_string()))
        .send()
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return unanswered(&error),
    };
    if !response.status().is_success() {
        return refused(response.json::<Problem>().await.ok());
    }
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => Sent::Answered(String::from_utf8_lossy(&body).into_owned()),
        Err(_) => Sent::Broken,
    }
}

pub(crate) async fn run_tool(client: &Client, tools: SocketAddr, milliseconds: u64) {
    let request = client.post(format!("http://{tools}/run?milliseconds={milliseconds}"));
    // A tool that fails is a tool that is over.
    let _ = request.send().await;
}

fn unanswered<T>(error: &SendRequestError) -> Sent<T> {
    match error {
        SendRequestError::Connect(_) => Sent::NotConnected,
        _ => Sent::Broken,
    }
}

fn refused<T>(problem: Option<Problem>) -> Sent<T> {
    match problem {
        Some(problem) => Sent::Refused(problem),
        None => Sent::Broken,
    }
}
