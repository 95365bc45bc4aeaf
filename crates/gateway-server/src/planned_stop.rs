//! Requests that come while the gateway is stopped as planned.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use luglink_scheduling::can_end;
use luglink_telemetry::milliseconds;
use std::time::{Duration, Instant};

/// Refuses a request that cannot be expected to end before the gateway's process does. Its caller can still
/// be served elsewhere, whereas its response would be cut here. `runs` is the number of replicas that
/// may have run it.
pub(crate) fn refuse_late(
    gateway: &Gateway,
    inbound: &InboundRequest,
    runs: u32,
) -> Result<(), Refusal> {
    let Some(stops_at) = gateway.stops_at.get() else {
        return Ok(());
    };
    let now = Instant::now();
    let left = stops_at.saturating_duration_since(now);
    let allowed = inbound.deadline.saturating_duration_since(now);
    let longest = gateway.run_times.borrow().longest(&inbound.route.name);
    if can_end(left, allowed, longest) {
        return Ok(());
    }
    tracing::info!(
        id = inbound.id,
        route = inbound.route.name,
        left_ms = milliseconds(left),
        allowed_ms = milliseconds(allowed),
        longest_ms = longest.map(milliseconds),
        runs,
        "request cannot end before the gateway stops"
    );
    Err(match runs {
        0 => Refusal::not_run_retry_after("the gateway is about to stop", Duration::ZERO),
        _ => Refusal::uncertain("the response was lost and the gateway is about to stop"),
    })
}
