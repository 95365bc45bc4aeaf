//! Runs of which it is not known yet whether they ended their replica.
//!
//! A run that ends in any other way than with a response that shows the replica in order stays
//! doubtful until the replica gives a sign, either of life well after the run or of its end. Until
//! then the run counts as one that may still end its replica.

use crate::failure::Failure;
use luglink_fleet::{BackendId, Incarnation};
use luglink_http::ConnectionState;
use luglink_turns::{CRASH_RETENTION, RequestFingerprint, RunId, RunReport};
use std::time::{Duration, Instant};

/// Maximum number of doubtful runs. Those beyond it count as crashes after their lease.
const MAX_RUNS: usize = 1 << 12;

/// Time from which on a sign of life of the replica shows that a run did not end it, after the replica
/// has stopped working on the run. A process can end some time after its connections break.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Minimum time until then for a run of another gateway, from the time at which its doubt is to be
/// settled here.
const MIN_ADOPTED_SURVIVAL_TIME: Duration = Duration::from_millis(800);

/// Time after a run within which the end of its replica still counts as caused by it, although the
/// replica seemed to have survived.
const LATE_END_TIME: Duration = Duration::from_secs(5);

/// Delay from then on before a replica is probed. Busy replicas give a sign by themselves.
const PROBE_MARGIN: Duration = Duration::from_millis(100);

/// Delay before a replica is probed first after a run of another gateway.
const ADOPTED_PROBE_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay before a replica that did not respond to a probe is probed again.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(8);

/// Run that may have ended its replica.
#[derive(Clone, Debug)]
struct DoubtfulRun {
    report: RunReport,
    reason: DoubtReason,
    /// Time at which the run ended for the gateway.
    since: Instant,
    /// Connections to the replica that were open then.
    witnesses: Vec<ConnectionState>,
    /// Time from which on a sign of life shows that the replica has survived.
    survived_from: Instant,
    next_probe: Instant,
    probe_delay: Duration,
    /// True if the witnesses had ended soon after the run. Later, servers close connections that are
    /// idle.
    had_witnesses_ended: Option<bool>,
    /// True if the replica seems to have survived. It is still watched for a while.
    is_survived: bool,
}

impl DoubtfulRun {
    /// Returns true if the replica was alive after the run, given that a process was alive at its
    /// address at `alive_at` that has had a connection since `opened_at`.
    fn shows_survival(&self, opened_at: Instant, alive_at: Instant) -> bool {
        // When another gateway's run ended is not known here.
        let is_own = self.reason != DoubtReason::Adopted;
        is_own && opened_at < self.since && alive_at >= self.survived_from
    }

    /// Returns true if an end of the replica would still count although it seems to have survived.
    fn is_watched(&self) -> bool {
        self.reason.suggests_end() && self.since.elapsed() < LATE_END_TIME
    }

    /// Records whether the witnesses have ended, once that shows.
    fn note_witnesses(&mut self, now: Instant) {
        let is_due = now >= self.next_probe || now >= self.since + SURVIVAL_TIME + PROBE_MARGIN;
        if is_due && self.had_witnesses_ended.is_none() {
            self.had_witnesses_ended = Some(self.have_witnesses_ended());
        }
    }

    /// Returns true if the server ended the connections that were open after the run, as far as they
    /// were not closed here.
    fn have_witnesses_ended(&self) -> bool {
        let is_any_open = self.witnesses.iter().any(ConnectionState::is_open);
        let mut ends = self.witnesses.iter().map(ConnectionState::ended_by_server);
        !is_any_open && ends.any(|end| end.is_some())
    }

    fn is_at(&self, replica: &BackendId) -> bool {
        self.report.replica == *replica
    }
}

/// Why a run may have ended its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DoubtReason {
    /// The send failed after the request was sent.
    Failed(Failure),
    /// The connection broke.
    Broken,
    /// The connection was reset, perhaps by the network.
    Reset,
    /// The response is a server error.
    ServerError,
    /// Data that belongs to no response followed the response.
    Surplus,
    /// The response was longer than the gateway holds.
    TooLong,
    /// The gateway gave up the run.
    GivenUp,
    /// The run is in doubt at another gateway.
    Adopted,
}

impl DoubtReason {
    /// Returns true if the replica may work on the run until the deadline that it was handed: it has
    /// neither responded nor closed the connection, or the gateway broke its response off.
    fn may_go_on(self) -> bool {
        match self {
            Self::Failed(_) | Self::Broken | Self::ServerError | Self::Surplus => false,
            Self::Reset | Self::TooLong | Self::GivenUp | Self::Adopted => true,
        }
    }

    /// Returns the time from which on a sign of life shows that the replica has survived a run that
    /// ends now and whose replica was told to stop working on it at `deadline`.
    fn survived_from(self, now: Instant, deadline: Instant) -> Instant {
        let stops_at = match self.may_go_on() {
            true => deadline.max(now),
            false => now,
        };
        match self {
            Self::Adopted => (deadline + SURVIVAL_TIME).max(now + MIN_ADOPTED_SURVIVAL_TIME),
            _ => stops_at + SURVIVAL_TIME,
        }
    }

    /// Returns the delay after the survival time before the replica is probed.
    fn probe_margin(self) -> Duration {
        match self {
            // A request waits for the result.
            Self::Adopted => Duration::ZERO,
            _ => PROBE_MARGIN,
        }
    }

    /// Returns true if the replica is a likely cause. Runs are given up, and gateways lost, mostly for
    /// other reasons.
    fn suggests_end(self) -> bool {
        !matches!(self, Self::GivenUp | Self::Adopted)
    }

    /// Returns the name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Failed(failure) => failure.as_str(),
            Self::Broken => "broken",
            Self::Reset => "reset",
            Self::ServerError => "server_error",
            Self::Surplus => "surplus",
            Self::TooLong => "too_long",
            Self::GivenUp => "given_up",
            Self::Adopted => "adopted",
        }
    }
}

/// What a probe of a replica showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// A process responded on a connection that was opened at this time.
    Responded {
        opened_at: Instant,
        incarnation: Incarnation,
    },
    /// A process that tells no incarnation responded on a new connection, or closed it.
    Healthy,
    /// The same, but the replica should tell its incarnation.
    Unidentified,
    /// A connection was accepted and nothing was sent. The kernel accepts connections for a process that
    /// hangs.
    Accepted,
    /// No process listens at the address, or the replica is no longer listed.
    Gone,
    /// The probe had no result.
    Unknown,
}

impl ProbeResult {
    /// Returns the name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Responded { .. } => "responded",
            Self::Healthy => "healthy",
            Self::Unidentified => "unidentified",
            Self::Accepted => "accepted",
            Self::Gone => "gone",
            Self::Unknown => "unknown",
        }
    }
}

/// Runs whose replicas have ended.
#[derive(Debug, Default)]
pub(crate) struct EndedRuns {
    pub(crate) crashed: Vec<RunReport>,
    /// Runs that the replica seemed to have survived.
    pub(crate) late: Vec<RunReport>,
}

impl EndedRuns {
    fn add(&mut self, run: &DoubtfulRun) {
        let runs = match run.is_survived {
            true => &mut self.late,
            false => &mut self.crashed,
        };
        runs.push(run.report.clone());
    }
}

/// Runs whose doubt a sign has settled.
#[derive(Debug, Default)]
pub(crate) struct Settled {
    pub(crate) survived: Vec<RunReport>,
    pub(crate) ended: EndedRuns,
}

/// Doubtful runs of one gateway.
#[derive(Debug, Default)]
pub(crate) struct DoubtfulRuns(Vec<DoubtfulRun>);

impl DoubtfulRuns {
    /// Adds a run that has just ended, with the connections to its replica that are open now. The
    /// replica was told to stop working on it at `deadline`. Returns false if there are too many.
    pub(crate) fn add(
        &mut self,
        report: RunReport,
        reason: DoubtReason,
        deadline: Instant,
        witnesses: Vec<ConnectionState>,
    ) -> bool {
        if self.0.len() >= MAX_RUNS {
            self.forget_one_survived();
        }
        let has_room = self.0.len() < MAX_RUNS;
        if has_room {
            let since = Instant::now();
            let survived_from = reason.survived_from(since, deadline);
            let (next_probe, probe_delay) = match reason {
                DoubtReason::Adopted => (since, ADOPTED_PROBE_DELAY),
                _ => (survived_from + PROBE_MARGIN, SURVIVAL_TIME),
            };
            self.0.push(DoubtfulRun {
                report,
                reason,
                since,
                witnesses,
                survived_from,
                next_probe,
                probe_delay,
                had_witnesses_ended: None,
                is_survived: false,
            });
        }
        has_room
    }

    fn forget_one_survived(&mut self) {
        if let Some(oldest) = self.0.iter().position(|run| run.is_survived) {
            self.0.remove(oldest);
        }
    }

    /// Number of doubtful runs.
    pub(crate) fn len(&self) -> usize {
        self.unsettled().count()
    }

    fn unsettled(&self) -> impl DoubleEndedIterator<Item = &DoubtfulRun> {
        self.0.iter().filter(|run| !run.is_survived)
    }

    /// Returns true if a run is in doubt here.
    pub(crate) fn has(&self, run: RunId) -> bool {
        self.unsettled().any(|doubtful| doubtful.report.run == run)
    }

    /// Returns true if a run of this gateway is in doubt.
    pub(crate) fn is_own(&self, run: RunId) -> bool {
        let mut own = self
            .unsettled()
            .filter(|doubtful| doubtful.reason != DoubtReason::Adopted);
        own.any(|doubtful| doubtful.report.run == run)
    }

    /// Returns true if a run of this request is in doubt.
    pub(crate) fn has_any_of(&self, request: RequestFingerprint) -> bool {
        self.unsettled().any(|run| run.report.request == request)
    }

    /// Returns true if a run of this request at a replica is in doubt.
    pub(crate) fn has_any_at(&self, request: RequestFingerprint, replica: &BackendId) -> bool {
        let mut runs = self.unsettled();
        runs.any(|run| run.report.request == request && run.is_at(replica))
    }

    /// Returns the time until `count` doubts about a request are due to be settled; `None` if fewer are
    /// in doubt or they are overdue.
    pub(crate) fn settles_in(&self, request: RequestFingerprint, count: usize) -> Option<Duration> {
        let runs = self.unsettled().filter(|run| run.report.request == request);
        let mut due: Vec<Instant> = runs.map(|run| run.survived_from + PROBE_MARGIN).collect();
        due.sort_unstable();
        let last = due.get(count.saturating_sub(1))?;
        last.checked_duration_since(Instant::now())
    }

    /// Returns true if no sign can clear a run here before `time`.
    pub(crate) fn is_open_until(&self, run: RunId, time: Instant) -> bool {
        let mut unsettled = self.unsettled();
        unsettled.any(|doubtful| doubtful.report.run == run && doubtful.survived_from > time)
    }

    /// Records that a run no longer counts, perhaps because of what another gateway knows.
    pub(crate) fn note_cleared(&mut self, run: RunId) {
        self.0.retain_mut(|doubtful| {
            let is_cleared = doubtful.report.run == run;
            doubtful.is_survived |= is_cleared;
            !is_cleared || doubtful.is_watched()
        });
    }

    /// Forgets the runs of a request, which has been answered.
    pub(crate) fn forget(&mut self, request: RequestFingerprint) {
        self.0.retain(|run| run.report.request != request);
    }

    /// Returns true if the process that a run of this request was at, which is in doubt, may have been
    /// replaced by another one of the same replica. `is_open_since` tells whether a connection
    /// opened before a time is still open.
    pub(crate) fn may_be_replaced(
        &self,
        request: RequestFingerprint,
        replica: &BackendId,
        is_open_since: impl Fn(Instant) -> bool,
    ) -> bool {
        let mut latest_first = self.unsettled().rev();
        let latest = latest_first.find(|run| run.report.request == request && run.is_at(replica));
        // Nothing but a break suggests that the process has ended meanwhile.
        latest.is_some_and(|run| run.reason != DoubtReason::GivenUp && !is_open_since(run.since))
    }

    /// Removes and returns the runs at replicas that have ended.
    pub(crate) fn take_at(&mut self, ended: &[BackendId]) -> EndedRuns {
        let mut taken = EndedRuns::default();
        self.0.retain(|run| {
            let has_ended = ended.contains(&run.report.replica);
            if has_ended && (!run.is_survived || run.is_watched()) {
                taken.add(run);
            }
            !has_ended
        });
        taken
    }

    /// Returns the runs that a replica has survived. It has just responded to a request sent at
    /// `sent_at` on a connection opened at `opened_at`.
    pub(crate) fn take_survived(
        &mut self,
        replica: &BackendId,
        opened_at: Instant,
        sent_at: Instant,
    ) -> Vec<RunReport> {
        let mut survived = Vec::new();
        for run in self.0.iter_mut().filter(|run| !run.is_survived) {
            if run.is_at(replica) && run.shows_survival(opened_at, sent_at) {
                run.is_survived = true;
                survived.push(run.report.clone());
            }
        }
        survived
    }

    /// Returns the replicas that are due to be probed, and schedules the next probe.
    pub(crate) fn due_probes(&mut self) -> Vec<BackendId> {
        let now = Instant::now();
        self.0.retain(|run| match run.is_survived {
            true => run.is_watched(),
            false => now.duration_since(run.since) < CRASH_RETENTION,
        });
        for run in &mut self.0 {
            run.note_witnesses(now);
        }
        let mut due = Vec::new();
        for run in self.0.iter_mut().filter(|run| run.next_probe <= now) {
            run.probe_delay = (run.probe_delay * 2).min(MAX_PROBE_DELAY);
            run.next_probe = now + run.probe_delay;
            if !run.is_survived && run.survived_from > now {
                run.next_probe = run
                    .next_probe
                    .min(run.survived_from + run.reason.probe_margin());
            }
            due.push(run.report.replica.clone());
        }
        due.sort();
        due.dedup();
        due
    }

    /// Removes and returns the runs at a replica that a probe, begun at `began`, has settled.
    pub(crate) fn settle(
        &mut self,
        replica: &BackendId,
        began: Instant,
        result: ProbeResult,
    ) -> Settled {
        let mut settled = Settled::default();
        self.0.retain_mut(|run| {
            if !run.is_at(replica) || began < run.since {
                return true;
            }
            match outcome(run, began, result) {
                Some(true) if !run.is_survived => {
                    run.is_survived = true;
                    settled.survived.push(run.report.clone());
                }
                Some(false) => {
                    settled.ended.add(run);
                    return false;
                }
                _ => {}
            }
            true
        });
        settled
    }
}

/// Returns whether the replica has survived a run; `None` if the probe does not tell.
fn outcome(run: &DoubtfulRun, began: Instant, result: ProbeResult) -> Option<bool> {
    let is_late = began >= run.survived_from;
    match result {
        ProbeResult::Gone => Some(false),
        ProbeResult::Unknown | ProbeResult::Accepted => None,
        ProbeResult::Responded {
            opened_at,
            incarnation,
        } => {
            let known = run.report.incarnation;
            let is_comparable =
                known != Incarnation::UNKNOWN && incarnation != Incarnation::UNKNOWN;
            match is_comparable {
                true if known != incarnation => Some(false),
                true => is_late.then_some(true),
                false => outcome_without_incarnation(run, is_late, opened_at),
            }
        }
        ProbeResult::Healthy => outcome_without_incarnation(run, is_late, began),
        ProbeResult::Unidentified => {
            let is_any_open = run.witnesses.iter().any(ConnectionState::is_open);
            (is_late && is_any_open).then_some(true)
        }
    }
}

/// The same for a response that does not tell the incarnation of the process.
fn outcome_without_incarnation(
    run: &DoubtfulRun,
    is_late: bool,
    opened_at: Instant,
) -> Option<bool> {
    // When another gateway's run ended is not known here, and no connection from before it.
    let is_own = run.reason != DoubtReason::Adopted;
    let is_same = opened_at < run.since || run.had_witnesses_ended != Some(true);
    (is_own && is_late).then_some(is_same)
}
