//! Enforcement of tenant quotas: takes a token for a request from the owners of its tenant's quota.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use crate::request_steps::RequestStep;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use luglink_edge::{Quota, Tenant};
use luglink_quota::{Limit, Purpose, QuotaRequest, QuotaResponse};
use luglink_telemetry::milliseconds;
use std::time::{Duration, Instant};

/// Time after which the next owner is asked as well. A healthy owner answers within a few
/// milliseconds. Asking a second one may take one token too many.
const OWNER_HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Timeout of asking all owners once.
const OWNERS_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time that a request of a running program waits for a token. Refusing it would use up one
/// of its caller's few retries, or end a program that engines have already worked on.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(400);

/// Minimum delay before the owners are asked again.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(10);

/// Combined answer of the owners of a tenant's quota.
enum Verdict {
    Granted,
    Denied {
        retry_delay: Duration,
    },
    /// No owner gave a decision.
    Unknown,
}

/// Takes a token from the quota of the request's tenant. Does nothing if the caller has no tenant
/// or the tenant has no quota.
///
/// # Errors
/// The tenant's limit is reached, or no owner gave a decision. The request has not run.
pub(crate) async fn take_token(
    gateway: &Gateway,
    inbound: &InboundRequest,
    purpose: Purpose,
) -> Result<(), Refusal> {
    let Some(tenant) = inbound.caller.tenant() else {
        return Ok(());
    };
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    inbound.watch.steps.enter(RequestStep::Quota);
    let started_at = Instant::now();
    let request = build_request(inbound, tenant, quota, purpose);
    let verdict = request_with_retries(gateway, inbound, &request).await;
    let seconds = started_at.elapsed().as_secs_f64();
    gateway.metrics.quota_seconds.observe(seconds);
    match verdict {
        Verdict::Granted => Ok(()),
        Verdict::Denied { retry_delay } => {
            Err(limit_reached(gateway, inbound, &request, retry_delay))
        }
        Verdict::Unknown => {
            tracing::warn!(
                id = inbound.id,
                tenant = %tenant.name,
                epoch = gateway.turns.epoch(),
                "cannot check the quota: no owner gave a decision"
            );
            gateway.metrics.count_quota_refusal("unknown");
            Err(Refusal::recovering(
                "the tenant's quota cannot be looked up",
            ))
        }
    }
}

/// Asks the owners for a token. A request of a running program retries while a token is expected
/// within its maximum wait.
async fn request_with_retries(
    gateway: &Gateway,
    inbound: &InboundRequest,
    request: &QuotaRequest,
) -> Verdict {
    let max_wait = match request.purpose {
        Purpose::Begins => Duration::ZERO,
        Purpose::Continues => MAX_TOKEN_WAIT.min(inbound.remaining() / 4),
    };
    let deadline = Instant::now() + max_wait;
    loop {
        let timeout = OWNERS_TIMEOUT.min(inbound.remaining());
        let requesting = actix_rt::time::timeout(timeout, request_from_owners(gateway, request));
        let verdict = requesting.await.unwrap_or(Verdict::Unknown);
        match verdict {
            Verdict::Denied { retry_delay } if Instant::now() + retry_delay < deadline => {
                actix_rt::time::sleep(retry_delay.max(MIN_TOKEN_WAIT)).await;
            }
            verdict => return verdict,
        }
    }
}

fn build_request(
    inbound: &InboundRequest,
    tenant: &Tenant,
    quota: Quota,
    purpose: Purpose,
) -> QuotaRequest {
    QuotaRequest {
        tenant: tenant.name.clone(),
        limit: Limit {
            version: inbound.version,
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
        },
        purpose,
    }
}

fn limit_reached(
    gateway: &Gateway,
    inbound: &InboundRequest,
    request: &QuotaRequest,
    retry_delay: Duration,
) -> Refusal {
    tracing::info!(
        id = inbound.id,
        tenant = %request.tenant,
        route = inbound.route.name,
        purpose = ?request.purpose,
        rate_per_s = request.limit.rate_per_s,
        burst = request.limit.burst,
        version = inbound.version,
        come_back_ms = milliseconds(retry_delay),
        "request refused: the tenant's limit is reached"
    );
    gateway.metrics.count_quota_refusal("denied");
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        ..Refusal::not_run_retry_after("the tenant's limit is reached", retry_delay)
    }
}

/// Asks the owners in turn until one grants a token. The next owner is asked when one has no token,
/// or in parallel when one is slow to answer.
async fn request_from_owners(gateway: &Gateway, request: &QuotaRequest) -> Verdict {
    let mut owners = gateway.turns.quota_owners(&request.tenant).into_iter();
    let mut pending = FuturesUnordered::new();
    let mut retry_delay = None;
    loop {
        let next = owners.next();
        let is_last = next.is_none();
        if let Some(owner) = next {
            pending.push(gateway.turns.request_quota(&owner, request));
        }
        loop {
            let answer = tokio::select! {
                answer = pending.next() => answer,
                () = actix_rt::time::sleep(OWNER_HEDGE_DELAY), if !is_last => break,
            };
            match answer {
                Some(Some(QuotaResponse::Granted)) => return Verdict::Granted,
                Some(Some(QuotaResponse::Denied { retry_delay_ms })) => {
                    let wait = Duration::from_millis(retry_delay_ms);
                    retry_delay = Some(retry_delay.map_or(wait, |known: Duration| known.min(wait)));
                }
                Some(Some(QuotaResponse::NotOwner) | None) => {}
                None if is_last => {
                    return retry_delay.map_or(Verdict::Unknown, |retry_delay| Verdict::Denied {
                        retry_delay,
                    });
                }
                None => break,
            }
            if !is_last {
                break;
            }
        }
    }
}
