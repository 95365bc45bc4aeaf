//! Which new programs are let in while a route's first events come late.
//!
//! Only whole programs count. When engines are given more than they can do, every program takes
//! turns from every other one, and most of them end late or not at all, after much work was done
//! for them. So some of the new programs are refused at once, before any work, and those that
//! were let in are left alone. Each route is judged by itself: engines serve the more urgent ones
//! first, so the less urgent ones are late first. A program's place is drawn from its name:
//! whoever is refused stays refused on each try and at each gateway, until the load has fallen,
//! rather than being let in by trying often.
//!
//! Each gateway decides by the delays that it sees itself; nothing is exchanged.

use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Time between two changes of what is let in.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);

/// What is left of the share of new programs that is let in, after each interval in which too
/// many first events came late.
const DECREASE: f64 = 0.9;

/// What that share gains in each interval in which few came late.
const INCREASE: f64 = 0.1;

/// Smallest share: no kind of program is shut out altogether.
const SMALLEST_SHARE: f64 = 0.3;

/// Share of late first events above which there are too many programs. Not their average delay:
/// few that wait very long would hide that most are in time.
const TOO_MANY_LATE: f64 = 0.5;

/// Share of late first events below which there is room for more programs.
const FEW_LATE: f64 = 0.3;

/// Weight of a new first event in the share of late ones.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Time after which what was seen says nothing about the present any more.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Longest time after which a refused program is told to come back. Load may fall sooner than
/// the share alone would let it in.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Whether a new program is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShedDecision {
    /// It may begin.
    Admit,
    /// It is refused for the sake of those that have begun.
    Refuse {
        /// When it is likely to be let in.
        retry_delay: Duration,
        /// Share of the route's new programs that is let in now.
        share: f64,
        /// Share of late first events that this goes back to.
        late: f64,
    },
}

/// Lets in as many new programs of each route as its engines can take.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    routes: HashMap<String, RouteLoad>,
}

/// What is known of a route.
#[derive(Clone, Copy, Debug)]
struct RouteLoad {
    /// Share of late first events, lately.
    late: f64,
    sampled_at: Timestamp,
    /// Share of new programs that is let in.
    share: f64,
    adjusted_at: Timestamp,
}

impl LoadShedder {
    /// Notes how long a request of a route waited for its first event, or how long it had waited
    /// in vain when it ended.
    pub fn note_delay(&mut self, route: &Route, delay: Duration, now: Timestamp) {
        let is_late = delay > route.target_latency();
        let load = self.load(route, now);
        let sample = f64::from(u8::from(is_late));
        load.late += SAMPLE_WEIGHT * (sample - load.late);
        load.sampled_at = now;
    }

    /// Whether a program that has not begun yet may begin. `draw` stands for the program; equal
    /// draws are treated alike.
    pub fn admit(&mut self, route: &Route, draw: u64, now: Timestamp) -> ShedDecision {
        let load = self.load(route, now);
        // The upper half of the draw as a number from 0 to 1.
        let place = (draw >> 32) as f64 / f64::from(u32::MAX);
        if place <= load.share {
            return ShedDecision::Admit;
        }
        let intervals = ((place - load.share) / INCREASE).ceil().max(1.0);
        ShedDecision::Refuse {
            retry_delay: ADJUST_INTERVAL.mul_f64(intervals).min(LONGEST_PAUSE),
            share: load.share,
            late: load.late,
        }
    }

    /// Forgets routes that are not in force any more.
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
    /// Changes the share by what was seen since the last change; at most once for each call, so
    /// that a long silence does not count as many intervals of lateness.
    fn adjust(&mut self, now: Timestamp) {
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        self.adjusted_at = now;
        if now.since(self.sampled_at) >= STALE_AFTER {
            self.late = 0.0;
            self.sampled_at = now;
        }
        if self.late > TOO_MANY_LATE {
            self.share = (self.share * DECREASE).max(SMALLEST_SHARE);
        } else if self.late < FEW_LATE {
            self.share = (self.share + INCREASE).min(1.0);
        }
    }
}
