//! Messages about crash reports between gateways and turn stores.
//!
//! Like those about origins, they are parts of a [`StoreRequest::Lookup`] of no turn. A store of a
//! build without crash reports answers it without a part.
//!
//! [`StoreRequest::Lookup`]: crate::StoreRequest::Lookup

use crate::crash_reports::{RunId, RunReport, RunState};
use crate::fingerprint::RequestFingerprint;
use crate::parts::ClientView;
use luglink_wire::{PartNumber, Parts, WireError};
use serde::{Deserialize, Serialize};

/// Request part: report to keep.
const RECORD_RUN: PartNumber = PartNumber(4);

/// Request part: request whose reports are queried.
const FIND_RUNS: PartNumber = PartNumber(5);

/// Request part: position from which on reports are followed.
const FOLLOW_RUNS: PartNumber = PartNumber(6);

/// Response part: result of any of these requests.
const CRASH_RESPONSE: PartNumber = PartNumber(7);

/// Request part: the run of the report is in doubt.
const IS_IN_DOUBT: PartNumber = PartNumber(9);

/// Request part: changes of the runs under way at a gateway.
const UPDATE_RUNS: PartNumber = PartNumber(10);

/// Response part: runs among the reports that are in doubt.
const DOUBTS: PartNumber = PartNumber(11);

/// Response part: the store did not know the gateway's session.
const IS_NEW_SESSION: PartNumber = PartNumber(12);

/// Request part: the follower asks for a lease.
const WANTS_LEASE: PartNumber = PartNumber(13);

/// Response part: the follower has a lease.
const HAS_LEASE: PartNumber = PartNumber(14);

/// Request part: reports that the receiver owns.
const TAKE_OVER_RUNS: PartNumber = PartNumber(15);

/// Request part: membership under which the client chose a control member as a holder.
const MEMBERSHIP: PartNumber = PartNumber(16);

/// Report of a run that counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountedReport {
    /// The report.
    pub report: RunReport,
    /// True if the run is in doubt.
    pub is_in_doubt: bool,
}

impl CountedReport {
    /// Returns the request that records the report.
    #[must_use]
    pub fn into_request(self) -> CrashRequest {
        match self.is_in_doubt {
            true => CrashRequest::RecordDoubt(self.report),
            false => CrashRequest::Record(self.report),
        }
    }
}

/// Position in the reports of one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Distinguishes the runs of a store, which number their reports anew; 0 for none.
    pub epoch: u64,
    /// Number of the next report.
    pub next: u64,
}

/// Changes of the runs under way at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUpdate {
    /// Distinguishes the processes of gateways.
    pub session: u64,
    /// Runs that have begun.
    pub begun: Vec<RunReport>,
    /// Runs that are no longer under way. Those in doubt are reported.
    pub ended: Vec<RunId>,
}

/// Request about crash reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashRequest {
    /// Keeps a report, and returns all reports of its request.
    Record(RunReport),
    /// The same for a run that is in doubt: no longer under way, and it is not known whether its
    /// replica ended.
    RecordDoubt(RunReport),
    /// Keeps the changes of the runs under way at a gateway, in case that it is lost.
    Update(RunUpdate),
    /// Returns the reports of a request.
    Find(RequestFingerprint),
    /// Returns the reports from a position on, as soon as there are any or after a timeout.
    Follow(LogPosition),
    /// The same, and grants a lease (see [`FollowerLeases`]).
    ///
    /// [`FollowerLeases`]: crate::FollowerLeases
    FollowLeased(LogPosition),
    /// Keeps reports that another store hands over.
    TakeOver(Vec<CountedReport>),
}

/// Why the sender of a request about crash reports chose this holder. A holder does not answer if its
/// response could not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderView {
    /// View of the turn stores.
    Stores(ClientView),
    /// Version of the membership of the control members.
    Members(u64),
}

impl HolderView {
    fn put(self, parts: &mut Parts) -> Result<(), WireError> {
        match self {
            Self::Stores(view) => view.put(parts),
            Self::Members(membership) => parts.put(MEMBERSHIP, &membership),
        }
    }

    /// Decodes the membership of a request to a control member.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode_membership(parts: &Parts) -> Result<Option<u64>, WireError> {
        parts.get(MEMBERSHIP)
    }
}

impl CrashRequest {
    /// Encodes the request for a holder for the wire.
    ///
    /// # Errors
    /// Fails if a part cannot be encoded.
    pub fn encode_for(&self, holder: HolderView) -> Result<Parts, WireError> {
        let mut parts = self.encode()?;
        holder.put(&mut parts)?;
        Ok(parts)
    }

    /// Returns true if the response acknowledges reports, so that it must not be sent before these are
    /// synced.
    #[must_use]
    pub fn needs_sync(&self) -> bool {
        match self {
            Self::Record(report) => report.state != RunState::Cleared,
            Self::RecordDoubt(_) | Self::TakeOver(_) => true,
            Self::Update(_) | Self::Find(_) | Self::Follow(_) | Self::FollowLeased(_) => false,
        }
    }

    /// Returns true if the response acknowledges ends or possible ends, so that it must not be sent before
    /// all followers with a lease have them.
    #[must_use]
    pub fn needs_followers(&self) -> bool {
        match self {
            Self::Record(report) => report.state == RunState::Crashed,
            request => request.needs_sync(),
        }
    }

    /// Returns the request whose reports the response contains, unless it is for any.
    #[must_use]
    pub fn subject(&self) -> Option<RequestFingerprint> {
        match self {
            Self::Record(report) | Self::RecordDoubt(report) => Some(report.request),
            Self::Find(request) => Some(*request),
            Self::Update(_) | Self::Follow(_) | Self::FollowLeased(_) | Self::TakeOver(_) => None,
        }
    }

    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        match self {
            Self::TakeOver(reports) => parts.put(TAKE_OVER_RUNS, reports)?,
            Self::Record(report) => parts.put(RECORD_RUN, report)?,
            Self::RecordDoubt(report) => {
                parts.put(RECORD_RUN, report)?;
                parts.put(IS_IN_DOUBT, &true)?;
            }
            Self::Update(update) => parts.put(UPDATE_RUNS, update)?,
            Self::Find(request) => parts.put(FIND_RUNS, request)?,
            Self::Follow(position) => parts.put(FOLLOW_RUNS, position)?,
            Self::FollowLeased(position) => {
                parts.put(FOLLOW_RUNS, position)?;
                parts.put(WANTS_LEASE, &true)?;
            }
        }
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        if let Some(report) = parts.get(RECORD_RUN)? {
            let is_in_doubt = parts.get(IS_IN_DOUBT)?.unwrap_or(false);
            return Ok(Some(if is_in_doubt {
                Self::RecordDoubt(report)
            } else {
                Self::Record(report)
            }));
        }
        if let Some(reports) = parts.get(TAKE_OVER_RUNS)? {
            return Ok(Some(Self::TakeOver(reports)));
        }
        if let Some(update) = parts.get(UPDATE_RUNS)? {
            return Ok(Some(Self::Update(update)));
        }
        if let Some(request) = parts.get(FIND_RUNS)? {
            return Ok(Some(Self::Find(request)));
        }
        let wants_lease = parts.get(WANTS_LEASE)?.unwrap_or(false);
        let follow = match wants_lease {
            true => Self::FollowLeased,
            false => Self::Follow,
        };
        Ok(parts.get(FOLLOW_RUNS)?.map(follow))
    }
}

/// Response to a request about crash reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashResponse {
    /// Position after the latest report of the store.
    pub position: LogPosition,
    /// Reports that the request asked for.
    pub reports: Vec<RunReport>,
    /// Runs among them that are in doubt.
    pub doubts: Vec<(RequestFingerprint, RunId)>,
    /// True if the store did not know the session of an update, so it may lack earlier runs.
    pub is_new_session: bool,
    /// True if the follower has a lease.
    pub has_lease: bool,
}

impl CrashResponse {
    /// Encodes the parts for the wire.
    ///
    /// # Errors
    /// Fails if a part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        parts.put(CRASH_RESPONSE, &(&self.position, &self.reports))?;
        if !self.doubts.is_empty() {
            parts.put(DOUBTS, &self.doubts)?;
        }
        if self.is_new_session {
            parts.put(IS_NEW_SESSION, &true)?;
        }
        if self.has_lease {
            parts.put(HAS_LEASE, &true)?;
        }
        Ok(parts)
    }

    /// Decodes the parts from the wire; `None` if the store is of a build without crash reports.
    ///
    /// # Errors
    /// Fails if a part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        let Some((position, reports)) = parts.get(CRASH_RESPONSE)? else {
            return Ok(None);
        };
        Ok(Some(Self {
            position,
            reports,
            doubts: parts.get(DOUBTS)?.unwrap_or_default(),
            is_new_session: parts.get(IS_NEW_SESSION)?.unwrap_or(false),
            has_lease: parts.get(HAS_LEASE)?.unwrap_or(false),
        }))
    }
}
