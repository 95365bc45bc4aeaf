//! Requests with one whole answer.

use crate::attempts::{Attempts, choose, next_replica};
use crate::exchange::{Answer, Extra, send};
use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::hedging::Hedging;
use crate::inbound::{InboundRequest, strip_hop_by_hop};
use crate::refusal::Refusal;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use luglink_fleet::Backend;
use luglink_http::{Body, full_body};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One send to one replica, from the choice to the whole answer.
async fn attempt(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: Backend,
) -> (Backend, Result<Response<Body>, Failure>) {
    let began = Instant::now();
    let result = match send(gateway, inbound, &backend, &Extra::default()).await {
        Ok(answer) => whole(gateway, inbound, answer).await,
        Err(failure) => Err(failure),
    };
    if let Ok(response) = &result {
        note_answer(gateway, &backend, response, began.elapsed());
    }
    (backend, result)
}

/// Notes what an answer says of the replica, unless an earlier life of it gave the answer.
fn note_answer(gateway: &Gateway, backend: &Backend, response: &Response<Body>, time: Duration) {
    let mut pool = gateway.pool.borrow_mut();
    if pool.has_restarted(backend) {
        return;
    }
    match response.status().is_server_error() {
        true => pool.note_failure(&backend.id, gateway.now()),
        false => pool.succeeded(&backend.id, time),
    }
}

/// Serves a request with one whole answer.
pub(crate) async fn serve(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<Response<Body>, Refusal> {
    let mut hedging = Hedging::begin(gateway, inbound);
    let began = Instant::now();
    let result = serve_hedged(gateway, inbound, &mut hedging).await;
    if result.is_ok() {
        hedging.note_answer(gateway, inbound, began.elapsed());
    }
    result
}

/// Serves a request with one whole answer. A replica that keeps a request which may be repeated
/// for much longer than it should take does not hold it up: another one gets it too, within the
/// number of replicas that the route allows, and the first whole answer counts.
async fn serve_hedged(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    hedging: &mut Hedging,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    let mut under_way = FuturesUnordered::new();
    loop {
        if under_way.is_empty() {
            let backend = next_replica(gateway, inbound, &mut attempts, None).await?;
            attempts.tried.push(backend.id.clone());
            under_way.push(attempt(gateway, inbound, backend));
        }
        let may_hedge = attempts.may_hedge(inbound, under_way.len());
        let ended = tokio::select! {
            ended = under_way.next() => ended,
            () = actix_rt::time::sleep(hedging.pause(inbound)), if may_hedge => None,
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
                let verdict = attempts.note(inbound, &backend, failure);
                // As long as another replica has it, that one's answer decides.
                if under_way.is_empty() {
                    verdict?;
                }
            }
            None if !hedging.take(gateway, inbound) => {}
            None => {
                if let Ok(backend) = choose(gateway, inbound, &attempts, None) {
                    hedging.note_hedge(gateway, inbound, &backend);
                    attempts.tried.push(backend.id.clone());
                    under_way.push(attempt(gateway, inbound, backend));
                }
                attempts.has_hedged = true;
            }
        }
    }
}

/// Reads an answer to its end before anything of it is given on: one that is cut short must
/// not reach the caller as a success.
pub(crate) async fn whole(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let Answer {
        response,
        lease,
        backend,
        at_replica,
    } = answer;
    let (mut head, incoming) = response.into_parts();
    let reading = actix_rt::time::timeout(inbound.remaining(), collect(inbound, incoming));
    let body: Bytes = match reading.await {
        Ok(Ok(body)) => body,
        Ok(Err(AnswerFailure::Broken { source })) => {
            tracing::debug!(id = inbound.id, replica = %backend.id, error = %source, "an answer broke off");
            let mut pool = gateway.pool.borrow_mut();
            if !pool.has_restarted(&backend) {
                pool.failed(&backend.id, gateway.now());
            }
            return Err(Failure::CutAnswer);
        }
        Ok(Err(AnswerFailure::NoRoom)) => return Err(Failure::CutAnswer),
        Err(_) => return Err(Failure::NoAnswerInTime),
    };
    drop(at_replica);
    lease.give_back(&head.headers);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, full_body(body)))
}

/// Why an answer cannot be had whole.
enum AnswerFailure {
    Broken {
        source: hyper::Error,
    },
    /// It would take more memory than there is room for.
    NoRoom,
}

async fn collect(inbound: &InboundRequest, mut incoming: Incoming) -> Result<Bytes, AnswerFailure> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|source| AnswerFailure::Broken { source })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        let here = inbound.held.set_answer(bytes.len() as u64);
        here.map_err(|_| AnswerFailure::NoRoom)?;
    }
    Ok(bytes.freeze())
}
