//! HTTP client for replicas: calls, lookups and published events.

use crate::actor::{DaemonActor, DaemonEvent};
use crate::engine_events::EngineEventReader;
use crate::lookup::send_lookup;
use crate::stream::read_chat_stream;
use actix::Addr;
use awc::Client;
use awc::error::SendRequestError;
use luglink_daemon::{ChatDispatch, Dispatch, DispatchBody, EngineEvent, Event};
use luglink_engine_api::{
    ChatRequest, EngineErrorBody, EngineErrorCode, EngineEvents, HEADER_ATTEMPT, HEADER_EPOCH,
    HEADER_MODEL_ADAPTER, HEADER_PRIORITY, HEADER_PROGRAM, HEADER_SEQUENCE, HEADER_START_BY,
    StreamOptions,
};
use luglink_routing::{AttemptId, ReplicaInfo};
use luglink_types::EngineId;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::{Instrument, Span};

/// Time within which a replica must send the head of its response. The body may take longer.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Time within which a connection must be established.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a lookup's response or of a replica's event list, in bytes.
pub(crate) const MAX_LOOKUP_BYTES: usize = 8 << 20;

/// Client that sends the actor's requests to replicas and polls their events.
pub(crate) struct EngineClient {
    daemon: Addr<DaemonActor>,
    http: Client,
    running: BTreeMap<AttemptId, actix_rt::task::JoinHandle<()>>,
    watched: BTreeMap<EngineId, WatchedReplica>,
    poll_interval: Duration,
}

struct WatchedReplica {
    info: ReplicaInfo,
    task: actix_rt::task::JoinHandle<()>,
}

impl EngineClient {
    pub(crate) fn new(daemon: Addr<DaemonActor>, poll_interval: Duration) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = Client::builder()
            .connector(connector)
            .timeout(HEAD_TIMEOUT)
            .finish();
        Self {
            daemon,
            http,
            running: BTreeMap::new(),
            watched: BTreeMap::new(),
            poll_interval,
        }
    }

    /// Sends a request in a task of its own, which passes the events to the actor.
    pub(crate) fn dispatch(&mut self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let http = self.http.clone();
        let daemon = self.daemon.clone();
        let span = attempt_span(&dispatch);
        let task = async move {
            let emit =
                |event: EngineEvent| daemon.do_send(DaemonEvent(Event::Engine { attempt, event }));
            let end = match &dispatch.body {
                DispatchBody::Chat(chat) => send_chat(&http, &dispatch.address, chat, &emit).await,
                DispatchBody::Lookup(lookup) => send_lookup(&dispatch.address, lookup).await,
            };
            tracing::debug!(end = event_name(&end), "attempt ended");
            emit(end);
        };
        let task = actix_rt::spawn(task.instrument(span));
        self.running.insert(attempt, task);
    }

    /// Cancels a request at the replica by closing its connection.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(task) = self.running.remove(&attempt) {
            task.abort();
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn forget(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Polls the events of exactly these replicas.
    pub(crate) fn watch(&mut self, replicas: Vec<ReplicaInfo>) {
        self.watched.retain(|_, watched| {
            let keep = replicas.contains(&watched.info);
            if !keep {
                watched.task.abort();
            }
            keep
        });
        for info in replicas {
            if self.watched.contains_key(&info.engine) {
                continue;
            }
            let task = actix_rt::spawn(follow_events(
                self.http.clone(),
                self.daemon.clone(),
                info.clone(),
                self.poll_interval,
            ));
            self.watched
                .insert(info.engine, WatchedReplica { info, task });
        }
    }
}

impl Drop for EngineClient {
    fn drop(&mut self) {
        let watching = self.watched.values().map(|watched| &watched.task);
        for task in self.running.values().chain(watching) {
            task.abort();
        }
    }
}

/// Creates a span that adds the program, call and attempt to every log line about a dispatch.
fn attempt_span(dispatch: &Dispatch) -> Span {
    let (program, sequence, number) = match &dispatch.body {
        DispatchBody::Chat(chat) => (
            chat.program.to_string(),
            chat.sequence.0,
            u64::from(chat.attempt_number.0),
        ),
        DispatchBody::Lookup(lookup) => (lookup.path.clone(), 0, 0),
    };
    tracing::info_span!(
        "attempt",
        program,
        call = sequence,
        attempt = number,
        engine = dispatch.engine.0,
    )
}

fn event_name(event: &EngineEvent) -> &'static str {
    match event {
        EngineEvent::Part(_) => "part",
        EngineEvent::Completed { .. } => "completed",
        EngineEvent::LookupDone { .. } => "lookup_done",
        EngineEvent::NotSent => "not_sent",
        EngineEvent::Rejected => "rejected",
        EngineEvent::Retryable => "retryable",
        EngineEvent::Broken => "broken",
    }
}

async fn send_chat(
    http: &Client,
    address: &str,
    chat: &ChatDispatch,
    emit: &impl Fn(EngineEvent),
) -> EngineEvent {
    let body = ChatRequest {
        model: chat.model.0.clone(),
        messages: chat.messages.clone(),
        max_tokens: Some(chat.max_output_tokens),
        stream: true,
        stream_options: Some(StreamOptions {
            include_usage: true,
        }),
    };
    let mut request = http
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header((HEADER_PROGRAM, chat.program.to_string()))
        .insert_header((HEADER_EPOCH, chat.epoch.to_string()))
        .insert_header((HEADER_SEQUENCE, chat.sequence.to_string()))
        .insert_header((HEADER_START_BY, chat.start_by.as_micros().to_string()))
        .insert_header((HEADER_ATTEMPT, chat.attempt_number.to_string()))
        .insert_header((HEADER_PRIORITY, chat.priority.rank().to_string()));
    if let Some(adapter) = &chat.adapter {
        request = request.insert_header((HEADER_MODEL_ADAPTER, adapter.as_str()));
    }
    match request.send_json(&body).await {
        Err(error) => classify_send_error(&error),
        Ok(mut response) if response.status().is_success() => {
            read_chat_stream(&mut response, emit).await
        }
        Ok(mut response) => match response.json::<EngineErrorBody>().await {
            Ok(body) => engine_error_event(body.error.code),
            Err(_) => EngineEvent::Broken,
        },
    }
}

/// Converts an error that the engine reported.
pub(crate) fn engine_error_event(code: EngineErrorCode) -> EngineEvent {
    match code {
        EngineErrorCode::Rejected | EngineErrorCode::Invalid => EngineEvent::Rejected,
        EngineErrorCode::Retryable => EngineEvent::Retryable,
    }
}

/// Converts a send error. Only a connection that was never established proves that the request was
/// not sent.
fn classify_send_error(error: &SendRequestError) -> EngineEvent {
    tracing::debug!(%error, "request to a replica failed");
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => EngineEvent::NotSent,
        _ => EngineEvent::Broken,
    }
}

/// Polls the events of one replica at `interval`.
async fn follow_events(
    http: Client,
    daemon: Addr<DaemonActor>,
    replica: ReplicaInfo,
    interval: Duration,
) {
    let engine = replica.engine;
    let mut reader = EngineEventReader::default();
    loop {
        let last = reader.last();
        let url = format!("http://{}/events?after={last}", replica.address);
        let result = http
            .get(url)
            .timeout(interval.max(CONNECT_TIMEOUT))
            .send()
            .await;
        let events = match result {
            Ok(mut response) if response.status().is_success() => response
                .json::<EngineEvents>()
                .limit(MAX_LOOKUP_BYTES)
                .await
                .ok(),
            _ => None,
        };
        if let Some(events) = events {
            for event in reader.convert(engine, events) {
                daemon.do_send(DaemonEvent(event));
            }
        }
        actix_rt::time::sleep(interval).await;
    }
}
