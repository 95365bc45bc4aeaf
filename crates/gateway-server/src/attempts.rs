//! The send history of a request and the choice of its next replica.

use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use crate::request_steps::RequestStep;
use crate::{crash_refusal, planned_stop};
use http::Response;
use luglink_edge::{Retryable, RouteKind};
use luglink_fleet::{Backend, BackendId, StreamOrigin};
use luglink_http::Body;
use luglink_scheduling::{
    Choice, ChoiceBasis, Expected, RoutingRequest, Work, capacity_retry_delay, max_capacity_wait,
};
use luglink_telemetry::milliseconds;
use luglink_turns::RequestFingerprint;
use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of sends of one request, including declined ones.
const MAX_SENDS: usize = 12;

/// Send history of one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Replicas that the request was sent to and that are not to be chosen again.
    pub(crate) tried: Vec<BackendId>,
    /// Number of replicas that may have run the request.
    pub(crate) runs: u32,
    /// True once the request was sent to a second replica while a first one was working on it.
    pub(crate) has_hedged: bool,
    /// Replicas in `tried` that had no capacity. They have not run the request and may have
    /// capacity later.
    full: Vec<BackendId>,
    /// Replicas in `tried` from which the request was moved.
    moved_from: Vec<BackendId>,
    /// Estimated work of the request, set where replicas are chosen by expected finish.
    pub(crate) work: Option<Work>,
    /// Origin of the stream, once an event of it was sent to the caller by this or an earlier
    /// request.
    pub(crate) origin: Option<Rc<StreamOrigin>>,
    /// Prediction for the replica that was chosen last.
    pub(crate) expected: Cell<Option<Expected>>,
    /// Number of pauses in which the request waited for capacity.
    pauses: u32,
}

impl Attempts {
    /// Returns the history of a request that was not sent yet.
    pub(crate) fn new(work: Option<Work>, origin: Option<Rc<StreamOrigin>>) -> Self {
        Self {
            work,
            origin,
            ..Self::default()
        }
    }

    /// Returns a new history of the same stream that excludes `replica` and the replicas that the
    /// request was moved from.
    pub(crate) fn excluding(&self, replica: BackendId) -> Self {
        let mut tried = self.moved_from.clone();
        tried.push(replica);
        Self {
            tried,
            ..Self::new(self.work, self.origin.clone())
        }
    }

    /// Returns the replicas that were tried and `replica`, which currently has the request.
    pub(crate) fn tried_including(&self, replica: &BackendId) -> Vec<BackendId> {
        let mut tried = self.tried.clone();
        tried.push(replica.clone());
        tried
    }

    /// Records that the request was moved away from a replica that may have run it.
    pub(crate) fn note_moved(&mut self, from: &Backend) {
        self.tried.push(from.id.clone());
        self.moved_from.push(from.id.clone());
        self.runs += 1;
    }

    /// Records a failed send. Returns the refusal for the caller if the request must not be sent
    /// again.
    pub(crate) fn note_failure(
        &mut self,
        gateway: &Gateway,
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
            request = %inbound.fingerprint,
            replica = %backend.id,
            started_ms = backend.incarnation.0,
            reason = failure.as_str(),
            runs = self.runs,
            sends = self.tried.len(),
            left_ms = milliseconds(inbound.remaining()),
            "send to replica failed"
        );
        if inbound.remaining().is_zero() {
            return Err(self.deadline_exceeded());
        }
        if failure == Failure::CrashLimit {
            return Err(self.crash_limit_reached(gateway, inbound));
        }
        match failure.outcome().retryable(&inbound.route, self.runs) {
            Retryable::Yes if self.tried.len() < MAX_SENDS => Ok(()),
            Retryable::Yes => Err(self.no_replica_left("all replicas that were tried declined")),
            Retryable::NoNotRun => Err(Refusal::not_run("the request was not run")),
            Retryable::NoMayHaveRun => Err(Refusal::uncertain(
                "the response was lost, the request may have run",
            )),
        }
    }

    /// Returns true if a replica answered with a server error and the request may be run again
    /// elsewhere.
    pub(crate) fn should_retry_server_error(
        &self,
        inbound: &InboundRequest,
        response: &Response<Body>,
    ) -> bool {
        inbound.route.kind == RouteKind::Safe
            && response.status().is_server_error()
            && self.runs + 1 < inbound.route.max_attempts
            && !inbound.remaining().is_zero()
    }

    /// Returns true if the request may be hedged while `in_flight` replicas are working on it.
    pub(crate) fn may_hedge(&self, inbound: &InboundRequest, in_flight: usize) -> bool {
        let replicas = self.runs as usize + in_flight;
        inbound.route.kind == RouteKind::Safe
            && !self.has_hedged
            && replicas < inbound.route.max_attempts as usize
    }

    /// Pauses and then allows the replicas that had no capacity to be tried again. Returns false
    /// without a pause if no replica lacked capacity or the request has used up its waiting time.
    async fn wait_for_capacity(&mut self, inbound: &InboundRequest) -> bool {
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
            "request waits for replica capacity"
        );
        actix_rt::time::sleep(pause).await;
        self.tried.retain(|tried| !full.contains(tried));
        true
    }

    fn deadline_exceeded(&self) -> Refusal {
        if self.runs == 0 {
            return Refusal::not_run("no replica accepted the request before its deadline");
        }
        Refusal::timed_out("no response before the deadline")
    }

    fn crash_limit_reached(&self, gateway: &Gateway, inbound: &InboundRequest) -> Refusal {
        if self.runs == 0 {
            return crash_refusal::refusal(
                gateway,
                inbound,
                gateway.crashes_under(inbound.fingerprint),
            );
        }
        Refusal::uncertain("replicas ended while they ran the request")
    }

    /// Returns the refusal for a request that has no replica left to try.
    pub(crate) fn no_replica_left(&self, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::not_run(detail);
        }
        Refusal::uncertain("the response was lost and no other replica is left")
    }
}

/// Chooses a replica that has not been tried.
pub(crate) fn choose(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
    cached_at: Option<&BackendId>,
) -> Result<Backend, Refusal> {
    if let Some(backend) = replica_of_open_run(gateway, inbound, attempts) {
        attempts.expected.set(None);
        return Ok(backend);
    }
    let choice = choose_excluding(gateway, inbound, attempts, &attempts.tried, cached_at)
        .ok_or_else(|| attempts.no_replica_left("no replica can take the request"))?;
    let basis = choice.basis.as_ref();
    attempts.expected.set(basis.map(|basis| basis.expected));
    if let Some(basis) = basis {
        log_relocation(inbound, &choice, basis);
    }
    Ok(choice.backend)
}

/// Returns a replica that runs the request already, or may, if it may be sent to no other one.
fn replica_of_open_run(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
) -> Option<Backend> {
    let is_eligible = |backend: &Backend| {
        let origin = attempts.origin.as_ref();
        backend.service == inbound.service
            && !attempts.tried.contains(&backend.id)
            && origin.is_none_or(|origin| origin.may_continue_at(backend))
    };
    let backend = gateway.replica_of_open_run(inbound.fingerprint, is_eligible)?;
    tracing::info!(
        id = inbound.id,
        request = %inbound.fingerprint,
        replica = %backend.id,
        "request goes to a replica that runs it already or may"
    );
    Some(backend)
}

/// Chooses a replica that is not in `tried`. Returns `None` if there is none. A request under which
/// replicas have ended or may is kept apart from others that may be the cause, while there are other
/// replicas.
pub(crate) fn choose_excluding(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
    tried: &[BackendId],
    cached_at: Option<&BackendId>,
) -> Option<Choice> {
    let mut kept_apart = replicas_of_other_suspects(gateway, inbound.fingerprint);
    if !kept_apart.is_empty() {
        kept_apart.extend_from_slice(tried);
        let choice = choose_among(gateway, inbound, attempts, &kept_apart, cached_at);
        if choice.is_some() {
            return choice;
        }
    }
    choose_among(gateway, inbound, attempts, tried, cached_at)
}

/// Returns the replicas that a request is kept away from: after an end under it those that run other
/// reported requests, so that a request that ends its replicas does not end those of the others
/// again and again; after an attempt in doubt those that may hang under another request.
fn replicas_of_other_suspects(gateway: &Gateway, request: RequestFingerprint) -> Vec<BackendId> {
    let has_crashes = gateway.crashes_under(request) > 0;
    let table = &gateway.crashes.borrow().table;
    if has_crashes {
        table
            .replicas_with_other_suspects(request)
            .cloned()
            .collect()
    } else if table.suspected_crashes(request) > 0 {
        table.replicas_with_other_doubts(request).cloned().collect()
    } else {
        Vec::new()
    }
}

fn choose_among(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &Attempts,
    tried: &[BackendId],
    cached_at: Option<&BackendId>,
) -> Option<Choice> {
    let routing_request = RoutingRequest {
        service: &inbound.service,
        cached_at,
        tried,
        draw: gateway.draw(),
        work: attempts.work,
        origin: attempts.origin.as_deref(),
    };
    gateway.pool.borrow().choose(
        &routing_request,
        |replica| gateway.upstream.has_idle_connection(replica),
        gateway.now(),
    )
}

fn log_relocation(inbound: &InboundRequest, choice: &Choice, basis: &ChoiceBasis) {
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
        "turn routed away from the replica that caches its prompt"
    );
}

/// Chooses a replica that has not been tried. If only replicas without capacity are left, pauses
/// and tries them again, because a refusal would use up one of the caller's few retries.
pub(crate) async fn next_replica(
    gateway: &Gateway,
    inbound: &InboundRequest,
    attempts: &mut Attempts,
    cached_at: Option<&BackendId>,
) -> Result<Backend, Refusal> {
    inbound.watch.steps.enter(RequestStep::Capacity);
    loop {
        planned_stop::refuse_late(gateway, inbound, attempts.runs)?;
        let refusal = match choose(gateway, inbound, attempts, cached_at) {
            Ok(backend) => return Ok(backend),
            Err(refusal) => refusal,
        };
        if !attempts.wait_for_capacity(inbound).await {
            return Err(refusal);
        }
    }
}
