//! What has been tried for a request, and which replica is tried next.

use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use http::Response;
use luglink_edge::{Retryable, RouteKind};
use luglink_fleet::{Backend, BackendId};
use luglink_http::Body;
use luglink_scheduling::{
    Choice, ChoiceBasis, Expected, RoutingRequest, Work, capacity_retry_delay, max_capacity_wait,
};
use luglink_telemetry::milliseconds;
use std::cell::Cell;

/// How often a request is sent at the most, declined sends included.
const MAX_SENDS: usize = 12;

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<BackendId>,
    /// Replicas that may have run the request.
    pub(crate) runs: u32,
    /// Whether the request was sent to a second replica while a first one had it.
    pub(crate) has_hedged: bool,
    /// Those of `tried` that had no room for it. They have not run it, and may have room later.
    full: Vec<BackendId>,
    /// Those of `tried` from which the request was taken away.
    moved_from: Vec<BackendId>,
    /// What the request asks of an engine, where replicas are chosen by expected finish.
    pub(crate) work: Option<Work>,
    /// What was expected of the replica that was chosen last.
    pub(crate) expected: Cell<Option<Expected>>,
    /// Pauses so far in which the request waited for room.
    pauses: u32,
}

impl Attempts {
    /// For a request that must go neither to `replica` nor to those that it has moved from.
    pub(crate) fn besides(&self, replica: BackendId) -> Self {
        let mut tried = self.moved_from.clone();
        tried.push(replica);
        Self {
            tried,
            ..Self::default()
        }
    }

    /// Replicas that were tried, and the one that has the request.
    pub(crate) fn tried_and(&self, replica: &BackendId) -> Vec<BackendId> {
        let mut tried = self.tried.clone();
        tried.push(replica.clone());
        tried
    }

    /// Notes that the request was taken away from a replica that may have run it.
    pub(crate) fn note_moved(&mut self, from: &Backend) {
        self.tried.push(from.id.clone());
        self.moved_from.push(from.id.clone());
        self.runs += 1;
    }

    /// For a request that asks this of an engine.
    pub(crate) fn with_work(self, work: Option<Work>) -> Self {
        Self { work, ..self }
    }

    /// Notes a failure. Returns what to answer when the request may not be sent again.
    pub(crate) fn note(
        &mut self,
        inbound: &InboundRequest,
        backend: &Backend,
        failure: Failure,
    ) -> Result<(), Refusal> {
        if !self.tried.contains(&backend.id) {
            self.tried.push(backend.id.clone());
        }
        if failure.outcome().may_have_run() {
            self.runs += 1;
        }
        if failure.is_full() && !self.full.contains(&backend.id) {
            self.full.push(backend.id.clone());
        }
        tracing::info!(
            id = inbound.id,
            replica = %backend.id,
            reason = failure.as_str(),
            runs = self.runs,
            sends = self.tried.len(),
            left_ms = milliseconds(inbound.remaining()),
            "a send failed"
        );
        if inbound.remaining().is_zero() {
            return Err(self.out_of_time());
        }
        match failure.outcome().retryable(&inbound.route, self.runs) {
            Retryable::Yes if self.tried.len() < MAX_SENDS => Ok(()),
            Retryable::Yes => Err(self.nowhere("every replica that was tried declined")),
            Retryable::NoNotRun => Err(Refusal::not_run("the request was not run")),
            Retryable::NoMayHaveRun => Err(Refusal::uncertain("the answer was lost")),
        }
    }

    /// Whether a replica's own failure need not be the last word.
    pub(crate) fn may_do_better(
        &self,
        inbound: &InboundRequest,
        response: &Response<Body>,
    ) -> bool {
        inbound.route.kind == RouteKind::Safe
            && response.status().is_server_error()
            && self.runs + 1 < inbound.route.max_attempts
            && !inbound.remaining().is_zero()
    }

    /// Whether a second replica may get the request while `under_way` have it.
    pub(crate) fn may_hedge(&self, inbound: &InboundRequest, under_way: usize) -> bool {
        let replicas = self.runs as usize + under_way;
        inbound.route.kind == RouteKind::Safe
            && !self.has_hedged
            && replicas < inbound.route.max_attempts as usize
    }

    /// Waits a moment for room at the replicas that had none, and lets them be tried again.
    /// Returns false, without a wait, when there are none, or when the request has waited for as
    /// long as it may.
    async fn wait_for_room(&mut self, inbound: &InboundRequest) -> bool {
        let pause = capacity_retry_delay(self.pauses);
        let allowed = inbound.deadline.saturating_duration_since(inbound.arrived);
        let waited = inbound.arrived.elapsed() + pause;
        if self.full.is_empty() || waited > max_capacity_wait(allowed) {
            return false;
        }
        self.pauses += 1;
        let full = std::mem::take(&mut self.full);
        tracing::info!(
            id = inbound.id,
            full = full.len(),
            pause_ms = milliseconds(pause),
            pauses = self.pauses,
            "a request waits for room"
        );
        actix_rt::time::sleep(pause).await;
        self.tried.retain(|tried| !full.contains(tried));
        true
    }

    fn out_of_time(&self) -> Refusal {
        if self.runs == 0 {
            return Refusal::not_run("no replica took the request in time");
        }
        Refusal::too_late("no answer in time")
    }

    /// There is no replica left to try.
    pub(crate) fn nowhere(&self, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::not_run(detail);
        }
        Refusal::uncertain("the answer was lost, and no other replica is left")
    }
}

/// Chooses a replica that has not been tried.
pub(crate) fn choose(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
    cached_at: Option<&BackendId>,
) -> Result<Backend, Refusal> {
    let choice = choose_besides(gateway, inbound, attempts, &attempts.tried, cached_at)
        .ok_or_else(|| attempts.nowhere("no replica can take the request"))?;
    let basis = choice.basis.as_ref();
    attempts.expected.set(basis.map(|basis| basis.expected));
    if let Some(basis) = basis {
        log_leaving(inbound, &choice, basis);
    }
    Ok(choice.backend)
}

/// Chooses a replica that is not among `tried`; `None` when there is none.
pub(crate) fn choose_besides(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
    tried: &[BackendId],
    cached_at: Option<&BackendId>,
) -> Option<Choice> {
    let wish = RoutingRequest {
        service: &inbound.service,
        cached_at,
        tried,
        draw: gateway.draw(),
        work: attempts.work,
    };
    gateway.pool.borrow().choose(
        &wish,
        |replica| gateway.upstream.has_resting(replica),
        gateway.now(),
    )
}

fn log_leaving(inbound: &InboundRequest, choice: &Choice, basis: &ChoiceBasis) {
    let Some(relocation) = &basis.relocation else {
        return;
    };
    tracing::info!(
        id = inbound.id,
        from = %relocation.from,
        from_ms = milliseconds(relocation.expected.finish()),
        to = %choice.backend.id,
        to_ms = milliseconds(basis.expected.finish()),
        view_age_ms = milliseconds(basis.view_age),
        "a turn leaves the replica that holds its prompt"
    );
}

/// Chooses a replica that has not been tried. When all that are left had no room, the request
/// waits a moment and tries them again: a caller that is sent away spends one of its few tries.
pub(crate) async fn next_replica(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &mut Attempts,
    cached_at: Option<&BackendId>,
) -> Result<Backend, Refusal> {
    loop {
        let refusal = match choose(gateway, inbound, attempts, cached_at) {
            Ok(backend) => return Ok(backend),
            Err(refusal) => refusal,
        };
        if !attempts.wait_for_room(inbound).await {
            return Err(refusal);
        }
    }
}
