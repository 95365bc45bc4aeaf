//! Requests with one whole answer.

use crate::exchange::{Answer, Extra, Failure, send};
use crate::gateway::Gateway;
use crate::inbound::{Inbound, strip_hop_by_hop};
use crate::refusal::Refusal;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Response, header};
use http_body_util::BodyExt;
use luglink_edge::{Retryable, RouteKind, SendOutcome, Wish};
use luglink_fleet::{Backend, BackendId};
use luglink_http::{Body, full_body};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Times the latency that a route aims at after which a replica counts as stuck.
const HEDGE_FACTOR: f64 = 1.5;

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
}

impl Attempts {
    /// Notes a failure. Returns what to answer when the request may not be sent again.
    pub(crate) fn note(
        &mut self,
        inbound: &Inbound,
        backend: &Backend,
        failure: &Failure,
    ) -> Result<(), Refusal> {
        if !self.tried.contains(&backend.id) {
            self.tried.push(backend.id.clone());
        }
        if failure.outcome.may_have_run() {
            self.runs += 1;
        }
        tracing::info!(
            id = inbound.id,
            replica = %backend.id,
            reason = failure.reason,
            runs = self.runs,
            sends = self.tried.len(),
            left_ms = inbound.remaining().as_millis(),
            "a send failed"
        );
        if inbound.remaining().is_zero() {
            return Err(self.out_of_time());
        }
        match failure.outcome.retryable(&inbound.route, self.runs) {
            Retryable::Yes if self.tried.len() < MAX_SENDS => Ok(()),
            Retryable::Yes => Err(self.nowhere("every replica that was tried declined")),
            Retryable::NoNotRun => Err(Refusal::not_run("the request was not run")),
            Retryable::NoMayHaveRun => Err(Refusal::uncertain("the answer was lost")),
        }
    }

    /// Whether a replica's own failure need not be the last word.
    fn may_do_better(&self, inbound: &Inbound, response: &Response<Body>) -> bool {
        inbound.route.kind == RouteKind::Safe
            && response.status().is_server_error()
            && self.runs + 1 < inbound.route.max_attempts
            && !inbound.remaining().is_zero()
    }

    /// Whether a second replica may get the request while `under_way` have it.
    fn may_hedge(&self, inbound: &Inbound, under_way: usize) -> bool {
        let replicas = self.runs as usize + under_way;
        inbound.route.kind == RouteKind::Safe
            && !self.has_hedged
            && replicas < inbound.route.max_attempts as usize
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
    inbound: &Inbound,
    attempts: &Attempts,
    cached_at: Option<&BackendId>,
) -> Result<Backend, Refusal> {
    let wish = Wish {
        service: &inbound.service,
        cached_at,
        tried: &attempts.tried,
        draw: gateway.draw(),
    };
    gateway
        .pool
        .borrow()
        .choose(
            &wish,
            |replica| gateway.upstream.has_resting(replica),
            gateway.now(),
        )
        .map(|choice| choice.backend)
        .ok_or_else(|| attempts.nowhere("no replica can take the request"))
}

/// One send to one replica, from the choice to the whole answer.
async fn attempt(
    gateway: &Rc<Gateway>,
    inbound: &Inbound,
    backend: Backend,
) -> (Backend, Result<Response<Body>, Failure>) {
    let began = Instant::now();
    let result = match send(gateway, inbound, &backend, &Extra::default()).await {
        Ok(answer) => whole(gateway, inbound, answer).await,
        Err(failure) => Err(failure),
    };
    if let Ok(response) = &result {
        let mut pool = gateway.pool.borrow_mut();
        if response.status().is_server_error() {
            pool.troubled(&backend.id, gateway.now());
        } else {
            pool.succeeded(&backend.id, began.elapsed());
        }
    }
    (backend, result)
}

/// Serves a request with one whole answer. A replica that keeps a request which may be repeated
/// for much longer than it should take does not hold it up: another one gets it too, within the
/// number of replicas that the route allows, and the first whole answer counts.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    inbound: &Inbound,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    let mut under_way = FuturesUnordered::new();
    loop {
        if under_way.is_empty() {
            let backend = choose(gateway, inbound, &attempts, None)?;
            attempts.tried.push(backend.id.clone());
            under_way.push(attempt(gateway, inbound, backend));
        }
        let may_hedge = attempts.may_hedge(inbound, under_way.len());
        let ended = tokio::select! {
            ended = under_way.next() => ended,
            () = actix_rt::time::sleep(hedge_after(inbound)), if may_hedge => None,
        };
        match ended {
            Some((_, Ok(response))) if attempts.may_do_better(inbound, &response) => {
                attempts.runs += 1;
                if under_way.is_empty() {
                    let Ok(other) = choose(gateway, inbound, &attempts, None) else {
                        return Ok(response);
                    };
                    attempts.tried.push(other.id.clone());
                    under_way.push(attempt(gateway, inbound, other));
                }
            }
            Some((_, Ok(response))) => return Ok(response),
            Some((backend, Err(failure))) => {
                let verdict = attempts.note(inbound, &backend, &failure);
                // As long as another replica has it, that one's answer decides.
                if under_way.is_empty() {
                    verdict?;
                }
            }
            None => {
                if let Ok(backend) = choose(gateway, inbound, &attempts, None) {
                    tracing::info!(id = inbound.id, replica = %backend.id, "a request is hedged");
                    attempts.tried.push(backend.id.clone());
                    under_way.push(attempt(gateway, inbound, backend));
                }
                attempts.has_hedged = true;
            }
        }
    }
}

/// Time after which a request that may be repeated goes to another replica too.
fn hedge_after(inbound: &Inbound) -> Duration {
    let expected = inbound.route.target_latency().mul_f64(HEDGE_FACTOR);
    expected.min(inbound.remaining() / 3)
}

/// Reads an answer to its end before anything of it is given on: one that is cut short must
/// not reach the caller as a success.
pub(crate) async fn whole(
    gateway: &Rc<Gateway>,
    inbound: &Inbound,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let Answer {
        response,
        lease,
        backend,
        at_replica,
    } = answer;
    let (mut head, incoming) = response.into_parts();
    let reading = actix_rt::time::timeout(inbound.remaining(), incoming.collect());
    let body: Bytes = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            tracing::debug!(id = inbound.id, replica = %backend.id, %error, "an answer broke off");
            gateway.pool.borrow_mut().failed(&backend.id, gateway.now());
            return Err(Failure::new(SendOutcome::Uncertain, "cut_answer"));
        }
        Err(_) => return Err(Failure::new(SendOutcome::Uncertain, "no_answer_in_time")),
    };
    drop(at_replica);
    lease.give_back(&head.headers);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, full_body(body)))
}
