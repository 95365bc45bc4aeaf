//! Runs of requests at replicas, and the limit of crashes under one request.
//!
//! Every send of a request to a replica is a [`Run`]. When the replica ends during a run, the turn
//! stores and all gateways learn of it before the caller can make its next attempt, and a request
//! under which [`MAX_CRASHES`] replicas have ended is sent to none again. From the second run on, a
//! run is announced before it begins, so that it counts even if its gateway is lost with it.

use crate::crash_ledger::{ABANDONED_RETENTION, in_state};
use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::placement;
use crate::refusal::Refusal;
use luglink_fleet::{Backend, Incarnation};
use luglink_telemetry::milliseconds;
use luglink_turns::{CRASH_RETENTION, MAX_CRASHES, RequestFingerprint, RunId, RunReport, RunState};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which the connections of a process that has ended are closed here too.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(10);

/// Silence of a replica from which on it may have ended, if its request is given up. Requests move
/// and are hedged after little more.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Maximum time for which a request waits while other runs of it could end the last replicas that
/// it may end.
const MAX_ANNOUNCED_WAIT: Duration = Duration::from_secs(1);

/// Interval at which it checks whether those runs have ended.
const ANNOUNCED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the deadline of a run during which it still counts as under way. Its gateway reports
/// the outcome of a run that was given up at the end of the watch.
const LEASE_MARGIN: Duration = Duration::from_secs(2).saturating_add(ABANDONED_RETENTION);

/// Run of a request at a replica. Dropping it means that the request was given up.
pub(crate) struct Run {
    gateway: Rc<Gateway>,
    report: RunReport,
    is_announced: Cell<bool>,
    is_over: Cell<bool>,
    /// Time of the last data; `None` if the request moved because the replica sent none for long.
    last_data: Cell<Option<Instant>>,
}

/// Refuses a request under which too many replicas have ended.
pub(crate) async fn refuse_crashing(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<(), Refusal> {
    gateway.look_up_crashes(inbound.fingerprint).await;
    let crashes = gateway.crashes_under(inbound.fingerprint);
    if crashes < MAX_CRASHES {
        return Ok(());
    }
    Err(refusal(gateway, inbound, crashes))
}

/// Returns the refusal of a request that has not run in this attempt and may not run now.
pub(crate) fn refusal(gateway: &Gateway, inbound: &InboundRequest, crashes: usize) -> Refusal {
    if crashes < MAX_CRASHES {
        return Refusal::not_run("other attempts of the request must end first");
    }
    let expires_at = gateway
        .crashes
        .borrow()
        .table
        .expires_at(inbound.fingerprint);
    let left = expires_at.map_or(CRASH_RETENTION, |at| at.since(gateway.now()));
    gateway.metrics.crashing_requests.inc();
    tracing::warn!(
        id = inbound.id,
        request = %inbound.fingerprint,
        route = inbound.route.name,
        crashes,
        retry_after_ms = milliseconds(left),
        "request refused: replicas ended while they ran it"
    );
    Refusal::not_run_retry_after("replicas ended while they ran the request", left)
}

impl Run {
    /// Begins a run, unless the replicas that have ended, and those that still may, reach the limit.
    ///
    /// # Errors
    /// Returns [`Failure::CrashLimit`]. Nothing was sent.
    pub(crate) async fn begin(
        gateway: &Rc<Gateway>,
        inbound: &InboundRequest,
        backend: &Backend,
    ) -> Result<Self, Failure> {
        let deadline = Instant::now() + MAX_ANNOUNCED_WAIT.min(inbound.remaining() / 2);
        let request = inbound.fingerprint;
        gateway.look_up_crashes(request).await;
        let mut has_queried = false;
        loop {
            if gateway.crashes_under(request) >= MAX_CRASHES {
                return Err(Failure::CrashLimit);
            }
            let run = Self::new(gateway, inbound, backend);
            let others = gateway.possible_crashes(request, run.report.run);
            if others == 0 {
                return Ok(run);
            }
            if others < MAX_CRASHES {
                run.announce().await;
                if gateway.possible_crashes(request, run.report.run) < MAX_CRASHES {
                    return Ok(run);
                }
                run.survived();
            }
            if !std::mem::replace(&mut has_queried, true) {
                gateway.query_abandoned(request).await;
                continue;
            }
            if Instant::now() >= deadline {
                return Err(Failure::CrashLimit);
            }
            let jitter = Duration::from_micros(gateway.draw() % 10_000);
            actix_rt::time::sleep(ANNOUNCED_CHECK_INTERVAL + jitter).await;
        }
    }

    fn new(gateway: &Rc<Gateway>, inbound: &InboundRequest, backend: &Backend) -> Self {
        let known_crashes = gateway.crashes_under(inbound.fingerprint);
        let lease = inbound.remaining() + LEASE_MARGIN;
        Self {
            report: RunReport {
                request: inbound.fingerprint,
                run: RunId(gateway.draw()),
                replica: backend.id.clone(),
                incarnation: backend.incarnation,
                known_crashes: u32::try_from(known_crashes).unwrap_or(u32::MAX),
                lease_ms: milliseconds(lease),
                state: RunState::Started,
            },
            gateway: Rc::clone(gateway),
            is_announced: Cell::new(false),
            is_over: Cell::new(false),
            last_data: Cell::new(Some(Instant::now())),
        }
    }

    async fn announce(&self) {
        self.is_announced.set(true);
        self.gateway.report_run(&self.report).await;
    }

    /// Announces the run at a replica that has long sent nothing, so that it counts if the gateway is
    /// lost too.
    pub(crate) fn note_stalled(&self) {
        if !self.is_announced.replace(true) {
            self.gateway
                .send_reports(std::slice::from_ref(&self.report));
        }
    }

    /// Records that the replica has sent something.
    pub(crate) fn note_data(&self) {
        self.last_data.set(Some(Instant::now()));
    }

    /// Records that the request moves because the replica has long sent nothing. A gateway that has
    /// stood still may only just have read what it had sent before.
    pub(crate) fn note_silent(&self) {
        self.last_data.set(None);
    }

    /// Ends the run with the whole response of a request that succeeded.
    pub(crate) fn answered(&self) {
        self.is_over.set(true);
        let request = self.report.request;
        let now = self.gateway.now();
        let cleared = self.gateway.crashes.borrow_mut().clear(request, now);
        self.gateway.send_reports(&cleared);
    }

    /// Ends a run that the replica has survived, or that did not begin.
    pub(crate) fn survived(&self) {
        self.is_over.set(true);
        if self.is_announced.get() {
            self.gateway
                .send_reports(&[in_state(&self.report, RunState::Cleared)]);
        }
    }

    /// Ends a run whose connection broke. Returns once the turn stores know whether the replica
    /// has ended, or do not respond.
    pub(crate) async fn broke(&self) {
        self.is_over.set(true);
        let gateway = Rc::clone(&self.gateway);
        let report = self.report.clone();
        let is_announced = self.is_announced.get();
        // The task goes on if the caller disconnects.
        let confirming = actix_rt::spawn(confirm_crash(gateway, report, is_announced));
        if let Err(error) = confirming.await {
            tracing::error!(%error, "recording the end of a replica failed");
        }
    }

    /// Ends the run of a failed send.
    pub(crate) async fn failed(&self, failure: Failure) {
        match failure {
            Failure::Broken => self.broke().await,
            // The replica may have ended silently.
            Failure::NoAnswerInTime => {}
            _ => self.survived(),
        }
    }

    /// Gives up the run. If the replica has sent nothing for a while, it may have ended.
    fn abandon(&self) {
        let last_data = self.last_data.get();
        let has_sent = last_data.is_some_and(|last| last.elapsed() < MIN_SILENCE);
        let is_watched = !has_sent && {
            let mut crashes = self.gateway.crashes.borrow_mut();
            crashes.watch_abandoned(self.report.clone())
        };
        if is_watched {
            let report = std::slice::from_ref(&self.report);
            self.gateway.send_reports(report);
        } else {
            self.survived();
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.is_over.get() {
            self.abandon();
        }
    }
}

/// Records whether a replica ended when a connection to it broke.
async fn confirm_crash(gateway: Rc<Gateway>, report: RunReport, is_announced: bool) {
    let has_ended = has_ended(&gateway, &report).await;
    if has_ended {
        gateway.metrics.crashes.inc();
        let crashed = in_state(&report, RunState::Crashed);
        gateway.crashes.borrow_mut().review_later(crashed.clone());
        gateway.report_run(&crashed).await;
    } else if is_announced {
        gateway.send_reports(&[in_state(&report, RunState::Cleared)]);
    }
    tracing::info!(
        request = %report.request,
        replica = %report.replica,
        started_ms = report.incarnation.0,
        has_ended,
        crashes = gateway.crashes_under(report.request),
        "connection to a replica broke during a run"
    );
}

/// Returns true if a replica whose connection has just broken has ended: then all connections to it
/// close. If none was open, its report shows whether it has restarted since. Without a report, it
/// counts as ended.
async fn has_ended(gateway: &Gateway, report: &RunReport) -> bool {
    let broke_at = Instant::now();
    actix_rt::time::sleep(CONFIRMATION_DELAY).await;
    if gateway.upstream.has_open_since(&report.replica, broke_at) {
        return false;
    }
    let listed = gateway.pool.borrow().listed(&report.replica).cloned();
    let Some(replica) = listed.filter(|_| report.incarnation != Incarnation::UNKNOWN) else {
        return true;
    };
    let reported = placement::query_incarnation(gateway, &replica).await;
    reported != Some(report.incarnation)
}

impl Gateway {
    /// Returns the number of replicas that ended under a request.
    pub(crate) fn crashes_under(&self, request: RequestFingerprint) -> usize {
        self.crashes.borrow().table.crashes(request, self.now())
    }

    /// Returns the number of replicas that ended under a request, or still may in a run other than
    /// `run`.
    fn possible_crashes(&self, request: RequestFingerprint, run: RunId) -> usize {
        let crashes = self.crashes.borrow();
        crashes.table.possible_crashes(request, run)
    }
}
