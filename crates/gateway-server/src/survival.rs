//! Settles whether replicas have survived the runs that are in doubt.

use crate::crash_ledger::in_state;
use crate::doubtful_runs::ProbeResult;
use crate::gateway::Gateway;
use crate::placement;
use http::{HeaderValue, Request, header};
use luglink_fleet::{Backend, BackendId, Incarnation};
use luglink_http::{Body, ClientConnection, connect, empty_body};
use luglink_telemetry::milliseconds;
use luglink_turns::{RunReport, RunState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a probe's report. It may wait in a busy replica, and no request waits for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a probe's connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum age of a list that shows whether a replica has restarted when a connection to it broke, at the
/// time of the review.
const MAX_REVIEWED_LIST_AGE: Duration = Duration::from_secs(3);

impl Gateway {
    /// Settles the doubtful runs that a replica has survived. It has responded to a request sent at
    /// `sent_at` on a connection opened at `opened_at`.
    pub(crate) fn note_responding(
        self: &Rc<Self>,
        replica: &BackendId,
        opened_at: Instant,
        sent_at: Instant,
    ) {
        let mut crashes = self.crashes.borrow_mut();
        let survived = crashes.doubtful.take_survived(replica, opened_at, sent_at);
        drop(crashes);
        self.report_survived(&survived);
    }

    /// Settles the doubtful runs at a replica that has ended, and closes the idle connections to it.
    pub(crate) fn note_ended(self: &Rc<Self>, replica: &BackendId) {
        self.upstream.forget(std::slice::from_ref(replica));
        let mut crashes = self.crashes.borrow_mut();
        let ended = crashes.doubtful.take_at(std::slice::from_ref(replica));
        drop(crashes);
        self.report_ended(&ended.crashed);
        self.report_late_ends(ended.late);
    }

    /// Records and reports runs that replicas have survived.
    pub(crate) fn report_survived(self: &Rc<Self>, survived: &[RunReport]) {
        let cleared: Vec<RunReport> = survived
            .iter()
            .map(|report| in_state(report, RunState::Cleared))
            .collect();
        self.send_reports(&cleared);
    }
}

/// Probes a replica with doubtful runs and settles them by the result.
pub(crate) async fn probe(gateway: Rc<Gateway>, replica: BackendId) {
    let began = Instant::now();
    let result = query(&gateway, &replica).await;
    if result == ProbeResult::Gone {
        // What is sent on these would never be answered, and count as another run at the replica.
        gateway.upstream.forget(std::slice::from_ref(&replica));
    }
    let settled = {
        let mut crashes = gateway.crashes.borrow_mut();
        crashes.doubtful.settle(&replica, began, result)
    };
    tracing::info!(
        %replica,
        result = result.as_str(),
        ms = milliseconds(began.elapsed()),
        survived = settled.survived.len(),
        crashed = settled.ended.crashed.len(),
        late = settled.ended.late.len(),
        list_age_ms = gateway.list_age().map(milliseconds),
        "probed a replica with doubtful runs"
    );
    gateway.report_survived(&settled.survived);
    gateway.report_ended(&settled.ended.crashed);
    gateway.report_late_ends(settled.ended.late);
}

/// Clears a crash if the replica responds and is the same process as before.
pub(crate) async fn review(gateway: Rc<Gateway>, crashed: RunReport) {
    let result = query(&gateway, &crashed.replica).await;
    if !shows_same_process(&gateway, &crashed, result) {
        return;
    }
    tracing::info!(
        request = %crashed.request,
        replica = %crashed.replica,
        started_ms = crashed.incarnation.0,
        result = result.as_str(),
        list_age_ms = gateway.list_age().map(milliseconds),
        "replica had not ended when its connection broke"
    );
    gateway.report_survived(&[crashed]);
}

/// Returns true if a probe shows that the process of a run has not ended: by its report, or by the list
/// if it tells no incarnation itself.
fn shows_same_process(gateway: &Gateway, crashed: &RunReport, result: ProbeResult) -> bool {
    let known = crashed.incarnation;
    match result {
        _ if known == Incarnation::UNKNOWN => false,
        ProbeResult::Responded { incarnation, .. } if incarnation != Incarnation::UNKNOWN => {
            incarnation == known
        }
        ProbeResult::Responded { .. } | ProbeResult::Healthy | ProbeResult::Unidentified => {
            let is_list_recent = gateway
                .list_age()
                .is_some_and(|age| age < MAX_REVIEWED_LIST_AGE);
            let pool = gateway.pool.borrow();
            let listed = pool.listed(&crashed.replica);
            is_list_recent && listed.is_some_and(|listed| listed.incarnation == known)
        }
        ProbeResult::Accepted | ProbeResult::Gone | ProbeResult::Unknown => false,
    }
}

async fn query(gateway: &Gateway, replica: &BackendId) -> ProbeResult {
    let listed = gateway.pool.borrow().listed(replica).cloned();
    let Some(backend) = listed else {
        return ProbeResult::Gone;
    };
    let is_engine = gateway.with_service(&backend.service, |service| service.engine.is_some());
    let is_engine = is_engine == Some(true);
    if is_engine && let Some(result) = query_report(gateway, &backend).await {
        return result;
    }
    let is_identified = is_engine && backend.incarnation != Incarnation::UNKNOWN;
    query_health(gateway, &backend, is_identified).await
}

/// Asks a replica for its health on a new connection. Any process that works answers in some way, or
/// closes the connection.
async fn query_health(gateway: &Gateway, backend: &Backend, is_identified: bool) -> ProbeResult {
    let working = match is_identified {
        true => ProbeResult::Unidentified,
        false => ProbeResult::Healthy,
    };
    let mut connection = match open(backend).await {
        Ok(connection) => connection,
        Err(result) => return result,
    };
    let Some(request) = health_request(gateway, backend) else {
        return ProbeResult::Accepted;
    };
    match actix_rt::time::timeout(REPORT_TIMEOUT, connection.send(request)).await {
        Ok(Ok(_)) => working,
        // Also the end of the process closes the connection.
        Ok(Err(_)) => open(backend)
            .await
            .map_or_else(|result| result, |_| working),
        Err(_) => ProbeResult::Accepted,
    }
}

async fn open(backend: &Backend) -> Result<ClientConnection, ProbeResult> {
    let opening = connect(backend.address, CONNECT_TIMEOUT).await;
    opening.map_err(|error| match error.is_refused() {
        true => ProbeResult::Gone,
        false => ProbeResult::Unknown,
    })
}

fn health_request(gateway: &Gateway, backend: &Backend) -> Option<Request<Body>> {
    let path = gateway.with_service(&backend.service, |service| service.health_path.clone())?;
    let host = HeaderValue::from_str(&backend.address.to_string()).ok()?;
    let request = Request::get(path).header(header::HOST, host);
    request.body(empty_body()).ok()
}

async fn query_report(gateway: &Gateway, backend: &Backend) -> Option<ProbeResult> {
    let reported = placement::query_report(gateway, backend, REPORT_TIMEOUT).await?;
    Some(ProbeResult::Responded {
        opened_at: reported.opened_at,
        incarnation: reported.report.incarnation,
    })
}
