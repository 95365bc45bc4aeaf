//! Reads the platform's list when the control members do not pass it on.

use crate::gateway::Gateway;
use luglink_list_client::ListClient;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between looks at the list's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time for one reading.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Replicas that a page is taken to hold, before one has been read.
const REPLICAS_PER_PAGE: usize = 50;

/// Share of the platform's calls that gateways use together when no member passes the list on.
const CALLS_SHARE: f64 = 0.35;

/// Watches the age of the list, for ever. A leaving replica must get no new work after a few
/// seconds whether or not there is a leader, so nothing here waits for one.
pub(crate) async fn keep_current(gateway: Rc<Gateway>) {
    let mut client = ListClient::new(gateway.config.list_address);
    let mut relied_on_itself = false;
    let mut was_stale = false;
    let mut next_reading = Instant::now();
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
        if stale && !was_stale {
            next_reading = Instant::now() + first_pause(&gateway);
        }
        was_stale = stale;
        if stale && Instant::now() >= next_reading {
            next_reading = Instant::now() + read(&gateway, &mut client).await;
        }
    }
}

/// Pause before the first reading. When all gateways together would ask for more than the
/// platform gives in half a second, they take turns at random.
fn first_pause(gateway: &Gateway) -> Duration {
    let pages = gateway.list.borrow().backends().len() / REPLICAS_PER_PAGE + 1;
    let calls = pages as f64 * f64::from(gateway.gateways.get().max(1));
    let calls_per_s = gateway.config.list_calls_per_s;
    if calls <= calls_per_s / 2.0 {
        return Duration::ZERO;
    }
    let turns = Duration::from_secs_f64((calls / (calls_per_s * CALLS_SHARE)).min(60.0));
    turns.mul_f64((gateway.draw() % 1_000) as f64 / 1_000.0)
}

/// Reads the list. Returns the time to the next reading that leaves the other gateways theirs.
async fn read(gateway: &Gateway, client: &mut ListClient) -> Duration {
    let seen = Instant::now();
    gateway.metrics.list_reads.inc();
    match client.fetch(&*gateway.dialect, READ_LIMIT).await {
        Ok(fetched) => {
            let gateways = f64::from(gateway.gateways.get().max(1));
            let own_share = gateway.config.list_calls_per_s * CALLS_SHARE / gateways;
            let interval = fetched.interval(own_share, CHECK_INTERVAL);
            gateway.take_list(Some(fetched.list), seen);
            interval
        }
        Err(error) => {
            tracing::warn!(%error, age = ?gateway.list_age(), "the list of replicas cannot be read");
            CHECK_INTERVAL
        }
    }
}
