//! The emulator on a socket.

use crate::engine::config::EngineConfig;
use crate::engine::core::{EngineCore, EngineOutput, Rejection};
use crate::engine::sequence::EngineRequest;
use crate::engine::text::answer_marker;
use crate::observe::{Execution, Observer};
use actix::prelude::*;
use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_TYPE;
use actix_web::web::{Bytes, Data, Json, JsonConfig, Query};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use futures_util::Stream;
use luglink_engine_api::{
    ChatChunk, ChatRequest, EngineError, EngineErrorBody, EngineErrorCode, EngineEvents,
    EngineOrder, HEADER_ATTEMPT, HEADER_EPOCH, HEADER_MODEL_ADAPTER, HEADER_PRIORITY,
    HEADER_PROGRAM, HEADER_SEQUENCE, HEADER_START_BY, OrderResponse,
};
use luglink_routing::BlockHash;
use luglink_types::{EngineId, Epoch, ProgramId, Timestamp, TokenUsage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Header by which a caller says that it may come back for the stream.
const HEADER_RESUMABLE: &str = "x-luglink-resumable";

/// Time for which the stream of a caller that may come back is kept.
const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// An engine on a socket.
pub struct EngineServer {
    /// Its address.
    pub address: SocketAddr,
    actor: Addr<EngineActor>,
    server: ServerHandle,
}

impl EngineServer {
    /// Starts an engine on the current actix thread.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(
        engine: EngineId,
        listen: SocketAddr,
        config: EngineConfig,
        seed: u64,
        started: Instant,
        observer: Observer,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let actor = EngineActor {
            engine,
            core: EngineCore::new(config, seed),
            started,
            observer,
            last_request: 0,
            streams: BTreeMap::new(),
            timer: None,
            hung: false,
            events_dropped: false,
        }
        .start();
        let shared = Data::new(actor.clone());
        let server =
            HttpServer::new(move || {
                App::new()
                    .app_data(shared.clone())
                    .app_data(JsonConfig::default().limit(MAX_BODY_BYTES).error_handler(
                        |error, _| {
                            let response = refuse(EngineErrorCode::Invalid, &error.to_string());
                            actix_web::error::InternalError::from_response(error, response).into()
                        },
                    ))
                    .route("/v1/chat/completions", web::post().to(chat))
                    .route("/v1/streams/{key:.*}", web::get().to(resume))
                    .route("/events", web::get().to(events))
                    .route("/orders", web::post().to(orders))
                    .route("/kv/export", web::post().to(export))
                    .route("/kv/import", web::post().to(import))
            })
            .workers(1)
            .disable_signals()
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            address,
            actor,
            server: handle,
        })
    }

    /// Stops at once, as a crash does: every stream breaks.
    pub async fn crash(&self) {
        self.actor.do_send(Fault::Crash);
        self.server.stop(false).await;
    }

    /// Brings a fault about, or ends it.
    pub fn fault(&self, fault: Fault) {
        self.actor.do_send(fault);
    }

    /// Looks at the engine's inside.
    pub async fn inspect<T: Send + 'static>(
        &self,
        look: impl FnOnce(&EngineCore, Timestamp) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.actor.do_send(Inspect(Box::new(move |core, now| {
            let _ = sender.send(look(core, now));
        })));
        receiver.await.ok()
    }
}

/// Identifies a stream that can be resumed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StreamKey(String);

struct StreamState {
    key: StreamKey,
    model: String,
    outputs: Vec<EngineOutput>,
    subscriber: Option<mpsc::UnboundedSender<EngineOutput>>,
    resumable: bool,
}

struct EngineActor {
    engine: EngineId,
    core: EngineCore,
    started: Instant,
    observer: Observer,
    last_request: u64,
    streams: BTreeMap<u64, StreamState>,
    timer: Option<SpawnHandle>,
    hung: bool,
    events_dropped: bool,
}

impl EngineActor {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO.plus(self.started.elapsed())
    }

    fn run(&mut self, context: &mut Context<Self>) {
        if self.hung {
            return;
        }
        let now = self.now();
        for output in self.core.advance(now) {
            self.pass_on(output);
        }
        if let Some(timer) = self.timer.take() {
            context.cancel_future(timer);
        }
        if let Some(next) = self.core.next_event_at() {
            let wait = next.since(self.now());
            self.timer = Some(context.run_later(wait, |actor, context| actor.run(context)));
        }
    }

    fn pass_on(&mut self, output: EngineOutput) {
        let (request, finished) = match &output {
            EngineOutput::Token { request, .. } => (*request, false),
            EngineOutput::Finished { request, .. } => (*request, true),
        };
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        if stream.resumable {
            stream.outputs.push(output.clone());
        }
        if let Some(subscriber) = &stream.subscriber {
            let _ = subscriber.send(output);
        }
        if finished && !stream.resumable {
            self.streams.remove(&request);
        }
    }
}

impl Actor for EngineActor {
    type Context = Context<Self>;
}

#[derive(Message)]
#[rtype(result = "Result<Subscription, Rejection>")]
struct Submit {
    request: EngineRequest,
    key: StreamKey,
    execution: Execution,
    resumable: bool,
}

/// A place in the stream of a request.
struct Subscription {
    request: u64,
    model: String,
    outputs: mpsc::UnboundedReceiver<EngineOutput>,
}

impl Handler<Submit> for EngineActor {
    type Result = Result<Subscription, Rejection>;

    fn handle(&mut self, submit: Submit, context: &mut Self::Context) -> Self::Result {
        let now = self.now();
        self.last_request += 1;
        let mut request = submit.request;
        request.id = self.last_request;
        let id = request.id;
        let model = request.model.clone();
        self.core.submit(&request, now)?;
        self.observer.executed(Execution {
            engine: self.engine,
            at: now,
            ..submit.execution
        });
        let (sender, outputs) = mpsc::unbounded_channel();
        self.streams.insert(
            id,
            StreamState {
                key: submit.key,
                model: model.clone(),
                outputs: Vec::new(),
                subscriber: Some(sender),
                resumable: submit.resumable,
            },
        );
        self.run(context);
        Ok(Subscription {
            request: id,
            model,
            outputs,
        })
    }
}

#[derive(Message)]
#[rtype(result = "Option<Subscription>")]
struct Resume {
    key: StreamKey,
    from: usize,
}

impl Handler<Resume> for EngineActor {
    type Result = Option<Subscription>;

    fn handle(&mut self, resume: Resume, _: &mut Self::Context) -> Self::Result {
        let (request, stream) = self
            .streams
            .iter_mut()
            .find(|(_, stream)| stream.key == resume.key)?;
        let (sender, outputs) = mpsc::unbounded_channel();
        for output in stream.outputs.iter().skip(resume.from) {
            let _ = sender.send(output.clone());
        }
        stream.subscriber = Some(sender);
        Some(Subscription {
            request: *request,
            model: stream.model.clone(),
            outputs,
        })
    }
}

/// The reader of a stream is gone.
#[derive(Message)]
#[rtype(result = "()")]
struct Gone {
    request: u64,
}

impl Handler<Gone> for EngineActor {
    type Result = ();

    fn handle(&mut self, gone: Gone, context: &mut Self::Context) {
        let resumable = self
            .streams
            .get(&gone.request)
            .is_some_and(|stream| stream.resumable);
        if !resumable {
            self.streams.remove(&gone.request);
            let now = self.now();
            self.core.cancel(gone.request, now);
            self.run(context);
            return;
        }
        if let Some(stream) = self.streams.get_mut(&gone.request) {
            stream.subscriber = None;
        }
        context.run_later(RESUME_WINDOW, move |actor, context| {
            let abandoned = actor
                .streams
                .get(&gone.request)
                .is_some_and(|stream| stream.subscriber.is_none());
            if abandoned {
                actor.streams.remove(&gone.request);
                let now = actor.now();
                actor.core.cancel(gone.request, now);
                actor.run(context);
            }
        });
    }
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Message)]
#[rtype(result = "()")]
pub enum Fault {
    /// The process dies.
    Crash,
    /// It accepts requests and does nothing, or goes on.
    Hang(bool),
    /// Every step takes this many times longer.
    Slow(u32),
    /// It takes no new work, or takes it again.
    Leave(bool),
    /// It publishes nothing, or goes on.
    DropEvents(bool),
}

impl Handler<Fault> for EngineActor {
    type Result = ();

    fn handle(&mut self, fault: Fault, context: &mut Self::Context) {
        match fault {
            Fault::Crash => {
                self.streams.clear();
                context.stop();
            }
            Fault::Hang(hung) => self.hung = hung,
            Fault::Slow(factor) => self.core.set_slowdown(factor),
            Fault::Leave(leaving) => self.core.set_draining(leaving),
            Fault::DropEvents(dropped) => self.events_dropped = dropped,
        }
        self.run(context);
    }
}

/// Looks at the engine's inside.
type Look = Box<dyn FnOnce(&EngineCore, Timestamp) + Send>;

#[derive(Message)]
#[rtype(result = "()")]
struct Inspect(Look);

impl Handler<Inspect> for EngineActor {
    type Result = ();

    fn handle(&mut self, inspect: Inspect, _: &mut Self::Context) {
        let now = self.now();
        (inspect.0)(&self.core, now);
    }
}

#[derive(Message)]
#[rtype(result = "Option<EngineEvents>")]
struct ReadEvents {
    after: u64,
}

impl Handler<ReadEvents> for EngineActor {
    type Result = Option<EngineEvents>;

    fn handle(&mut self, read: ReadEvents, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        (!self.events_dropped && !self.hung).then(|| self.core.events(read.after, now))
    }
}

#[derive(Message)]
#[rtype(result = "OrderResponse")]
struct Order(EngineOrder);

impl Handler<Order> for EngineActor {
    type Result = MessageResult<Order>;

    fn handle(&mut self, order: Order, context: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let answer = self.core.order(&order.0, now);
        self.run(context);
        MessageResult(answer)
    }
}

#[derive(Message)]
#[rtype(result = "Vec<BlockHash>")]
struct Export(ProgramId);

impl Handler<Export> for EngineActor {
    type Result = MessageResult<Export>;

    fn handle(&mut self, export: Export, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.core.export(export.0))
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct Import(ProgramId, Vec<BlockHash>);

impl Handler<Import> for EngineActor {
    type Result = ();

    fn handle(&mut self, import: Import, context: &mut Self::Context) {
        let now = self.now();
        self.core.import(import.0, import.1, now);
        self.run(context);
    }
}

fn refuse(code: EngineErrorCode, message: &str) -> HttpResponse {
    let status = match code {
        EngineErrorCode::Rejected => StatusCode::SERVICE_UNAVAILABLE,
        EngineErrorCode::Retryable => StatusCode::INTERNAL_SERVER_ERROR,
        EngineErrorCode::Invalid => StatusCode::BAD_REQUEST,
    };
    HttpResponse::build(status).json(EngineErrorBody {
        error: EngineError {
            message: message.to_owned(),
            code,
        },
    })
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn number(request: &HttpRequest, name: &str) -> u64 {
    header(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// Whether the time at which a request may start has passed; 0 for a request that names none.
fn is_expired(start_by_micros: u64) -> bool {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    start_by_micros > 0 && now.as_micros() > u128::from(start_by_micros)
}

async fn chat(
    http: HttpRequest,
    actor: Data<Addr<EngineActor>>,
    body: Json<ChatRequest>,
) -> HttpResponse {
    let body = body.into_inner();
    let program = header(&http, HEADER_PROGRAM).and_then(|text| text.parse().ok());
    let epoch = Epoch(number(&http, HEADER_EPOCH));
    let sequence = number(&http, HEADER_SEQUENCE);
    let attempt = number(&http, HEADER_ATTEMPT);
    let priority = u8::try_from(number(&http, HEADER_PRIORITY)).unwrap_or(u8::MAX);
    let key = format!(
        "{}/{sequence}/{attempt}",
        program
            .map(|program: ProgramId| program.to_string())
            .unwrap_or_default()
    );
    if is_expired(number(&http, HEADER_START_BY)) {
        return refuse(
            EngineErrorCode::Rejected,
            &format!("{:?}", Rejection::Expired),
        );
    }
    let request = EngineRequest {
        id: 0,
        program,
        epoch,
        priority,
        model: body.model,
        adapter: header(&http, HEADER_MODEL_ADAPTER).map(str::to_owned),
        messages: body.messages,
        max_tokens: body.max_tokens.unwrap_or(u64::MAX),
    };
    let execution = Execution::of(&request, sequence, attempt);
    let submitted = actor
        .send(Submit {
            request,
            key: StreamKey(key),
            execution,
            resumable: header(&http, HEADER_RESUMABLE) == Some("true"),
        })
        .await;
    match submitted {
        Ok(Ok(subscription)) => stream(&actor, subscription),
        Ok(Err(rejection)) => refuse(EngineErrorCode::Rejected, &format!("{rejection:?}")),
        Err(_) => refuse(EngineErrorCode::Rejected, "the engine is stopping"),
    }
}

fn stream(actor: &Addr<EngineActor>, subscription: Subscription) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((CONTENT_TYPE, "text/event-stream"))
        .streaming(TokenStream {
            actor: actor.clone(),
            subscription,
            ended: false,
        })
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

async fn resume(
    actor: Data<Addr<EngineActor>>,
    key: web::Path<String>,
    query: Query<ResumeQuery>,
) -> HttpResponse {
    let resume = Resume {
        key: StreamKey(key.into_inner()),
        from: query.from,
    };
    match actor.send(resume).await {
        Ok(Some(subscription)) => stream(&actor, subscription),
        _ => refuse(EngineErrorCode::Invalid, "no such stream is kept"),
    }
}

/// Tokens as server-sent events.
struct TokenStream {
    actor: Addr<EngineActor>,
    subscription: Subscription,
    ended: bool,
}

impl TokenStream {
    fn write(&mut self, output: EngineOutput) -> String {
        let model = &self.subscription.model;
        match output {
            EngineOutput::Token { text, .. } => data(&ChatChunk::part("", model, text)),
            EngineOutput::Finished { usage, .. } => {
                self.ended = true;
                end_of_stream(model, usage)
            }
        }
    }
}

fn end_of_stream(model: &str, usage: TokenUsage) -> String {
    let stop = data(&ChatChunk::stop("", model));
    let usage = data(&ChatChunk::usage("", model, usage));
    format!("{stop}{usage}data: [DONE]\n\n")
}

fn data(chunk: &ChatChunk) -> String {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}

impl Stream for TokenStream {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut TaskContext<'_>,
    ) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.subscription.outputs.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            // The engine died: the connection must break, not end.
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(std::io::Error::from(
                    std::io::ErrorKind::ConnectionReset,
                ))))
            }
            Poll::Ready(Some(output)) => Poll::Ready(Some(Ok(Bytes::from(self.write(output))))),
        }
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.subscription.request;
            self.actor.do_send(Gone { request });
        }
    }
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn events(actor: Data<Addr<EngineActor>>, query: Query<EventsQuery>) -> HttpResponse {
    match actor.send(ReadEvents { after: query.after }).await {
        Ok(Some(events)) => HttpResponse::Ok().json(events),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn orders(actor: Data<Addr<EngineActor>>, order: Json<EngineOrder>) -> HttpResponse {
    match actor.send(Order(order.into_inner())).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Blocks of a program on their way between engines.
#[derive(Serialize, Deserialize)]
struct KvBlocks {
    program: String,
    #[serde(default)]
    blocks: Vec<u64>,
}

async fn export(actor: Data<Addr<EngineActor>>, body: Json<KvBlocks>) -> HttpResponse {
    let body = body.into_inner();
    let Ok(program) = body.program.parse() else {
        return refuse(EngineErrorCode::Invalid, "program is not an identifier");
    };
    match actor.send(Export(program)).await {
        Ok(blocks) => HttpResponse::Ok().json(KvBlocks {
            program: body.program,
            blocks: blocks.into_iter().map(|block| block.0).collect(),
        }),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn import(actor: Data<Addr<EngineActor>>, body: Json<KvBlocks>) -> HttpResponse {
    let body = body.into_inner();
    let Ok(program) = body.program.parse() else {
        return refuse(EngineErrorCode::Invalid, "program is not an identifier");
    };
    let blocks = body.blocks.into_iter().map(BlockHash).collect();
    match actor.send(Import(program, blocks)).await {
        Ok(()) => HttpResponse::Accepted().finish(),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

impl Execution {
    /// What an observer notes of a request.
    #[must_use]
    pub fn of(request: &EngineRequest, sequence: u64, attempt: u64) -> Self {
        let planned = crate::engine::text::PlannedAnswer::of(&request.messages);
        Self {
            engine: EngineId::default(),
            at: Timestamp::ZERO,
            program: request.program,
            epoch: request.epoch,
            sequence,
            attempt,
            marker: answer_marker(planned.request()),
            prompt: request.messages.clone(),
            output_tokens: planned.tokens.min(request.max_tokens),
        }
    }
}
