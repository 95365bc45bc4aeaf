//! What a gateway knows of replicas that ended under requests.

use luglink_fleet::{BackendId, StoreName};
use luglink_turns::{CrashTable, RequestFingerprint, RunId, RunReport, RunState};
use luglink_types::Timestamp;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of requests with reports.
const MAX_REQUESTS: usize = 1 << 14;

/// Maximum number of abandoned runs whose replicas are watched.
const MAX_ABANDONED: usize = 1 << 10;

/// Time for which the replica of an abandoned run is watched. The list shows the end of a replica
/// some seconds late.
pub(crate) const ABANDONED_RETENTION: Duration = Duration::from_secs(10);

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

/// Run that was given up while its replica sent nothing.
#[derive(Clone, Debug)]
struct AbandonedRun {
    report: RunReport,
    since: Instant,
}

/// Crash reports of this gateway and of the stores that it follows.
#[derive(Debug)]
pub(crate) struct CrashLedger {
    pub(crate) table: CrashTable,
    abandoned: Vec<AbandonedRun>,
    /// Abandoned runs whose replicas have ended according to the list, not reported yet.
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
            abandoned: Vec::new(),
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

    /// Watches the replica of an abandoned run. Returns false if too many are watched.
    pub(crate) fn watch_abandoned(&mut self, report: RunReport) -> bool {
        let has_room = self.abandoned.len() < MAX_ABANDONED;
        if has_room {
            let since = Instant::now();
            self.abandoned.push(AbandonedRun { report, since });
        }
        has_room
    }

    /// Returns the abandoned runs at replicas that have ended, as crashed.
    pub(crate) fn take_crashed(&mut self, ended: &[BackendId]) -> Vec<RunReport> {
        let is_at_ended = |run: &AbandonedRun| ended.contains(&run.report.replica);
        self.take(is_at_ended, RunState::Crashed)
    }

    /// Marks the abandoned runs at replicas that have ended according to the list as crashed.
    pub(crate) fn mark_ended<'ended>(&mut self, ended: impl Iterator<Item = &'ended BackendId>) {
        if self.abandoned.is_empty() {
            return;
        }
        let ended: Vec<BackendId> = ended.cloned().collect();
        let crashed = self.take_crashed(&ended);
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

    /// Returns the abandoned runs that a replica has survived, as cleared. It has just responded on
    /// a connection opened at `opened_at`.
    pub(crate) fn take_survived(
        &mut self,
        replica: &BackendId,
        opened_at: Instant,
    ) -> Vec<RunReport> {
        let is_survived =
            |run: &AbandonedRun| run.report.replica == *replica && opened_at < run.since;
        self.take(is_survived, RunState::Cleared)
    }

    /// Returns the abandoned runs of a request.
    pub(crate) fn abandoned_of(&self, request: RequestFingerprint) -> Vec<RunReport> {
        let reports = self.abandoned.iter().map(|run| &run.report);
        let of_request = reports.filter(|report| report.request == request);
        of_request.cloned().collect()
    }

    /// Ends the watch of these runs. Returns them as cleared.
    pub(crate) fn take_runs(&mut self, runs: &[RunId]) -> Vec<RunReport> {
        let is_one = |run: &AbandonedRun| runs.contains(&run.report.run);
        self.take(is_one, RunState::Cleared)
    }

    /// Returns the abandoned runs whose replicas have not ended for so long that they are no longer
    /// watched, as cleared.
    pub(crate) fn take_expired(&mut self) -> Vec<RunReport> {
        let is_expired = |run: &AbandonedRun| run.since.elapsed() >= ABANDONED_RETENTION;
        self.take(is_expired, RunState::Cleared)
    }

    fn take(
        &mut self,
        is_taken: impl Fn(&AbandonedRun) -> bool,
        state: RunState,
    ) -> Vec<RunReport> {
        if self.abandoned.is_empty() {
            return Vec::new();
        }
        let taken = self.abandoned.extract_if(.., |run| is_taken(run));
        taken.map(|run| in_state(&run.report, state)).collect()
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
