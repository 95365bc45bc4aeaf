//! Crash reports of a store in the order in which it received them, for the gateways that follow it.

use crate::crash_parts::LogPosition;
use crate::crash_reports::{CrashTable, RunId, RunReport};
use crate::fingerprint::RequestFingerprint;
use luglink_types::Timestamp;
use std::collections::VecDeque;

/// Maximum number of requests with reports.
const MAX_REQUESTS: usize = 1 << 14;

/// Maximum number of reports kept in order. A gateway that is further behind gets all reports.
const MAX_LOG_REPORTS: usize = 1 << 12;

/// Reports of one store.
#[derive(Clone, Debug)]
pub struct CrashLog {
    table: CrashTable,
    /// Distinguishes this run of the store, whose numbering starts anew.
    epoch: u64,
    /// Number of the next report.
    next: u64,
    latest: VecDeque<RunReport>,
}

impl CrashLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(epoch: u64) -> Self {
        Self {
            table: CrashTable::new(MAX_REQUESTS),
            epoch,
            next: 0,
            latest: VecDeque::new(),
        }
    }

    /// Merges a report. Returns true if it was new.
    pub fn record(&mut self, report: &RunReport, now: Timestamp) -> bool {
        self.table.merge(report, now) && self.append(report)
    }

    /// Merges a report of a run that is in doubt. Returns true if that was new.
    pub fn record_doubt(&mut self, report: &RunReport, now: Timestamp) -> bool {
        let is_new = self.table.merge(report, now);
        let is_doubt_new = self.table.mark_in_doubt(report.request, report.run);
        (is_new || is_doubt_new) && self.append(report)
    }

    fn append(&mut self, report: &RunReport) -> bool {
        self.latest.push_back(report.clone());
        self.next += 1;
        if self.latest.len() > MAX_LOG_REPORTS {
            self.latest.pop_front();
        }
        true
    }

    /// Returns the reports of a request.
    #[must_use]
    pub fn find(&self, request: RequestFingerprint) -> Vec<RunReport> {
        self.table.reports(request).cloned().collect()
    }

    /// Returns the position after the latest report.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition {
            epoch: self.epoch,
            next: self.next,
        }
    }

    /// Returns the reports from `position` on, or all reports if those are no longer in order here.
    #[must_use]
    pub fn reports_from(&self, position: LogPosition) -> Vec<RunReport> {
        let first = self.next - self.latest.len() as u64;
        let is_followed = position.epoch == self.epoch && position.next >= first;
        if !is_followed {
            return self.table.all_reports().cloned().collect();
        }
        let skipped = usize::try_from(position.next - first).unwrap_or(usize::MAX);
        self.latest.iter().skip(skipped).cloned().collect()
    }

    /// Returns those of the reports that are of runs in doubt.
    #[must_use]
    pub fn doubts_among(&self, reports: &[RunReport]) -> Vec<(RequestFingerprint, RunId)> {
        let in_doubt = reports
            .iter()
            .filter(|report| self.table.is_in_doubt(report));
        in_doubt
            .map(|report| (report.request, report.run))
            .collect()
    }

    /// Returns the reports that count, each with whether its run is in doubt.
    pub fn counted_reports(&self) -> impl Iterator<Item = (&RunReport, bool)> {
        let counted = self.table.counted_reports();
        counted.map(|report| (report, self.table.is_in_doubt(report)))
    }

    /// Number of requests with reports.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns true if there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Drops the reports that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.table.expire(now);
    }
}
