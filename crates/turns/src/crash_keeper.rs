//! What one store keeps about runs: crash reports, and the runs under way at gateways.

use crate::crash_log::CrashLog;
use crate::crash_parts::{CrashRequest, CrashResponse, LogPosition, RunUpdate};
use crate::crash_reports::{RunReport, RunState};
use crate::errors::TurnsError;
use crate::run_journal::{RunEntry, RunJournal};
use crate::runs_under_way::{RunsUnderWay, SESSION_TIMEOUT};
use luglink_storage::Disk;
use luglink_types::Timestamp;

/// What a store has observed about runs since it was last asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunEvents {
    /// Number of runs in doubt because their gateways were lost.
    pub lost_runs: usize,
    /// Latest failure to write reports to disk. They are still in memory.
    pub write_failure: Option<String>,
}

/// Crash reports and runs under way of one store.
#[derive(Debug)]
pub(crate) struct CrashKeeper {
    log: CrashLog,
    under_way: RunsUnderWay,
    journal: RunJournal,
    /// Time from which on all gateways that had runs under way when the store ended have been heard
    /// of again, or count as lost.
    complete_from: Timestamp,
    events: RunEvents,
}

impl CrashKeeper {
    /// Reads the reports of the store's earlier runs. `epoch` distinguishes its runs.
    pub(crate) fn open(
        disk: &mut impl Disk,
        epoch: u64,
        now: Timestamp,
    ) -> Result<Self, TurnsError> {
        let (journal, entries) = RunJournal::open(disk)?;
        let mut keeper = Self {
            log: CrashLog::new(epoch),
            under_way: RunsUnderWay::default(),
            journal,
            complete_from: now,
            events: RunEvents::default(),
        };
        for entry in &entries {
            keeper.apply(entry, now);
        }
        if !keeper.under_way.is_empty() {
            keeper.complete_from = now.plus(SESSION_TIMEOUT);
        }
        Ok(keeper)
    }

    /// Applies an entry of the file. Returns true if it changed a report.
    fn apply(&mut self, entry: &RunEntry, now: Timestamp) -> bool {
        match entry {
            RunEntry::Report {
                report,
                is_in_doubt: true,
            } => self.log.record_doubt(report, now),
            RunEntry::Report { report, .. } => self.log.record(report, now),
            RunEntry::Update(update) => {
                self.under_way.update(update, now);
                false
            }
            RunEntry::SessionEnded(session) => {
                let lost = self.under_way.end_session(*session);
                self.doubt(&lost, now)
            }
        }
    }

    fn doubt(&mut self, runs: &[RunReport], now: Timestamp) -> bool {
        let recorded = runs.iter().map(|run| self.log.record_doubt(run, now));
        recorded.filter(|is_new| *is_new).count() > 0
    }

    /// Returns true if the reports of the store include all runs of gateways that were lost with it.
    pub(crate) fn is_complete(&self, now: Timestamp) -> bool {
        now >= self.complete_from
    }

    pub(crate) fn handle(
        &mut self,
        disk: &mut impl Disk,
        request: &CrashRequest,
        now: Timestamp,
    ) -> CrashResponse {
        let reports = match request {
            CrashRequest::Record(report) => {
                self.record(disk, report, false, now);
                self.log.find(report.request)
            }
            CrashRequest::RecordDoubt(report) => {
                self.record(disk, report, true, now);
                self.log.find(report.request)
            }
            CrashRequest::Update(update) => return self.update(disk, update, now),
            CrashRequest::Find(request) => {
                if !self.is_complete(now) {
                    // Their gateways may have been lost with the store.
                    let runs: Vec<RunReport> = self.under_way.of(*request).cloned().collect();
                    self.doubt(&runs, now);
                }
                self.log.find(*request)
            }
            CrashRequest::Follow(position) | CrashRequest::FollowLeased(position) => {
                self.log.reports_from(*position)
            }
        };
        CrashResponse {
            position: self.log.position(),
            doubts: self.log.doubts_among(&reports),
            reports,
            is_new_session: false,
            has_lease: matches!(request, CrashRequest::FollowLeased(_)),
        }
    }

    fn record(
        &mut self,
        disk: &mut impl Disk,
        report: &RunReport,
        is_in_doubt: bool,
        now: Timestamp,
    ) {
        let entry = RunEntry::Report {
            report: report.clone(),
            is_in_doubt,
        };
        if self.apply(&entry, now) {
            // An end that is forgotten costs a replica, a cleared run that counts only a delay.
            let is_synced = report.state != RunState::Cleared;
            self.write(disk, &entry, is_synced);
        }
    }

    fn update(
        &mut self,
        disk: &mut impl Disk,
        update: &RunUpdate,
        now: Timestamp,
    ) -> CrashResponse {
        let is_new_session = self.under_way.update(update, now);
        if !update.begun.is_empty() || !update.ended.is_empty() {
            self.write(disk, &RunEntry::Update(update.clone()), false);
        }
        CrashResponse {
            position: self.log.position(),
            is_new_session,
            ..CrashResponse::default()
        }
    }

    /// Puts the runs of a gateway's process in doubt, to which the connection has ended.
    pub(crate) fn end_session(&mut self, disk: &mut impl Disk, session: u64, now: Timestamp) {
        let lost = self.under_way.end_session(session);
        if self.doubt(&lost, now) {
            self.events.lost_runs += lost.len();
            self.write(disk, &RunEntry::SessionEnded(session), true);
        }
    }

    /// Puts the runs of gateways in doubt that were not heard of, and drops expired reports.
    pub(crate) fn tick(&mut self, disk: &mut impl Disk, now: Timestamp) {
        let lost = self.under_way.take_silent(now);
        if self.doubt(&lost, now) {
            self.events.lost_runs += lost.len();
            for report in lost {
                let is_in_doubt = true;
                self.write(
                    disk,
                    &RunEntry::Report {
                        report,
                        is_in_doubt,
                    },
                    false,
                );
            }
        }
        if self.journal.is_long() {
            self.rewrite(disk);
        }
    }

    pub(crate) fn take_events(&mut self) -> RunEvents {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.log.expire(now);
    }

    fn rewrite(&mut self, disk: &mut impl Disk) {
        let reports = self.log.counted_reports().map(|(report, is_in_doubt)| {
            let report = report.clone();
            RunEntry::Report {
                report,
                is_in_doubt,
            }
        });
        let updates = self.under_way.as_updates().map(RunEntry::Update);
        if let Err(error) = self.journal.rewrite(disk, reports.chain(updates)) {
            self.events.write_failure = Some(error.to_string());
        }
    }

    /// Appends an entry. A store that cannot write still has its reports in memory.
    fn write(&mut self, disk: &mut impl Disk, entry: &RunEntry, is_synced: bool) {
        if let Err(error) = self.journal.append(disk, entry, is_synced) {
            self.events.write_failure = Some(error.to_string());
        }
    }

    pub(crate) fn position(&self) -> LogPosition {
        self.log.position()
    }

    /// Number of requests with reports.
    pub(crate) fn len(&self) -> usize {
        self.log.len()
    }

    /// Number of runs under way.
    pub(crate) fn under_way(&self) -> usize {
        self.under_way.len()
    }
}
