//! Optional extensions of requests to turn stores and of their responses, for compatibility between
//! builds.
//!
//! An origin is recorded and queried by a part of a [`StoreRequest::Lookup`] of no turn, which
//! stores of builds without origins answer like any lookup of an unknown turn.
//!
//! [`StoreRequest::Lookup`]: crate::StoreRequest::Lookup

use crate::output_table::{KnownOutput, OutputQuery, OutputUpdate};
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

/// Request part beside [`RECORD_ORIGIN`]: output of the stream to keep.
const RECORD_OUTPUT: PartNumber = PartNumber(19);

/// Request part beside [`FIND_ORIGIN`]: query for the output of the stream.
const FIND_OUTPUT: PartNumber = PartNumber(20);

/// Response part beside [`ORIGIN_RESPONSE`]: result of either.
const OUTPUT_RESPONSE: PartNumber = PartNumber(21);

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

/// Request about the origin of a stream, and about its output, which stores of older builds do not keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginRequest {
    /// Keeps an origin.
    Record(OriginRecord),
    /// Keeps an origin and a part of the output.
    RecordOutput(OriginRecord, OutputUpdate),
    /// Returns the origin of a stream.
    Find(TurnId),
    /// Returns the origin and the output of a stream.
    FindOutput(TurnId, OutputQuery),
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
            Self::RecordOutput(record, update) => {
                parts.put(RECORD_ORIGIN, record)?;
                parts.put(RECORD_OUTPUT, update)?;
            }
            Self::Find(stream) => parts.put(FIND_ORIGIN, stream)?,
            Self::FindOutput(stream, query) => {
                parts.put(FIND_ORIGIN, stream)?;
                parts.put(FIND_OUTPUT, query)?;
            }
        }
        Ok(parts)
    }

    /// Decodes the part from the wire; `None` if the request has none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        if let Some(record) = parts.get(RECORD_ORIGIN)? {
            return Ok(Some(match parts.get(RECORD_OUTPUT)? {
                Some(update) => Self::RecordOutput(record, update),
                None => Self::Record(record),
            }));
        }
        let Some(stream) = parts.get(FIND_ORIGIN)? else {
            return Ok(None);
        };
        Ok(Some(match parts.get(FIND_OUTPUT)? {
            Some(query) => Self::FindOutput(stream, query),
            None => Self::Find(stream),
        }))
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

/// Response to a request about the output of a stream, beside an [`OriginResponse`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputResponse {
    /// Number of events of the updated run that the store keeps.
    pub kept_events: u64,
    /// Output that the query asked for, if the store has any.
    pub known: Option<KnownOutput>,
}

impl OutputResponse {
    /// Adds the part to those of a response.
    ///
    /// # Errors
    /// Fails if the part cannot be encoded.
    pub fn put(&self, parts: &mut Parts) -> Result<(), WireError> {
        parts.put(OUTPUT_RESPONSE, self)
    }

    /// Decodes the part from the wire; `None` if the store is of a build that keeps no outputs. A damaged
    /// output counts as none.
    ///
    /// # Errors
    /// Fails if the part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Option<Self>, WireError> {
        let response: Option<Self> = parts.get(OUTPUT_RESPONSE)?;
        Ok(response.map(|response| Self {
            known: response.known.filter(|known| known.events.is_valid()),
            ..response
        }))
    }
}
