//! When a request with one whole answer goes to a second replica too.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use luglink_edge::RouteKind;
use luglink_fleet::Backend;
use luglink_scheduling::hedge_after;
use luglink_telemetry::milliseconds;
use std::time::Duration;

/// Times the latency that a route aims at after which a replica counts as stuck.
const HEDGE_FACTOR: f64 = 1.5;

/// The second send of one request.
#[derive(Debug)]
pub(crate) struct Hedging {
    /// Set while the request may be sent again before the latest time.
    early: Option<Duration>,
    /// Time for which it has waited for an early one that was not granted.
    spent: Duration,
    /// Whether its wait is noted for those that come after it.
    is_learned: bool,
}

impl Hedging {
    pub(crate) fn begin(gateway: &Gateway, inbound: &InboundRequest) -> Self {
        let latest = latest_hedge(inbound);
        let in_force = gateway.in_force.borrow();
        let is_learned = inbound.route.kind == RouteKind::Safe
            && in_force.as_ref().is_some_and(|in_force| {
                let features = &gateway.config.features;
                features.early_hedge(&in_force.configuration)
            });
        let early = is_learned.then(|| early_hedge(gateway, inbound, latest));
        Self {
            early: early.filter(|early| *early < latest),
            spent: Duration::ZERO,
            is_learned,
        }
    }

    /// Time until the second send is due.
    pub(crate) fn pause(&self, inbound: &InboundRequest) -> Duration {
        let latest = latest_hedge(inbound).saturating_sub(self.spent);
        self.early.unwrap_or(latest)
    }

    /// Whether the request is sent again, now that it is due. If it is not, it is due once more
    /// at the latest time.
    pub(crate) fn take(&mut self, gateway: &Gateway, inbound: &InboundRequest) -> bool {
        let Some(early) = self.early else {
            return true;
        };
        let mut waits = gateway.waits.borrow_mut();
        let is_taken = waits.route(&inbound.route).hedges.spend();
        if !is_taken {
            self.early = None;
            self.spent = early;
        }
        is_taken
    }

    pub(crate) fn note_hedge(&self, gateway: &Gateway, inbound: &InboundRequest, to: &Backend) {
        let when = if self.early.is_some() {
            "early"
        } else {
            "late"
        };
        gateway.metrics.hedges.with_label_values(&[when]).inc();
        tracing::info!(
            id = inbound.id,
            replica = %to.id,
            when,
            after_ms = milliseconds(self.pause(inbound)),
            "a request is hedged"
        );
    }

    /// Notes the time to the answer that the caller gets.
    pub(crate) fn note_answer(&self, gateway: &Gateway, inbound: &InboundRequest, wait: Duration) {
        if self.is_learned {
            let mut waits = gateway.waits.borrow_mut();
            let waits = waits.route(&inbound.route);
            waits.note_answer(wait, gateway.now());
        }
    }
}

/// Time after which a request that may be repeated goes to another replica in any case.
fn latest_hedge(inbound: &InboundRequest) -> Duration {
    let expected = inbound.route.target_latency().mul_f64(HEDGE_FACTOR);
    expected.min(inbound.remaining() / 3)
}

fn early_hedge(gateway: &Gateway, inbound: &InboundRequest, latest: Duration) -> Duration {
    let mut waits = gateway.waits.borrow_mut();
    let waits = waits.route(&inbound.route);
    waits.hedges.earn();
    hedge_after(waits.p90_answer_time(gateway.now()), latest)
}
