//! Whether a request may go by its tenant's quota.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::refusal::Refusal;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use luglink_edge::{Quota, Tenant};
use luglink_quota::{Limit, Purpose, QuotaRequest, QuotaResponse};
use luglink_telemetry::milliseconds;
use std::time::{Duration, Instant};

/// Wait for one owner after which the next one is asked too. An owner that is well answers within
/// a few milliseconds; one token too many is what a slow one costs.
const OWNER_PATIENCE: Duration = Duration::from_millis(60);

/// Longest wait for the owners together.
const OWNERS_LIMIT: Duration = Duration::from_millis(400);

/// Longest time that a request of a program that has begun waits for a token. Refused, it would
/// spend one of its caller's few tries, or end a program that engines have worked for.
const TOKEN_PATIENCE: Duration = Duration::from_millis(400);

/// Shortest pause before the owners are asked again.
const SHORTEST_TOKEN_WAIT: Duration = Duration::from_millis(10);

/// What the owners of a tenant say together.
enum Verdict {
    Granted,
    Denied {
        retry_delay: Duration,
    },
    /// None of them could say.
    Unknown,
}

/// Takes a token of the quota of a request's tenant; requests of tenants without a limit, and of
/// callers without a tenant, need none.
///
/// # Errors
/// The tenant's limit is reached, or nobody can say whether it is. The request has not run.
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
    let began = Instant::now();
    let ask = ask(inbound, tenant, quota, purpose);
    let verdict = verdict(gateway, inbound, &ask).await;
    let seconds = began.elapsed().as_secs_f64();
    gateway.metrics.quota_seconds.observe(seconds);
    match verdict {
        Verdict::Granted => Ok(()),
        Verdict::Denied { retry_delay } => Err(over_limit(gateway, inbound, &ask, retry_delay)),
        Verdict::Unknown => {
            tracing::warn!(
                id = inbound.id,
                tenant = %tenant.name,
                epoch = gateway.turns.epoch(),
                "no owner of the quota can say whether a request may go"
            );
            gateway.metrics.note_quota("unknown");
            Err(Refusal::recovering(
                "the tenant's quota cannot be looked up",
            ))
        }
    }
}

/// Asks the owners, again when a program that has begun would be refused for want of a token that
/// will be there within moments.
async fn verdict(gateway: &Gateway, inbound: &InboundRequest, ask: &QuotaRequest) -> Verdict {
    let patience = match ask.purpose {
        Purpose::Begins => Duration::ZERO,
        Purpose::Continues => TOKEN_PATIENCE.min(inbound.remaining() / 4),
    };
    let deadline = Instant::now() + patience;
    loop {
        let limit = OWNERS_LIMIT.min(inbound.remaining());
        let asking = actix_rt::time::timeout(limit, ask_owners(gateway, ask));
        let verdict = asking.await.unwrap_or(Verdict::Unknown);
        match verdict {
            Verdict::Denied { retry_delay } if Instant::now() + retry_delay < deadline => {
                actix_rt::time::sleep(retry_delay.max(SHORTEST_TOKEN_WAIT)).await;
            }
            verdict => return verdict,
        }
    }
}

fn ask(inbound: &InboundRequest, tenant: &Tenant, quota: Quota, purpose: Purpose) -> QuotaRequest {
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

fn over_limit(
    gateway: &Gateway,
    inbound: &InboundRequest,
    ask: &QuotaRequest,
    retry_delay: Duration,
) -> Refusal {
    tracing::info!(
        id = inbound.id,
        tenant = %ask.tenant,
        route = inbound.route.name,
        purpose = ?ask.purpose,
        rate_per_s = ask.limit.rate_per_s,
        burst = ask.limit.burst,
        version = inbound.version,
        come_back_ms = milliseconds(retry_delay),
        "a tenant's limit is reached"
    );
    gateway.metrics.note_quota("denied");
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        ..Refusal::not_run_retry_after("the tenant's limit is reached", retry_delay)
    }
}

/// Asks one owner after the other until one has a token: the next one when an owner has none, and
/// besides it when an owner is slow to answer.
async fn ask_owners(gateway: &Gateway, ask: &QuotaRequest) -> Verdict {
    let mut owners = gateway.turns.quota_owners(&ask.tenant).into_iter();
    let mut asking = FuturesUnordered::new();
    let mut retry_delay = None;
    loop {
        let next = owners.next();
        let is_last = next.is_none();
        if let Some(owner) = next {
            asking.push(gateway.turns.ask_quota(&owner, ask));
        }
        loop {
            let answer = tokio::select! {
                answer = asking.next() => answer,
                () = actix_rt::time::sleep(OWNER_PATIENCE), if !is_last => break,
            };
            match answer {
                Some(Some(QuotaResponse::Granted)) => return Verdict::Granted,
                Some(Some(QuotaResponse::Denied { come_back_ms })) => {
                    let wait = Duration::from_millis(come_back_ms);
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
