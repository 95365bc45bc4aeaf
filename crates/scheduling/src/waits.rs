//! Waits that a gateway has observed on its routes.

use crate::moves::{ExtraSendBudget, FASTEST_QUANTILE, MAX_OUTLIER_RATIO, P90, WaitQuantiles};
use crate::wait_histogram::WaitHistogram;
use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum ratio of a route's requests that may move: more than the share of replicas that
/// misbehave at once, and far fewer than would move if all were slow.
const MAX_MOVE_RATIO: f64 = 0.15;

/// Maximum ratio of requests that are hedged early.
const MAX_HEDGE_RATIO: f64 = 0.05;

/// Ratio of waits at healthy replicas that are abandoned.
const HEALTHY_ABANDON_RATIO: f64 = 0.01;

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
    first_events: WaitHistogram,
    /// Waits for first events that were abandoned.
    abandoned: WaitHistogram,
    pauses: WaitHistogram,
    answers: WaitHistogram,
    /// Ratio of outliers in the latest waits for first events.
    outlier_ratio: f64,
    /// Budget for moves of the route's requests.
    pub moves: ExtraSendBudget,
    /// Budget for early hedges of the route's requests.
    pub hedges: ExtraSendBudget,
}

impl Default for RouteWaits {
    fn default() -> Self {
        Self {
            first_events: WaitHistogram::default(),
            abandoned: WaitHistogram::default(),
            pauses: WaitHistogram::default(),
            answers: WaitHistogram::default(),
            outlier_ratio: 0.0,
            moves: ExtraSendBudget::new(MAX_MOVE_RATIO),
            hedges: ExtraSendBudget::new(MAX_HEDGE_RATIO),
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
    pub fn note_first_event(&mut self, wait: Duration, target: Duration, now: Timestamp) {
        let is_outlier = self.first_event(target, now).is_outlier(wait);
        self.update_outlier_ratio(is_outlier);
        self.first_events.note(wait, now);
    }

    /// Records the time from a send until its first event was no longer awaited.
    pub fn note_abandoned(&mut self, wait: Duration, now: Timestamp) {
        self.update_outlier_ratio(true);
        self.abandoned.note(wait, now);
    }

    /// Returns the ratio of outliers in the latest waits for first events.
    #[must_use]
    pub fn outlier_ratio(&self) -> f64 {
        self.outlier_ratio
    }

    fn update_outlier_ratio(&mut self, is_outlier: bool) {
        let sample = f64::from(u8::from(is_outlier));
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
    pub fn first_event(&self, target: Duration, now: Timestamp) -> WaitQuantiles {
        let median = self.healthy_quantile(0.5, now);
        let p90 = self.healthy_quantile(P90, now);
        match (median, p90) {
            (Some(median), Some(p90)) => WaitQuantiles { median, p90 },
            _ => WaitQuantiles::expected(target),
        }
    }

    /// Returns a quantile of the first events of healthy replicas. While few waits are abandoned,
    /// they are attributed to unhealthy replicas, except for as many as healthy replicas cause: if
    /// those were left out too, the quantile would fall further and further. If many are abandoned,
    /// all replicas are slow, and these waits count like the rest.
    fn healthy_quantile(&self, share: f64, now: Timestamp) -> Option<Duration> {
        let (answered, abandoned) = (self.first_events.weight(now), self.abandoned.weight(now));
        if abandoned > MAX_OUTLIER_RATIO * (abandoned + answered) {
            return self
                .first_events
                .merged(&self.abandoned, now)
                .quantile(share, now);
        }
        let healthy_weight = answered + abandoned.min(HEALTHY_ABANDON_RATIO * answered);
        let share = share * healthy_weight / answered.max(f64::MIN_POSITIVE);
        self.first_events.quantile(share, now)
    }

    /// Returns the time of the fastest first events, once enough are known.
    #[must_use]
    pub fn fastest_first_event(&self, now: Timestamp) -> Option<Duration> {
        self.first_events.quantile(FASTEST_QUANTILE, now)
    }

    /// Returns the median pause between events.
    #[must_use]
    pub fn median_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(0.5, now)
    }

    /// Returns the 90th percentile of the pauses between events.
    #[must_use]
    pub fn p90_pause(&self, now: Timestamp) -> Option<Duration> {
        self.pauses.quantile(P90, now)
    }

    /// Returns the 90th percentile of the times to a complete answer.
    #[must_use]
    pub fn p90_answer_time(&self, now: Timestamp) -> Option<Duration> {
        self.answers.quantile(P90, now)
    }
}
