//! Crash reports at a store.

use super::StoreNode;
use crate::crash_keeper::RunEvents;
use crate::crash_parts::{CountedReport, CrashRequest, CrashResponse, LogPosition};
use crate::crash_reports::RunReport;
use crate::errors::TurnsError;
use crate::follower_leases::LEASE_DURATION;
use crate::parts::ClientView;
use crate::refusal::Refusal;
use crate::report_hand_over::ReportBatch;
use luglink_fleet::StoreName;
use luglink_storage::Disk;
use luglink_types::Timestamp;

impl<D: Disk> StoreNode<D> {
    /// Queues reports for their owners that may lack them.
    pub(super) fn hand_over_reports(&mut self, reports: impl IntoIterator<Item = CountedReport>) {
        if self.hand_over.is_settled() {
            return;
        }
        let copies = self.config.replication.copies();
        for counted in reports {
            let key = counted.report.request.to_string();
            for owner in self.hand_over.new_owners(&key, &self.config.name, copies) {
                self.report_hand_over.add(owner, counted.clone());
            }
        }
    }

    pub(super) fn hand_over_doubts(&mut self, doubts: Vec<RunReport>) {
        self.hand_over_reports(doubts.into_iter().map(|report| CountedReport {
            report,
            is_in_doubt: true,
        }));
    }

    /// Returns true if the present owners have all crash reports of this store, and no gateway trusts
    /// in what the owners under an earlier view have told it.
    pub(super) fn has_handed_over_reports(&self) -> bool {
        let is_over = self.now >= self.earlier_leases_until;
        self.hand_over.is_settled() || is_over && self.report_hand_over.is_complete()
    }

    /// Returns the crash reports to send to other stores now.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<ReportBatch> {
        self.now = self.now.max(now);
        self.report_hand_over.due(self.now)
    }

    /// Handles the acknowledgement of the reports with this number by another store.
    pub fn on_reports_acknowledged(&mut self, by: &StoreName, number: u64) {
        self.report_hand_over.on_acknowledged(by, number);
    }

    /// Keeps or returns crash reports for a client under its view of the stores. A response for which
    /// [`CrashRequest::needs_sync`] holds must not be sent before [`StoreNode::sync_reports`] has
    /// succeeded.
    ///
    /// # Errors
    /// Fails if the client could not count the response.
    pub fn handle_crash_request(
        &mut self,
        client_view: Option<ClientView>,
        request: &CrashRequest,
        now: Timestamp,
    ) -> Result<CrashResponse, Refusal> {
        self.now = self.now.max(now);
        if let Some(refusal) = self.request_check().report_refusal(client_view, request) {
            return Err(refusal);
        }
        if matches!(request, CrashRequest::FollowLeased(_)) {
            self.leases_until = self.now.plus(LEASE_DURATION);
        }
        let disk = self.journal.disk_mut();
        Ok(self.crashes.handle(disk, request, self.now))
    }

    /// Makes all crash reports that were kept durable with one sync.
    ///
    /// # Errors
    /// Fails if the reports cannot be written to disk.
    pub fn sync_reports(&mut self) -> Result<(), TurnsError> {
        self.crashes.sync(self.journal.disk_mut())
    }

    /// Puts the runs under way of a gateway's process in doubt, to which the connection has ended.
    pub fn end_session(&mut self, session: u64, now: Timestamp) {
        self.now = self.now.max(now);
        let disk = self.journal.disk_mut();
        let doubts = self.crashes.end_session(disk, session, self.now);
        self.hand_over_doubts(doubts);
    }

    /// Returns true if the crash reports include the runs that were under way when the store ended, at
    /// gateways that were not heard of since.
    #[must_use]
    pub fn has_complete_crash_reports(&self) -> bool {
        self.crashes.is_complete(self.now)
    }

    /// Returns what was observed about runs since the last call.
    pub fn take_run_events(&mut self) -> RunEvents {
        self.crashes.take_events()
    }

    /// Number of runs under way at gateways.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.crashes.under_way()
    }

    /// Position after the latest crash report.
    #[must_use]
    pub fn crash_position(&self) -> LogPosition {
        self.crashes.position()
    }

    /// Number of requests with crash reports.
    #[must_use]
    pub fn crash_report_count(&self) -> usize {
        self.crashes.len()
    }
}
