//! Changes that are caused by elapsed time: ends of programs, abandoned calls, removal.

use crate::command::EndReason;
use crate::program::{Program, ProgramStatus};
use luglink_types::Timestamp;
use std::time::Duration;

/// Time for which the answers of an ended program can still be requested.
const ENDED_PROGRAM_RETENTION: Duration = Duration::from_secs(900);

/// Time since the last renewal of an owner's lease after which its call in flight becomes
/// uncertain.
const OWNER_LEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// Change that is due for a program because of elapsed time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    Nothing,
    End(EndReason),
    AbandonCall,
    Remove,
}

pub(crate) fn expiry(program: &Program, at: Timestamp) -> Expiry {
    if let ProgramStatus::Ended { at: ended_at, .. } = program.status {
        let is_past_retention = at.since(ended_at) > ENDED_PROGRAM_RETENTION;
        return if is_past_retention {
            Expiry::Remove
        } else {
            Expiry::Nothing
        };
    }
    if let Some(reason) = program.due_end_reason(at, OWNER_LEASE_TIMEOUT) {
        return Expiry::End(reason);
    }
    let owner_silent = at.since(program.owner.renewed_at) > OWNER_LEASE_TIMEOUT;
    if owner_silent && program.call_in_flight().is_some() {
        return Expiry::AbandonCall;
    }
    Expiry::Nothing
}
