//! Reads the platform's list when the control members do not pass it on.

use crate::gateway::Gateway;
use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_list_client::{ListClient, RateLimitPolicy};
use std::rc::Rc;
use std::time::Duration;

/// Time between looks at the list's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time for one reading.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Watches the age of the list, for ever. [`ListReadSchedule`] says when it is this gateway's turn.
pub(crate) async fn keep_current(gateway: Rc<Gateway>) {
    let mut client = ListClient::new(gateway.config.list_address);
    let mut reading = ListReadSchedule::new(ListReadLimits {
        calls_per_s: gateway.config.list_calls_per_s,
        min_interval: CHECK_INTERVAL,
        stale_after: gateway.config.list_stale_after,
    });
    let mut was_stale = false;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let age = gateway.list_age();
        let is_stale = age.is_none_or(|age| age >= gateway.config.list_stale_after);
        if was_stale != is_stale {
            was_stale = is_stale;
            tracing::info!(is_stale, ?age, "list of replicas from the control members");
        }
        let reader = ListReader::Gateway(gateway.gateway_count.get());
        reading.expect_replicas(gateway.list.borrow().list().len());
        if reading.is_due(reader, age, gateway.now(), gateway.draw()) {
            read(&gateway, &mut client, &mut reading).await;
        }
    }
}

async fn read(gateway: &Gateway, client: &mut ListClient, reading: &mut ListReadSchedule) {
    let began = gateway.now();
    gateway.metrics.list_reads.inc();
    let fetched = client.fetch(&*gateway.dialect, READ_LIMIT, RateLimitPolicy::GiveUp);
    match fetched.await {
        Ok(fetched) => {
            reading.succeeded(fetched.pages, began, gateway.draw());
            let skipped_entries = u64::from(fetched.skipped_entries);
            gateway
                .metrics
                .list_entries_passed_over
                .inc_by(skipped_entries);
            gateway.take_list(fetched.list, began);
        }
        Err(error) => {
            reading.failed(error.is_rate_limited(), began, gateway.draw());
            tracing::warn!(%error, age = ?gateway.list_age(), "the list of replicas cannot be read");
        }
    }
}
