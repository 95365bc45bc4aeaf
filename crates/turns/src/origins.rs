//! Origins of recent streams, so that any gateway can continue a stream where it may continue.
//!
//! They are kept in memory only: a stream lasts seconds, and one whose origin was lost is begun
//! again.

use crate::record::TurnId;
use luglink_fleet::StreamOrigin;
use luglink_types::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Maximum length of the identifier of a stream whose records are kept, in bytes.
pub(crate) const MAX_STREAM_ID_BYTES: usize = 128;

/// Maximum time for which the records of a stream are kept.
pub(crate) const MAX_RETENTION: Duration = Duration::from_secs(120);

/// Origins of streams by the identifier of the request that began the stream.
#[derive(Clone, Debug)]
pub struct OriginTable {
    max_origins: usize,
    origins: HashMap<TurnId, KeptOrigin>,
    /// The same streams by the time at which their origins expire.
    expiries: BTreeSet<(Timestamp, TurnId)>,
}

#[derive(Clone, Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    expires_at: Timestamp,
}

impl OriginTable {
    /// Creates an empty table. An origin occupies some 300 bytes.
    #[must_use]
    pub fn new(max_origins: usize) -> Self {
        Self {
            max_origins,
            origins: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Keeps the origin of a stream. The first origin of a stream stays. If the table is full, the
    /// origin that expires first is dropped.
    pub fn record(
        &mut self,
        stream: &TurnId,
        origin: &StreamOrigin,
        retention: Duration,
        now: Timestamp,
    ) {
        self.expire(now);
        let is_known = self.origins.contains_key(stream);
        if is_known || stream.0.len() > MAX_STREAM_ID_BYTES {
            return;
        }
        if self.origins.len() >= self.max_origins
            && let Some((_, dropped)) = self.expiries.pop_first()
        {
            self.origins.remove(&dropped);
        }
        let expires_at = now.plus(retention.min(MAX_RETENTION));
        let origin = origin.clone();
        self.expiries.insert((expires_at, stream.clone()));
        let kept = KeptOrigin { origin, expires_at };
        self.origins.insert(stream.clone(), kept);
    }

    /// Returns the origin of a stream, if it is known and has not expired.
    #[must_use]
    pub fn find(&self, stream: &TurnId, now: Timestamp) -> Option<&StreamOrigin> {
        let kept = self.origins.get(stream);
        let kept = kept.filter(|kept| kept.expires_at > now);
        kept.map(|kept| &kept.origin)
    }

    /// Returns the number of origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns true if there are no origins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Drops the origins that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((expires_at, _)) = self.expiries.first()
            && *expires_at <= now
            && let Some((_, expired)) = self.expiries.pop_first()
        {
            self.origins.remove(&expired);
        }
    }
}
