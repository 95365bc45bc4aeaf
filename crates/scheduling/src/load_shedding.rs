//! Admission of new programs by the delay of a route's first events.
//!
//! Only complete programs are useful. If engines get more work than they can do, all programs delay
//! each other, and most end late or not at all after much work was spent on them. Some of the new
//! programs are therefore refused before any work, and the admitted ones are not affected. Each
//! route is judged separately: engines serve the more urgent ones first, so the less urgent ones
//! are late first. A program's draw depends on its name. A refused program stays refused on each
//! attempt and at each gateway until the load has fallen, so that frequent retries give no
//! advantage.
//!
//! Each gateway decides by the delays that it observes itself; nothing is exchanged.

use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Interval between two adjustments of the admitted share.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);

/// Factor on the admitted share after an interval in which too many first events were late.
const DECREASE_FACTOR: f64 = 0.9;

/// Increase of the admitted share after an interval in which few first events were late.
const INCREASE_STEP: f64 = 0.1;

/// Minimum admitted share, so that no route is shut out completely.
const MIN_ADMITTED_SHARE: f64 = 0.3;

/// Ratio of late first events above which there are too many programs. The mean delay is no
/// measure: a few very long waits would hide that most are in time.
const HIGH_LATE_RATIO: f64 = 0.5;

/// Ratio of late first events below which more programs can be admitted.
const LOW_LATE_RATIO: f64 = 0.3;

/// Weight of a new first event in the ratio of late ones.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Time after which the observed delays are stale.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Maximum retry delay of a refused program. The load may fall sooner than the admitted share
/// rises.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Decision on whether a new program may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShedDecision {
    /// The program may start.
    Admit,
    /// The program is refused in favour of those that have started.
    Refuse {
        /// Time after which it is likely to be admitted.
        retry_delay: Duration,
        /// Share of the route's new programs that is admitted now.
        share: f64,
        /// Ratio of late first events that caused the refusal.
        late: f64,
    },
}

/// Admission control that limits the new programs of each route to what its engines can serve.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    routes: HashMap<String, RouteLoad>,
}

/// Load of one route.
#[derive(Clone, Copy, Debug)]
struct RouteLoad {
    /// Recent ratio of late first events.
    late: f64,
    sampled_at: Timestamp,
    /// Share of new programs that is admitted.
    share: f64,
    adjusted_at: Timestamp,
}

impl LoadShedder {
    /// Records how long a request waited for its first event, or how long it had waited without one
    /// when it ended.
    pub fn note_delay(&mut self, route: &Route, delay: Duration, now: Timestamp) {
        let is_late = delay > route.target_latency();
        let load = self.load(route, now);
        let sample = f64::from(u8::from(is_late));
        load.late += SAMPLE_WEIGHT * (sample - load.late);
        load.sampled_at = now;
    }

    /// Decides whether a program may start. `draw` identifies the program; equal draws get equal
    /// decisions.
    pub fn admit(&mut self, route: &Route, draw: u64, now: Timestamp) -> ShedDecision {
        let load = self.load(route, now);
        // The upper half of the draw as a number from 0 to 1.
        let unit_draw = (draw >> 32) as f64 / f64::from(u32::MAX);
        if unit_draw <= load.share {
            return ShedDecision::Admit;
        }
        let intervals = ((unit_draw - load.share) / INCREASE_STEP).ceil().max(1.0);
        ShedDecision::Refuse {
            retry_delay: ADJUST_INTERVAL.mul_f64(intervals).min(MAX_RETRY_DELAY),
            share: load.share,
            late: load.late,
        }
    }

    /// Removes routes that are no longer configured.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }

    fn load(&mut self, route: &Route, now: Timestamp) -> &mut RouteLoad {
        let load = self.routes.entry(route.name.clone()).or_insert(RouteLoad {
            late: 0.0,
            sampled_at: now,
            share: 1.0,
            adjusted_at: now,
        });
        load.adjust(now);
        load
    }
}

impl RouteLoad {
    /// Adjusts the admitted share by the latest delays, at most once per call, so that a long time
    /// without requests does not count as many late intervals.
    fn adjust(&mut self, now: Timestamp) {
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        if now.since(self.sampled_at) >= STALE_AFTER {
            self.late = 0.0;
            self.sampled_at = now;
        }
        if self.late > HIGH_LATE_RATIO {
            self.share = (self.share * DECREASE_FACTOR).max(MIN_ADMITTED_SHARE);
        } else if self.late < LOW_LATE_RATIO {
            self.share = (self.share + INCREASE_STEP).min(1.0);
        }
    }
}
