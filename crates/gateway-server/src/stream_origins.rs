//! Origins of streams that callers resume: recorded at the first event, and looked up when a caller
//! takes up the stream at this or another gateway.

use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, header_number, header_text, tenant_name};
use crate::refusal::Refusal;
use crate::request_steps::RequestStep;
use crate::resumed_turns::{self, ResumedTurn};
use crate::stream_lookup::{self, StreamLookup};
use crate::turn_output::{RecordedRun, TurnOutput};
use luglink_fleet::{BackendId, Incarnation, StreamOrigin};
use luglink_telemetry::milliseconds;
use luglink_turns::{OriginRecord, OutputQuery, TurnId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of origins that a gateway keeps itself.
pub(crate) const MAX_OWN_ORIGINS: usize = 1 << 13;

/// Time for which an origin is kept after the caller's deadline.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);

/// Maximum time for which a request waits for a list of replicas that was read after it arrived.
const MAX_LIST_WAIT: Duration = Duration::from_millis(800);

/// Interval at which the time of the list is checked meanwhile.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Stream that a caller's request continues.
#[derive(Debug)]
struct Resumption {
    /// Request that began the stream; `None` if the caller does not name it.
    began_as: Option<TurnId>,
    last_event_id: String,
}

impl Resumption {
    /// Returns the stream that a request continues; `None` if it begins one.
    fn of(gateway: &Gateway, inbound: &InboundRequest) -> Option<Self> {
        let names = gateway.dialect.headers();
        let headers = &inbound.head.headers;
        let last_event_id = header_text(headers, &names.last_event_id)?;
        if last_event_id.is_empty() || !inbound.route.resumable {
            return None;
        }
        let began_as = header_text(headers, &names.resumes);
        Some(Self {
            began_as: began_as.map(|id| TurnId::of(tenant_name(&inbound.caller), id)),
            last_event_id: last_event_id.to_owned(),
        })
    }
}

/// Result of looking for the origin of a stream, as logs and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// This gateway began the stream.
    Own,
    /// A turn store has the origin.
    Stores,
    /// All replicas of the service have had the same version since before the stream began.
    SoleVersion,
    /// No store that answered has the origin.
    NotFound,
    /// No store answered.
    Unavailable,
    /// No store that answered has the origin, and the versions are not known as of the request.
    OldList,
}

impl OriginSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Stores => "stores",
            Self::SoleVersion => "sole_version",
            Self::NotFound => "not_found",
            Self::Unavailable => "unavailable",
            Self::OldList => "old_list",
        }
    }
}

/// Records where the stream of a request began, here and at the turn stores, and for a turn its output
/// there. `resumed` is the earlier request of a stream that this one resumes.
pub(crate) fn record(
    gateway: &Gateway,
    inbound: &InboundRequest,
    origin: &StreamOrigin,
    resumed: Option<&TurnId>,
    output: &mut TurnOutput,
) {
    if !inbound.route.resumable {
        return;
    }
    let stream = inbound.turn();
    let retention = retention(gateway, inbound);
    gateway
        .origins
        .borrow_mut()
        .record(&stream, origin, retention, gateway.now());
    let record = |stream: TurnId| OriginRecord {
        stream,
        origin: origin.clone(),
        retention_ms: milliseconds(retention),
    };
    if !inbound.is_turn() {
        gateway.turns.record_origin(record(stream));
        return;
    }
    // The caller may name either request when it resumes the stream again.
    let records: Vec<OriginRecord> = resumed
        .cloned()
        .into_iter()
        .chain([stream])
        .map(record)
        .collect();
    let run = RecordedRun {
        run: gateway.draw(),
        request: inbound.fingerprint,
    };
    output.record(gateway, &run, &records);
}

/// Returns the time for which a caller may resume the stream of a request.
fn retention(gateway: &Gateway, inbound: &InboundRequest) -> Duration {
    let name = &gateway.dialect.headers().deadline_ms;
    let stated = header_number(&inbound.head.headers, name).map(Duration::from_millis);
    let allowed = stated.unwrap_or_default().max(inbound.route.timeout());
    allowed.saturating_add(RETENTION_MARGIN)
}

/// Stream that a request continues.
#[derive(Clone, Debug)]
pub(crate) struct ResumedStream {
    pub(crate) origin: Rc<StreamOrigin>,
    /// The turn, if the request is one.
    pub(crate) turn: Option<ResumedTurn>,
}

/// Result of looking for the origin of a stream.
#[derive(Debug)]
struct FoundOrigin {
    source: OriginSource,
    origin: Option<StreamOrigin>,
    /// True if a replica may get the request.
    can_continue: bool,
}

/// Returns the stream that a request resumes; `None` if it begins one. Sets the service of the request
/// to that of the stream's origin.
///
/// # Errors
/// The stream cannot continue, because its origin or a turn's beginning is not known or no replica may
/// continue it. The request has not run.
pub(crate) async fn find(
    gateway: &Gateway,
    inbound: &mut InboundRequest,
) -> Result<Option<ResumedStream>, Refusal> {
    resumed_turns::refuse_unidentified(gateway, inbound)?;
    let Some(resumption) = Resumption::of(gateway, inbound) else {
        return Ok(None);
    };
    inbound.watch.steps.enter(RequestStep::OriginLookUp);
    let started_at = Instant::now();
    let (turn, lookup) = match &resumption.began_as {
        Some(stream) if inbound.is_turn() => {
            let last_event_id = &resumption.last_event_id;
            let (turn, lookup) = find_turn(gateway, inbound, stream, last_event_id).await?;
            (Some(turn), Some(lookup))
        }
        _ => (None, None),
    };
    let began_as = resumption.began_as.as_ref();
    let (source, origin) = look_up(gateway, inbound, began_as, lookup).await;
    let origin = origin.filter(|origin| inbound.route.has_target(&origin.service));
    let has_continuation = |origin: &StreamOrigin| {
        let pool = gateway.pool.borrow();
        pool.has_continuation(origin, gateway.now())
    };
    let mut can_continue = origin.as_ref().is_some_and(has_continuation);
    let mut is_listed = true;
    if let Some(origin) = origin.as_ref().filter(|_| !can_continue) {
        is_listed = wait_for_list(gateway, inbound).await;
        can_continue = has_continuation(origin);
    }
    let found = FoundOrigin {
        source,
        can_continue,
        origin,
    };
    note_found(gateway, inbound, &resumption, &found, started_at.elapsed());
    match found.origin {
        Some(origin) if found.can_continue => {
            inbound.service.clone_from(&origin.service);
            let origin = Rc::new(origin);
            Ok(Some(ResumedStream { origin, turn }))
        }
        Some(_) if !is_listed => Err(Refusal::recovering(
            "no replica that is known at the moment has the software version that began the stream",
        )),
        Some(_) => Err(Refusal::not_run_at_all(
            "no replica has the software version that began the stream",
        )),
        None if source == OriginSource::Unavailable || source == OriginSource::OldList => {
            Err(Refusal::recovering(
                "the software version that began the stream cannot be looked up at the moment",
            ))
        }
        None => Err(Refusal::not_run_at_all(
            "the software version that began the stream is not known",
        )),
    }
}

/// Returns the turn that continues a stream, and what the stores know about the stream.
async fn find_turn(
    gateway: &Gateway,
    inbound: &InboundRequest,
    stream: &TurnId,
    last_event_id: &str,
) -> Result<(ResumedTurn, StreamLookup), Refusal> {
    let query = OutputQuery {
        request: inbound.fingerprint,
        last_event_id: last_event_id.to_owned(),
    };
    let lookup = stream_lookup::find(&gateway.turns, stream, Some(&query)).await;
    let turn = resumed_turns::resume(gateway, inbound, stream, last_event_id, &lookup)?;
    Ok((turn, lookup))
}

/// Waits for a list of replicas that was read after a request arrived. An earlier one may lack the
/// version at which the stream of the request began. Returns false if none comes in time.
async fn wait_for_list(gateway: &Gateway, inbound: &InboundRequest) -> bool {
    let deadline = Instant::now() + MAX_LIST_WAIT.min(inbound.remaining() / 2);
    loop {
        let list_age = gateway.list_age();
        if list_age.is_some_and(|age| age < inbound.arrived.elapsed()) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        actix_rt::time::sleep(LIST_CHECK_INTERVAL).await;
    }
}

fn note_found(
    gateway: &Gateway,
    inbound: &InboundRequest,
    resumption: &Resumption,
    found: &FoundOrigin,
    duration: Duration,
) {
    let counter = &gateway.metrics.caller_resumptions;
    counter.with_label_values(&[found.source.as_str()]).inc();
    let origin = found.origin.as_ref();
    let version = origin.and_then(|origin| origin.version.as_ref());
    tracing::info!(
        id = inbound.id,
        route = inbound.route.name,
        resumes = resumption.began_as.as_ref().map(tracing::field::display),
        last_event_id = resumption.last_event_id,
        origin = found.source.as_str(),
        replica = origin.map(|origin| tracing::field::display(&origin.replica)),
        version = version.map(tracing::field::display),
        can_continue = found.can_continue,
        list_age_ms = gateway.list_age().map(milliseconds),
        ms = milliseconds(duration),
        "caller resumes a stream"
    );
}

/// Looks for the origin of a stream here, at the turn stores, and in the versions of the service.
/// `lookup` is what the stores know about it, if they were asked before.
async fn look_up(
    gateway: &Gateway,
    inbound: &InboundRequest,
    began_as: Option<&TurnId>,
    lookup: Option<StreamLookup>,
) -> (OriginSource, Option<StreamOrigin>) {
    let mut missing = OriginSource::NotFound;
    if let Some(stream) = began_as {
        let own = gateway
            .origins
            .borrow()
            .find(stream, gateway.now())
            .cloned();
        if own.is_some() {
            return (OriginSource::Own, own);
        }
        let lookup = match lookup {
            Some(lookup) => lookup,
            None => stream_lookup::find(&gateway.turns, stream, None).await,
        };
        if lookup.origin.is_some() {
            return (OriginSource::Stores, lookup.origin);
        }
        if lookup.answers == 0 {
            missing = OriginSource::Unavailable;
        }
    }
    if !wait_for_list(gateway, inbound).await {
        if missing == OriginSource::NotFound {
            missing = OriginSource::OldList;
        }
        return (missing, None);
    }
    match sole_origin(gateway, inbound, began_as.is_some()) {
        Some(origin) => (OriginSource::SoleVersion, Some(origin)),
        None => (missing, None),
    }
}

/// Returns the origin of any stream of the request's service, if all its replicas have had the same
/// version since before any stream that is still under way, as of a time after the request arrived. Callers that do not name their streams
/// get no protection from a record; for them it suffices that a gateway which has started since has
/// seen no other version. Without the name of a program, a route that is split does not tell the
/// service of the stream.
fn sole_origin(
    gateway: &Gateway,
    inbound: &InboundRequest,
    is_named: bool,
) -> Option<StreamOrigin> {
    if inbound.route.targets.len() > 1 && inbound.program.is_none() {
        return None;
    }
    let age = retention(gateway, inbound) + gateway.config.list_stale_after;
    let versions = gateway.sole_versions.borrow();
    let held = versions.held_for(&inbound.service, age, gateway.now());
    let initial = versions.held_since_first_list(&inbound.service);
    let version = held.or_else(|| initial.filter(|_| !is_named))?;
    Some(StreamOrigin {
        service: inbound.service.clone(),
        replica: BackendId::default(),
        incarnation: Incarnation::UNKNOWN,
        version: Some(version.clone()),
    })
}
