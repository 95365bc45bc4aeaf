//! Origins of streams at stores of builds that do not keep origins.
//!
//! Such stores keep, for each account, the replica that served its last turn, in memory, and return
//! it with every reservation. An account of its own for each stream carries the encoded origin in
//! that place. Unlike origins, accounts are written to disk.

use crate::account::Spend;
use crate::parts::OriginRecord;
use crate::protocol::{StoreRequest, StoreResponse};
use crate::record::{ProgramName, TurnId};
use luglink_fleet::{BackendId, StreamOrigin};
use luglink_wire::{WireError, decode_body, encode_body};

/// Prefix of the accounts that carry origins. No program has such a name, because names of callers
/// are visible ASCII and names of tenants are not empty.
const ACCOUNT_PREFIX: &str = "\u{1}origin\u{1}";

/// Time for which a query of an unknown stream leaves an empty account, in milliseconds.
const QUERY_RETENTION_MS: u64 = 1_000;

/// Returns the request that keeps an origin. `epoch` is the epoch of the sender's view.
///
/// # Errors
/// Fails if the origin cannot be encoded.
pub fn hint_request(epoch: u64, record: &OriginRecord) -> Result<StoreRequest, WireError> {
    let encoded = encode_body(&record.origin)?;
    let digits = encoded.iter().map(|byte| format!("{byte:02x}"));
    let hint = BackendId(digits.collect());
    let request = spend_request(epoch, &record.stream, record.retention_ms, Some(hint));
    Ok(request)
}

/// Returns the request that queries an origin. `epoch` is the epoch of the sender's view.
#[must_use]
pub fn hint_query(epoch: u64, stream: &TurnId) -> StoreRequest {
    spend_request(epoch, stream, QUERY_RETENTION_MS, None)
}

/// Returns the origin in the response to either request, if the store has it.
#[must_use]
pub fn hinted_origin(response: &StoreResponse) -> Option<StreamOrigin> {
    let StoreResponse::Spent { served_by, .. } = response else {
        return None;
    };
    let digits = served_by.as_ref()?.0.as_bytes();
    let bytes = digits.chunks(2).map(|pair| {
        let pair = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(pair, 16).ok()
    });
    let bytes: Vec<u8> = bytes.collect::<Option<_>>()?;
    decode_body(&bytes).ok()
}

fn spend_request(
    epoch: u64,
    stream: &TurnId,
    retention_ms: u64,
    served_by: Option<BackendId>,
) -> StoreRequest {
    StoreRequest::Spend {
        epoch,
        program: ProgramName(format!("{ACCOUNT_PREFIX}{}", stream.0)),
        turn: stream.clone(),
        spend: Spend::Settled(0),
        retention_ms,
        chain: None,
        served_by,
    }
}
