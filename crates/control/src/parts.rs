//! What newer builds add to requests and responses.
//!
//! It follows the message as numbered parts. A build passes over the parts that it does not know,
//! and answers with a part only those who have shown with theirs that they read it.

use luglink_fleet::{KnownIncarnations, MemberStats, ReplicaIncarnation, StatsReport, ZoneStats};
use luglink_wire::{PartNumber, Parts, WireError};

/// Behind an observation: the incarnations that the observer knows.
const KNOWN_INCARNATIONS: PartNumber = PartNumber(1);

/// Behind news: incarnations that the observer lacks.
const INCARNATIONS: PartNumber = PartNumber(2);

/// Behind an observation: what the observing gateway sees of the replicas.
const SIGHTS: PartNumber = PartNumber(3);

/// Behind news: what the gateways of the observer's zone see together.
const ZONE_SIGHTS: PartNumber = PartNumber(4);

/// Behind words of gateways: what those that the telling member counts see together.
const MEMBER_SIGHTS: PartNumber = PartNumber(5);

/// What follows a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParts {
    /// What an observer knows of the incarnations of replicas, when it asks for newer ones.
    pub known_incarnations: Option<KnownIncarnations>,
    /// What an observing gateway sees of the replicas, when it asks what others see.
    pub replica_stats: Option<StatsReport>,
    /// What the gateways see that a member of the same zone counts.
    pub member_stats: Option<MemberStats>,
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
        if let Some(replica_stats) = &self.replica_stats {
            parts.put(SIGHTS, replica_stats)?;
        }
        if let Some(replica_stats) = &self.member_stats {
            parts.put(MEMBER_SIGHTS, replica_stats)?;
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
            replica_stats: parts.get(SIGHTS)?,
            member_stats: parts.get(MEMBER_SIGHTS)?,
        })
    }
}

/// What follows a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseParts {
    /// Incarnations that an observer lacks.
    pub incarnations: Vec<ReplicaIncarnation>,
    /// What the gateways of an observer's zone see of the replicas.
    pub zone_stats: Option<ZoneStats>,
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
        if let Some(replica_stats) = &self.zone_stats {
            parts.put(ZONE_SIGHTS, replica_stats)?;
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
            zone_stats: parts.get(ZONE_SIGHTS)?,
        })
    }
}
