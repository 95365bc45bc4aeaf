//! Messages about crash reports between gateways and turn stores.
//!
//! Like those about origins, they are parts of a [`StoreRequest::Lookup`] of no turn. A store of a
//! build without crash reports answers it without a part.
//!
//! [`StoreRequest::Lookup`]: crate::StoreRequest::Lookup

use crate::crash_reports::RunReport;
use crate::fingerprint::RequestFingerprint;
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

/// Position in the reports of one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Distinguishes the runs of a store, which number their reports anew; 0 for none.
    pub epoch: u64,
    /// Number of the next report.
    pub next: u64,
}

/// Request about crash reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashRequest {
    /// Keeps a report, and returns all reports of its request.
    Record(RunReport),
    /// Returns the reports of a request.
    Find(RequestFingerprint),
    /// Returns the reports from a position on, as soon as there are any or after a timeout.
    Follow(LogPosition),
}

impl CrashRequest {
    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        match self {
            Self::Record(report) => parts.put(RECORD_RUN, report)?,
            Self::Find(request) => parts.put(FIND_RUNS, request)?,
            Self::Follow(position) => parts.put(FOLLOW_RUNS, position)?,
        }
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        if let Some(report) = parts.get(RECORD_RUN)? {
            return Ok(Some(Self::Record(report)));
        }
        if let Some(request) = parts.get(FIND_RUNS)? {
            return Ok(Some(Self::Find(request)));
        }
        Ok(parts.get(FOLLOW_RUNS)?.map(Self::Follow))
    }
}

/// Response to a request about crash reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashResponse {
    /// Position after the latest report of the store.
    pub position: LogPosition,
    /// Reports that the request asked for.
    pub reports: Vec<RunReport>,
}

impl CrashResponse {
    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        parts.put(CRASH_RESPONSE, self)?;
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the store is of a build without crash reports.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        parts.get(CRASH_RESPONSE)
    }
}
