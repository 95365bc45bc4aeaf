//! Number of a zone's replicas of a service that get work.
//!
//! The utilization of a fleet may be one or two percent. With the load spread over all of it, every
//! program would start at a replica that has never read the parts that all prompts share, and every
//! request would need a connection of its own. Programs therefore start at, and requests go to,
//! only as many replicas as the load needs, with spare capacity. The replicas are the same at all
//! gateways of the zone.

use luglink_fleet::DecayingPeak;
use luglink_types::Timestamp;
use std::time::Duration;

/// Slots that are provided for each request in flight. Sub-agents start together, and each request
/// slows its batch down. A replica that is a quarter full can take five of them and still read
/// prompts.
const SLOTS_PER_REQUEST: f64 = 4.0;

/// Minimum number of replicas that get work: the loss of some, or a burst before the gateways have
/// informed each other, must leave enough.
const MIN_REPLICAS: usize = 16;

/// Time in which half of the replicas that are no longer needed cease to get new programs: longer
/// than most programs take, so that they end where they started.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Factor by which the set grows if its replicas are busy.
const GROWTH_FACTOR: f64 = 1.5;

/// Number of a zone's replicas that get work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkingSet(DecayingPeak);

impl WorkingSet {
    /// Updates the size by the requests in flight in the zone. `slots` is the number of requests
    /// that one replica serves concurrently.
    pub(super) fn follow(&mut self, in_flight: f64, slots: u32, now: Timestamp) {
        let need = in_flight * SLOTS_PER_REQUEST / f64::from(slots.max(1));
        self.0.follow(need, HALF_LIFE, now);
    }

    /// Grows the set by the growth factor.
    pub(super) fn grow(&mut self) {
        self.0.grow_to(self.size() as f64 * GROWTH_FACTOR);
    }

    pub(super) fn size(&self) -> usize {
        (self.0.size().ceil() as usize).max(MIN_REPLICAS)
    }
}
