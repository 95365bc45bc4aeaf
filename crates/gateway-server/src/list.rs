//! Fallback reader of the platform's list of replicas, used when the control members do not relay
//! it, or relay it without software versions because they are of an older build.

use crate::gateway::Gateway;
use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_list_client::{ListClient, RateLimitPolicy};
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the age of the list is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of reading the whole list once.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Watches the age of the list and reads it when it is stale; never returns. [`ListReadSchedule`]
/// decides when it is this gateway's turn to read.
pub(crate) async fn keep_current(gateway: Rc<Gateway>) {
    let mut client = ListClient::new(gateway.config.list_address);
    let mut schedule = ListReadSchedule::new(ListReadLimits {
        calls_per_s: gateway.config.list_calls_per_s,
        min_interval: CHECK_INTERVAL,
        stale_after: gateway.config.list_stale_after,
    });
    let mut was_stale = false;
    let mut names_versions = true;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let age = gateway.list_age();
        let is_stale = age.is_none_or(|age| age >= gateway.config.list_stale_after);
        if was_stale != is_stale {
            was_stale = is_stale;
            tracing::info!(is_stale, ?age, "staleness of the list of replicas changed");
        }
        let reader = ListReader::Gateway(gateway.gateway_count.get());
        let lacks_versions = gateway.list.borrow().list().lacks_versions();
        let needed_age = match age {
            Some(age) if lacks_versions && names_versions => {
                Some(age.max(gateway.config.list_stale_after))
            }
            _ => age,
        };
        schedule.expect_replicas(gateway.list.borrow().list().len());
        if schedule.is_due(reader, needed_age, gateway.now(), gateway.draw())
            && let Some(list_lacks_versions) = read(&gateway, &mut client, &mut schedule).await
        {
            names_versions = !list_lacks_versions;
        }
    }
}

/// Reads the list. Returns whether it lacks software versions; `None` if it cannot be read.
async fn read(
    gateway: &Gateway,
    client: &mut ListClient,
    schedule: &mut ListReadSchedule,
) -> Option<bool> {
    let started_at = gateway.now();
    gateway.metrics.list_reads.inc();
    let fetched = client.fetch(&*gateway.dialect, READ_TIMEOUT, RateLimitPolicy::GiveUp);
    match fetched.await {
        Ok(fetched) => {
            schedule.succeeded(fetched.pages, started_at, gateway.draw());
            let skipped_entries = u64::from(fetched.skipped_entries);
            gateway
                .metrics
                .list_entries_passed_over
                .inc_by(skipped_entries);
            let lacks_versions = fetched.list.lacks_versions();
            gateway.apply_list(fetched.list, started_at);
            Some(lacks_versions)
        }
        Err(error) => {
            schedule.failed(error.is_rate_limited(), started_at, gateway.draw());
            tracing::warn!(%error, age = ?gateway.list_age(), "cannot read the list of replicas");
            None
        }
    }
}
