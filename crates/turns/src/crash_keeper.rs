//! What one store keeps about runs: crash reports, and the runs under way at gateways.

use crate::crash_log::CrashLog;
use crate::crash_parts::{CountedReport, CrashRequest, CrashResponse, LogPosition, RunUpdate};
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
    /// Latest failure to write reports to disk. They are in memory and not acknowledged.
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
    /// True if the file lacks entries that are in memory.
    needs_rewrite: bool,
    /// True if reports were recorded that are not synced.
    awaits_sync: bool,
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
            needs_rewrite: false,
            awaits_sync: false,
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

    /// Handles a request. A response for which [`CrashRequest::needs_sync`] holds must not be sent before
    /// [`CrashKeeper::sync`] has succeeded.
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
            CrashRequest::TakeOver(reports) => {
                for counted in reports {
                    self.record(disk, &counted.report, counted.is_in_doubt, now);
                }
                Vec::new()
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
            self.write(disk, &entry);
            // An end that is forgotten costs a replica, a cleared run that counts only a delay.
            self.awaits_sync |= report.state != RunState::Cleared;
        }
    }

    /// Makes all recorded reports durable with one sync. After a failure, the whole file is written
    /// again.
    ///
    /// # Errors
    /// Fails if the reports cannot be written to disk.
    pub(crate) fn sync(&mut self, disk: &mut impl Disk) -> Result<(), TurnsError> {
        if self.needs_rewrite {
            return self.rewrite(disk);
        }
        if !self.awaits_sync {
            return Ok(());
        }
        let synced = self.journal.sync(disk);
        self.note_synced(synced)
    }

    /// Returns true if [`CrashKeeper::sync`] has something to write.
    pub(crate) fn awaits_sync(&self) -> bool {
        self.awaits_sync
    }

    fn update(
        &mut self,
        disk: &mut impl Disk,
        update: &RunUpdate,
        now: Timestamp,
    ) -> CrashResponse {
        let is_new_session = self.under_way.update(update, now);
        if !update.begun.is_empty() || !update.ended.is_empty() {
            self.write(disk, &RunEntry::Update(update.clone()));
        }
        CrashResponse {
            position: self.log.position(),
            is_new_session,
            ..CrashResponse::default()
        }
    }

    /// Puts the runs of a gateway's process in doubt, to which the connection has ended. Returns them.
    pub(crate) fn end_session(
        &mut self,
        disk: &mut impl Disk,
        session: u64,
        now: Timestamp,
    ) -> Vec<RunReport> {
        let lost = self.under_way.end_session(session);
        if self.doubt(&lost, now) {
            self.events.lost_runs += lost.len();
            self.write(disk, &RunEntry::SessionEnded(session));
            self.awaits_sync = true;
        }
        lost
    }

    /// Puts the runs of gateways in doubt that were not heard of. Returns them.
    pub(crate) fn tick(&mut self, disk: &mut impl Disk, now: Timestamp) -> Vec<RunReport> {
        let lost = self.under_way.take_silent(now);
        if self.doubt(&lost, now) {
            self.events.lost_runs += lost.len();
            for report in &lost {
                let entry = RunEntry::Report {
                    report: report.clone(),
                    is_in_doubt: true,
                };
                self.write(disk, &entry);
            }
            self.awaits_sync = true;
        }
        if self.journal.is_long() || self.needs_rewrite {
            // A failure is among the events.
            let _ = self.rewrite(disk);
        }
        lost
    }

    pub(crate) fn take_events(&mut self) -> RunEvents {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.log.expire(now);
    }

    /// Returns the reports that count.
    pub(crate) fn counted_reports(&self) -> impl Iterator<Item = CountedReport> {
        let counted = self.log.counted_reports();
        counted.map(|(report, is_in_doubt)| CountedReport {
            report: report.clone(),
            is_in_doubt,
        })
    }

    fn rewrite(&mut self, disk: &mut impl Disk) -> Result<(), TurnsError> {
        let reports = self.counted_reports().map(|counted| RunEntry::Report {
            report: counted.report,
            is_in_doubt: counted.is_in_doubt,
        });
        let entries: Vec<RunEntry> = reports
            .chain(self.under_way.as_updates().map(RunEntry::Update))
            .collect();
        let written = self.journal.rewrite(disk, entries.into_iter());
        self.note_synced(written)
    }

    /// Appends an entry that was applied, without a sync. A store that cannot write has it in memory, and
    /// writes the whole file later.
    fn write(&mut self, disk: &mut impl Disk, entry: &RunEntry) {
        if self.needs_rewrite {
            return;
        }
        if let Err(error) = self.journal.append(disk, entry) {
            self.note_failure(&error);
        }
    }

    fn note_synced(&mut self, synced: Result<(), TurnsError>) -> Result<(), TurnsError> {
        match &synced {
            Ok(()) => {
                self.needs_rewrite = false;
                self.awaits_sync = false;
            }
            Err(error) => self.note_failure(error),
        }
        synced
    }

    fn note_failure(&mut self, error: &TurnsError) {
        self.needs_rewrite = true;
        self.events.write_failure = Some(error.to_string());
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
