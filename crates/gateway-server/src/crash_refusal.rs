//! Refusals of requests under which replicas have ended or may have.

use crate::crash_look_up::LookUp;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::knowledge::Knowledge;
use crate::refusal::Refusal;
use crate::request_steps::RequestStep;
use luglink_telemetry::milliseconds;
use luglink_turns::{CRASH_RETENTION, MAX_CRASHES, RequestFingerprint};
use std::rc::Rc;
use std::time::Duration;

/// Retry delay of a request that other runs keep waiting, within which doubts are settled.
const ANNOUNCED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay of a request that the gateway refuses because no holder answers it. Other gateways may
/// reach one.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Refuses a request under which too many replicas have ended, or if no holder of reports answers.
pub(crate) async fn refuse_crashing(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<(), Refusal> {
    inbound.watch.steps.enter(RequestStep::CrashLookUp);
    let request = inbound.fingerprint;
    let looked_up =
        LookUp::begin_when_answered(gateway, request, &inbound.watch.look_up_wait).await;
    if looked_up.knowledge == Knowledge::None {
        return Err(unanswered_refusal(gateway, inbound));
    }
    let crashes = gateway.crashes_under(inbound.fingerprint);
    if crashes < MAX_CRASHES {
        return Ok(());
    }
    gateway.adopt_doubts(inbound.fingerprint);
    Err(refusal(gateway, inbound, crashes))
}

fn unanswered_refusal(gateway: &Gateway, inbound: &InboundRequest) -> Refusal {
    let unanswered_for = gateway.crashes.borrow().unanswered_for();
    gateway.metrics.unanswered_requests.inc();
    tracing::warn!(
        id = inbound.id,
        request = %inbound.fingerprint,
        route = inbound.route.name,
        unanswered_for_ms = unanswered_for.map(milliseconds),
        retry_after_ms = milliseconds(UNANSWERED_RETRY_AFTER),
        "request refused: no holder of crash reports answers"
    );
    let detail = "neither turn stores nor control members answer at the moment";
    Refusal::not_run_retry_after(detail, UNANSWERED_RETRY_AFTER)
}

/// Returns the refusal of a request that has not run in this attempt and may not run now.
pub(crate) fn refusal(gateway: &Gateway, inbound: &InboundRequest, crashes: usize) -> Refusal {
    if crashes < MAX_CRASHES || gateway.may_settle_below_limit(inbound.fingerprint) {
        let settles_in = gateway.doubts_settle_in(inbound.fingerprint);
        let retry_delay = settles_in.unwrap_or_default().max(ANNOUNCED_RETRY_DELAY);
        gateway.metrics.doubtful_requests.inc();
        tracing::info!(
            id = inbound.id,
            request = %inbound.fingerprint,
            route = inbound.route.name,
            crashes,
            retry_after_ms = milliseconds(retry_delay),
            "request refused: replicas may have ended while they ran it"
        );
        let detail = "other attempts of the request must end first";
        return Refusal::not_run_retry_after(detail, retry_delay);
    }
    let expires_at = gateway
        .crashes
        .borrow()
        .table
        .expires_at(inbound.fingerprint);
    let left = expires_at.map_or(CRASH_RETENTION, |at| at.since(gateway.now()));
    gateway.metrics.crashing_requests.inc();
    tracing::warn!(
        id = inbound.id,
        request = %inbound.fingerprint,
        route = inbound.route.name,
        crashes,
        retry_after_ms = milliseconds(left),
        "request refused: replicas ended while they ran it"
    );
    Refusal::not_run_retry_after("replicas ended while they ran the request", left)
}

impl Gateway {
    /// Returns the time until enough doubts about a request are due to be settled here.
    fn doubts_settle_in(&self, request: RequestFingerprint) -> Option<Duration> {
        let needed = (self.possible_crashes(request, None) + 1).saturating_sub(MAX_CRASHES);
        self.crashes.borrow().doubtful.settles_in(request, needed)
    }

    /// Returns true if the crashes under a request may yet turn out to be fewer than the limit.
    fn may_settle_below_limit(&self, request: RequestFingerprint) -> bool {
        let crashes = self.crashes.borrow();
        let is_confirmed = crashes.table.confirmed_crashes(request) >= MAX_CRASHES;
        !is_confirmed && crashes.doubtful.has_any_of(request)
    }
}
