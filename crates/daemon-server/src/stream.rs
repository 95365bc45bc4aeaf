//! Streamed answers of engines.

use crate::engines::engine_error_event;
use actix_web::web::Bytes;
use awc::error::PayloadError;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use luglink_daemon::EngineEvent;
use luglink_engine_api::{ChatChunk, EngineErrorBody};

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

/// Reads a stream to its end and returns the final event. An answer is complete only if both the
/// usage and the last event have been received.
pub(crate) async fn read_chat_stream(
    response: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    emit: &impl Fn(EngineEvent),
) -> EngineEvent {
    let mut events = response.eventsource();
    let mut usage = None;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return EngineEvent::Broken;
        };
        if event.data == DONE {
            return match usage {
                Some(usage) => EngineEvent::Completed { usage },
                None => EngineEvent::Broken,
            };
        }
        if let Ok(error) = serde_json::from_str::<EngineErrorBody>(&event.data) {
            return engine_error_event(error.error.code);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&event.data) else {
            return EngineEvent::Broken;
        };
        if let Some(reported) = chunk.usage {
            usage = Some(reported.into());
        }
        let parts = chunk.choices.into_iter();
        let text: String = parts.filter_map(|choice| choice.delta.content).collect();
        if !text.is_empty() {
            emit(EngineEvent::Part(text));
        }
    }
    EngineEvent::Broken
}
