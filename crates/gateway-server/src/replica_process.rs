//! Processes of replicas: whether the one that a run is sent to is the one that earlier runs were at.

use crate::gateway::Gateway;
use crate::knowledge::Knowledge;
use crate::placement;
use luglink_fleet::{Backend, Incarnation};
use luglink_turns::{MAX_CRASHES, RequestFingerprint, RunId, RunReport, SESSION_TIMEOUT};
use std::time::{Duration, Instant};

/// Time that a report of a run in doubt usually takes from its gateway, or from the loss of its gateway.
const REPORT_MARGIN: Duration = Duration::from_millis(50);

/// Maximum time between the loss of a gateway and the report of its runs by the stores.
const MAX_LOSS_DETECTION: Duration = SESSION_TIMEOUT.saturating_add(Duration::from_millis(200));

/// Process of a replica that a run is sent to.
pub(crate) struct Process {
    pub(crate) backend: Backend,
    /// Time at which the replica itself reported its incarnation. The list shows restarts late.
    pub(crate) identified_at: Option<Instant>,
}

impl Process {
    /// Asks a replica for its incarnation if an earlier run may have ended another process of it.
    pub(crate) async fn of(
        gateway: &Gateway,
        request: RequestFingerprint,
        backend: &Backend,
    ) -> Self {
        let is_reported = backend.incarnation != Incarnation::UNKNOWN;
        let is_needed =
            gateway.may_be_replaced(request, backend) || gateway.has_only_open_ends(request);
        let incarnation = match is_reported && is_needed {
            true => placement::query_incarnation(gateway, backend).await,
            false => None,
        };
        Self {
            backend: Backend {
                incarnation: incarnation.unwrap_or(backend.incarnation),
                ..backend.clone()
            },
            identified_at: incarnation.map(|_| Instant::now()),
        }
    }

    /// Returns true if the replica reports that this process is running.
    pub(crate) async fn is_running(&self, gateway: &Gateway) -> bool {
        let reported = placement::query_incarnation(gateway, &self.backend).await;
        reported == Some(self.backend.incarnation)
    }
}

impl Gateway {
    /// Returns true if as many replicas as may end under a request can still do so, so that no run of it
    /// may begin at another one.
    pub(crate) fn has_only_open_ends(&self, request: RequestFingerprint) -> bool {
        self.possible_crashes(request, None) >= self.max_crashes()
    }

    /// Returns the number of crashes from which on a request is not sent, as far as the latest look-up
    /// tells.
    fn max_crashes(&self) -> usize {
        match self.crashes.borrow().do_stores_answer() {
            true => MAX_CRASHES,
            false => Knowledge::Members.max_crashes(),
        }
    }

    /// Returns a replica for which `is_eligible` is true and at which a run of the request is under way
    /// or in doubt, if no run of it may begin at another one. A further run there cannot end another
    /// replica.
    pub(crate) fn replica_of_open_run(
        &self,
        request: RequestFingerprint,
        is_eligible: impl Fn(&Backend) -> bool,
    ) -> Option<Backend> {
        if !self.has_only_open_ends(request) || self.crashes_under(request) >= self.max_crashes() {
            return None;
        }
        let crashes = self.crashes.borrow();
        let pool = self.pool.borrow();
        let replicas = crashes.table.replicas_of_open_runs(request);
        let usable: Vec<&Backend> = replicas
            .filter_map(|replica| pool.usable(replica))
            .filter(|backend| backend.incarnation != Incarnation::UNKNOWN)
            .filter(|backend| is_eligible(backend))
            .collect();
        let drawn = usize::try_from(self.draw()).unwrap_or_default();
        let position = drawn.checked_rem(usable.len())?;
        Some(usable[position].clone())
    }

    /// Returns true if a run that has just had a response counts with an earlier one at the replica, but
    /// all connections from before the end of that one are closed.
    pub(crate) fn may_have_left_process(&self, report: &RunReport, process: &Process) -> bool {
        let crashes = self.crashes.borrow();
        let is_open_since = |time| self.upstream.has_open_since(&report.replica, time);
        let is_identified = process.identified_at.is_some_and(is_open_since);
        let doubtful = &crashes.doubtful;
        !is_identified
            && crashes.table.shares_open_end(report)
            && doubtful.may_be_replaced(report.request, &report.replica, is_open_since)
    }

    /// Returns true if the listed process of a replica may have ended under a run of a request.
    fn may_be_replaced(&self, request: RequestFingerprint, backend: &Backend) -> bool {
        let crashes = self.crashes.borrow();
        let replica = (&backend.id, backend.incarnation);
        let mut under_way = crashes.table.runs_under_way(request, None, replica);
        under_way.any(|earlier| self.may_be_replaced_since(earlier))
            || self
                .upstream
                .may_have_restarted_within(&backend.id, MAX_LOSS_DETECTION)
    }

    /// Returns true if the process that another gateway's run is or was at may have been replaced by
    /// another one of the same replica. No connection is known then that was open before the run can
    /// have ended it. The list shows a new incarnation only later.
    pub(crate) fn may_be_replaced_since(&self, foreign: &RunReport) -> bool {
        let crashes = self.crashes.borrow();
        if crashes.is_own(foreign) {
            return false;
        }
        let known_since = crashes.table.known_since(foreign);
        let known_for = known_since.map(|since| self.now().since(since));
        let earliest_end =
            known_for.and_then(|known_for| Instant::now().checked_sub(known_for + REPORT_MARGIN));
        earliest_end.is_none_or(|end| !self.upstream.has_open_since(&foreign.replica, end))
    }

    /// Returns the number of crashes, known or possible ones, before the process that a new run is
    /// sent to started. It is the same for all runs that would see one end of that process.
    pub(crate) fn known_crashes(
        &self,
        request: RequestFingerprint,
        run: RunId,
        process: &Process,
    ) -> u32 {
        let Process {
            backend,
            identified_at,
        } = process;
        let crashes = self.crashes.borrow();
        let is_open_since = |time| self.upstream.has_open_since(&backend.id, time);
        let is_identified = identified_at.is_some_and(is_open_since);
        let doubtful = &crashes.doubtful;
        let may_be_replaced = doubtful.may_be_replaced(request, &backend.id, is_open_since);
        let replica = (&backend.id, backend.incarnation);
        let mut under_way = crashes.table.runs_under_way(request, Some(run), replica);
        let at_same_process = under_way.find(|earlier| {
            !may_be_replaced && (is_identified || !self.may_be_replaced_since(earlier))
        });
        match at_same_process {
            Some(earlier) => earlier.known_crashes,
            None => {
                // The run that ended an earlier process may not be known here yet.
                let is_new = self
                    .upstream
                    .may_have_restarted_within(&backend.id, MAX_LOSS_DETECTION);
                if is_new && !is_identified {
                    return number_of_own(run);
                }
                let possible = crashes.table.possible_crashes(request, Some(run));
                u32::try_from(possible).unwrap_or(u32::MAX)
            }
        }
    }
}

/// Returns a number of known crashes that no other run has by counting.
pub(crate) fn number_of_own(run: RunId) -> u32 {
    const OWN: u32 = 1 << 31;
    let [_, _, _, _, first, second, third, fourth] = run.0.to_be_bytes();
    OWN | u32::from_be_bytes([first, second, third, fourth])
}
