//! Looks at replicas before a program begins at one of them.
//!
//! A gateway of a large fleet has less than one request at a time at most replicas, so its own
//! requests say nothing of how full a replica is; the replica does. Two reports for each program
//! cost a round trip once in its life. With them programs neither pile up at some replicas, whose
//! prompt caches then thrash, nor begin while all are full.

use crate::exchange::connection_limit;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use crate::work;
use futures_util::future::join_all;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::{BodyExt, Limited};
use luglink_edge::ReplicaReport;
use luglink_fleet::{Backend, BackendId};
use luglink_http::empty_body;
use luglink_scheduling::{CandidateScope, Placement, Work, place, place_soonest};
use luglink_telemetry::milliseconds;
use std::time::Duration;

/// Replicas that are looked at before a program begins.
const CANDIDATES: usize = 2;

/// Fullness of the candidates of a program's home from which others are looked at too, first those
/// of its zone that are not needed at the load of now, then those of other zones: below it a
/// replica batches without slowing down much. From 0.75 on, the replicas of busy zones were full
/// while others had room.
const LEAVES_AT: f64 = 0.4;

/// Fullness that a replica in another zone counts as having more: all turns of the program then
/// cross zones.
const ELSEWHERE_COST: f64 = 0.1;

/// Longest wait for a replica's report; one that is well answers within a round trip. A program
/// whose candidates say nothing begins at the first of them.
const REPORT_LIMIT: Duration = Duration::from_millis(40);

/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// The replica at which a program begins; `None` where that does not matter.
///
/// # Errors
/// All that it could begin at are full. The request has not run.
pub(crate) async fn first_place(
    gateway: &Gateway,
    inbound: &InboundRequest,
) -> Result<Option<BackendId>, Refusal> {
    let limit = gateway.config.full_at;
    let has_engine = gateway.with_service(&inbound.service, |service| service.engine.is_some());
    if limit <= 0.0 || has_engine != Some(true) {
        return Ok(None);
    }
    let work = work::of_first_turn(gateway, inbound).filter(|_| remembers_place(inbound));
    let (mut candidates, mut fullness) = look_home(gateway, inbound, work.as_ref()).await;
    if are_busy(&fullness) {
        let (spare, their_fullness) = look_at(gateway, inbound, CandidateScope::Spare).await;
        candidates.extend(spare);
        fullness.extend(their_fullness);
        gateway.pool.borrow_mut().grow_working_set(&inbound.service);
    }
    if are_busy(&fullness) {
        let (others, their_fullness) = look_at(gateway, inbound, CandidateScope::OtherZones).await;
        candidates.extend(others);
        let their_fullness = their_fullness.into_iter();
        fullness.extend(their_fullness.map(|known| Some(known? + ELSEWHERE_COST)));
    }
    let spread = (gateway.draw() >> 32) as f64 / f64::from(u32::MAX);
    let placement = match &work {
        None => place(&fullness, limit, spread),
        Some(work) => {
            let seconds = expected_seconds(gateway, &candidates, work);
            place_soonest(&fullness, &seconds, LEAVES_AT, limit, spread)
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
                "a program is not let in: the replicas are full"
            );
            Err(Refusal::not_run_retry_after(
                "the engines have too much to do",
                retry_delay,
            ))
        }
    }
}

/// Whether the stores say at the program's later turns where it began. Those of other programs
/// go where all gateways agree on.
fn remembers_place(inbound: &InboundRequest) -> bool {
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

/// Whether no candidate is known to have room to spare.
fn are_busy(fullness: &[Option<f64>]) -> bool {
    let is_busy = |known: &Option<f64>| known.is_none_or(|known| known >= LEAVES_AT);
    fullness.iter().all(is_busy)
}

/// Looks at the candidates for a program's home, and tells how full they are.
async fn look_home(
    gateway: &Gateway,
    inbound: &InboundRequest,
    work: Option<&Work>,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let Some(work) = work else {
        return look_at(gateway, inbound, CandidateScope::Home).await;
    };
    let candidates = {
        let pool = gateway.pool.borrow();
        let (service, now) = (&inbound.service, gateway.now());
        pool.candidates_by_finish(service, inbound.affinity_hash, work, CANDIDATES, now)
    };
    look_at_each(gateway, candidates).await
}

/// Looks at the candidates of a reach, and tells how full they are.
async fn look_at(
    gateway: &Gateway,
    inbound: &InboundRequest,
    reach: CandidateScope,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let candidates = {
        let pool = gateway.pool.borrow();
        let service = &inbound.service;
        pool.candidates(
            service,
            inbound.affinity_hash,
            reach,
            CANDIDATES,
            gateway.now(),
        )
    };
    look_at_each(gateway, candidates).await
}

async fn look_at_each(
    gateway: &Gateway,
    candidates: Vec<Backend>,
) -> (Vec<Backend>, Vec<Option<f64>>) {
    let looks = candidates.iter().map(|backend| look(gateway, backend));
    let fullness = join_all(looks).await;
    (candidates, fullness)
}

async fn look(gateway: &Gateway, backend: &Backend) -> Option<f64> {
    let reading = read_report(gateway, backend);
    let report = actix_rt::time::timeout(REPORT_LIMIT, reading)
        .await
        .ok()??;
    gateway.note_incarnation(&backend.id, report.incarnation);
    Some(report.fullness(backend.slots))
}

async fn read_report(gateway: &Gateway, backend: &Backend) -> Option<ReplicaReport> {
    let limit = connection_limit(gateway, &backend.service);
    let acquiring = gateway.upstream.acquire(backend, limit, REPORT_LIMIT);
    let mut lease = acquiring.await.ok()?;
    gateway.pool.borrow_mut().note_connected(&backend.id);
    let mut request = Request::new(empty_body());
    *request.uri_mut() = Uri::from_static(gateway.dialect.report_path());
    let host = HeaderValue::from_str(&backend.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let response = lease.connection()?.send(request).await.ok()?;
    let (head, incoming) = response.into_parts();
    let body = Limited::new(incoming, MAX_REPORT_BYTES).collect().await;
    let report = gateway.dialect.replica_report(&body.ok()?.to_bytes());
    lease.give_back(&head.headers);
    match report {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(replica = %backend.id, %error, "a replica's report cannot be read");
            None
        }
    }
}
