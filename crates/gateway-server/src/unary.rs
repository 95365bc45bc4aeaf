//! Requests with one whole answer.

use crate::exchange::{Answer, Extra, Failure, send};
use crate::gateway::Gateway;
use crate::inbound::{Inbound, strip_hop_by_hop};
use crate::refusal::Refusal;
use bytes::Bytes;
use http::{Response, header};
use http_body_util::BodyExt;
use luglink_edge::{Retryable, SendOutcome, Wish};
use luglink_fleet::{Backend, BackendId};
use luglink_http::{Body, full_body};
use std::rc::Rc;
use std::time::Instant;

/// How often a request is sent at the most, declined sends included.
const MAX_SENDS: usize = 12;

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<BackendId>,
    /// Replicas that may have run the request.
    pub(crate) runs: u32,
    pub(crate) last_reason: &'static str,
}

impl Attempts {
    /// Notes a failure. Returns what to answer when the request may not be sent again.
    pub(crate) fn note(
        &mut self,
        inbound: &Inbound,
        backend: &Backend,
        failure: &Failure,
    ) -> Result<(), Refusal> {
        self.tried.push(backend.id.clone());
        self.last_reason = failure.reason;
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
        .choose(&wish, gateway.now())
        .map(|choice| choice.backend)
        .ok_or_else(|| attempts.nowhere("no replica can take the request"))
}

/// Serves a request with one whole answer.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    inbound: &Inbound,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let backend = choose(gateway, inbound, &attempts, None)?;
        let began = Instant::now();
        let failure = match send(gateway, inbound, &backend, &Extra::default()).await {
            Ok(answer) => match whole(gateway, inbound, answer).await {
                Ok(response) => {
                    let mut pool = gateway.pool.borrow_mut();
                    pool.succeeded(&backend.id, began.elapsed());
                    return Ok(response);
                }
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        attempts.note(inbound, &backend, &failure)?;
    }
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
