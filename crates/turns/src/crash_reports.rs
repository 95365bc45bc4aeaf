//! Reports of replicas that ended while they ran a request.
//!
//! A request can end every replica that runs it, and its caller's retries would carry it from one
//! replica to the next. All attempts of a request share a [`RequestFingerprint`], under which the
//! runs that ended a replica are counted across attempts and gateways.
//!
//! Reports are kept in memory only. Copies merge in any order: of two reports of one run, the one
//! with the later state holds.

use crate::fingerprint::RequestFingerprint;
use luglink_fleet::{BackendId, Incarnation};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Number of crashes after which a request is sent to no further replica.
pub const MAX_CRASHES: usize = 3;

/// Time for which the runs of a request count after the latest report.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Time after the deadline of a run during which it still counts as under way. Its gateway usually
/// settles a doubt within it.
pub const LEASE_MARGIN: Duration = Duration::from_secs(12);

/// Maximum number of runs kept for one request. Concurrent requests with the same content can be
/// part of many runs.
const MAX_RUNS: usize = 16;

/// Maximum number of runs of one request that are remembered as cleared after they were dropped.
const MAX_DROPPED_RUNS: usize = 128;

/// Identifier of one run of a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// State of a run. A later state replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunState {
    /// The run was announced and may still be under way.
    Started,
    /// The replica ended during the run.
    Crashed,
    /// The replica survived the run, or the request has been answered since.
    Cleared,
}

/// Report of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The run.
    pub run: RunId,
    /// Replica that ran the request.
    pub replica: BackendId,
    /// Its incarnation, as far as the gateway knew it.
    pub incarnation: Incarnation,
    /// Number of crashes of the request, known or possible ones, before the replica's process started.
    /// It tells two ends of a replica apart that restarts under the same identifier.
    pub known_crashes: u32,
    /// Time from its first report for which the run may be under way, in milliseconds: the time until
    /// its deadline and [`LEASE_MARGIN`]. After it, a run that was not reported as ended counts as a
    /// crash.
    pub lease_ms: u64,
    /// State of the run.
    pub state: RunState,
}

/// Run with the time at which its lease ends.
#[derive(Clone, Debug)]
struct KnownRun {
    report: RunReport,
    known_since: Timestamp,
    lease_ends_at: Timestamp,
    /// True if the run is no longer under way, but it is not known whether its replica ended. Any
    /// process may find out.
    is_in_doubt: bool,
    /// True if the replica was reported to have ended, also if the run was cleared afterwards.
    has_crashed: bool,
}

impl KnownRun {
    fn is_crash(&self, now: Timestamp) -> bool {
        match self.report.state {
            RunState::Started => self.lease_ends_at <= now,
            RunState::Crashed => true,
            RunState::Cleared => false,
        }
    }
}

/// Runs of one request.
#[derive(Clone, Debug, Default)]
struct RequestRuns {
    runs: BTreeMap<RunId, KnownRun>,
    /// Cleared runs that were dropped, oldest first. Holders may tell earlier reports of them later.
    dropped: VecDeque<RunId>,
    expires_at: Timestamp,
}

impl RequestRuns {
    /// Drops one run to make room for a report in `state`: one that does not count, or one of several
    /// that saw the same end, or, for a crash, one that may be under way, preferably one of several that
    /// would see the same end. Returns false if there is none.
    fn drop_one_for(&mut self, state: RunState) -> bool {
        let in_state = |state| {
            let mut runs = self.runs.values();
            let run = runs.find(|run| run.report.state == state);
            run.map(|run| run.report.run)
        };
        let run = in_state(RunState::Cleared)
            .or_else(|| self.repeated_in(RunState::Crashed))
            .or_else(|| match state {
                RunState::Crashed => self
                    .repeated_in(RunState::Started)
                    .or_else(|| in_state(RunState::Started)),
                RunState::Started | RunState::Cleared => None,
            });
        let dropped = run.and_then(|run| self.runs.remove(&run));
        if let Some(run) = &dropped
            && run.report.state == RunState::Cleared
        {
            if self.dropped.len() >= MAX_DROPPED_RUNS {
                self.dropped.pop_front();
            }
            self.dropped.push_back(run.report.run);
        }
        dropped.is_some()
    }

    /// Returns a run in `state` that saw, or would see, the same end as another one.
    fn repeated_in(&self, state: RunState) -> Option<RunId> {
        let mut ends = BTreeSet::new();
        let runs = self.runs.values().map(|run| &run.report);
        let mut in_state = runs.filter(|report| report.state == state);
        let repeated = in_state.find(|report| !ends.insert(end_of(report)));
        repeated.map(|report| report.run)
    }

    /// Returns true if a run saw an end that no other one is known to have seen.
    fn sees_new_end(&self, report: &RunReport) -> bool {
        let mut known = self.runs.values().map(|run| &run.report);
        report.state == RunState::Crashed
            && !known
                .any(|known| known.state == RunState::Crashed && end_of(known) == end_of(report))
    }

    /// Returns the number of ends of replicas in the runs that count. Several runs can see the same
    /// end.
    fn ends(&self, counts: impl Fn(&KnownRun) -> bool) -> usize {
        let counted = self.runs.values().filter(|run| counts(run));
        let ends: BTreeSet<_> = counted.map(|run| end_of(&run.report)).collect();
        ends.len()
    }
}

/// Returns what identifies the end of a replica that a run sees, if there is one.
fn end_of(report: &RunReport) -> (&BackendId, Incarnation, u32) {
    (&report.replica, report.incarnation, report.known_crashes)
}

/// Reports of the runs of recent requests.
#[derive(Clone, Debug)]
pub struct CrashTable {
    max_requests: usize,
    requests: HashMap<RequestFingerprint, RequestRuns>,
    /// The same requests by the time at which their reports expire.
    expiries: BTreeSet<(Timestamp, RequestFingerprint)>,
}

impl CrashTable {
    /// Creates an empty table. A request with three reports occupies some 600 bytes.
    #[must_use]
    pub fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            requests: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Merges a report. Returns true if it was new. If the table is full, the reports of the request
    /// that expire first are dropped.
    pub fn merge(&mut self, report: &RunReport, now: Timestamp) -> bool {
        self.expire(now);
        if !self.requests.contains_key(&report.request) && self.requests.len() >= self.max_requests
        {
            self.drop_first();
        }
        let request = self.requests.entry(report.request).or_default();
        let known = request.runs.get(&report.run);
        if known.is_some_and(|known| known.report.state >= report.state) {
            return false;
        }
        if request.dropped.contains(&report.run) {
            return false;
        }
        let lease_ends_at = known.map_or_else(
            || now.plus(Duration::from_millis(report.lease_ms)),
            |known| known.lease_ends_at,
        );
        let known_since = known.map_or(now, |known| known.known_since);
        let is_full = known.is_none() && request.runs.len() >= MAX_RUNS;
        let is_in_doubt = known.is_some_and(|known| known.is_in_doubt);
        let had_crashed = known.is_some_and(|known| known.has_crashed);
        // Holders tell a run again that was dropped here.
        let extends = !is_full || request.sees_new_end(report);
        if is_full && !request.drop_one_for(report.state) {
            return false;
        }
        let run = KnownRun {
            report: report.clone(),
            known_since,
            lease_ends_at,
            is_in_doubt,
            has_crashed: had_crashed || report.state == RunState::Crashed,
        };
        request.runs.insert(report.run, run);
        if extends {
            self.expiries.remove(&(request.expires_at, report.request));
            request.expires_at = now.plus(CRASH_RETENTION);
            self.expiries.insert((request.expires_at, report.request));
        }
        true
    }

    /// Records that a run is no longer under way and that its outcome is unknown. Returns true if that
    /// was new.
    pub fn mark_in_doubt(&mut self, request: RequestFingerprint, run: RunId) -> bool {
        let request = self.requests.get_mut(&request);
        let known = request.and_then(|request| request.runs.get_mut(&run));
        known.is_some_and(|known| {
            let is_open = known.report.state == RunState::Started;
            is_open && !std::mem::replace(&mut known.is_in_doubt, true)
        })
    }

    /// Returns the runs of a request that are in doubt.
    pub fn in_doubt(&self, request: RequestFingerprint) -> impl Iterator<Item = &RunReport> {
        let request = self.requests.get(&request).into_iter();
        let runs = request.flat_map(|request| request.runs.values());
        runs.filter(|run| run.is_in_doubt && run.report.state == RunState::Started)
            .map(|run| &run.report)
    }

    /// Returns the runs of a request that any process may settle: those in doubt, and those whose lease
    /// has ended without an outcome.
    pub fn unsettled(
        &self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> impl Iterator<Item = &RunReport> {
        let request = self.requests.get(&request).into_iter();
        let runs = request.flat_map(|request| request.runs.values());
        let started = runs.filter(|run| run.report.state == RunState::Started);
        let unsettled = started.filter(move |run| run.is_in_doubt || run.lease_ends_at <= now);
        unsettled.map(|run| &run.report)
    }

    /// Returns true if a run is in doubt.
    #[must_use]
    pub fn is_in_doubt(&self, report: &RunReport) -> bool {
        self.in_doubt(report.request)
            .any(|doubtful| doubtful.run == report.run)
    }

    /// Returns true if a run counts as one that ended its replica or may have.
    #[must_use]
    pub fn counts(&self, report: &RunReport) -> bool {
        let known = self.known(report);
        known.is_some_and(|known| known.report.state != RunState::Cleared)
    }

    /// Returns the time since which a run is known.
    #[must_use]
    pub fn known_since(&self, report: &RunReport) -> Option<Timestamp> {
        self.known(report).map(|known| known.known_since)
    }

    /// Returns the time by which the deadline of a run has passed that its replica was handed.
    #[must_use]
    pub fn deadline(&self, report: &RunReport) -> Option<Timestamp> {
        let known = self.known(report)?;
        let work = Duration::from_millis(known.report.lease_ms).saturating_sub(LEASE_MARGIN);
        Some(known.known_since.plus(work))
    }

    /// Returns true if a run was cleared before its end was known.
    #[must_use]
    pub fn is_cleared_early(&self, report: &RunReport) -> bool {
        let known = self.known(report);
        known.is_some_and(|known| known.report.state == RunState::Cleared && !known.has_crashed)
    }

    fn known(&self, report: &RunReport) -> Option<&KnownRun> {
        self.requests.get(&report.request)?.runs.get(&report.run)
    }

    fn drop_first(&mut self) {
        if let Some((_, dropped)) = self.expiries.pop_first() {
            self.requests.remove(&dropped);
        }
    }

    /// Drops the reports that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    /// Returns the number of replicas that ended while they ran the request.
    #[must_use]
    pub fn crashes(&self, request: RequestFingerprint, now: Timestamp) -> usize {
        self.ends(request, |run| run.is_crash(now))
    }

    /// Returns the number of replicas that are known to have ended while they ran the request, not
    /// only assumed to because the lease of a run has ended.
    #[must_use]
    pub fn confirmed_crashes(&self, request: RequestFingerprint) -> usize {
        self.ends(request, |run| run.report.state == RunState::Crashed)
    }

    /// Returns the number of replicas that ended while they ran the request, or may have in runs that
    /// are in doubt.
    #[must_use]
    pub fn suspected_crashes(&self, request: RequestFingerprint) -> usize {
        self.ends(request, |run| match run.report.state {
            RunState::Started => run.is_in_doubt,
            RunState::Crashed => true,
            RunState::Cleared => false,
        })
    }

    /// Returns the number of replicas that ended while they ran the request, or still may in runs
    /// other than `except`.
    #[must_use]
    pub fn possible_crashes(&self, request: RequestFingerprint, except: Option<RunId>) -> usize {
        self.ends(request, |run| {
            run.report.state != RunState::Cleared && Some(run.report.run) != except
        })
    }

    /// Returns the number of ends that the runs of a request for which `counts` is true saw or may see.
    #[must_use]
    pub fn ends_among(
        &self,
        request: RequestFingerprint,
        counts: impl Fn(&RunReport) -> bool,
    ) -> usize {
        self.ends(request, |run| counts(&run.report))
    }

    fn ends(&self, request: RequestFingerprint, counts: impl Fn(&KnownRun) -> bool) -> usize {
        let request = self.requests.get(&request);
        request.map_or(0, |request| request.ends(counts))
    }

    /// Returns the time at which the reports of a request expire.
    #[must_use]
    pub fn expires_at(&self, request: RequestFingerprint) -> Option<Timestamp> {
        self.requests
            .get(&request)
            .map(|request| request.expires_at)
    }

    /// Returns the reports of a request.
    pub fn reports(&self, request: RequestFingerprint) -> impl Iterator<Item = &RunReport> {
        let request = self.requests.get(&request).into_iter();
        let runs = request.flat_map(|request| request.runs.values());
        runs.map(|run| &run.report)
    }

    /// Returns all reports.
    pub fn all_reports(&self) -> impl Iterator<Item = &RunReport> {
        let requests = self.requests.values();
        let runs = requests.flat_map(|request| request.runs.values());
        runs.map(|run| &run.report)
    }

    /// Returns the runs of a request, other than `except`, at a replica that may still be under way or
    /// in doubt, unless the ends that they would see are known already.
    pub fn runs_under_way(
        &self,
        request: RequestFingerprint,
        except: Option<RunId>,
        replica: (&BackendId, Incarnation),
    ) -> impl Iterator<Item = &RunReport> {
        let at_replica: Vec<&RunReport> = self
            .reports(request)
            .filter(|report| (&report.replica, report.incarnation) == replica)
            .collect();
        let crashed = at_replica
            .iter()
            .filter(|report| report.state == RunState::Crashed);
        let known_ends: BTreeSet<u32> = crashed.map(|report| report.known_crashes).collect();
        let others = at_replica
            .into_iter()
            .filter(move |report| Some(report.run) != except);
        others.filter(move |run| {
            run.state == RunState::Started && !known_ends.contains(&run.known_crashes)
        })
    }

    /// Returns true if another run of the request may still see the end that the run of `report` would
    /// see.
    #[must_use]
    pub fn shares_open_end(&self, report: &RunReport) -> bool {
        let replica = (&report.replica, report.incarnation);
        let mut others = self.runs_under_way(report.request, Some(report.run), replica);
        others.any(|other| other.known_crashes == report.known_crashes)
    }

    /// Returns the replicas at which runs of a request are under way or in doubt.
    pub fn replicas_of_open_runs(
        &self,
        request: RequestFingerprint,
    ) -> impl Iterator<Item = &BackendId> {
        let open = self
            .reports(request)
            .filter(|report| report.state == RunState::Started);
        open.map(|report| &report.replica)
    }

    /// Returns the number of known crashes of a run that counts and that was at the same replica as
    /// `report`, in the same incarnation. It would see the same end.
    #[must_use]
    pub fn known_crashes_beside(&self, report: &RunReport) -> Option<u32> {
        let mut others = self.reports(report.request);
        let beside = others.find(|other| {
            let is_at_same =
                (&other.replica, other.incarnation) == (&report.replica, report.incarnation);
            is_at_same && other.state != RunState::Cleared
        });
        beside.map(|other| other.known_crashes)
    }

    /// Returns the reports that count.
    pub fn counted_reports(&self) -> impl Iterator<Item = &RunReport> {
        self.all_reports()
            .filter(|report| report.state != RunState::Cleared)
    }

    /// Returns the replicas that other requests with earlier crashes are running at.
    pub fn replicas_with_other_suspects(
        &self,
        request: RequestFingerprint,
    ) -> impl Iterator<Item = &BackendId> {
        let others = self.all_reports();
        let others = others.filter(move |report| report.request != request);
        let running = others.filter(|report| report.state == RunState::Started);
        running.map(|report| &report.replica)
    }

    /// Returns the replicas at which runs of other requests are in doubt.
    pub fn replicas_with_other_doubts(
        &self,
        request: RequestFingerprint,
    ) -> impl Iterator<Item = &BackendId> {
        let others = self
            .requests
            .iter()
            .filter(move |(other, _)| **other != request);
        let runs = others.flat_map(|(_, other)| other.runs.values());
        runs.filter(|run| run.is_in_doubt && run.report.state == RunState::Started)
            .map(|run| &run.report.replica)
    }

    /// Returns the number of requests with reports.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
