//! What newer builds add to requests and responses.
//!
//! It follows the message as numbered parts. A build passes over the parts that it does not know,
//! and answers with a part only those who have shown with theirs that they read it.

use luglink_fleet::{KnownIncarnations, ReplicaIncarnation};
use luglink_wire::{PartNumber, Parts, WireError};

/// Behind an observation: the incarnations that the observer knows.
const KNOWN_INCARNATIONS: PartNumber = PartNumber(1);

/// Behind news: incarnations that the observer lacks.
const INCARNATIONS: PartNumber = PartNumber(2);

/// What follows a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParts {
    /// What an observer knows of the incarnations of replicas, when it asks for newer ones.
    pub known_incarnations: Option<KnownIncarnations>,
}

impl RequestParts {
    /// For the wire.
    ///
    /// # Errors
    /// A part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        if let Some(known) = &self.known_incarnations {
            parts.put(KNOWN_INCARNATIONS, known)?;
        }
        Ok(parts)
    }

    /// From the wire.
    ///
    /// # Errors
    /// A known part cannot be read.
    pub fn decode(parts: &Parts) -> Result<Self, WireError> {
        Ok(Self {
            known_incarnations: parts.get(KNOWN_INCARNATIONS)?,
        })
    }
}

/// What follows a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseParts {
    /// Incarnations that an observer lacks.
    pub incarnations: Vec<ReplicaIncarnation>,
}

impl ResponseParts {
    /// For the wire.
    ///
    /// # Errors
    /// A part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        if !self.incarnations.is_empty() {
            parts.put(INCARNATIONS, &self.incarnations)?;
        }
        Ok(parts)
    }

    /// From the wire.
    ///
    /// # Errors
    /// A known part cannot be read.
    pub fn decode(parts: &Parts) -> Result<Self, WireError> {
        Ok(Self {
            incarnations: parts.get(INCARNATIONS)?.unwrap_or_default(),
        })
    }
}
