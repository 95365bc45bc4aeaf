//! Optional extensions of the request that stores a turn, and of its response.
//!
//! A store that missed earlier writes of a program must not acknowledge a turn as if it had them. With
//! these parts it names what it lacks, and the writer sends that.

use crate::account::Account;
use crate::record::TurnId;
use luglink_wire::{PartNumber, Parts, WireError};
use serde::{Deserialize, Serialize};

/// Request part: what the writer knows about the program.
const KEEP_CHECK: PartNumber = PartNumber(17);

/// Response part: what the store lacks, or has beyond that.
const KEEP_REPORT: PartNumber = PartNumber(18);

/// What the writer of a turn knows about its program. Writers of older builds do not send it, and get
/// no [`KeepReport`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepCheck {
    /// Digest of the program's account as the writer knows it, with the turn settled.
    pub account_digest: u64,
}

impl KeepCheck {
    /// Adds the part to those of a request.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn put(&self, parts: &mut Parts) -> Result<(), WireError> {
        parts.put(KEEP_CHECK, self)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        parts.get(KEEP_CHECK)
    }
}

/// What a store adds to its response to a request with a [`KeepCheck`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepReport {
    /// Ancestors of the turn that the store lacks. If there are any, the turn was not stored.
    pub missing: Vec<TurnId>,
    /// The store's copy of the account, if it differs from the one that the writer knows.
    pub account: Option<Account>,
}

impl KeepReport {
    /// Returns true if the store has what the writer knows and nothing else.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.missing.is_empty() && self.account.is_none()
    }

    /// Encodes the part for the wire. An empty report is not sent.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        if !self.is_empty() {
            parts.put(KEEP_REPORT, self)?;
        }
        Ok(parts)
    }

    /// Decodes the part from the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Self, WireError> {
        Ok(parts.get(KEEP_REPORT)?.unwrap_or_default())
    }
}
