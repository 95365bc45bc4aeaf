//! Placement of new programs, based on load reports queried from candidate replicas.
//!
//! In a large fleet one gateway has less than one request in flight at most replicas, so its own
//! requests do not show how full a replica is. Querying two replicas costs one round trip per
//! program. It prevents programs from piling up at a few replicas, whose prompt caches then thrash,
//! and from starting while all replicas are full.

use crate::exchange::connection_limit;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use crate::work;
use futures_util::future::join_all;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use luglink_edge::ReplicaReport;
use luglink_fleet::{Backend, BackendId, Incarnation};
use luglink_http::empty_body;
use luglink_scheduling::{CandidateScope, Placement, Work, place, place_soonest};
use luglink_telemetry::milliseconds;
use std::time::{Duration, Instant};

/// Number of replicas that are queried within each scope.
const CANDIDATES_PER_SCOPE: usize = 2;

/// Fullness from which a candidate counts as busy. Below it a replica batches without slowing down
/// much. If all home candidates of a program are busy, the search widens: first to replicas of the
/// zone that the current load does not need, then to other zones. With 0.75, replicas in busy zones
/// filled up while other zones had free capacity.
const BUSY_FULLNESS: f64 = 0.4;

/// Penalty added to the fullness of a replica in another zone, because all turns of the program
/// would then cross zones.
const OTHER_ZONE_PENALTY: f64 = 0.1;

/// Timeout of querying a replica's report. A healthy replica answers within a round trip. If no
/// candidate answers, the program starts at the first of them.
const REPORT_TIMEOUT: Duration = Duration::from_millis(40);

/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Chooses the replica at which a program starts; `None` if querying is disabled, or the service
/// has no engines or no candidates.
///
/// # Errors
/// All candidates that have reported are full. The request has not run.
pub(crate) async fn choose_first_replica(
    gateway: &Gateway,
    inbound: &InboundRequest,
) -> Result<Option<BackendId>, Refusal> {
    let limit = gateway.config.full_at;
    let has_engine = gateway.with_service(&inbound.service, |service| service.engine.is_some());
    if limit <= 0.0 || has_engine != Some(true) {
        return Ok(None);
    }
    let work = work::estimate_first_turn(gateway, inbound).filter(|_| is_replica_stored(inbound));
    let (mut candidates, mut fullness) = query_home(gateway, inbound, work.as_ref()).await;
    if are_all_busy(&fullness) {
        let (spare, added_fullness) = query_scope(gateway, inbound, CandidateScope::Spare).await;
        candidates.extend(spare);
        fullness.extend(added_fullness);
        gateway.pool.borrow_mut().grow_working_set(&inbound.service);
    }
    if are_all_busy(&fullness) {
        let (others, added_fullness) =
            query_scope(gateway, inbound, CandidateScope::OtherZones).await;
        candidates.extend(others);
        let added_fullness = added_fullness.into_iter();
        fullness.extend(added_fullness.map(|reported| Some(reported? + OTHER_ZONE_PENALTY)));
    }
    let spread = (gateway.draw() >> 32) as f64 / f64::from(u32::MAX);
    let placement = match &work {
        None => place(&fullness, limit, spread),
        Some(work) => {
            let seconds = expected_seconds(gateway, &candidates, work);
            place_soonest(&fullness, &seconds, BUSY_FULLNESS, limit, spread)
        }
    };
    match placement {
        Placement::At(position) => Ok(candidates.get(position).map(|backend| backend.id.clone())),
        Placement::Refuse {
            fullness,
            retry_delay,
        } => {
            tracing::info!(
                id = inbound.id,
                route = inbound.route.name,
                fullness,
                limit,
                come_back_ms = milliseconds(retry_delay),
                "program refused: all candidate replicas are full"
            );
            Err(Refusal::not_run_retry_after(
                "the engines are overloaded",
                retry_delay,
            ))
        }
    }
}

/// Returns true if the turn stores record the program's replica for its later turns. Later turns of
/// other programs go to the replica that all gateways derive from the program's name.
fn is_replica_stored(inbound: &InboundRequest) -> bool {
    let program = inbound.program.as_ref();
    let has_budget = program.is_some_and(|program| program.budget.is_some());
    has_budget || inbound.route.keeps_history
}

fn expected_seconds(gateway: &Gateway, candidates: &[Backend], work: &Work) -> Vec<f64> {
    let now = gateway.now();
    let pool = gateway.pool.borrow();
    let seconds = candidates.iter().map(|backend| {
        let expected = pool.expected_at(&backend.id, work, now);
        expected.map_or(f64::INFINITY, |expected| expected.finish_seconds)
    });
    seconds.collect()
}

/// Returns true if all candidates are busy or have not reported.
fn are_all_busy(fullness: &[Option<f64>]) -> bool {
    let is_busy =
        |reported: &Option<f64>| reported.is_none_or(|fullness| fullness >= BUSY_FULLNESS);
    fullness.iter().all(is_busy)
}

/// Queries the home candidates of a program. Returns them with their fullness.
async fn query_home(
    gateway: &Gateway,
    inbound: &InboundRequest,
    work: Option<&Work>,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let Some(work) = work else {
        return query_scope(gateway, inbound, CandidateScope::Home).await;
    };
    let candidates = {
        let pool = gateway.pool.borrow();
        let (service, now) = (&inbound.service, gateway.now());
        pool.candidates_by_finish(
            service,
            inbound.affinity_hash,
            work,
            CANDIDATES_PER_SCOPE,
            now,
        )
    };
    query_all(gateway, candidates).await
}

/// Queries the candidates within a scope. Returns them with their fullness.
async fn query_scope(
    gateway: &Gateway,
    inbound: &InboundRequest,
    scope: CandidateScope,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let candidates = {
        let pool = gateway.pool.borrow();
        let service = &inbound.service;
        pool.candidates(
            service,
            inbound.affinity_hash,
            scope,
            CANDIDATES_PER_SCOPE,
            gateway.now(),
        )
    };
    query_all(gateway, candidates).await
}

async fn query_all(
    gateway: &Gateway,
    candidates: Vec<Backend>,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let queries = candidates
        .iter()
        .map(|backend| query_fullness(gateway, backend));
    let fullness = join_all(queries).await;
    (candidates, fullness)
}

/// Report of a replica with the time at which its connection was opened.
pub(crate) struct Reported {
    pub(crate) report: ReplicaReport,
    pub(crate) opened_at: Instant,
}

/// Queries the fullness of a replica; `None` if it does not report in time.
async fn query_fullness(gateway: &Gateway, backend: &Backend) -> Option<f64> {
    let reported = query_report(gateway, backend, REPORT_TIMEOUT).await?;
    Some(reported.report.fullness(backend.slots))
}

/// Queries the incarnation of a replica; `None` if it is not a model engine or does not report in
/// time.
pub(crate) async fn query_incarnation(gateway: &Gateway, backend: &Backend) -> Option<Incarnation> {
    let is_engine = gateway.with_service(&backend.service, |service| service.engine.is_some());
    if is_engine != Some(true) {
        return None;
    }
    let reported = query_report(gateway, backend, REPORT_TIMEOUT).await?;
    Some(reported.report.incarnation)
}

/// Queries the report of a model engine; `None` if it does not report in time.
pub(crate) async fn query_report(
    gateway: &Gateway,
    backend: &Backend,
    timeout: Duration,
) -> Option<Reported> {
    let reading = read_report(gateway, backend);
    let reported = actix_rt::time::timeout(timeout, reading).await.ok()??;
    gateway.record_incarnation(&backend.id, reported.report.incarnation);
    Some(reported)
}

async fn read_report(gateway: &Gateway, backend: &Backend) -> Option<Reported> {
    let limit = connection_limit(gateway, &backend.service);
    let acquiring = gateway
        .upstream
        .acquire(backend, None, limit, REPORT_TIMEOUT);
    let mut lease = acquiring.await.ok()?;
    gateway.pool.borrow_mut().note_connected(&backend.id);
    let mut request = Request::new(empty_body());
    *request.uri_mut() = Uri::from_static(gateway.dialect.report_path());
    let host = HeaderValue::from_str(&backend.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let response = lease.connection()?.send(request).await.ok()?;
    let (head, incoming) = response.into_parts();
    let body = Limited::new(incoming, MAX_REPORT_BYTES).collect().await;
    let body = body.ok()?.to_bytes();
    // A response to a request may turn up in the place of the report. The report would follow in the
    // place of a later response, so the connection is closed.
    let is_surplus = head
        .headers
        .contains_key(&gateway.dialect.headers().request_id);
    if is_surplus || head.status != StatusCode::OK {
        let status = head.status.as_u16();
        tracing::warn!(replica = %backend.id, status, "response in the place of a report is not one");
        return None;
    }
    match gateway.dialect.replica_report(&body) {
        Ok(report) => {
            let opened_at = lease.opened_at;
            lease.give_back(&head.headers);
            Some(Reported { report, opened_at })
        }
        Err(error) => {
            tracing::warn!(replica = %backend.id, %error, "cannot parse the report of a replica");
            None
        }
    }
}
