//! Reads the platform's list when the control members do not pass it on.

use crate::gateway::Gateway;
use luglink_list_client::ListClient;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between looks at the list's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time for one reading.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// Watches the age of the list, for ever. A leaving replica must get no new work after a few
/// seconds whether or not there is a leader, so nothing here waits for one.
pub(crate) async fn keep_current(gateway: Rc<Gateway>) {
    let mut client = ListClient::new(gateway.config.list_address);
    let mut relied_on_itself = false;
    loop {
        // Spread, so that gateways that lose their leader together do not ask together.
        let spread = Duration::from_millis(gateway.draw() % 100);
        actix_rt::time::sleep(CHECK_INTERVAL + spread).await;
        let stale = gateway
            .list_age()
            .is_none_or(|age| age >= gateway.config.list_stale_after);
        if relied_on_itself != stale {
            relied_on_itself = stale;
            tracing::info!(stale, "list of replicas from the control members");
        }
        if stale {
            read(&gateway, &mut client).await;
        }
    }
}

async fn read(gateway: &Gateway, client: &mut ListClient) {
    let seen = Instant::now();
    gateway.metrics.list_reads.inc();
    match client.fetch(&*gateway.dialect, READ_LIMIT).await {
        Ok(list) => gateway.take_list(Some(list), seen),
        Err(error) => {
            tracing::warn!(%error, age = ?gateway.list_age(), "the list of replicas cannot be read");
        }
    }
}
