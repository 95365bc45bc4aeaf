//! Optional extensions of requests to turn stores and of their responses, for compatibility between
//! builds.
//!
//! An origin is recorded and queried by a part of a [`StoreRequest::Lookup`] of no turn, which
//! stores of builds without origins answer like any lookup of an unknown turn.
//!
//! [`StoreRequest::Lookup`]: crate::StoreRequest::Lookup

use crate::protocol::{ChainQuery, StoreRequest};
use crate::record::TurnId;
use luglink_fleet::StreamOrigin;
use luglink_wire::{PartNumber, Parts, WireError};
use serde::{Deserialize, Serialize};

/// Request part: origin of a stream to keep.
const RECORD_ORIGIN: PartNumber = PartNumber(1);

/// Request part: stream whose origin is queried.
const FIND_ORIGIN: PartNumber = PartNumber(2);

/// Response part: result of either request.
const ORIGIN_RESPONSE: PartNumber = PartNumber(3);

/// Request part: what the client knows about the store.
const CLIENT_VIEW: PartNumber = PartNumber(8);

/// The view under which a client chose a store. A store does not answer a client whose view is too
/// old for the response to count. Clients of older builds do not send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientView {
    /// Epoch of the view.
    pub epoch: u64,
    /// Incarnation of the store's disk in the view.
    pub incarnation: u64,
}

impl ClientView {
    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        self.put(&mut parts)?;
        Ok(parts)
    }

    pub(crate) fn put(&self, parts: &mut Parts) -> Result<(), WireError> {
        parts.put(CLIENT_VIEW, self)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        parts.get(CLIENT_VIEW)
    }
}

/// Origin of a stream that a store keeps in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Identifier of the request that began the stream.
    pub stream: TurnId,
    /// Its origin.
    pub origin: StreamOrigin,
    /// Time for which the origin is kept, in milliseconds.
    pub retention_ms: u64,
}

/// Request about the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginRequest {
    /// Keeps an origin.
    Record(OriginRecord),
    /// Returns the origin of a stream.
    Find(TurnId),
}

impl OriginRequest {
    /// Returns the message that carries the part.
    #[must_use]
    pub fn message() -> StoreRequest {
        StoreRequest::Lookup(ChainQuery {
            turn: TurnId::default(),
        })
    }

    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        match self {
            Self::Record(record) => parts.put(RECORD_ORIGIN, record)?,
            Self::Find(stream) => parts.put(FIND_ORIGIN, stream)?,
        }
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        if let Some(record) = parts.get(RECORD_ORIGIN)? {
            return Ok(Some(Self::Record(record)));
        }
        Ok(parts.get(FIND_ORIGIN)?.map(Self::Find))
    }
}

/// Response to a request about the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginResponse {
    /// The origin, if the request asked for it and the store has it.
    pub origin: Option<StreamOrigin>,
}

impl OriginResponse {
    /// Encodes the part for the wire.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        parts.put(ORIGIN_RESPONSE, self)?;
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the store is of a build without origins.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        parts.get(ORIGIN_RESPONSE)
    }
}
