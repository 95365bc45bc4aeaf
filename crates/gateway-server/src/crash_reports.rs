//! Exchange of crash reports with the turn stores.

use crate::announcements::announce;
use crate::crash_ledger::in_state;
use crate::gateway::Gateway;
use crate::store_link::StoreLink;
use crate::survival;
use crate::turn_client::TurnClient;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::{Incarnation, StoreName};
use luglink_telemetry::milliseconds;
use luglink_turns::{
    CrashRequest, CrashResponse, LEASE_DURATION, LEASE_HOLD, LEASE_TRUST, LogPosition,
    RequestFingerprint, RunId, RunReport, RunState,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for the stores to return reports. Requests wait for it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time for the stores to acknowledge a report. Stores wait for the gateways with a lease, and
/// if all stores are silent, these leases have ended by then.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = LEASE_DURATION.saturating_add(Duration::from_millis(200));

/// Time after which a report that was not acknowledged is sent again. Stores that stood still may
/// acknowledge it late.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a gateway without a lease knows that the others have none either, if the reason is
/// that all stores are silent.
const LEASE_SPREAD: Duration = LEASE_HOLD.saturating_add(Duration::from_millis(150));

/// Time after the last response of a store of a build without leases after which its reports may be
/// missing here. Such a store holds a request for new reports for less.
const UNLEASED_TRUST: Duration = Duration::from_secs(4);

/// Interval at which the set of followed stores is compared with the view of the stores, and
/// doubtful runs are reviewed. Far below the gap after which reports may be missing.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a store that did not respond is followed again.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of reports on their way to a store that may lack them.
const MAX_REFILL_REPORTS: usize = 64;

/// Delay before a store of a build without crash reports is asked again.
const OLDER_STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Gateway {
    /// Records a report here and at the stores. Returns true once a quorum of them has acknowledged it,
    /// which for a crash means that all gateways know it that need not ask before they send its request.
    pub(crate) async fn report_run(self: &Rc<Self>, report: &RunReport) -> bool {
        self.merge_reports(std::slice::from_ref(report));
        self.deliver(report, false).await
    }

    /// Records a run in doubt like [`Gateway::report_run`].
    pub(crate) async fn report_doubt(self: &Rc<Self>, report: &RunReport) -> bool {
        self.merge_doubt(report);
        self.deliver(report, true).await
    }

    /// Records a run in doubt here, and at the stores without waiting for them.
    pub(crate) fn send_doubt(self: &Rc<Self>, report: &RunReport) {
        let gateway = Rc::clone(self);
        let report = report.clone();
        self.merge_doubt(&report);
        actix_rt::spawn(async move { gateway.report_doubt(&report).await });
    }

    fn merge_doubt(self: &Rc<Self>, report: &RunReport) {
        self.merge_reports(std::slice::from_ref(report));
        let mut crashes = self.crashes.borrow_mut();
        crashes.table.mark_in_doubt(report.request, report.run);
    }

    /// Announces a run to a quorum of the stores that own its request. Returns the links to those.
    pub(crate) fn announce_run(&self, report: &RunReport) -> Vec<Rc<StoreLink>> {
        let mut links = self.turns.crash_owners(report.request);
        // Owners that do not respond come last.
        links.sort_by_key(|link| link.is_unresponsive());
        links.truncate(self.turns.quorum());
        for link in &links {
            link.announcements.begin(report);
        }
        links
    }

    /// Records reports here, and at the stores without waiting for them.
    pub(crate) fn send_reports(self: &Rc<Self>, reports: &[RunReport]) {
        self.merge_reports(reports);
        for report in reports {
            let gateway = Rc::clone(self);
            let report = report.clone();
            actix_rt::spawn(async move { gateway.deliver(&report, false).await });
        }
    }

    /// Sends a report to the stores that own its request. Returns true if a quorum of them has
    /// acknowledged it.
    async fn deliver(self: &Rc<Self>, report: &RunReport, is_in_doubt: bool) -> bool {
        let key = (report.request, report.run);
        let request = match is_in_doubt {
            true => CrashRequest::RecordDoubt(report.clone()),
            false => CrashRequest::Record(report.clone()),
        };
        let links = self.turns.crash_owners(report.request);
        if !is_in_doubt && report.state != RunState::Crashed {
            if report.state == RunState::Cleared {
                self.crashes.borrow_mut().unacknowledged.forget(key);
            }
            return self.ask(links, request, LOOKUP_TIMEOUT).await;
        }
        self.crashes.borrow_mut().unacknowledged.begin(key);
        let timeout = self.acknowledgement_timeout();
        let sending = Rc::clone(self).send_report(report.clone(), links, request);
        // The task goes on after the timeout, and if the caller disconnects.
        let sending = actix_rt::time::timeout(timeout, actix_rt::spawn(sending)).await;
        if matches!(sending, Ok(Ok(true))) {
            return true;
        }
        let mut crashes = self.crashes.borrow_mut();
        crashes.unacknowledged.note_overdue(key);
        let informed_age = crashes.informed_age();
        drop(crashes);
        tracing::warn!(
            request = %report.request,
            replica = %report.replica,
            timeout_ms = milliseconds(timeout),
            informed_ago_ms = informed_age.map(milliseconds),
            "turn stores did not acknowledge a crash report"
        );
        false
    }

    /// Sends a report to stores. Returns true if a quorum of them has acknowledged it.
    async fn send_report(
        self: Rc<Self>,
        report: RunReport,
        links: Vec<Rc<StoreLink>>,
        request: CrashRequest,
    ) -> bool {
        let key = (report.request, report.run);
        let is_acknowledged = self.ask(links, request, DELIVERY_TIMEOUT).await;
        let mut crashes = self.crashes.borrow_mut();
        let taken = crashes.unacknowledged.end(key, is_acknowledged);
        drop(crashes);
        if let Some(taken) = taken.filter(|taken| *taken > LOOKUP_TIMEOUT) {
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                ms = milliseconds(taken),
                "turn stores acknowledged a crash report late"
            );
        }
        is_acknowledged
    }

    /// Returns the time to wait for the acknowledgement of a report. If no store responds, the leases
    /// of other gateways have ended after it.
    fn acknowledgement_timeout(&self) -> Duration {
        let age = self.crashes.borrow().informed_age();
        let may_others_trust = age.is_some_and(|age| age < LEASE_SPREAD);
        if may_others_trust || self.follows_crash_reports() {
            ACKNOWLEDGEMENT_TIMEOUT
        } else {
            LOOKUP_TIMEOUT
        }
    }

    /// Sends the reports again that no quorum of stores has acknowledged.
    fn deliver_again(self: &Rc<Self>) {
        let due = self.crashes.borrow_mut().unacknowledged.due();
        for key in due {
            let mut crashes = self.crashes.borrow_mut();
            let mut reports = crashes.table.reports(key.0);
            let report = reports.find(|report| report.run == key.1).cloned();
            drop(reports);
            let Some(report) = report.filter(|report| report.state != RunState::Cleared) else {
                crashes.unacknowledged.forget(key);
                continue;
            };
            let is_in_doubt = report.state == RunState::Started;
            drop(crashes);
            let gateway = Rc::clone(self);
            actix_rt::spawn(async move { gateway.deliver(&report, is_in_doubt).await });
        }
    }

    /// Gets the reports of a request from a quorum of its stores, unless the reports of all stores
    /// are known here. Stores that did not answer lately are left out, since the request waits.
    /// Returns false if reports may be missing here, or those of this gateway at the others.
    pub(crate) async fn look_up_crashes(self: &Rc<Self>, request: RequestFingerprint) -> bool {
        if !self.follows_crash_reports() {
            let mut links = self.turns.crash_owners(request);
            links.retain(|link| !link.is_unresponsive());
            let find = CrashRequest::Find(request);
            if !self.ask(links, find, LOOKUP_TIMEOUT).await {
                tracing::warn!(%request, "turn stores did not respond about crash reports");
                return false;
            }
        }
        !self.crashes.borrow().unacknowledged.has_any_of(request)
    }

    /// Returns true if [`Gateway::look_up_crashes`] need not ask the stores.
    pub(crate) fn is_informed_of(&self, request: RequestFingerprint) -> bool {
        let has_unacknowledged = self.crashes.borrow().unacknowledged.has_any_of(request);
        self.follows_crash_reports() && !has_unacknowledged
    }

    /// Sends a request to stores. Returns true if a quorum responds in time. The request goes on
    /// after that.
    async fn ask(
        self: &Rc<Self>,
        links: Vec<Rc<StoreLink>>,
        request: CrashRequest,
        timeout: Duration,
    ) -> bool {
        let request = Rc::new(request);
        let mut pending: FuturesUnordered<_> = links
            .into_iter()
            .map(|link| actix_rt::spawn(exchange(Rc::clone(self), link, Rc::clone(&request))))
            .collect();
        let needed = self.turns.quorum();
        let answers = async {
            let mut answers = 0;
            while answers < needed
                && let Some(answered) = pending.next().await
            {
                answers += usize::from(answered.unwrap_or(false));
            }
            answers
        };
        let answers = actix_rt::time::timeout(timeout, answers).await;
        answers.is_ok_and(|answers| answers >= needed)
    }

    fn merge_response(self: &Rc<Self>, response: &CrashResponse) {
        self.merge_reports(&response.reports);
        let survived = self.crashes.borrow_mut().mark_in_doubt(&response.doubts);
        if !survived.is_empty() {
            self.report_survived(&survived);
        }
    }

    /// Merges reports. Runs under way here of requests that may end their replicas are announced.
    fn merge_reports(self: &Rc<Self>, reports: &[RunReport]) {
        let now = self.now();
        let mut crashes = self.crashes.borrow_mut();
        crashes.merge_all(reports, now);
        let counted = reports
            .iter()
            .filter(|report| report.state != RunState::Cleared);
        let unannounced: Vec<RunReport> = counted
            .flat_map(|report| crashes.take_unannounced(report.request))
            .collect();
        drop(crashes);
        if !unannounced.is_empty() {
            self.send_reports(&unannounced);
        }
    }

    /// Returns true if all reports that a quorum of stores has acknowledged are known here.
    pub(crate) fn follows_crash_reports(&self) -> bool {
        let followed = self.crashes.borrow().followed_count();
        self.turns.is_certain(followed)
    }

    /// Records whether the reports of all stores are known here.
    fn note_informed(&self) {
        let unacknowledged = self.crashes.borrow().unacknowledged.len();
        let reports = &self.metrics.unacknowledged_reports;
        reports.set(unacknowledged as f64);
        let is_informed = self.follows_crash_reports();
        if is_informed {
            self.crashes.borrow_mut().note_informed();
        }
        if self.is_informed.replace(is_informed) != is_informed {
            let informed_age = self.crashes.borrow().informed_age();
            tracing::info!(
                is_informed,
                informed_ago_ms = informed_age.map(milliseconds),
                unacknowledged,
                "knowledge of crash reports changed"
            );
        }
    }

    /// Reports the doubtful runs at replicas that the list shows as ended, and probes replicas that
    /// have given no sign since.
    fn review_doubtful_runs(self: &Rc<Self>) {
        let ended = self.crashes.borrow_mut().take_marked();
        self.report_ended(&ended.crashed);
        self.report_late_ends(ended.late);
        let due = self.crashes.borrow_mut().doubtful.due_probes();
        let doubtful = self.crashes.borrow().doubtful.len();
        self.metrics.doubtful_runs.set(doubtful as f64);
        for replica in due {
            actix_rt::spawn(survival::probe(Rc::clone(self), replica));
        }
    }

    /// Clears the crashes at replicas that are connected and that the list still shows in the same
    /// incarnation.
    fn review_crashes(self: &Rc<Self>) {
        let mut survived = self.crashes.borrow_mut().take_reviews();
        let pool = self.pool.borrow();
        survived.retain(|report| {
            let listed = pool.listed(&report.replica);
            let is_known = report.incarnation != Incarnation::UNKNOWN;
            let is_connected = self
                .upstream
                .has_open_since(&report.replica, Instant::now());
            is_known
                && is_connected
                && listed.is_some_and(|listed| listed.incarnation == report.incarnation)
        });
        drop(pool);
        for report in &mut survived {
            report.state = RunState::Cleared;
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                started_ms = report.incarnation.0,
                list_age_ms = self.list_age().map(milliseconds),
                "replica had not ended when its connection broke"
            );
        }
        self.send_reports(&survived);
    }

    /// Records and reports runs after which a replica counted as in order and has ended since. The
    /// report of such a run can no longer change, so each is reported as another run.
    pub(crate) fn report_late_ends(self: &Rc<Self>, ended: Vec<RunReport>) {
        for mut report in ended {
            report.run = RunId(self.draw());
            report.state = RunState::Crashed;
            let beside = self.crashes.borrow().table.known_crashes_beside(&report);
            report.known_crashes = beside.unwrap_or(report.known_crashes);
            self.metrics.crashes.inc();
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                started_ms = report.incarnation.0,
                "replica ended after a run that it seemed to have survived"
            );
            self.send_reports(std::slice::from_ref(&report));
        }
    }

    /// Lets this gateway settle the runs of a request that are in doubt at others too. Those may be
    /// lost, or not run for a while.
    pub(crate) fn adopt_doubts(&self, request: RequestFingerprint) {
        let mut crashes = self.crashes.borrow_mut();
        for report in crashes.adopt_doubts(request, self.now()) {
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                started_ms = report.incarnation.0,
                known_crashes = report.known_crashes,
                "settling a run in doubt of another gateway"
            );
        }
    }

    /// Records and reports runs at replicas that have ended, which were in doubt.
    pub(crate) fn report_ended(self: &Rc<Self>, ended: &[RunReport]) {
        for report in ended {
            self.metrics.crashes.inc();
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                started_ms = report.incarnation.0,
                "replica ended after a run that was in doubt"
            );
        }
        let crashed: Vec<RunReport> = ended
            .iter()
            .map(|report| in_state(report, RunState::Crashed))
            .collect();
        self.send_reports(&crashed);
    }
}

/// Sends a request to one store and merges the reports of its response. Returns true if it
/// responded.
async fn exchange(gateway: Rc<Gateway>, link: Rc<StoreLink>, request: Rc<CrashRequest>) -> bool {
    let is_report = matches!(
        &*request,
        CrashRequest::Record(_) | CrashRequest::RecordDoubt(_)
    );
    let response = match is_report {
        true => link.report_run(&request).await,
        false => link.exchange_crashes(&request).await,
    };
    let Some(response) = response else {
        return false;
    };
    if let Some(response) = response {
        gateway.merge_response(&response);
    }
    true
}

/// Follows the crash reports of all stores.
pub(crate) async fn follow(gateway: Rc<Gateway>) {
    let mut followed: HashMap<StoreName, Rc<StoreLink>> = HashMap::new();
    loop {
        for (name, link) in gateway.turns.links() {
            let is_followed = |known: &Rc<StoreLink>| Rc::ptr_eq(known, &link);
            if !followed.get(&name).is_some_and(is_followed) {
                followed.insert(name.clone(), Rc::clone(&link));
                let announcing = announce(Rc::clone(&gateway), name.clone(), Rc::clone(&link));
                actix_rt::spawn(announcing);
                actix_rt::spawn(follow_store(Rc::clone(&gateway), name, link));
            }
        }
        followed.retain(|name, link| gateway.turns.has_link(name, link));
        gateway.crashes.borrow_mut().note_upkeep();
        gateway.note_informed();
        gateway.deliver_again();
        gateway.review_doubtful_runs();
        gateway.review_crashes();
        let view_changed = gateway.turns.view_changed.notified();
        let _ = actix_rt::time::timeout(UPKEEP_INTERVAL, view_changed).await;
    }
}

/// Follows the crash reports of one store while it is in the view of the stores.
async fn follow_store(gateway: Rc<Gateway>, name: StoreName, link: Rc<StoreLink>) {
    let mut position = LogPosition::default();
    while gateway.turns.has_link(&name, &link) {
        let asked_at = Instant::now();
        match link.follow_crashes(position).await {
            Some(Some(response)) => {
                gateway.merge_response(&response);
                let until = match response.has_lease {
                    true => asked_at + LEASE_TRUST,
                    false => Instant::now() + UNLEASED_TRUST,
                };
                gateway.crashes.borrow_mut().note_followed(&name, until);
                if response.position.epoch != position.epoch {
                    actix_rt::spawn(refill(Rc::clone(&gateway), name.clone(), Rc::clone(&link)));
                }
                position = response.position;
            }
            Some(None) => {
                let until = Instant::now() + UNLEASED_TRUST;
                gateway.crashes.borrow_mut().note_followed(&name, until);
                actix_rt::time::sleep(OLDER_STORE_RETRY_DELAY).await;
            }
            None => {
                gateway.crashes.borrow_mut().note_lost(&name);
                actix_rt::time::sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
    gateway.crashes.borrow_mut().note_lost(&name);
}

/// Sends the reports known here to a store that owns their requests. It has just started, or was not
/// followed before, and may lack them.
async fn refill(gateway: Rc<Gateway>, name: StoreName, link: Rc<StoreLink>) {
    let counted: Vec<(RunReport, bool)> = {
        let table = &gateway.crashes.borrow().table;
        let counted = table.counted_reports();
        counted
            .map(|report| (report.clone(), table.is_in_doubt(report)))
            .collect()
    };
    let is_owner = |request| {
        let owners = gateway.turns.crash_owners(request);
        owners.iter().any(|owner| Rc::ptr_eq(owner, &link))
    };
    let owned = counted.into_iter();
    let owned = owned.filter(|(report, _)| is_owner(report.request));
    let sending = owned.map(|(report, is_in_doubt)| {
        let request = match is_in_doubt {
            true => CrashRequest::RecordDoubt(report),
            false => CrashRequest::Record(report),
        };
        let link = Rc::clone(&link);
        async move { link.report_run(&request).await.is_some() }
    });
    let results = futures_util::stream::iter(sending).buffer_unordered(MAX_REFILL_REPORTS);
    let results: Vec<bool> = results.collect().await;
    let sent = results.iter().filter(|is_sent| **is_sent).count();
    if !results.is_empty() {
        let failed = results.len() - sent;
        tracing::info!(store = %name, sent, failed, "sent crash reports to a store that may lack them");
    }
}

impl TurnClient {
    /// Returns the links to the stores that own the crash reports of a request.
    fn crash_owners(&self, request: RequestFingerprint) -> Vec<Rc<StoreLink>> {
        self.links_to(&request.to_string())
    }
}
