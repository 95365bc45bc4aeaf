//! Enforcement of tenant quotas: takes a token for a request from the owners of its tenant's quota.

use crate::gateway::Gateway;
use crate::inbound::Inbound;
use crate::refusal::Refusal;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use luglink_edge::{Quota, Tenant};
use luglink_quota::{Limit, Purpose, QuotaAnswer, QuotaAsk};
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
        come_back: Duration,
    },
    /// No owner gave a decision.
    Unknown,
}

/// Takes a token from the quota of the request's tenant. Does nothing if the caller has no tenant
/// or the tenant has no quota.
///
/// # Errors
/// The tenant's limit is reached, or no owner can tell. The request has not run.
pub(crate) async fn take(
    gateway: &Gateway,
    inbound: &Inbound,
    purpose: Purpose,
) -> Result<(), Refusal> {
    let Some(tenant) = inbound.caller.tenant() else {
        return Ok(());
    };
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    let began = Instant::now();
    let ask = token_request(inbound, tenant, quota, purpose);
    let verdict = request_token(gateway, inbound, &ask).await;
    let seconds = began.elapsed().as_secs_f64();
    gateway.metrics.quota_seconds.observe(seconds);
    match verdict {
        Verdict::Granted => Ok(()),
        Verdict::Denied { come_back } => Err(limit_reached(gateway, inbound, &ask, come_back)),
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
async fn request_token(gateway: &Gateway, inbound: &Inbound, ask: &QuotaAsk) -> Verdict {
    let max_wait = match ask.purpose {
        Purpose::Begins => Duration::ZERO,
        Purpose::Continues => MAX_TOKEN_WAIT.min(inbound.remaining() / 4),
    };
    let deadline = Instant::now() + max_wait;
    loop {
        let timeout = OWNERS_TIMEOUT.min(inbound.remaining());
        let verdict = actix_rt::time::timeout(timeout, ask_owners(gateway, ask));
        let verdict = verdict.await.unwrap_or(Verdict::Unknown);
        match verdict {
            Verdict::Denied { come_back } if Instant::now() + come_back < deadline => {
                actix_rt::time::sleep(come_back.max(MIN_TOKEN_WAIT)).await;
            }
            verdict => return verdict,
        }
    }
}

fn token_request(inbound: &Inbound, tenant: &Tenant, quota: Quota, purpose: Purpose) -> QuotaAsk {
    QuotaAsk {
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
    inbound: &Inbound,
    ask: &QuotaAsk,
    come_back: Duration,
) -> Refusal {
    tracing::info!(
        id = inbound.id,
        tenant = %ask.tenant,
        route = inbound.route.name,
        purpose = ?ask.purpose,
        rate_per_s = ask.limit.rate_per_s,
        burst = ask.limit.burst,
        version = inbound.version,
        come_back_ms = milliseconds(come_back),
        "request refused: the tenant's limit is reached"
    );
    gateway.metrics.count_quota_refusal("denied");
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        ..Refusal::not_run_until("the tenant's limit is reached", come_back)
    }
}

/// Asks the owners in turn until one grants a token. The next owner is asked when one has no token,
/// or in parallel when one is slow to answer.
async fn ask_owners(gateway: &Gateway, ask: &QuotaAsk) -> Verdict {
    let mut owners = gateway.turns.quota_owners(&ask.tenant).into_iter();
    let mut pending = FuturesUnordered::new();
    let mut come_back = None;
    loop {
        let next = owners.next();
        let is_last = next.is_none();
        if let Some(owner) = next {
            pending.push(gateway.turns.request_quota(&owner, ask));
        }
        loop {
            let answer = tokio::select! {
                answer = pending.next() => answer,
                () = actix_rt::time::sleep(OWNER_HEDGE_DELAY), if !is_last => break,
            };
            match answer {
                Some(Some(QuotaAnswer::Granted)) => return Verdict::Granted,
                Some(Some(QuotaAnswer::Denied { come_back_ms })) => {
                    let wait = Duration::from_millis(come_back_ms);
                    come_back = Some(come_back.map_or(wait, |known: Duration| known.min(wait)));
                }
                Some(Some(QuotaAnswer::NotOwner) | None) => {}
                None if is_last => {
                    return come_back
                        .map_or(Verdict::Unknown, |come_back| Verdict::Denied { come_back });
                }
                None => break,
            }
            if !is_last {
                break;
            }
        }
    }
}
