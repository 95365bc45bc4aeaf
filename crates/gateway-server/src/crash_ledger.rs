//! What a gateway knows of replicas that ended under requests.

use crate::answered_requests::AnsweredRequests;
use crate::doubtful_runs::{DoubtReason, DoubtfulRuns, EndedRuns};
use crate::unacknowledged::UnacknowledgedReports;
use luglink_fleet::{BackendId, StoreName};
use luglink_turns::{CrashTable, MAX_CRASHES, RequestFingerprint, RunId, RunReport, RunState};
use luglink_types::Timestamp;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of requests with reports.
const MAX_REQUESTS: usize = 1 << 14;

/// Time after which the list shows whether a replica has restarted under the same identifier.
const REVIEW_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of crashes to be reviewed.
const MAX_REVIEWS: usize = 1 << 12;

/// Time without upkeep after which the process must have stood still. Reports that arrived meanwhile
/// may not have been read yet.
const MAX_UPKEEP_GAP: Duration = Duration::from_millis(250);

/// Maximum number of runs that are remembered after replicas have survived them. It covers the runs
/// that end within the time in which stores learn of it.
const MAX_SURVIVED_RUNS: usize = 1 << 10;

/// Run that is under way and that other processes may not know of.
#[derive(Clone, Debug)]
struct RunInFlight {
    report: RunReport,
    is_announced: Rc<Cell<bool>>,
    is_request_answered: Rc<Cell<bool>>,
}

/// Lease of this gateway at a store.
#[derive(Clone, Copy, Debug)]
struct Followed {
    /// Time until which all reports that the store has acknowledged are known here.
    until: Instant,
    /// Incarnation of the store's disk.
    incarnation: u64,
}

/// Crash reports of this gateway and of the stores that it follows.
#[derive(Debug)]
pub(crate) struct CrashLedger {
    pub(crate) table: CrashTable,
    pub(crate) doubtful: DoubtfulRuns,
    pub(crate) answered: AnsweredRequests,
    in_flight: HashMap<RequestFingerprint, Vec<RunInFlight>>,
    /// Runs whose replicas have ended according to the list, not reported yet.
    ended: EndedRuns,
    /// Crashes that this gateway has reported, oldest first, until they are compared with the list.
    to_review: VecDeque<(RunReport, Instant)>,
    followed: HashMap<StoreName, Followed>,
    pub(crate) unacknowledged: UnacknowledgedReports,
    /// The same for reports that runs no longer count. Nobody waits for these.
    pub(crate) unacknowledged_clears: UnacknowledgedReports,
    last_upkeep: Instant,
    last_informed: Option<Instant>,
    /// Time since which no quorum has answered a look-up.
    unanswered_since: Option<Instant>,
    /// True if turn stores had told the reports at the latest look-up.
    do_stores_answer: bool,
    /// Latest runs here that replicas have survived, oldest first.
    survived: VecDeque<RunId>,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            table: CrashTable::new(MAX_REQUESTS),
            doubtful: DoubtfulRuns::default(),
            answered: AnsweredRequests::default(),
            in_flight: HashMap::new(),
            ended: EndedRuns::default(),
            to_review: VecDeque::new(),
            followed: HashMap::new(),
            unacknowledged: UnacknowledgedReports::default(),
            unacknowledged_clears: UnacknowledgedReports::default(),
            last_upkeep: Instant::now(),
            last_informed: None,
            unanswered_since: None,
            do_stores_answer: true,
            survived: VecDeque::new(),
        }
    }
}

impl CrashLedger {
    pub(crate) fn merge_all(&mut self, reports: &[RunReport], now: Timestamp) {
        for report in reports {
            self.table.merge(report, now);
            if report.state == RunState::Cleared {
                self.doubtful.note_cleared(report.run);
            }
            // Only one more replica may end then.
            if self.table.confirmed_crashes(report.request) + 1 >= MAX_CRASHES {
                self.answered.forget(report.request);
            }
        }
    }

    /// Returns the reports that end the count of a request's crashes, because it was answered.
    pub(crate) fn clear(&mut self, request: RequestFingerprint, now: Timestamp) -> Vec<RunReport> {
        let counted = self.table.reports(request);
        let counted = counted.filter(|report| report.state != RunState::Cleared);
        let cleared: Vec<RunReport> = counted
            .map(|run| in_state(run, RunState::Cleared))
            .collect();
        self.merge_all(&cleared, now);
        self.doubtful.forget(request);
        self.answered.note(request);
        for run in self.in_flight.get(&request).into_iter().flatten() {
            run.is_request_answered.set(true);
        }
        cleared
    }

    /// Records that a run has begun. `is_announced` is set once others may know of it, and
    /// `is_request_answered` once another run of the request has been answered.
    pub(crate) fn begin(
        &mut self,
        report: &RunReport,
        is_announced: &Rc<Cell<bool>>,
        is_request_answered: &Rc<Cell<bool>>,
    ) {
        let runs = self.in_flight.entry(report.request).or_default();
        runs.push(RunInFlight {
            report: report.clone(),
            is_announced: Rc::clone(is_announced),
            is_request_answered: Rc::clone(is_request_answered),
        });
    }

    /// Returns true if a run is under way or in doubt here.
    pub(crate) fn is_own(&self, report: &RunReport) -> bool {
        let mut in_flight = self.in_flight.get(&report.request).into_iter().flatten();
        in_flight.any(|run| run.report.run == report.run) || self.doubtful.is_own(report.run)
    }

    /// Records that a run is no longer under way.
    pub(crate) fn end(&mut self, report: &RunReport) {
        let Some(runs) = self.in_flight.get_mut(&report.request) else {
            return;
        };
        runs.retain(|run| run.report.run != report.run);
        if runs.is_empty() {
            self.in_flight.remove(&report.request);
        }
    }

    /// Remembers a run that the replica has survived. A store may not know that yet.
    pub(crate) fn note_survived(&mut self, run: RunId) {
        if self.survived.len() >= MAX_SURVIVED_RUNS {
            self.survived.pop_front();
        }
        self.survived.push_back(run);
    }

    /// Marks runs as in doubt. Returns those of them that replicas are known to have survived.
    pub(crate) fn mark_in_doubt(&mut self, runs: &[(RequestFingerprint, RunId)]) -> Vec<RunReport> {
        let mut survived = Vec::new();
        for (request, run) in runs {
            self.table.mark_in_doubt(*request, *run);
            if self.survived.contains(run) {
                let reports = self.table.reports(*request);
                survived.extend(reports.filter(|report| report.run == *run).cloned());
            }
        }
        survived
    }

    /// Returns the runs under way of a request that were not announced. They count as announced from
    /// then on.
    pub(crate) fn take_unannounced(&mut self, request: RequestFingerprint) -> Vec<RunReport> {
        let runs = self.in_flight.get(&request).into_iter().flatten();
        let unannounced = runs.filter(|run| !run.is_announced.replace(true));
        unannounced.map(|run| run.report.clone()).collect()
    }

    /// Marks the doubtful runs at replicas that have ended according to the list as crashed.
    pub(crate) fn mark_ended<'ended>(&mut self, ended: impl Iterator<Item = &'ended BackendId>) {
        let ended: Vec<BackendId> = ended.cloned().collect();
        let taken = self.doubtful.take_at(&ended);
        self.ended.crashed.extend(taken.crashed);
        self.ended.late.extend(taken.late);
    }

    /// Compares a crash with the list later. A reset connection looks like a replica that has
    /// restarted at once, if no other connection to it was open.
    pub(crate) fn review_later(&mut self, report: RunReport) {
        if self.to_review.len() < MAX_REVIEWS {
            self.to_review.push_back((report, Instant::now()));
        }
    }

    /// Returns the crashes that are due to be compared with the list.
    pub(crate) fn take_reviews(&mut self) -> Vec<RunReport> {
        let to_review = self.to_review.iter();
        let due = to_review.take_while(|(_, since)| since.elapsed() >= REVIEW_DELAY);
        let count = due.count();
        let due = self.to_review.drain(..count);
        due.map(|(report, _)| report).collect()
    }

    /// Returns the runs marked as crashed since the last call.
    pub(crate) fn take_marked(&mut self) -> EndedRuns {
        std::mem::take(&mut self.ended)
    }

    /// Adds the runs of a request that are in doubt at other gateways to those that are settled here.
    /// Returns the new ones.
    pub(crate) fn adopt_doubts(
        &mut self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> Vec<RunReport> {
        let in_doubt = self.table.unsettled(request, now);
        let runs = self.in_flight.get(&request);
        let is_under_way = |run| {
            let mut runs = runs.into_iter().flatten();
            runs.any(|in_flight| in_flight.report.run == run)
        };
        let foreign =
            in_doubt.filter(|report| !self.doubtful.has(report.run) && !is_under_way(report.run));
        let foreign: Vec<RunReport> = foreign.cloned().collect();
        let is_answered = self.answered.has(request);
        for report in &foreign {
            let deadline = self.table.deadline(report).filter(|_| !is_answered);
            let left = deadline.map(|deadline| deadline.since(now));
            let deadline = Instant::now() + left.unwrap_or_default();
            let reason = DoubtReason::Adopted;
            self.doubtful
                .add(report.clone(), reason, deadline, Vec::new());
        }
        foreign
    }

    /// Records that all reports that a store with this disk acknowledges until `until` will be known
    /// here by then.
    pub(crate) fn note_followed(&mut self, store: &StoreName, incarnation: u64, until: Instant) {
        let followed = Followed { until, incarnation };
        self.followed.insert(store.clone(), followed);
    }

    /// Records that a store is not followed.
    pub(crate) fn note_lost(&mut self, store: &StoreName) {
        self.followed.remove(store);
    }

    /// Records that the process is running. If it has stood still, no store counts as followed until
    /// it responds again.
    pub(crate) fn note_upkeep(&mut self) {
        if self.has_stood_still() {
            self.followed.clear();
        }
        self.last_upkeep = Instant::now();
    }

    fn has_stood_still(&self) -> bool {
        self.last_upkeep.elapsed() > MAX_UPKEEP_GAP
    }

    /// Returns true if the reports of a store with this disk are known here.
    pub(crate) fn follows(&self, store: &StoreName, incarnation: u64) -> bool {
        let followed = self.followed.get(store);
        let is_followed = followed.is_some_and(|followed| {
            followed.incarnation == incarnation && followed.until > Instant::now()
        });
        is_followed && !self.has_stood_still()
    }

    /// Records that the reports of all stores were known here.
    pub(crate) fn note_informed(&mut self) {
        self.last_informed = Some(Instant::now());
    }

    /// Records whether a quorum has answered a look-up.
    pub(crate) fn note_answered(&mut self, is_answered: bool) {
        self.unanswered_since = match is_answered {
            true => None,
            false => self.unanswered_since.or_else(|| Some(Instant::now())),
        };
    }

    /// Records whether turn stores have told the reports at a look-up.
    pub(crate) fn note_stores_answered(&mut self, is_answered: bool) {
        self.do_stores_answer = is_answered;
    }

    /// Returns true if turn stores had told the reports at the latest look-up.
    pub(crate) fn do_stores_answer(&self) -> bool {
        self.do_stores_answer
    }

    /// Returns the time for which no quorum has answered a look-up; `None` if the latest one succeeded.
    pub(crate) fn unanswered_for(&self) -> Option<Duration> {
        self.unanswered_since.map(|since| since.elapsed())
    }

    /// Returns the time since the reports of all stores were last known here.
    pub(crate) fn informed_age(&self) -> Option<Duration> {
        self.last_informed.map(|last| last.elapsed())
    }
}

/// Returns a report of the same run in another state.
pub(crate) fn in_state(report: &RunReport, state: RunState) -> RunReport {
    RunReport {
        state,
        ..report.clone()
    }
}
