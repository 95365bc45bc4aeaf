//! Exchange of crash reports with the turn stores.

use crate::gateway::Gateway;
use crate::placement;
use crate::store_link::StoreLink;
use crate::turn_client::TurnClient;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::{BackendId, Incarnation, StoreName};
use luglink_telemetry::milliseconds;
use luglink_turns::{CrashRequest, LogPosition, RequestFingerprint, RunId, RunReport, RunState};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for the stores to acknowledge or return reports. Requests wait for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which the set of followed stores is compared with the view of the stores, and
/// abandoned runs are checked for their age. Far below the gap after which reports may be missing.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a store that did not respond is followed again.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay before a store of a build without crash reports is asked again.
const OLDER_STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Gateway {
    /// Records a report here and at the stores. Returns once a quorum of its stores has it, or does
    /// not respond.
    pub(crate) async fn report_run(self: &Rc<Self>, report: &RunReport) {
        self.merge_reports(std::slice::from_ref(report));
        let request = CrashRequest::Record(report.clone());
        self.ask_stores(report.request, request).await;
    }

    /// Records reports here, and at the stores without waiting for them.
    pub(crate) fn send_reports(self: &Rc<Self>, reports: &[RunReport]) {
        self.merge_reports(reports);
        for report in reports {
            let gateway = Rc::clone(self);
            let request = CrashRequest::Record(report.clone());
            let fingerprint = report.request;
            actix_rt::spawn(async move { gateway.ask_stores(fingerprint, request).await });
        }
    }

    /// Gets the reports of a request from a quorum of its stores, unless the reports of all stores
    /// are known here. Stores that did not answer lately are left out, since the request waits.
    pub(crate) async fn look_up_crashes(self: &Rc<Self>, request: RequestFingerprint) {
        if self.follows_crash_reports() {
            return;
        }
        let mut links = self.turns.crash_owners(request);
        links.retain(|link| !link.is_unresponsive());
        self.ask(links, request, CrashRequest::Find(request)).await;
    }

    async fn ask_stores(self: &Rc<Self>, fingerprint: RequestFingerprint, request: CrashRequest) {
        let links = self.turns.crash_owners(fingerprint);
        self.ask(links, fingerprint, request).await;
    }

    async fn ask(
        self: &Rc<Self>,
        links: Vec<Rc<StoreLink>>,
        fingerprint: RequestFingerprint,
        request: CrashRequest,
    ) {
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
        let answers = actix_rt::time::timeout(REPORT_TIMEOUT, answers).await;
        if answers.is_err() {
            tracing::warn!(request = %fingerprint, "turn stores did not respond about crash reports");
        }
    }

    fn merge_reports(&self, reports: &[RunReport]) {
        let now = self.now();
        self.crashes.borrow_mut().merge_all(reports, now);
    }

    /// Returns true if all reports that stores have acknowledged are known here.
    fn follows_crash_reports(&self) -> bool {
        let followed = self.crashes.borrow().followed_count();
        self.turns.is_certain(followed)
    }

    /// Clears the abandoned runs that a replica has survived. It has responded on a connection opened
    /// at `opened_at`.
    pub(crate) fn note_responding(self: &Rc<Self>, replica: &BackendId, opened_at: Instant) {
        let survived = self.crashes.borrow_mut().take_survived(replica, opened_at);
        self.send_reports(&survived);
    }

    /// Clears the abandoned runs of a request at model engines whose reports show that they have not
    /// restarted.
    pub(crate) async fn query_abandoned(self: &Rc<Self>, request: RequestFingerprint) {
        let abandoned = self.crashes.borrow().abandoned_of(request);
        let queries = abandoned.into_iter().map(|report| async move {
            let listed = self.pool.borrow().listed(&report.replica).cloned();
            let reported = placement::query_incarnation(self, &listed?).await?;
            let is_same = reported == report.incarnation && reported != Incarnation::UNKNOWN;
            is_same.then_some(report.run)
        });
        let survived: Vec<RunId> = join_all(queries).await.into_iter().flatten().collect();
        let cleared = self.crashes.borrow_mut().take_runs(&survived);
        self.send_reports(&cleared);
    }

    /// Reports the abandoned runs at replicas that the list shows as ended, and ends the watch of old
    /// ones.
    fn report_abandoned(self: &Rc<Self>) {
        let crashed = self.crashes.borrow_mut().take_marked();
        self.report_ended(&crashed);
        let expired = self.crashes.borrow_mut().take_expired();
        self.send_reports(&expired);
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

    /// Counts the abandoned runs at replicas that have ended as crashes.
    pub(crate) fn note_ended(self: &Rc<Self>, replicas: &[BackendId]) {
        let crashed = self.crashes.borrow_mut().take_crashed(replicas);
        self.report_ended(&crashed);
    }

    fn report_ended(self: &Rc<Self>, crashed: &[RunReport]) {
        for report in crashed {
            self.metrics.crashes.inc();
            tracing::info!(
                request = %report.request,
                replica = %report.replica,
                started_ms = report.incarnation.0,
                "replica ended after a request was given up there"
            );
        }
        self.send_reports(crashed);
    }
}

/// Sends a request to one store and merges the reports of its response. Returns true if it
/// responded.
async fn exchange(gateway: Rc<Gateway>, link: Rc<StoreLink>, request: Rc<CrashRequest>) -> bool {
    let Some(response) = link.exchange_crashes(&request).await else {
        return false;
    };
    if let Some(response) = response {
        gateway.merge_reports(&response.reports);
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
                actix_rt::spawn(follow_store(Rc::clone(&gateway), name, link));
            }
        }
        followed.retain(|name, link| gateway.turns.has_link(name, link));
        gateway.crashes.borrow_mut().note_upkeep();
        gateway.report_abandoned();
        gateway.review_crashes();
        actix_rt::time::sleep(UPKEEP_INTERVAL).await;
    }
}

/// Follows the crash reports of one store while it is in the view of the stores.
async fn follow_store(gateway: Rc<Gateway>, name: StoreName, link: Rc<StoreLink>) {
    let mut position = LogPosition::default();
    while gateway.turns.has_link(&name, &link) {
        match link.follow_crashes(position).await {
            Some(Some(response)) => {
                gateway.merge_reports(&response.reports);
                gateway.crashes.borrow_mut().note_followed(&name);
                position = response.position;
            }
            Some(None) => {
                gateway.crashes.borrow_mut().note_followed(&name);
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
