//! Exchange of crash reports with the turn stores.

use crate::announcements::{AnnouncementTarget, announce};
use crate::crash_ledger::in_state;
use crate::gateway::Gateway;
use crate::knowledge::Knowledge;
use crate::store_link::StoreLink;
use crate::survival;
use crate::turn_client::TurnClient;
use crate::unacknowledged::ReportKey;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::StoreName;
use luglink_telemetry::milliseconds;
use luglink_turns::{
    CountedReport, CrashRequest, CrashResponse, HolderView, LEASE_DURATION, LEASE_HOLD,
    LEASE_TRUST, LogPosition, RequestFingerprint, RunId, RunReport, RunState,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for the stores to return reports. Requests wait for it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum time for holders to acknowledge that a run is about to begin, and to share the reports of a
/// request that may end one more replica.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Delay before a store of a build without crash reports is asked again.
const OLDER_STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Gateway {
    /// Records a report here and at the stores. Returns true once a quorum of them has acknowledged it,
    /// which for a crash means that all gateways know it that need not ask before they send its request.
    pub(crate) async fn report_run(self: &Rc<Self>, report: &RunReport) -> bool {
        self.merge_reports(std::slice::from_ref(report));
        self.deliver(report, false).await
    }

    /// Records a report at the control members. Returns true if a majority of them has acknowledged it.
    pub(crate) async fn report_run_to_members(self: &Rc<Self>, report: &RunReport) -> bool {
        let record = CrashRequest::Record(report.clone());
        self.ask_members(record, ANNOUNCEMENT_TIMEOUT).await
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

    /// Records a run in doubt here only.
    pub(crate) fn merge_doubt(self: &Rc<Self>, report: &RunReport) {
        self.merge_reports(std::slice::from_ref(report));
        let mut crashes = self.crashes.borrow_mut();
        crashes.table.mark_in_doubt(report.request, report.run);
    }

    /// Announces a run to a quorum of the stores that own its request, or of the control members if
    /// only these have told the reports of the request. Returns the links to those.
    pub(crate) fn announce_run(
        &self,
        report: &RunReport,
        knowledge: Knowledge,
    ) -> Vec<Rc<StoreLink>> {
        let (mut links, quorum) = match knowledge {
            Knowledge::Members => (self.report_members.links(), self.report_members.quorum()),
            _ => (self.turns.crash_owners(report.request), self.turns.quorum()),
        };
        // Those that do not respond come last.
        links.sort_by_key(|link| link.is_unresponsive());
        links.truncate(quorum);
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

    /// Sends a report to the stores that own its request, and to the control members. Returns true if
    /// a quorum of the stores has acknowledged it.
    async fn deliver(self: &Rc<Self>, report: &RunReport, is_in_doubt: bool) -> bool {
        let key = (report.request, report.run);
        let counted = CountedReport {
            report: report.clone(),
            is_in_doubt,
        };
        let request = counted.into_request();
        let gateway = Rc::clone(self);
        let at_members = request.clone();
        actix_rt::spawn(async move { gateway.ask_members(at_members, DELIVERY_TIMEOUT).await });
        if report.state == RunState::Cleared {
            return self.deliver_clear(key, request).await;
        }
        if !is_in_doubt && report.state != RunState::Crashed {
            return self
                .ask_stores(report.request, request, ANNOUNCEMENT_TIMEOUT)
                .await;
        }
        self.crashes.borrow_mut().unacknowledged.begin(key);
        let timeout = self.acknowledgement_timeout();
        let sending = Rc::clone(self).send_report(report.clone(), request);
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

    /// Sends the report that a run no longer counts. A holder that lacks it would count the run once
    /// its lease has ended.
    async fn deliver_clear(self: &Rc<Self>, key: ReportKey, request: CrashRequest) -> bool {
        {
            let mut crashes = self.crashes.borrow_mut();
            crashes.unacknowledged.forget(key);
            crashes.unacknowledged_clears.begin(key);
        }
        let is_acknowledged = self.ask_stores(key.0, request, DELIVERY_TIMEOUT).await;
        let mut crashes = self.crashes.borrow_mut();
        crashes.unacknowledged_clears.end(key, is_acknowledged);
        is_acknowledged
    }

    /// Sends a report to stores. Returns true if a quorum of them has acknowledged it.
    async fn send_report(self: Rc<Self>, report: RunReport, request: CrashRequest) -> bool {
        let key = (report.request, report.run);
        let asking = self.ask_stores(report.request, request, DELIVERY_TIMEOUT);
        let is_acknowledged = asking.await;
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
        self.deliver_clears_again();
    }

    fn deliver_clears_again(self: &Rc<Self>) {
        let due = self.crashes.borrow_mut().unacknowledged_clears.due();
        for key in due {
            let mut crashes = self.crashes.borrow_mut();
            let report = crashes
                .table
                .reports(key.0)
                .find(|report| report.run == key.1);
            let cleared = report.filter(|report| report.state == RunState::Cleared);
            let Some(report) = cleared.cloned() else {
                crashes.unacknowledged_clears.forget(key);
                continue;
            };
            drop(crashes);
            let gateway = Rc::clone(self);
            actix_rt::spawn(async move { gateway.deliver(&report, false).await });
        }
    }

    /// Gets the reports of a request from its holders, unless those of all stores are known here.
    /// Returns who has told them. The control members are asked if the stores do not answer, and before
    /// the last replica that a request may end. Members that do not answer are waited for until `deadline`,
    /// but for as long as stores at least.
    pub(crate) async fn look_up_crashes(
        self: &Rc<Self>,
        request: RequestFingerprint,
        deadline: Instant,
    ) -> Knowledge {
        let do_stores_answer = self.follows_crash_reports() || self.find_at_stores(request).await;
        let has_unacknowledged = {
            let mut crashes = self.crashes.borrow_mut();
            crashes.note_stores_answered(do_stores_answer);
            crashes.unacknowledged.has_any_of(request)
        };
        let knowledge = if !do_stores_answer || has_unacknowledged {
            self.find_at_members(request, deadline).await
        } else if !self.needs_members(request) {
            Knowledge::Stores
        } else {
            self.share_with_members(request).await
        };
        let is_answered = knowledge != Knowledge::None;
        self.crashes.borrow_mut().note_answered(is_answered);
        knowledge
    }

    async fn find_at_stores(self: &Rc<Self>, request: RequestFingerprint) -> bool {
        let find = CrashRequest::Find(request);
        let is_answered = self.ask_stores(request, find, LOOKUP_TIMEOUT).await;
        if !is_answered {
            tracing::warn!(%request, "turn stores did not respond about crash reports");
        }
        is_answered
    }

    async fn find_at_members(
        self: &Rc<Self>,
        request: RequestFingerprint,
        deadline: Instant,
    ) -> Knowledge {
        let find = CrashRequest::Find(request);
        let unanswered_for = self.crashes.borrow().unanswered_for();
        let has_waited = unanswered_for.is_some_and(|time| time >= ANNOUNCEMENT_TIMEOUT);
        // Without the members the request is refused.
        let timeout = match has_waited {
            true => LOOKUP_TIMEOUT,
            false => {
                let left = deadline.saturating_duration_since(Instant::now());
                left.clamp(LOOKUP_TIMEOUT, ANNOUNCEMENT_TIMEOUT)
            }
        };
        if self.ask_members(find, timeout).await {
            return Knowledge::Members;
        }
        tracing::warn!(%request, "control members did not respond about crash reports");
        Knowledge::None
    }

    /// Gives the control members the reports of a request whose replicas have ended or may have, and gets
    /// those that they have. Runs under way are reported by their gateways.
    async fn share_with_members(self: &Rc<Self>, request: RequestFingerprint) -> Knowledge {
        let counted: Vec<CountedReport> = {
            let table = &self.crashes.borrow().table;
            let counted = table.reports(request).map(|report| CountedReport {
                report: report.clone(),
                is_in_doubt: table.is_in_doubt(report),
            });
            let over = counted
                .filter(|counted| counted.is_in_doubt || counted.report.state == RunState::Crashed);
            over.collect()
        };
        let sharing = counted.into_iter().map(CountedReport::into_request);
        let sharing = sharing
            .chain([CrashRequest::Find(request)])
            .map(|request| self.ask_members(request, ANNOUNCEMENT_TIMEOUT));
        let shared = futures_util::future::join_all(sharing).await;
        match shared.into_iter().all(|is_shared| is_shared) {
            true => Knowledge::Both,
            false => {
                tracing::warn!(%request, "control members did not acknowledge crash reports");
                Knowledge::Stores
            }
        }
    }

    /// Returns true if what stores have told is not enough to begin another run of a request.
    fn needs_members(&self, request: RequestFingerprint) -> bool {
        self.possible_crashes(request, None) >= Knowledge::Stores.max_crashes()
    }

    /// Returns true if [`Gateway::look_up_crashes`] need not ask anybody.
    pub(crate) fn is_informed_of(&self, request: RequestFingerprint) -> bool {
        let has_unacknowledged = self.crashes.borrow().unacknowledged.has_any_of(request);
        self.follows_crash_reports() && !has_unacknowledged && !self.needs_members(request)
    }

    /// Sends a request to the stores that own the reports of its subject. Returns true if a quorum
    /// responds in time. The request goes on after that. Stores that did not answer lately are left out
    /// of a lookup, since a caller waits for it.
    async fn ask_stores(
        self: &Rc<Self>,
        subject: RequestFingerprint,
        request: CrashRequest,
        timeout: Duration,
    ) -> bool {
        let mut quorum = self.turns.joint_quorum(&subject.to_string());
        let is_lookup = matches!(request, CrashRequest::Find(_));
        let request = Rc::new(request);
        let mut pending = FuturesUnordered::new();
        for name in quorum.stores() {
            let Some((link, view)) = self.turns.holder(&name) else {
                continue;
            };
            if !is_lookup || !link.is_unresponsive() {
                let view = HolderView::Stores(view);
                let exchanging = exchange(Rc::clone(self), link, view, Rc::clone(&request));
                let exchanging = actix_rt::spawn(exchanging);
                pending.push(async move { (name, exchanging.await.unwrap_or(false)) });
            }
        }
        let answers = async {
            while !quorum.is_complete()
                && let Some((name, has_answered)) = pending.next().await
            {
                if has_answered {
                    quorum.record(&name);
                }
            }
            quorum.is_complete()
        };
        let is_complete = actix_rt::time::timeout(timeout, answers).await;
        is_complete.unwrap_or(false)
    }

    /// Sends a request to the control members. Returns true if a majority responds in time. The
    /// request goes on after that.
    async fn ask_members(self: &Rc<Self>, request: CrashRequest, timeout: Duration) -> bool {
        let view = self.report_members.view();
        let needed = self.report_members.quorum();
        let request = Rc::new(request);
        let mut pending: FuturesUnordered<_> = self
            .report_members
            .links()
            .into_iter()
            .map(|link| exchange_at_member(Rc::clone(self), link, view, Rc::clone(&request)))
            .map(actix_rt::spawn)
            .collect();
        let answers = async {
            let mut answers = 0;
            while answers < needed
                && let Some(has_answered) = pending.next().await
            {
                answers += usize::from(has_answered.unwrap_or(false));
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
        let crashes = self.crashes.borrow();
        self.turns
            .is_certain(|store, incarnation| crashes.follows(store, incarnation))
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

    /// Asks the replicas of crashes that the list still shows in the same incarnation, after a time
    /// within which it shows restarts, whether they have ended.
    fn review_crashes(self: &Rc<Self>) {
        let due = self.crashes.borrow_mut().take_reviews();
        for report in due {
            actix_rt::spawn(survival::review(Rc::clone(self), report));
        }
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
async fn exchange(
    gateway: Rc<Gateway>,
    link: Rc<StoreLink>,
    view: HolderView,
    request: Rc<CrashRequest>,
) -> bool {
    let Some(response) = send(&link, view, &request).await else {
        return false;
    };
    if let Some(response) = response {
        gateway.merge_response(&response);
    }
    true
}

/// The same for a control member. One of a build that holds no reports does not count.
async fn exchange_at_member(
    gateway: Rc<Gateway>,
    link: Rc<StoreLink>,
    view: HolderView,
    request: Rc<CrashRequest>,
) -> bool {
    let response = send(&link, view, &request).await.flatten();
    if let Some(response) = &response {
        gateway.merge_response(response);
    }
    response.is_some()
}

async fn send(
    link: &StoreLink,
    view: HolderView,
    request: &CrashRequest,
) -> Option<Option<CrashResponse>> {
    let is_report = matches!(
        request,
        CrashRequest::Record(_) | CrashRequest::RecordDoubt(_)
    );
    match is_report {
        true => link.report_run(view, request).await,
        false => link.exchange_crashes(view, request).await,
    }
}

/// Follows the crash reports of all stores, and announces runs to stores and control members.
pub(crate) async fn follow(gateway: Rc<Gateway>) {
    let mut followed: HashMap<StoreName, Rc<StoreLink>> = HashMap::new();
    let mut members: Vec<Rc<StoreLink>> = Vec::new();
    loop {
        for (name, link) in gateway.turns.links() {
            let is_followed = |known: &Rc<StoreLink>| Rc::ptr_eq(known, &link);
            if !followed.get(&name).is_some_and(is_followed) {
                followed.insert(name.clone(), Rc::clone(&link));
                let target = AnnouncementTarget::Store(name.clone());
                actix_rt::spawn(announce(Rc::clone(&gateway), target, Rc::clone(&link)));
                actix_rt::spawn(follow_store(Rc::clone(&gateway), name, link));
            }
        }
        followed.retain(|name, link| gateway.turns.has_link(name, link));
        for link in gateway.report_members.links() {
            if !members.iter().any(|known| Rc::ptr_eq(known, &link)) {
                members.push(Rc::clone(&link));
                let target = AnnouncementTarget::Member;
                actix_rt::spawn(announce(Rc::clone(&gateway), target, link));
            }
        }
        members.retain(|link| gateway.report_members.has_link(link));
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
        let Some((_, view)) = gateway.turns.holder(&name) else {
            break;
        };
        let asked_at = Instant::now();
        let note_followed = |until| {
            let mut crashes = gateway.crashes.borrow_mut();
            crashes.note_followed(&name, view.incarnation, until);
        };
        match link.follow_crashes(view, position).await {
            Some(Some(response)) => {
                gateway.merge_response(&response);
                note_followed(match response.has_lease {
                    true => asked_at + LEASE_TRUST,
                    false => Instant::now() + UNLEASED_TRUST,
                });
                position = response.position;
            }
            Some(None) => {
                note_followed(Instant::now() + UNLEASED_TRUST);
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

impl TurnClient {
    /// Returns the links to the stores that own the crash reports of a request.
    fn crash_owners(&self, request: RequestFingerprint) -> Vec<Rc<StoreLink>> {
        self.links_to(&request.to_string())
    }
}
