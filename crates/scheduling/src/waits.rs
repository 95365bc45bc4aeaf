//! Waits that a gateway has observed on its routes.

use crate::moves::{ExtraSends, FEW_UNUSUAL, QUICKEST_SHARE, USUAL_SHARE, WaitQuantiles};
use crate::usual::Usual;
use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum ratio of a route's requests that may move: more than the share of replicas that
/// misbehave at once, and far fewer than would move if all were slow.
const MOVED_SHARE: f64 = 0.15;

/// Maximum ratio of requests that are hedged early.
const HEDGED_SHARE: f64 = 0.05;

/// Ratio of waits at healthy replicas that are abandoned.
const SOUND_VAIN: f64 = 0.01;

/// Weight of a new wait in the ratio of outliers. The average covers about twenty waits, so that it
/// changes within moments of a burst.
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
    /// Waits for first events that were abandoned.
    vain: Usual,
    pauses: Usual,
    answers: Usual,
    /// Ratio of outliers in the latest waits for first events.
    outlier_ratio: f64,
    /// Budget for moves of the route's requests.
    pub moves: ExtraSends,
    /// Budget for early hedges of the route's requests.
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
    /// Returns the waits of a route.
    pub fn route(&mut self, route: &Route) -> &mut RouteWaits {
        self.routes.entry(route.name.clone()).or_default()
    }

    /// Removes routes that are no longer configured.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.routes.retain(|name, _| names.contains(name.as_str()));
    }
}

impl RouteWaits {
    /// Records the time from a send to the first event. The distribution is derived from the
    /// latency `target` while too few waits are known.
    pub fn note_first_event(&mut self, wait: Duration, aim: Duration, now: Timestamp) {
        let is_unusual = self.first_event(aim, now).is_exceeded_by(wait);
        self.count_unusual(is_unusual);
        self.first_events.note(wait, now);
    }

    /// Records the time from a send until its first event was no longer awaited.
    pub fn note_abandoned(&mut self, wait: Duration, now: Timestamp) {
        self.count_unusual(true);
        self.vain.note(wait, now);
    }

    /// Returns the ratio of outliers in the latest waits for first events.
    #[must_use]
    pub fn outlier_ratio(&self) -> f64 {
        self.outlier_ratio
    }

    fn count_unusual(&mut self, is_unusual: bool) {
        let sample = f64::from(u8::from(is_unusual));
        self.outlier_ratio += SAMPLE_WEIGHT * (sample - self.outlier_ratio);
    }

    /// Records a pause between two events.
    pub fn note_pause(&mut self, pause: Duration, now: Timestamp) {
        self.pauses.note(pause, now);
    }

    /// Records the time from a send to the complete answer, or until it was no longer awaited.
    pub fn note_answer(&mut self, wait: Duration, now: Timestamp) {
        self.answers.note(wait, now);
    }

    /// Returns the distribution of the waits for first events. It is derived from the latency
    /// `target` while too few waits are known.
    #[must_use]
    pub fn first_event(&self, aim: Duration, now: Timestamp) -> WaitQuantiles {
        let median = self.sound_quantile(0.5, now);
        let usual = self.sound_quantile(USUAL_SHARE, now);
        match (median, usual) {
            (Some(median), Some(usual)) => WaitQuantiles { median, usual },
            _ => WaitQuantiles::expected(aim),
        }
    }

    /// Returns a quantile of the first events of healthy replicas. While few waits are abandoned,
    /// they are attributed to other replicas, except for as many as healthy replicas cause: if
    /// those were left out too, waits would look shorter and shorter. If many are abandoned, all
    /// replicas are slow, and these waits count like the rest.
    fn sound_quantile(&self, share: f64, now: Timestamp) -> Option<Duration> {
        let (answered, vain) = (self.first_events.weight(now), self.vain.weight(now));
        if vain > FEW_UNUSUAL * (vain + answered) {
            return self.first_events.with(&self.vain, now).quantile(share, now);
        }
        let sound = answered + vain.min(SOUND_VAIN * answered);
        let share = share * sound / answered.max(f64::MIN_POSITIVE);
        self.first_events.quantile(share, now)
    }

    /// Returns the time of the fastest first events, once enough are known.
    #[must_use]
    pub fn quickest_first_event(&self, now: Timestamp) -> Option<Duration> {
        self.first_events.quantile(QUICKEST_SHARE, now)
    }

    /// Returns the median pause between events.
    #[must_use]
    pub fn median_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(0.5, now)
    }

    /// Returns the 90th percentile of the pauses between events.
    #[must_use]
    pub fn p90_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(USUAL_SHARE, now)
    }

    /// Returns the 90th percentile of the times to a complete answer.
    #[must_use]
    pub fn p90_answer_time(&self, now: Timestamp) -> Option<Duration> {
        self.answers.quantile(USUAL_SHARE, now)
    }
}
