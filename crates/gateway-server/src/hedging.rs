//! Hedging of unary requests: when a request is also sent to a second replica.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use luglink_edge::RouteKind;
use luglink_fleet::Backend;
use luglink_scheduling::hedge_after;
use luglink_telemetry::milliseconds;
use std::time::Duration;

/// Multiple of a route's target latency after which a request is hedged at the latest.
const MAX_HEDGE_DELAY_RATIO: f64 = 1.5;

/// Hedging state of one request.
#[derive(Debug)]
pub(crate) struct Hedging {
    /// Delay of an early hedge, set while one may still be sent before the maximum delay.
    early_delay: Option<Duration>,
    /// Time already waited for an early hedge that the budget did not allow.
    waited: Duration,
    /// True if early hedging is on. The request's response time is then recorded for later requests.
    uses_learned_delay: bool,
}

impl Hedging {
    pub(crate) fn begin(gateway: &Gateway, inbound: &InboundRequest) -> Self {
        let max_delay = max_hedge_delay(inbound);
        let in_force = gateway.in_force.borrow();
        let uses_learned_delay = inbound.route.kind == RouteKind::Safe
            && in_force.as_ref().is_some_and(|in_force| {
                let features = &gateway.config.features;
                features.early_hedge(&in_force.configuration)
            });
        let early = uses_learned_delay.then(|| early_hedge_delay(gateway, inbound, max_delay));
        Self {
            early_delay: early.filter(|early| *early < max_delay),
            waited: Duration::ZERO,
            uses_learned_delay,
        }
    }

    /// Returns the delay until the request should be hedged.
    pub(crate) fn delay(&self, inbound: &InboundRequest) -> Duration {
        let max_delay = max_hedge_delay(inbound).saturating_sub(self.waited);
        self.early_delay.unwrap_or(max_delay)
    }

    /// Returns true if the request may be hedged now that the delay has passed. An early hedge
    /// that the budget does not allow is postponed to the maximum delay.
    pub(crate) fn try_hedge(&mut self, gateway: &Gateway, inbound: &InboundRequest) -> bool {
        let Some(early) = self.early_delay else {
            return true;
        };
        let mut waits = gateway.waits.borrow_mut();
        let is_taken = waits.route(&inbound.route).hedges.spend();
        if !is_taken {
            self.early_delay = None;
            self.waited = early;
        }
        is_taken
    }

    pub(crate) fn note_hedge(&self, gateway: &Gateway, inbound: &InboundRequest, to: &Backend) {
        let when = if self.early_delay.is_some() {
            "early"
        } else {
            "late"
        };
        gateway.metrics.hedges.with_label_values(&[when]).inc();
        tracing::info!(
            id = inbound.id,
            replica = %to.id,
            when,
            after_ms = milliseconds(self.delay(inbound)),
            "request hedged to a second replica"
        );
    }

    /// Records the time to the response that the caller receives.
    pub(crate) fn note_answer(&self, gateway: &Gateway, inbound: &InboundRequest, wait: Duration) {
        if self.uses_learned_delay {
            let mut waits = gateway.waits.borrow_mut();
            let waits = waits.route(&inbound.route);
            waits.note_answer(wait, gateway.now());
        }
    }
}

/// Returns the delay after which a repeatable request is hedged regardless of the budget.
fn max_hedge_delay(inbound: &InboundRequest) -> Duration {
    let expected = inbound
        .route
        .target_latency()
        .mul_f64(MAX_HEDGE_DELAY_RATIO);
    expected.min(inbound.remaining() / 3)
}

/// Adds to the route's hedging budget and returns the learned delay, at most `max_delay`.
fn early_hedge_delay(gateway: &Gateway, inbound: &InboundRequest, max_delay: Duration) -> Duration {
    let mut waits = gateway.waits.borrow_mut();
    let waits = waits.route(&inbound.route);
    waits.hedges.earn();
    hedge_after(waits.p90_answer_time(gateway.now()), max_delay)
}
