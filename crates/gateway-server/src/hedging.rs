//! When a request with one whole answer goes to a second replica too.

use crate::gateway::Gateway;
use crate::inbound::Inbound;
use luglink_edge::RouteKind;
use luglink_fleet::Backend;
use luglink_scheduling::hedge_after;
use luglink_telemetry::milliseconds;
use std::time::Duration;

/// Times the latency that a route aims at after which a replica counts as stuck.
const MAX_HEDGE_DELAY_RATIO: f64 = 1.5;

/// The second send of one request.
#[derive(Debug)]
pub(crate) struct Hedging {
    /// Set while the request may be sent again before the latest time.
    early_delay: Option<Duration>,
    /// Time for which it has waited for an early one that was not granted.
    waited: Duration,
    /// Whether its wait is noted for those that come after it.
    uses_learned_delay: bool,
}

impl Hedging {
    pub(crate) fn begin(gateway: &Gateway, inbound: &Inbound) -> Self {
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

    /// Time until the second send is due.
    pub(crate) fn delay(&self, inbound: &Inbound) -> Duration {
        let max_delay = max_hedge_delay(inbound).saturating_sub(self.waited);
        self.early_delay.unwrap_or(max_delay)
    }

    /// Whether the request is sent again, now that it is due. If it is not, it is due once more
    /// at the latest time.
    pub(crate) fn try_hedge(&mut self, gateway: &Gateway, inbound: &Inbound) -> bool {
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

    pub(crate) fn note_hedge(&self, gateway: &Gateway, inbound: &Inbound, to: &Backend) {
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
            "a request is hedged"
        );
    }

    /// Notes the time to the answer that the caller gets.
    pub(crate) fn note_answer(&self, gateway: &Gateway, inbound: &Inbound, wait: Duration) {
        if self.uses_learned_delay {
            let mut waits = gateway.waits.borrow_mut();
            let waits = waits.route(&inbound.route);
            waits.note_answer(wait, gateway.now());
        }
    }
}

/// Time after which a request that may be repeated goes to another replica in any case.
fn max_hedge_delay(inbound: &Inbound) -> Duration {
    let expected = inbound
        .route
        .target_latency()
        .mul_f64(MAX_HEDGE_DELAY_RATIO);
    expected.min(inbound.remaining() / 3)
}

fn early_hedge_delay(gateway: &Gateway, inbound: &Inbound, max_delay: Duration) -> Duration {
    let mut waits = gateway.waits.borrow_mut();
    let waits = waits.route(&inbound.route);
    waits.hedges.earn();
    hedge_after(waits.usual_answer(gateway.now()), max_delay)
}
