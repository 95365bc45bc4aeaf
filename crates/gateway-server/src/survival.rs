//! Settles whether replicas have survived the runs that are in doubt.

use crate::crash_ledger::in_state;
use crate::doubtful_runs::ProbeResult;
use crate::gateway::Gateway;
use crate::placement;
use luglink_fleet::{Backend, BackendId, Incarnation};
use luglink_http::connect;
use luglink_telemetry::milliseconds;
use luglink_turns::{RunReport, RunState};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a probe's report. It may wait in a busy replica, and no request waits for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a probe's connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

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
    match connect(backend.address, CONNECT_TIMEOUT).await {
        Ok(_) if is_engine && backend.incarnation != Incarnation::UNKNOWN => {
            ProbeResult::Unidentified
        }
        Ok(_) => ProbeResult::Accepted,
        Err(error) if error.is_refused() => ProbeResult::Gone,
        Err(_) => ProbeResult::Unknown,
    }
}

async fn query_report(gateway: &Gateway, backend: &Backend) -> Option<ProbeResult> {
    let reported = placement::query_report(gateway, backend, REPORT_TIMEOUT).await?;
    Some(ProbeResult::Responded {
        opened_at: reported.opened_at,
        incarnation: reported.report.incarnation,
    })
}
