//! Turns whose streams callers resume. A turn is kept whole, so its events before the resumption must be
//! known: the response is only sent on if they are.

use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, header_text};
use crate::refusal::Refusal;
use crate::stream_lookup::StreamLookup;
use http::HeaderMap;
use luglink_edge::HeaderNames;
use luglink_turns::{KnownOutput, StreamOutput, TurnId, is_later_event};

/// Turn that continues a stream.
#[derive(Clone, Debug)]
pub(crate) struct ResumedTurn {
    /// Request that began the stream, or resumed it earlier, as the caller names it.
    pub(crate) stream: TurnId,
    /// Events of the answer before the ones that the replica is to send.
    pub(crate) output: StreamOutput,
    /// Event after which the replica is to continue: the last one of the output.
    pub(crate) continues_after: String,
    /// Last event that the caller has, if the output ends before it. The replica sends the events up to
    /// it once more.
    pub(crate) repeats_until: Option<String>,
}

/// Whether the events of a turn before its resumption are known, as logs and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputSource {
    /// A turn store has all of them.
    Stores,
    /// A turn store has the first ones; a replica repeats the others.
    Repeated,
    /// No store has any of them.
    NotFound,
    /// Not all stores answered, and the others have none of them.
    Unavailable,
    /// The stores have later events, but not the one that the caller names.
    UnknownEvent,
    /// The caller does not name the request that began the stream.
    Unnamed,
    /// Streams of the route may not be resumed.
    NotResumable,
}

impl OutputSource {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Stores => "stores",
            Self::Repeated => "repeated",
            Self::NotFound => "not_found",
            Self::Unavailable => "unavailable",
            Self::UnknownEvent => "unknown_event",
            Self::Unnamed => "unnamed",
            Self::NotResumable => "not_resumable",
        }
    }

    fn refusal(self) -> Refusal {
        Refusal::not_run_at_all(match self {
            Self::Unavailable => {
                return Refusal::recovering(
                    "the beginning of the turn cannot be looked up at the moment",
                );
            }
            Self::UnknownEvent => "the turn has no event with the identifier of the last event",
            Self::Unnamed => "a turn is only resumed if the request that began it is named",
            Self::NotResumable => "turns of the route cannot be resumed",
            Self::Stores | Self::Repeated | Self::NotFound => {
                "the beginning of the turn is not known"
            }
        })
    }
}

/// Refuses a turn that claims to continue a stream which it does not identify, or which may not be
/// continued. It has not run.
pub(crate) fn refuse_unidentified(
    gateway: &Gateway,
    inbound: &InboundRequest,
) -> Result<(), Refusal> {
    let names = gateway.dialect.headers();
    let headers = &inbound.head.headers;
    if !inbound.is_turn() || !continues_stream(headers, names) {
        return Ok(());
    }
    let source = if !inbound.route.resumable {
        OutputSource::NotResumable
    } else if header_text(headers, &names.last_event_id).is_none_or(str::is_empty) {
        OutputSource::UnknownEvent
    } else if header_text(headers, &names.resumes).is_none() {
        OutputSource::Unnamed
    } else {
        return Ok(());
    };
    Err(refuse(gateway, inbound, source, None))
}

fn continues_stream(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let mut values = headers.get_all(&names.last_event_id).iter();
    values.any(|value| !value.is_empty())
}

/// Returns the turn that continues a stream after the event that its caller has.
///
/// # Errors
/// The events of the stream up to that one are not known. The request has not run.
pub(crate) fn resume(
    gateway: &Gateway,
    inbound: &InboundRequest,
    stream: &TurnId,
    last_event_id: &str,
    lookup: &StreamLookup,
) -> Result<ResumedTurn, Refusal> {
    let output = lookup.output.as_ref();
    let source = match output {
        None if lookup.answers < lookup.asked || lookup.asked == 0 => OutputSource::Unavailable,
        None => OutputSource::NotFound,
        Some(output) => source_of(output, last_event_id),
    };
    let continues_after = output.and_then(|output| output.events.last_id());
    let (Some(output), Some(continues_after)) = (output, continues_after) else {
        return Err(refuse(gateway, inbound, source, output));
    };
    if !matches!(source, OutputSource::Stores | OutputSource::Repeated) {
        return Err(refuse(gateway, inbound, source, Some(output)));
    }
    note(gateway, inbound, source, Some(output));
    Ok(ResumedTurn {
        stream: stream.clone(),
        // Events without an identifier after the last one with an identifier are sent once more.
        output: output.events.up_to(continues_after).unwrap_or_default(),
        continues_after: continues_after.to_owned(),
        repeats_until: (!output.is_complete).then(|| last_event_id.to_owned()),
    })
}

fn source_of(output: &KnownOutput, last_event_id: &str) -> OutputSource {
    match output.events.last_id() {
        _ if output.is_complete => OutputSource::Stores,
        None => OutputSource::NotFound,
        // The stores have all events up to their last one, so this one was never sent.
        Some(last) if !is_later_event(last_event_id, last) && is_number(last, last_event_id) => {
            OutputSource::UnknownEvent
        }
        Some(_) => OutputSource::Repeated,
    }
}

fn is_number(last: &str, other: &str) -> bool {
    last.parse::<u64>().is_ok() && other.parse::<u64>().is_ok()
}

fn refuse(
    gateway: &Gateway,
    inbound: &InboundRequest,
    source: OutputSource,
    output: Option<&KnownOutput>,
) -> Refusal {
    note(gateway, inbound, source, output);
    source.refusal()
}

fn note(
    gateway: &Gateway,
    inbound: &InboundRequest,
    source: OutputSource,
    output: Option<&KnownOutput>,
) {
    let names = gateway.dialect.headers();
    let headers = &inbound.head.headers;
    let counter = &gateway.metrics.turn_resumptions;
    counter.with_label_values(&[source.as_str()]).inc();
    tracing::info!(
        id = inbound.id,
        request = %inbound.fingerprint,
        route = inbound.route.name,
        output = source.as_str(),
        resumes = header_text(headers, &names.resumes),
        last_event_id = header_text(headers, &names.last_event_id),
        known_events = output.map(|output| output.events.len()),
        continues_after = output.and_then(|output| output.events.last_id()),
        "caller resumes a turn"
    );
}
