//! How many of a zone's replicas of a service get work.
//!
//! A fleet may be used to one or two in a hundred. Spread over all of it, every program begins at
//! a replica that has never read the parts that all prompts share, and every request needs a
//! connection of its own. So programs begin at, and requests go to, only so many replicas as the
//! load needs, with room to spare, the same ones at all gateways of the zone.

use luglink_fleet::DecayingPeak;
use luglink_types::Timestamp;
use std::time::Duration;

/// Places that the replicas have for each request under way. Sub-agents start together, and a
/// batch grows slower with each request in it; a quarter full, a replica takes five of them and
/// still reads prompts beside.
const HEADROOM: f64 = 4.0;

/// Replicas that get work however low the load is: so many that the loss of some, or a burst before
/// the gateways have told each other of it, leaves enough.
const LEAST: usize = 16;

/// Time in which half of the replicas that are not needed any more cease to get new programs:
/// longer than most programs take, so that they end where they began.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Factor by which the set grows when its replicas are found busy.
const GROWTH: f64 = 1.5;

/// The number of a zone's replicas that get work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkingSet(DecayingPeak);

impl WorkingSet {
    /// Takes what is under way in the zone. `slots` is the number of requests that one replica
    /// works on at once.
    pub(super) fn follow(&mut self, in_flight: f64, slots: u32, now: Timestamp) {
        let need = in_flight * HEADROOM / f64::from(slots.max(1));
        self.0.follow(need, HALF_LIFE, now);
    }

    /// Grows at once.
    pub(super) fn grow_working_set(&mut self) {
        self.0.grow_to(self.size() as f64 * GROWTH);
    }

    pub(super) fn size(&self) -> usize {
        (self.0.size().ceil() as usize).max(LEAST)
    }
}
