//! What time alone brings about: ends, lost calls, forgetting.

use crate::command::EndReason;
use crate::program::{Program, ProgramStatus};
use luglink_types::Timestamp;
use std::time::Duration;

/// How long an ended program's answers can still be asked for.
const RETENTION: Duration = Duration::from_secs(900);

/// How long an owner may be silent before its call in flight counts as lost.
const OWNER_LEASE: Duration = Duration::from_secs(15);

/// What time alone does to a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    Nothing,
    End(EndReason),
    LoseCall,
    Forget,
}

pub(crate) fn expiry(program: &Program, at: Timestamp) -> Expiry {
    if let ProgramStatus::Ended { at: ended_at, .. } = program.status {
        let forgotten = at.since(ended_at) > RETENTION;
        return if forgotten {
            Expiry::Forget
        } else {
            Expiry::Nothing
        };
    }
    if let Some(reason) = program.overdue(at, OWNER_LEASE) {
        return Expiry::End(reason);
    }
    let owner_silent = at.since(program.owner.renewed_at) > OWNER_LEASE;
    if owner_silent && program.call_in_flight().is_some() {
        return Expiry::LoseCall;
    }
    Expiry::Nothing
}
