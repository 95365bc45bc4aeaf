//! Requests whose response is a single body.

use crate::attempts::{Attempts, choose, next_replica};
use crate::doubtful_runs::DoubtReason;
use crate::exchange::{Answer, SendOverrides, send};
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

/// Sends a request to one replica and reads the complete response.
async fn attempt(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: Backend,
) -> (Backend, Result<Response<Body>, Failure>) {
    let began = Instant::now();
    let result = match send(gateway, inbound, &backend, &SendOverrides::default()).await {
        Ok(answer) => read_whole_response(gateway, inbound, answer).await,
        Err(failure) => Err(failure),
    };
    if let Ok(response) = &result {
        note_answer(gateway, &backend, response, began.elapsed());
    }
    (backend, result)
}

/// Records a response as a success or a server error of its replica, unless the replica has
/// restarted since.
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

/// Serves a unary request and records its response time.
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

/// Serves a unary request, with retries and hedging. A repeatable request that takes much longer
/// than expected is also sent to a second replica, within the route's limit of attempts, and the
/// first complete response is used.
async fn serve_hedged(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    hedging: &mut Hedging,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    let mut in_flight = FuturesUnordered::new();
    loop {
        if in_flight.is_empty() {
            let backend = next_replica(gateway, inbound, &mut attempts, None).await?;
            attempts.tried.push(backend.id.clone());
            in_flight.push(attempt(gateway, inbound, backend));
        }
        let may_hedge = attempts.may_hedge(inbound, in_flight.len());
        let ended = tokio::select! {
            ended = in_flight.next() => ended,
            () = actix_rt::time::sleep(hedging.delay(inbound)), if may_hedge => None,
        };
        match ended {
            Some((_, Ok(response))) if attempts.should_retry_server_error(inbound, &response) => {
                attempts.runs += 1;
                if in_flight.is_empty() {
                    let Ok(other) = choose(gateway, inbound, &attempts, None) else {
                        return Ok(response);
                    };
                    attempts.tried.push(other.id.clone());
                    in_flight.push(attempt(gateway, inbound, other));
                }
            }
            Some((_, Ok(response))) => return Ok(response),
            Some((backend, Err(failure))) => {
                let verdict = attempts.note_failure(gateway, inbound, &backend, failure);
                // While another replica is working on the request, its response decides.
                if in_flight.is_empty() {
                    verdict?;
                }
            }
            None if !hedging.try_hedge(gateway, inbound) => {}
            None => {
                if let Ok(backend) = choose(gateway, inbound, &attempts, None) {
                    hedging.note_hedge(gateway, inbound, &backend);
                    attempts.tried.push(backend.id.clone());
                    in_flight.push(attempt(gateway, inbound, backend));
                }
                attempts.has_hedged = true;
            }
        }
    }
}

/// Reads a response to its end before passing any of it on, because a truncated response must not
/// reach the caller as a success.
pub(crate) async fn read_whole_response(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    answer: Answer,
) -> Result<Response<Body>, Failure> {
    let Answer {
        response,
        lease,
        backend,
        replica_guard,
        run,
    } = answer;
    let (mut head, incoming) = response.into_parts();
    let reading = actix_rt::time::timeout(inbound.remaining(), collect(inbound, incoming));
    let body: Bytes = match reading.await {
        Ok(Ok(body)) => body,
        Ok(Err(AnswerFailure::Broken { source })) => {
            tracing::debug!(
                id = inbound.id,
                replica = %backend.id,
                error = %source,
                "response of a replica ended early"
            );
            note_cut(gateway, &backend);
            run.note_break(&source);
            run.broke().await;
            return Err(Failure::CutAnswer);
        }
        Ok(Err(AnswerFailure::MemoryLimit)) => {
            run.doubted(DoubtReason::TooLong, inbound).await;
            return Err(Failure::CutAnswer);
        }
        Err(_) => {
            run.timed_out();
            return Err(Failure::NoAnswerInTime);
        }
    };
    if lease.has_surplus().await {
        run.doubted(DoubtReason::Surplus, inbound).await;
    } else if head.status.is_server_error() {
        run.doubted(DoubtReason::ServerError, inbound).await;
    } else if head.status.is_success() {
        run.answered();
    } else {
        run.survived();
    }
    drop(replica_guard);
    lease.give_back(&head.headers);
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, full_body(body)))
}

/// Marks the replica of a response that ended early as failed, unless it has restarted since.
pub(crate) fn note_cut(gateway: &Gateway, backend: &Backend) {
    let mut pool = gateway.pool.borrow_mut();
    if !pool.has_restarted(backend) {
        pool.failed(&backend.id, gateway.now());
    }
}

/// Reason why a response could not be read completely.
enum AnswerFailure {
    Broken {
        source: hyper::Error,
    },
    /// The response exceeds the memory limit.
    MemoryLimit,
}

async fn collect(inbound: &InboundRequest, mut incoming: Incoming) -> Result<Bytes, AnswerFailure> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|source| AnswerFailure::Broken { source })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        let held = inbound.held.set_answer(bytes.len() as u64);
        held.map_err(|_| AnswerFailure::MemoryLimit)?;
    }
    Ok(bytes.freeze())
}
