//! Reports that no quorum of turn stores has acknowledged yet.
//!
//! Other gateways may not know of them, and neither may this one know what those report meanwhile.

use luglink_turns::{CRASH_RETENTION, RequestFingerprint, RunId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Delay before a report is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of reports. Further ones are not sent again.
const MAX_REPORTS: usize = 1 << 12;

/// Identifies a report.
pub(crate) type ReportKey = (RequestFingerprint, RunId);

#[derive(Clone, Copy, Debug)]
struct Delivery {
    since: Instant,
    /// Number of attempts under way.
    attempts: u32,
    last_attempt: Instant,
    is_overdue: bool,
}

/// Reports by request and run.
#[derive(Debug, Default)]
pub(crate) struct UnacknowledgedReports(BTreeMap<ReportKey, Delivery>);

impl UnacknowledgedReports {
    /// Records that a report is being sent. Returns false if there are too many.
    pub(crate) fn begin(&mut self, key: ReportKey) -> bool {
        if !self.0.contains_key(&key) && self.0.len() >= MAX_REPORTS {
            return false;
        }
        let now = Instant::now();
        let delivery = self.0.entry(key).or_insert(Delivery {
            since: now,
            attempts: 0,
            last_attempt: now,
            is_overdue: false,
        });
        delivery.attempts += 1;
        delivery.last_attempt = now;
        true
    }

    /// Records the end of an attempt. Returns the time that an acknowledged report took.
    pub(crate) fn end(&mut self, key: ReportKey, is_acknowledged: bool) -> Option<Duration> {
        if is_acknowledged {
            return self.0.remove(&key).map(|delivery| delivery.since.elapsed());
        }
        if let Some(delivery) = self.0.get_mut(&key) {
            delivery.attempts = delivery.attempts.saturating_sub(1);
            delivery.is_overdue = true;
        }
        None
    }

    /// Records that a report was not acknowledged in time.
    pub(crate) fn note_overdue(&mut self, key: ReportKey) {
        if let Some(delivery) = self.0.get_mut(&key) {
            delivery.is_overdue = true;
        }
    }

    /// Returns true if a report of this request was not acknowledged in time.
    pub(crate) fn has_any_of(&self, request: RequestFingerprint) -> bool {
        let range = (request, RunId(0))..=(request, RunId(u64::MAX));
        let mut deliveries = self.0.range(range);
        deliveries.any(|(_, delivery)| delivery.is_overdue)
    }

    /// Removes the reports that have expired. Returns those that are due to be sent again.
    pub(crate) fn due(&mut self) -> Vec<ReportKey> {
        self.0
            .retain(|_, delivery| delivery.since.elapsed() < CRASH_RETENTION);
        let due = self.0.iter().filter(|(_, delivery)| {
            delivery.attempts == 0 && delivery.last_attempt.elapsed() >= RETRY_DELAY
        });
        due.map(|(key, _)| *key).collect()
    }

    /// Forgets a report that no longer counts.
    pub(crate) fn forget(&mut self, key: ReportKey) {
        self.0.remove(&key);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
