//! What a gateway knows of replicas that ended under requests.

use crate::doubtful_runs::DoubtfulRuns;
use luglink_fleet::{BackendId, StoreName};
use luglink_turns::{CrashTable, RequestFingerprint, RunReport, RunState};
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

/// Time after the last response of a store after which its reports may be missing here. A store
/// holds a request for new reports for less.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(4);

/// Run that is under way and that other processes may not know of.
#[derive(Clone, Debug)]
struct RunInFlight {
    report: RunReport,
    is_announced: Rc<Cell<bool>>,
}

/// Crash reports of this gateway and of the stores that it follows.
#[derive(Debug)]
pub(crate) struct CrashLedger {
    pub(crate) table: CrashTable,
    pub(crate) doubtful: DoubtfulRuns,
    in_flight: HashMap<RequestFingerprint, Vec<RunInFlight>>,
    /// Doubtful runs whose replicas have ended according to the list, not reported yet.
    crashed: Vec<RunReport>,
    /// Crashes that this gateway has reported, oldest first, until they are compared with the list.
    to_review: VecDeque<(RunReport, Instant)>,
    /// Time of the last response of each followed store.
    followed: HashMap<StoreName, Instant>,
    last_upkeep: Instant,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            table: CrashTable::new(MAX_REQUESTS),
            doubtful: DoubtfulRuns::default(),
            in_flight: HashMap::new(),
            crashed: Vec::new(),
            to_review: VecDeque::new(),
            followed: HashMap::new(),
            last_upkeep: Instant::now(),
        }
    }
}

impl CrashLedger {
    pub(crate) fn merge_all(&mut self, reports: &[RunReport], now: Timestamp) {
        for report in reports {
            self.table.merge(report, now);
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
        cleared
    }

    /// Records that a run has begun.
    pub(crate) fn begin(&mut self, report: &RunReport, is_announced: &Rc<Cell<bool>>) {
        let runs = self.in_flight.entry(report.request).or_default();
        runs.push(RunInFlight {
            report: report.clone(),
            is_announced: Rc::clone(is_announced),
        });
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
        let crashed = self.doubtful.take_at(&ended);
        self.crashed.extend(crashed);
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
    pub(crate) fn take_marked(&mut self) -> Vec<RunReport> {
        std::mem::take(&mut self.crashed)
    }

    /// Records a response of a followed store.
    pub(crate) fn note_followed(&mut self, store: &StoreName) {
        self.followed.insert(store.clone(), Instant::now());
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

    /// Returns the number of stores whose reports are known here.
    pub(crate) fn followed_count(&self) -> usize {
        if self.has_stood_still() {
            return 0;
        }
        let followed = self.followed.values();
        followed
            .filter(|last| last.elapsed() < FOLLOW_TIMEOUT)
            .count()
    }
}

/// Returns a report of the same run in another state.
pub(crate) fn in_state(report: &RunReport, state: RunState) -> RunReport {
    RunReport {
        state,
        ..report.clone()
    }
}
