//! Optional extensions of requests and responses, for compatibility between builds.
//!
//! Extensions follow the message as numbered parts. A build ignores parts with unknown numbers, and
//! adds a part to a response only if the request carried a part that shows that the client reads
//! it.

use luglink_fleet::{
    KnownIncarnations, KnownReplicaVersions, MemberStats, ReplicaIncarnation, ReplicaVersion,
    SettledStores, StatsReport, ZoneStats,
};
use luglink_wire::{PartNumber, Parts, WireError};

/// Request part: sum over the replica incarnations that the observer knows.
const KNOWN_INCARNATIONS: PartNumber = PartNumber(1);

/// Response part: replica incarnations that the observer lacks.
const INCARNATIONS: PartNumber = PartNumber(2);

/// Request part: statistics of the replicas that the observing gateway uses.
const REPLICA_STATS: PartNumber = PartNumber(3);

/// Response part: statistics of the replicas, aggregated over the gateways of the observer's zone.
const ZONE_STATS: PartNumber = PartNumber(4);

/// Request part: statistics of the replicas, aggregated over the gateways that the sending member
/// counts.
const MEMBER_STATS: PartNumber = PartNumber(5);

/// Request part: sum over the software versions of replicas that the observer knows.
const KNOWN_REPLICA_VERSIONS: PartNumber = PartNumber(6);

/// Response part: software versions of replicas that the observer lacks.
const REPLICA_VERSIONS: PartNumber = PartNumber(7);

/// Response part: settled configuration of the turn stores in the view that the response carries.
const SETTLED_STORES: PartNumber = PartNumber(8);

/// Optional parts of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParts {
    /// Incarnations that the observer knows; set if it asks for newer ones.
    pub known_incarnations: Option<KnownIncarnations>,
    /// Software versions of replicas that the observer knows; set if it asks for others.
    pub known_replica_versions: Option<KnownReplicaVersions>,
    /// Statistics of the observing gateway; set if it asks for those of its zone.
    pub replica_stats: Option<StatsReport>,
    /// Statistics of the gateways that the sending member counts.
    pub member_stats: Option<MemberStats>,
}

impl RequestParts {
    /// Encodes the parts for the wire.
    ///
    /// # Errors
    /// Fails if a part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        if let Some(known) = &self.known_incarnations {
            parts.put(KNOWN_INCARNATIONS, known)?;
        }
        if let Some(known) = &self.known_replica_versions {
            parts.put(KNOWN_REPLICA_VERSIONS, known)?;
        }
        if let Some(replica_stats) = &self.replica_stats {
            parts.put(REPLICA_STATS, replica_stats)?;
        }
        if let Some(member_stats) = &self.member_stats {
            parts.put(MEMBER_STATS, member_stats)?;
        }
        Ok(parts)
    }

    /// Decodes the known parts from the wire.
    ///
    /// # Errors
    /// Fails if a known part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Self, WireError> {
        Ok(Self {
            known_incarnations: parts.get(KNOWN_INCARNATIONS)?,
            known_replica_versions: parts.get(KNOWN_REPLICA_VERSIONS)?,
            replica_stats: parts.get(REPLICA_STATS)?,
            member_stats: parts.get(MEMBER_STATS)?,
        })
    }
}

/// Optional parts of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseParts {
    /// Replica incarnations that the observer lacks.
    pub incarnations: Vec<ReplicaIncarnation>,
    /// Software versions of replicas that the observer lacks.
    pub replica_versions: Vec<ReplicaVersion>,
    /// Statistics of the replicas, aggregated over the gateways of the observer's zone.
    pub zone_stats: Option<ZoneStats>,
    /// Settled configuration of the turn stores, if the response carries a view of the stores and
    /// their states do not tell it.
    pub settled_stores: Option<SettledStores>,
}

impl ResponseParts {
    /// Encodes the parts for the wire.
    ///
    /// # Errors
    /// Fails if a part cannot be encoded.
    pub fn encode(&self) -> Result<Parts, WireError> {
        let mut parts = Parts::default();
        if !self.incarnations.is_empty() {
            parts.put(INCARNATIONS, &self.incarnations)?;
        }
        if !self.replica_versions.is_empty() {
            parts.put(REPLICA_VERSIONS, &self.replica_versions)?;
        }
        if let Some(zone_stats) = &self.zone_stats {
            parts.put(ZONE_STATS, zone_stats)?;
        }
        if let Some(settled_stores) = &self.settled_stores {
            parts.put(SETTLED_STORES, settled_stores)?;
        }
        Ok(parts)
    }

    /// Decodes the known parts from the wire.
    ///
    /// # Errors
    /// Fails if a known part cannot be decoded.
    pub fn decode(parts: &Parts) -> Result<Self, WireError> {
        Ok(Self {
            incarnations: parts.get(INCARNATIONS)?.unwrap_or_default(),
            replica_versions: parts.get(REPLICA_VERSIONS)?.unwrap_or_default(),
            zone_stats: parts.get(ZONE_STATS)?,
            settled_stores: parts.get(SETTLED_STORES)?,
        })
    }
}
