//! Runs of requests at replicas, and the limit of crashes under one request.
//!
//! Every send of a request to a replica is a [`Run`]. When the replica ends during a run, the holders
//! of crash reports and all gateways learn of it before the caller can make its next attempt, and a
//! request under which [`MAX_CRASHES`] replicas have ended is sent to none again. A run that ends without a
//! response that shows the replica in order is in doubt, and counts as one that may still end it,
//! until the replica gives a sign of life. Every run is announced to turn stores as it is sent, and
//! from the second run on before it begins, so that it counts even if its gateway is lost with it.

use crate::caller_watch::CallerWatch;
use crate::crash_ledger::in_state;
use crate::crash_look_up::LookUp;
use crate::doubtful_runs::DoubtReason;
use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::knowledge::Knowledge;
use crate::replica_process::{Process, number_of_own};
use crate::run_break::{CONFIRMATION_DELAY, confirm_crash};
use crate::store_link::StoreLink;
use luglink_edge::SendOutcome;
use luglink_fleet::Backend;
use luglink_http::ConnectionState;
use luglink_telemetry::milliseconds;
use luglink_turns::{LEASE_MARGIN, MAX_CRASHES, RunId, RunReport, RunState};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for which a request waits while other runs of it could end the last replicas that
/// it may end.
const MAX_ANNOUNCED_WAIT: Duration = Duration::from_secs(2);

/// Interval at which it checks whether those runs have ended. Other gateways announce their runs of
/// the request within it.
const ANNOUNCED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Run of a request at a replica. Dropping it means that the request was given up.
pub(crate) struct Run {
    gateway: Rc<Gateway>,
    process: Process,
    report: RefCell<RunReport>,
    is_announced: Rc<Cell<bool>>,
    /// Set once another run of the request has been answered.
    is_request_answered: Rc<Cell<bool>>,
    /// Time at which the replica stops working on the request.
    deadline: Cell<Instant>,
    /// Links to the stores that know that the run is under way.
    announced_to: RefCell<Vec<Rc<StoreLink>>>,
    /// Time and result of the latest look at the crashes under the request.
    looked_up: Cell<LookUp>,
    watch: Rc<CallerWatch>,
    is_sent: Cell<bool>,
    is_over: Cell<bool>,
    /// True if the run's connection was reset.
    is_reset: Cell<bool>,
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
        let wait = &inbound.watch.look_up_wait;
        let look_up = || LookUp::begin_when_answered(gateway, request, wait);
        let mut looked_up = look_up().await;
        loop {
            if looked_up.is_old(gateway, request) {
                looked_up = look_up().await;
            }
            let knowledge = looked_up.knowledge;
            if !gateway.may_begin_later(request, knowledge) {
                return Err(Failure::CrashLimit);
            }
            let process = Process::of(gateway, request, backend).await;
            let run = Self::new(gateway, inbound, process, looked_up);
            if let Some(run) = run.begin_within_limit().await {
                return Ok(run);
            }
            gateway.adopt_doubts(request);
            if Instant::now() >= deadline || gateway.is_limited_until(request, knowledge, deadline)
            {
                return Err(Failure::CrashLimit);
            }
            let jitter = Duration::from_micros(gateway.draw() % 10_000);
            actix_rt::time::sleep(ANNOUNCED_CHECK_INTERVAL + jitter).await;
        }
    }

    /// Begins the run unless the last replicas that may end are running the request already. Where
    /// any may have ended, the run is announced first. Of two runs that are announced at the same
    /// moment, the one that is acknowledged later sees the other one.
    async fn begin_within_limit(self) -> Option<Self> {
        let (request, id) = {
            let report = self.report.borrow();
            (report.request, report.run)
        };
        if self.gateway.possible_crashes(request, Some(id)) == 0 {
            self.register();
            return Some(self);
        }
        if self.must_wait_for_doubts() || !self.is_within_limit() {
            self.is_over.set(true);
            return None;
        }
        self.register();
        let is_acknowledged = self.announce().await;
        // Other gateways announce their first runs meanwhile.
        actix_rt::time::sleep(ANNOUNCED_CHECK_INTERVAL).await;
        if is_acknowledged && self.is_within_limit() {
            return Some(self);
        }
        self.survived();
        None
    }

    fn new(
        gateway: &Rc<Gateway>,
        inbound: &InboundRequest,
        process: Process,
        looked_up: LookUp,
    ) -> Self {
        let run = RunId(gateway.draw());
        let known_crashes = gateway.known_crashes(inbound.fingerprint, run, &process);
        let backend = &process.backend;
        let lease = inbound.remaining() + LEASE_MARGIN;
        Self {
            report: RefCell::new(RunReport {
                request: inbound.fingerprint,
                run,
                replica: backend.id.clone(),
                incarnation: backend.incarnation,
                known_crashes,
                lease_ms: milliseconds(lease),
                state: RunState::Started,
            }),
            process,
            gateway: Rc::clone(gateway),
            is_announced: Rc::default(),
            is_request_answered: Rc::default(),
            deadline: Cell::new(inbound.deadline),
            announced_to: RefCell::default(),
            looked_up: Cell::new(looked_up),
            watch: Rc::clone(&inbound.watch),
            is_sent: Cell::new(false),
            is_over: Cell::new(false),
            is_reset: Cell::new(false),
        }
    }

    /// Records the run as one of this gateway.
    fn register(&self) {
        let mut crashes = self.gateway.crashes.borrow_mut();
        let report = self.report.borrow();
        crashes.begin(&report, &self.is_announced, &self.is_request_answered);
    }

    /// Announces the run to its holders. Returns true if those that have told the reports of the
    /// request have acknowledged it.
    async fn announce(&self) -> bool {
        self.is_announced.set(true);
        let report = self.report.borrow().clone();
        let knowledge = self.looked_up.get().knowledge;
        // If the gateway is lost meanwhile, the stores put the run in doubt.
        *self.announced_to.borrow_mut() = self.gateway.announce_run(&report, knowledge);
        let gateway = &self.gateway;
        match knowledge {
            Knowledge::Both => {
                gateway.report_run(&report).await && gateway.report_run_to_members(&report).await
            }
            Knowledge::Stores => gateway.report_run(&report).await,
            Knowledge::Members | Knowledge::None => {
                gateway.send_reports(std::slice::from_ref(&report));
                gateway.report_run_to_members(&report).await
            }
        }
    }

    /// Announces the run at a replica that has long sent nothing, so that it counts if the gateway is
    /// lost too.
    pub(crate) fn note_stalled(&self) {
        if !self.is_announced.replace(true) {
            let report = self.report.borrow();
            self.gateway.send_reports(std::slice::from_ref(&report));
        }
    }

    /// Returns true if the request may be sent now. Replicas may have ended under other runs since this
    /// one has begun.
    pub(crate) async fn may_be_sent(&self) -> bool {
        let (request, run) = {
            let report = self.report.borrow();
            (report.request, report.run)
        };
        if self.looked_up.get().is_old(&self.gateway, request) {
            let wait = &self.watch.look_up_wait;
            let looking_up = LookUp::begin_when_answered(&self.gateway, request, wait);
            self.looked_up.set(looking_up.await);
        }
        let knowledge = self.looked_up.get().knowledge;
        if !self.gateway.may_begin_later(request, knowledge) {
            return false;
        }
        if self.gateway.possible_crashes(request, Some(run)) < knowledge.max_crashes() {
            return true;
        }
        // A replica that has ended or hangs meanwhile must not get the request.
        self.process.is_running(&self.gateway).await && self.is_within_limit()
    }

    /// Returns true if no more replicas can end than may, this run's included.
    fn is_within_limit(&self) -> bool {
        let others = {
            let report = self.report.borrow();
            let gateway = &self.gateway;
            gateway.possible_crashes(report.request, Some(report.run))
        };
        match self.adds_no_end() {
            true => others <= MAX_CRASHES,
            false => others < self.looked_up.get().knowledge.max_crashes(),
        }
    }

    /// Returns true if another run of the request is under way or in doubt at the same process, so that
    /// this one can end no further replica.
    fn adds_no_end(&self) -> bool {
        let crashes = || self.gateway.crashes.borrow();
        self.is_at_known_process() && crashes().table.shares_open_end(&self.report.borrow())
    }

    /// Returns true if the run may not begin before the doubts about the request are settled. Control
    /// members alone may not know of the end of a doubtful run.
    fn must_wait_for_doubts(&self) -> bool {
        let request = self.report.borrow().request;
        self.looked_up.get().knowledge < Knowledge::Stores
            && self.gateway.suspected_crashes(request) > 0
            && !self.adds_no_end()
    }

    /// Returns true if the process that the run is sent to is surely the one of the open runs with the
    /// same number of known crashes.
    fn is_at_known_process(&self) -> bool {
        let report = self.report.borrow();
        let known_crashes = self
            .gateway
            .known_crashes(report.request, report.run, &self.process);
        self.process.identified_at.is_some() && known_crashes == report.known_crashes
    }

    /// Waits for the connections of an earlier process of the replica to close, if a run of the request
    /// at the replica is in doubt. A process that has just started can accept a connection before
    /// those of the one that has ended are seen to close.
    pub(crate) async fn wait_for_closes(&self) {
        let request = self.report.borrow().request;
        let is_in_doubt = {
            let crashes = self.gateway.crashes.borrow();
            crashes
                .doubtful
                .has_any_at(request, &self.process.backend.id)
        };
        if is_in_doubt {
            actix_rt::time::sleep(CONFIRMATION_DELAY).await;
        }
    }

    /// Records that the request is being sent to a replica that is to stop working on it after
    /// `work_time`. The connection may be a new one, to another process than an earlier run was at.
    pub(crate) fn note_sent(&self, work_time: Duration) {
        self.is_sent.set(true);
        self.deadline.set(Instant::now() + work_time);
        let mut report = self.report.borrow_mut();
        report.known_crashes =
            self.gateway
                .known_crashes(report.request, report.run, &self.process);
        let mut announced_to = self.announced_to.borrow_mut();
        if announced_to.is_empty() {
            let knowledge = self.looked_up.get().knowledge;
            *announced_to = self.gateway.announce_run(&report, knowledge);
        }
    }

    /// Ends the run with the whole response of a request that succeeded.
    pub(crate) fn answered(&self) {
        self.end();
        self.note_survived();
        let request = self.report.borrow().request;
        let now = self.gateway.now();
        let cleared = self.gateway.crashes.borrow_mut().clear(request, now);
        self.gateway.send_reports(&cleared);
    }

    /// Ends a run that did not begin, or after which the replica is in order.
    pub(crate) fn survived(&self) {
        self.end();
        self.note_survived();
        let report = self.report.borrow();
        if self.is_announced.get() || self.gateway.crashes.borrow().table.counts(&report) {
            self.gateway
                .send_reports(&[in_state(&report, RunState::Cleared)]);
        }
    }

    /// Ends a run after which the replica may end. Returns once the turn stores know of the doubt, or
    /// do not respond, or the caller's time is over.
    pub(crate) async fn doubted(&self, reason: DoubtReason, inbound: &InboundRequest) {
        self.end();
        let gateway = Rc::clone(&self.gateway);
        let deadline = self.end_deadline();
        let announced = self.announced();
        self.leave_shared_end();
        let report = self.gateway.report_that_counts(&self.report.borrow());
        // The task goes on if the caller disconnects.
        let reporting = actix_rt::spawn(async move {
            gateway.doubt(&report, reason, deadline);
            gateway.report_doubt(&report).await;
            announced.end();
        });
        let reporting = actix_rt::time::timeout(inbound.remaining(), reporting);
        if let Ok(Err(error)) = reporting.await {
            tracing::error!(%error, "recording a run in doubt failed");
        }
    }

    /// Counts the run apart from an earlier one at the replica whose process has closed its connections
    /// since. A process that has responded after that is another one, although the run was sent before
    /// the closes were seen.
    fn leave_shared_end(&self) {
        let mut report = self.report.borrow_mut();
        if !self.gateway.may_have_left_process(&report, &self.process) {
            return;
        }
        let shared = in_state(&report, RunState::Cleared);
        report.run = RunId(self.gateway.draw());
        report.known_crashes = number_of_own(report.run);
        self.gateway.send_reports(&[shared]);
    }

    /// Records the error with which the run's connection broke.
    pub(crate) fn note_break(&self, error: &hyper::Error) {
        self.is_reset.set(luglink_http::is_reset(error));
    }

    /// Ends a run whose connection broke. Returns once the turn stores know whether the replica has
    /// ended or may have, or do not respond.
    pub(crate) async fn broke(&self) {
        self.is_over.set(true);
        let gateway = Rc::clone(&self.gateway);
        let under_way = self.report.borrow().clone();
        let report = self.gateway.report_that_counts(&under_way);
        // Other requests with the same content must not miss it meanwhile.
        gateway.merge_doubt(&report);
        let announced = self.announced();
        let deadline = self.end_deadline();
        let reason = match self.is_reset.get() {
            true => DoubtReason::Reset,
            false => DoubtReason::Broken,
        };
        // The task goes on if the caller disconnects.
        let confirming = actix_rt::spawn(async move {
            confirm_crash(Rc::clone(&gateway), report, reason, deadline).await;
            gateway.crashes.borrow_mut().end(&under_way);
            announced.end();
        });
        if let Err(error) = confirming.await {
            tracing::error!(%error, "recording the end of a replica failed");
        }
    }

    /// Ends the run of a failed send.
    pub(crate) async fn failed(&self, failure: Failure, inbound: &InboundRequest) {
        match failure.outcome() {
            SendOutcome::NotSent | SendOutcome::Declined => self.survived(),
            _ if failure == Failure::Broken => self.broke().await,
            _ if failure == Failure::NoAnswerInTime => self.timed_out(),
            _ => self.doubted(DoubtReason::Failed(failure), inbound).await,
        }
    }

    fn end(&self) {
        self.is_over.set(true);
        self.gateway.crashes.borrow_mut().end(&self.report.borrow());
    }

    /// Ends a run whose replica has sent no whole response by the deadline. The caller has no time left
    /// to wait for the stores.
    pub(crate) fn timed_out(&self) {
        self.give_up(DoubtReason::Failed(Failure::NoAnswerInTime));
    }

    /// Gives up the run. The replica may go on with it.
    fn give_up(&self, reason: DoubtReason) {
        if !self.is_sent.get() {
            return self.survived();
        }
        self.end();
        let deadline = self.end_deadline();
        let report = self.gateway.report_that_counts(&self.report.borrow());
        self.gateway.doubt(&report, reason, deadline);
        self.gateway.send_doubt(&report);
        self.announced().end();
    }

    /// Returns the time until which the replica may work on the run and end under it. A request that is
    /// answered usually ends no replicas.
    fn end_deadline(&self) -> Instant {
        let report = self.report.borrow();
        let crashes = self.gateway.crashes.borrow();
        let is_answered = self.is_request_answered.get()
            || crashes.answered.has(report.request)
            || crashes.table.is_cleared_early(&report);
        match is_answered {
            true => Instant::now(),
            false => self.deadline.get(),
        }
    }

    fn note_survived(&self) {
        let mut crashes = self.gateway.crashes.borrow_mut();
        crashes.note_survived(self.report.borrow().run);
        drop(crashes);
        self.announced().end();
    }

    fn announced(&self) -> AnnouncedRun {
        AnnouncedRun {
            run: self.report.borrow().run,
            links: self.announced_to.take(),
        }
    }
}

/// Run that stores know to be under way.
struct AnnouncedRun {
    run: RunId,
    links: Vec<Rc<StoreLink>>,
}

impl AnnouncedRun {
    /// Tells the stores that the run is no longer under way.
    fn end(self) {
        for link in self.links {
            link.announcements.end(self.run);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.is_over.get() {
            self.give_up(DoubtReason::GivenUp);
        }
    }
}

impl Gateway {
    /// Returns the report of a run under an identifier under which it can count. Another run of the
    /// request that succeeded, or another gateway, may have cleared the run while it was under way.
    fn report_that_counts(&self, report: &RunReport) -> RunReport {
        let is_cleared_early = self.crashes.borrow().table.is_cleared_early(report);
        let run = match is_cleared_early {
            true => RunId(self.draw()),
            false => report.run,
        };
        RunReport {
            run,
            ..report.clone()
        }
    }

    /// Puts a run that has just ended in doubt. Its replica was told to stop working on it at `deadline`.
    fn doubt(&self, report: &RunReport, reason: DoubtReason, deadline: Instant) {
        let now = Instant::now();
        let witnesses = self.upstream.open_since(&report.replica, now);
        self.doubt_with(report, reason, deadline, witnesses);
    }

    pub(crate) fn doubt_with(
        &self,
        report: &RunReport,
        reason: DoubtReason,
        deadline: Instant,
        witnesses: Vec<ConnectionState>,
    ) {
        let open_connections = witnesses.len();
        let mut crashes = self.crashes.borrow_mut();
        let doubtful = &mut crashes.doubtful;
        let is_watched = doubtful.add(report.clone(), reason, deadline, witnesses);
        drop(crashes);
        let work_left = deadline.saturating_duration_since(Instant::now());
        tracing::info!(
            request = %report.request,
            replica = %report.replica,
            started_ms = report.incarnation.0,
            reason = reason.as_str(),
            open_connections,
            is_watched,
            work_left_ms = milliseconds(work_left),
            "replica may end after a run"
        );
    }
}
