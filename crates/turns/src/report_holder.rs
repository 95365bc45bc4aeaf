//! Crash reports at a control member, for gateways that reach no quorum of turn stores.
//!
//! All control members hold the reports of all requests, and a majority of them answers for all. A
//! member that has joined, or lost its disk, lacks earlier reports. It does not count until these have
//! expired.

use crate::crash_keeper::{CrashKeeper, RunEvents};
use crate::crash_parts::{CrashRequest, CrashResponse};
use crate::crash_reports::CRASH_RETENTION;
use crate::errors::TurnsError;
use crate::refusal::Refusal;
use luglink_storage::Disk;
use luglink_types::Timestamp;

/// File that exists once the member counts.
const COMPLETE_FILE: &str = "holds-all-reports";

/// Crash reports of one control member.
#[derive(Debug)]
pub struct ReportHolder<D> {
    disk: D,
    keeper: CrashKeeper,
    /// Time from which on the member lacks no report that has not expired; `None` since that time.
    complete_from: Option<Timestamp>,
}

impl<D: Disk> ReportHolder<D> {
    /// Reads the reports of the member's earlier processes. `epoch` distinguishes its processes. At the
    /// first start of the deployment there are no earlier reports.
    ///
    /// # Errors
    /// Fails if the disk is damaged, full or read-only.
    pub fn open(
        mut disk: D,
        epoch: u64,
        is_first_start: bool,
        now: Timestamp,
    ) -> Result<Self, TurnsError> {
        let keeper = CrashKeeper::open(&mut disk, epoch, now)?;
        let is_complete = disk.list()?.iter().any(|file| file == COMPLETE_FILE);
        let mut holder = Self {
            disk,
            keeper,
            complete_from: (!is_complete).then(|| now.plus(CRASH_RETENTION)),
        };
        if is_first_start && !is_complete {
            holder.note_complete()?;
        }
        Ok(holder)
    }

    fn note_complete(&mut self) -> Result<(), TurnsError> {
        self.disk.replace(COMPLETE_FILE, b"1")?;
        self.complete_from = None;
        Ok(())
    }

    /// Keeps or returns crash reports for a gateway that knows the control members as of the version
    /// `client_membership`. A response for which [`CrashRequest::needs_sync`] holds must not be sent before
    /// [`ReportHolder::sync`] has succeeded.
    ///
    /// # Errors
    /// Fails if the membership known here has another version, or if the member may lack the reports that
    /// are asked for.
    pub fn handle(
        &mut self,
        client_membership: Option<u64>,
        own_membership: u64,
        request: &CrashRequest,
        now: Timestamp,
    ) -> Result<CrashResponse, Refusal> {
        if client_membership != Some(own_membership) {
            return Err(Refusal::OtherMembership);
        }
        let response = self.keeper.handle(&mut self.disk, request, now);
        let is_update = matches!(request, CrashRequest::Update(_));
        if self.complete_from.is_some() && !is_update {
            return Err(Refusal::Incomplete);
        }
        Ok(response)
    }

    /// Makes all reports that were kept durable with one sync.
    ///
    /// # Errors
    /// Fails if the reports cannot be written to disk.
    pub fn sync(&mut self) -> Result<(), TurnsError> {
        self.keeper.sync(&mut self.disk)
    }

    /// Returns true if [`ReportHolder::sync`] has something to write.
    #[must_use]
    pub fn awaits_sync(&self) -> bool {
        self.keeper.awaits_sync()
    }

    /// Puts the runs under way of a gateway's process in doubt, to which the connection has ended.
    pub fn end_session(&mut self, session: u64, now: Timestamp) {
        self.keeper.end_session(&mut self.disk, session, now);
    }

    /// Puts the runs of gateways in doubt that were not heard of, and drops expired reports.
    ///
    /// # Errors
    /// Fails if it cannot be written to disk that the member counts from now on.
    pub fn tick(&mut self, now: Timestamp) -> Result<(), TurnsError> {
        self.keeper.tick(&mut self.disk, now);
        self.keeper.expire(now);
        match self.complete_from {
            Some(complete_from) if now >= complete_from => self.note_complete(),
            _ => Ok(()),
        }
    }

    /// Returns what was observed about runs since the last call.
    pub fn take_run_events(&mut self) -> RunEvents {
        self.keeper.take_events()
    }

    /// Returns the disk in the state that a crash leaves behind.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Number of requests with crash reports.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.keeper.len()
    }
}
