//! HTTP interface for callers.

use crate::actor::{CallerRequest, DaemonActor, DaemonEvent, IsReady, RenderMetrics};
use crate::api::{CallAnswer, CallBody, CreateBody, ProgramBody, ProgramCreated};
use crate::parse;
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::http::header::{ACCEPT, CONTENT_TYPE, RETRY_AFTER};
use actix_web::web::{Bytes, Data, Path, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use futures_util::Stream;
use luglink_daemon::{Answer, CallRequest, CallTarget, Event, TicketId};
use luglink_engine_api::{ChatChunk, ChatCompletion, ChatRequest, HEADER_PROGRAM, Problem};
use luglink_types::{ProgramId, Refusal, RefusalCode};
use serde::Deserialize;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use tracing::{Instrument, Span};

const PROBLEM_JSON: &str = "application/problem+json";
const EVENT_STREAM: &str = "text/event-stream";

/// Body of a request, or the error of reading it.
type Body = Result<Bytes, actix_web::Error>;

/// Response to a body that is too long or incomplete.
fn body_error(error: &actix_web::Error) -> HttpResponse {
    let refusal = Refusal::not_run(RefusalCode::InvalidRequest, format!("body: {error}"));
    let status = error.as_response_error().status_code();
    problem_with_status(&refusal, status)
}

/// State shared by all handlers.
pub(crate) struct Shared {
    pub(crate) daemon: Addr<DaemonActor>,
    pub(crate) last_ticket: AtomicU64,
}

/// Answers to one request. If it is dropped before the final answer, the daemon is notified that
/// the caller has disconnected.
struct Answers {
    ticket: TicketId,
    receiver: mpsc::UnboundedReceiver<Answer>,
    daemon: Addr<DaemonActor>,
    finished: bool,
}

impl Answers {
    /// Returns the next answer, or a refusal if the daemon has stopped without sending one.
    async fn next(&mut self) -> Answer {
        let answer = self.receiver.recv().await.unwrap_or_else(daemon_stopped);
        self.record_final(&answer);
        answer
    }

    fn record_final(&mut self, answer: &Answer) {
        self.finished |= !matches!(answer, Answer::Part(_));
    }

    /// Returns the final answer and discards parts.
    async fn final_answer(mut self) -> Answer {
        loop {
            let answer = self.next().await;
            if self.finished {
                return answer;
            }
        }
    }
}

fn daemon_stopped() -> Answer {
    Answer::Refused(Refusal::uncertain(
        RefusalCode::OutcomeUnknown,
        "the daemon stopped before it could answer",
    ))
}

impl Drop for Answers {
    fn drop(&mut self) {
        if !self.finished {
            let ticket = self.ticket;
            self.daemon
                .do_send(DaemonEvent(Event::CallerGone { ticket }));
        }
    }
}

fn submit(shared: &Shared, event: impl FnOnce(TicketId) -> Event) -> Answers {
    let ticket = TicketId(shared.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
    let (sender, receiver) = mpsc::unbounded_channel();
    shared.daemon.do_send(CallerRequest {
        ticket,
        event: event(ticket),
        answers: sender,
    });
    Answers {
        ticket,
        receiver,
        daemon: shared.daemon.clone(),
        finished: false,
    }
}

/// Registers the routes.
pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/programs", web::post().to(create_program))
        .route("/v1/programs/{program}", web::get().to(view_program))
        .route("/v1/programs/{program}", web::delete().to(end_program))
        .route("/v1/programs/{program}/calls", web::post().to(call_program))
        .route("/v1/chat/completions", web::post().to(chat_completions))
        .route("/v1/services/{service}/{path:.*}", web::route().to(lookup))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .default_service(web::route().to(not_found));
}

async fn create_program(request: HttpRequest, shared: Data<Shared>, body: Body) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return body_error(&error),
    };
    let parsed = parse::json::<CreateBody>(&body).and_then(|body| parse::create(&request, body));
    let create = match parsed {
        Ok(create) => create,
        Err(refusal) => return problem_response(&refusal),
    };
    let answers = submit(&shared, |ticket| Event::Create {
        ticket,
        request: create,
    });
    match answers.final_answer().await {
        Answer::Created(owned) => {
            HttpResponse::Created().json(ProgramCreated::from(owned.as_ref()))
        }
        answer => problem_or_internal_error(&answer),
    }
}

async fn view_program(shared: Data<Shared>, path: Path<String>) -> HttpResponse {
    let program = match parse::program_id(&path) {
        Ok(program) => program,
        Err(refusal) => return problem_response(&refusal),
    };
    let answers = submit(&shared, |ticket| Event::View { ticket, program });
    match answers.final_answer().await {
        Answer::View(view) => HttpResponse::Ok().json(ProgramBody::from(*view)),
        answer => problem_or_internal_error(&answer),
    }
}

#[derive(Debug, Default, Deserialize)]
struct EndQuery {
    #[serde(default)]
    abandoned: bool,
}

async fn end_program(
    shared: Data<Shared>,
    path: Path<String>,
    query: Query<EndQuery>,
) -> HttpResponse {
    let program = match parse::program_id(&path) {
        Ok(program) => program,
        Err(refusal) => return problem_response(&refusal),
    };
    let answers = submit(&shared, |ticket| Event::End {
        ticket,
        program,
        abandoned: query.abandoned,
    });
    match answers.final_answer().await {
        Answer::Ended => HttpResponse::NoContent().finish(),
        answer => problem_or_internal_error(&answer),
    }
}

async fn call_program(
    request: HttpRequest,
    shared: Data<Shared>,
    path: Path<String>,
    body: Body,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return body_error(&error),
    };
    let stream = accepts_stream(&request);
    let parsed = parse::program_id(&path).and_then(|program| {
        let body = parse::json::<CallBody>(&body)?;
        parse::call(&request, program, body, stream)
    });
    let call = match parsed {
        Ok(call) => call,
        Err(refusal) => return problem_response(&refusal),
    };
    let span = call_span(&call);
    run_call(&shared, call, AnswerFormat::Native)
        .instrument(span)
        .await
}

/// Creates a span that adds the program and the caller's key to every log line about a call.
fn call_span(call: &CallRequest) -> Span {
    let program = match &call.target {
        CallTarget::Existing(program) => program.to_string(),
        CallTarget::OneShot(_) => String::new(),
    };
    let key = call.key.as_ref().map_or("", |key| key.as_str());
    tracing::info_span!("call", program, key)
}

async fn chat_completions(request: HttpRequest, shared: Data<Shared>, body: Body) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return body_error(&error),
    };
    let parsed = parse::json::<ChatRequest>(&body).and_then(|body| {
        let format = AnswerFormat::OpenAi {
            model: body.model.clone(),
            include_usage: body
                .stream_options
                .is_some_and(|options| options.include_usage),
        };
        Ok((parse::chat(&request, body)?, format))
    });
    match parsed {
        Ok((call, format)) => {
            let span = call_span(&call);
            run_call(&shared, call, format).instrument(span).await
        }
        Err(refusal) => problem_response(&refusal),
    }
}

/// Format of a call's answer.
#[derive(Clone, Debug)]
enum AnswerFormat {
    /// Format of luglink.
    Native,
    /// OpenAI-compatible format.
    OpenAi { model: String, include_usage: bool },
}

impl AnswerFormat {
    fn part_event(&self, text: String) -> String {
        match self {
            Self::Native => sse_event("part", &serde_json::json!({ "content": text })),
            Self::OpenAi { model, .. } => sse_data(&ChatChunk::part("", model, text)),
        }
    }

    fn final_event(&self, program: ProgramId, answer: luglink_program::StoredAnswer) -> String {
        match self {
            Self::Native => sse_event("answer", &CallAnswer::new(program, answer)),
            Self::OpenAi {
                model,
                include_usage,
            } => {
                let id = program.to_string();
                let mut text = sse_data(&ChatChunk::stop(&id, model));
                if *include_usage {
                    text.push_str(&sse_data(&ChatChunk::usage(&id, model, answer.usage)));
                }
                text.push_str("data: [DONE]\n\n");
                text
            }
        }
    }

    fn whole_response(
        &self,
        program: ProgramId,
        answer: luglink_program::StoredAnswer,
    ) -> HttpResponse {
        let mut response = HttpResponse::Ok();
        response.insert_header((HEADER_PROGRAM, program.to_string()));
        match self {
            Self::Native => response.json(CallAnswer::new(program, answer)),
            Self::OpenAi { model, .. } => {
                let id = format!("{program}-{}", answer.sequence);
                let completion = ChatCompletion::new(id, model.clone(), answer.text, answer.usage);
                response.json(completion)
            }
        }
    }
}

fn sse_event(name: &str, body: &impl serde::Serialize) -> String {
    format!("event: {name}\n{}", sse_data(body))
}

fn sse_data(body: &impl serde::Serialize) -> String {
    let json = serde_json::to_string(body).unwrap_or_default();
    format!("data: {json}\n\n")
}

async fn run_call(shared: &Shared, call: CallRequest, format: AnswerFormat) -> HttpResponse {
    let stream = call.stream;
    let mut answers = submit(shared, |ticket| Event::Call {
        ticket,
        request: call,
    });
    if !stream {
        return match answers.final_answer().await {
            Answer::Completed { program, answer } => format.whole_response(program, answer),
            answer => {
                if let Answer::Refused(refusal) = &answer {
                    log_refusal(refusal);
                }
                problem_or_internal_error(&answer)
            }
        };
    }
    // The status line is sent after the first answer, so that a refusal gets its own status code
    // instead of an event in a stream.
    let first = answers.next().await;
    if let Answer::Refused(refusal) = &first {
        log_refusal(refusal);
        return problem_response(refusal);
    }
    HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, EVENT_STREAM))
        .streaming(CallStream {
            answers,
            format,
            first: Some(first),
            ended: false,
        })
}

fn log_refusal(refusal: &Refusal) {
    let code = refusal.code.as_str();
    tracing::info!(code, executed = ?refusal.executed, detail = refusal.detail, "call refused");
}

/// A call's answer as server-sent events.
struct CallStream {
    answers: Answers,
    format: AnswerFormat,
    first: Option<Answer>,
    ended: bool,
}

impl CallStream {
    fn write(&mut self, answer: Answer) -> String {
        match answer {
            Answer::Part(text) => self.format.part_event(text),
            Answer::Completed { program, answer } => {
                self.ended = true;
                self.format.final_event(program, answer)
            }
            Answer::Refused(refusal) => {
                self.ended = true;
                sse_event("problem", &Problem::from(&refusal))
            }
            _ => {
                self.ended = true;
                String::new()
            }
        }
    }
}

impl Stream for CallStream {
    type Item = Result<Bytes, std::convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let answer = match self.first.take() {
            Some(answer) => answer,
            None => match self.answers.receiver.poll_recv(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(answer) => answer.unwrap_or_else(daemon_stopped),
            },
        };
        self.answers.record_final(&answer);
        let text = self.write(answer);
        Poll::Ready(Some(Ok(Bytes::from(text))))
    }
}

async fn lookup(
    request: HttpRequest,
    shared: Data<Shared>,
    path: Path<(String, String)>,
    body: Body,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return body_error(&error),
    };
    let (service, rest) = path.into_inner();
    let lookup = match parse::lookup(&request, &service, &rest, &body) {
        Ok(lookup) => lookup,
        Err(refusal) => return problem_response(&refusal),
    };
    let answers = submit(&shared, |ticket| Event::Lookup {
        ticket,
        request: lookup,
    });
    match answers.final_answer().await {
        Answer::Lookup {
            status,
            content_type,
            body,
        } => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = HttpResponseBuilder::new(status);
            if let Some(content_type) = content_type {
                response.insert_header((CONTENT_TYPE, content_type));
            }
            response.body(body)
        }
        answer => problem_or_internal_error(&answer),
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(shared: Data<Shared>) -> HttpResponse {
    if shared.daemon.send(IsReady).await.unwrap_or(false) {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn metrics(shared: Data<Shared>) -> HttpResponse {
    match shared.daemon.send(RenderMetrics).await {
        Ok(Some(text)) => HttpResponse::Ok()
            .insert_header((CONTENT_TYPE, "text/plain; version=0.0.4"))
            .body(text),
        _ => HttpResponse::InternalServerError().finish(),
    }
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    let mut refusal = Refusal::not_run(
        RefusalCode::InvalidRequest,
        format!("no route for {} {}", request.method(), request.path()),
    );
    let end = refusal.detail.floor_char_boundary(MAX_DETAIL_BYTES);
    refusal.detail.truncate(end);
    problem_with_status(&refusal, StatusCode::NOT_FOUND)
}

/// Maximum length of a detail that contains the caller's input, in bytes.
const MAX_DETAIL_BYTES: usize = 200;

fn accepts_stream(request: &HttpRequest) -> bool {
    request
        .headers()
        .get(ACCEPT)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|accept| accept.contains(EVENT_STREAM))
}

fn problem_or_internal_error(answer: &Answer) -> HttpResponse {
    match answer {
        Answer::Refused(refusal) => problem_response(refusal),
        _ => HttpResponse::InternalServerError().finish(),
    }
}

/// Response with a refusal as problem JSON.
pub(crate) fn problem_response(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    problem_with_status(refusal, status)
}

fn problem_with_status(refusal: &Refusal, status: StatusCode) -> HttpResponse {
    let mut response = HttpResponseBuilder::new(status);
    response.insert_header((CONTENT_TYPE, PROBLEM_JSON));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    let mut body = Problem::from(refusal);
    body.status = status.as_u16();
    response.body(serde_json::to_string(&body).unwrap_or_default())
}
