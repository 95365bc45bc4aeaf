//! What a gateway has learned of its routes' waits.

use crate::moves::{ExtraSends, FEW_UNUSUAL, QUICKEST_SHARE, USUAL_SHARE, WaitQuantiles};
use crate::usual::Usual;
use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Requests of a route that may move, of all: more than the share of replicas that misbehave at
/// once, and far fewer than would move if all were slow.
const MOVED_SHARE: f64 = 0.15;

/// Requests that go to a second replica early, of all.
const HEDGED_SHARE: f64 = 0.05;

/// Share of waits at sound replicas that are given up.
const SOUND_VAIN: f64 = 0.01;

/// Weight of a new wait in the share of unusual ones: about twenty count, so that it changes
/// within moments of a burst.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Waits of all routes.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    routes: HashMap<String, RouteWaits>,
}

/// Waits of one route.
#[derive(Clone, Debug)]
pub struct RouteWaits {
    first_events: Usual,
    /// Waits for first events that were given up.
    vain: Usual,
    pauses: Usual,
    answers: Usual,
    /// Share of the latest waits for first events that were unusual.
    outlier_ratio: f64,
    /// Moves that the route's requests have earned.
    pub moves: ExtraSends,
    /// Early second sends that the route's requests have earned.
    pub hedges: ExtraSends,
}

impl Default for RouteWaits {
    fn default() -> Self {
        Self {
            first_events: Usual::default(),
            vain: Usual::default(),
            pauses: Usual::default(),
            answers: Usual::default(),
            outlier_ratio: 0.0,
            moves: ExtraSends::new(MOVED_SHARE),
            hedges: ExtraSends::new(HEDGED_SHARE),
        }
    }
}

impl Waits {
    /// Those of a route.
    pub fn route(&mut self, route: &Route) -> &mut RouteWaits {
        self.routes.entry(route.name.clone()).or_default()
    }

    /// Forgets routes that are not in force any more.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }
}

impl RouteWaits {
    /// Notes the time from a send to the first event. `aim` stands for what is usual while too
    /// few are known.
    pub fn note_first_event(&mut self, wait: Duration, aim: Duration, now: Timestamp) {
        let is_unusual = self.first_event(aim, now).is_exceeded_by(wait);
        self.count_unusual(is_unusual);
        self.first_events.note(wait, now);
    }

    /// Notes the time from a send until nobody waited for its first event any more.
    pub fn note_abandoned(&mut self, wait: Duration, now: Timestamp) {
        self.count_unusual(true);
        self.vain.note(wait, now);
    }

    /// Share of the latest waits for first events that were unusual.
    #[must_use]
    pub fn outlier_ratio(&self) -> f64 {
        self.outlier_ratio
    }

    fn count_unusual(&mut self, is_unusual: bool) {
        let sample = f64::from(u8::from(is_unusual));
        self.outlier_ratio += SAMPLE_WEIGHT * (sample - self.outlier_ratio);
    }

    /// Notes a pause between two events.
    pub fn note_pause(&mut self, pause: Duration, now: Timestamp) {
        self.pauses.note(pause, now);
    }

    /// Notes the time from a send to a whole answer, or until nobody waited for it any more.
    pub fn note_answer(&mut self, wait: Duration, now: Timestamp) {
        self.answers.note(wait, now);
    }

    /// What waits for first events are like. `aim` stands for them while too few are known.
    #[must_use]
    pub fn first_event(&self, aim: Duration, now: Timestamp) -> WaitQuantiles {
        let median = self.sound_quantile(0.5, now);
        let usual = self.sound_quantile(USUAL_SHARE, now);
        match (median, usual) {
            (Some(median), Some(usual)) => WaitQuantiles { median, p90: usual },
            _ => WaitQuantiles::expected(aim),
        }
    }

    /// A quantile of the first events of replicas that are well. Waits given up are put down to
    /// the others while they are few, except for as many as sound replicas bring about: were
    /// those left out too, waits would look shorter and shorter. When they are many, all replicas
    /// are slow, and they count like the rest.
    fn sound_quantile(&self, share: f64, now: Timestamp) -> Option<Duration> {
        let (answered, vain) = (self.first_events.weight(now), self.vain.weight(now));
        if vain > FEW_UNUSUAL * (vain + answered) {
            return self.first_events.with(&self.vain, now).quantile(share, now);
        }
        let sound = answered + vain.min(SOUND_VAIN * answered);
        let share = share * sound / answered.max(f64::MIN_POSITIVE);
        self.first_events.quantile(share, now)
    }

    /// What the quickest first events take, once enough are known.
    #[must_use]
    pub fn fastest_first_event(&self, now: Timestamp) -> Option<Duration> {
        self.first_events.quantile(QUICKEST_SHARE, now)
    }

    /// Half of the pauses between events do not exceed it.
    #[must_use]
    pub fn median_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(0.5, now)
    }

    /// A usual pause between events.
    #[must_use]
    pub fn p90_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(USUAL_SHARE, now)
    }

    /// A usual time to a whole answer.
    #[must_use]
    pub fn p90_answer_time(&self, now: Timestamp) -> Option<Duration> {
        self.answers.quantile(USUAL_SHARE, now)
    }
}
