//! The limit of crashes under one request.

use crate::gateway::Gateway;
use crate::knowledge::Knowledge;
use luglink_turns::{MAX_CRASHES, RequestFingerprint, RunId, RunState};
use std::time::Instant;

impl Gateway {
    /// Returns the number of replicas that ended under a request.
    pub(crate) fn crashes_under(&self, request: RequestFingerprint) -> usize {
        self.crashes.borrow().table.crashes(request, self.now())
    }

    /// Returns false if the request is refused at once: too many replicas have ended under it, or other
    /// gateways may know of more.
    pub(crate) fn may_begin_later(
        &self,
        request: RequestFingerprint,
        knowledge: Knowledge,
    ) -> bool {
        self.crashes_under(request) < knowledge.max_crashes()
    }

    /// Returns the number of replicas that ended under a request or may have, in runs that are not
    /// under way.
    pub(crate) fn suspected_crashes(&self, request: RequestFingerprint) -> usize {
        self.crashes.borrow().table.suspected_crashes(request)
    }

    /// Returns true if no sign can let a request be sent before `time`: as many replicas have ended
    /// under it, or may have in runs that cannot be cleared by then.
    pub(crate) fn is_limited_until(
        &self,
        request: RequestFingerprint,
        knowledge: Knowledge,
        time: Instant,
    ) -> bool {
        // Reports may be acknowledged meanwhile that were not when the crashes were looked up.
        let max_crashes = match self.follows_crash_reports() {
            true => MAX_CRASHES,
            false => knowledge.max_crashes(),
        };
        let crashes = self.crashes.borrow();
        let doubtful = &crashes.doubtful;
        let lasting = crashes.table.ends_among(request, |report| {
            report.state == RunState::Crashed || doubtful.is_open_until(report.run, time)
        });
        lasting >= max_crashes
    }

    /// Returns the number of replicas that ended under a request, or still may in a run other than
    /// `except`.
    pub(crate) fn possible_crashes(
        &self,
        request: RequestFingerprint,
        except: Option<RunId>,
    ) -> usize {
        let crashes = self.crashes.borrow();
        crashes.table.possible_crashes(request, except)
    }
}
