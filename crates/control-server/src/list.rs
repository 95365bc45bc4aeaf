//! Reads the platform's list of replicas, at the member that leads.

use crate::actor::{ControlActor, FleetLook, LookAtFleet, TakeBackends};
use crate::metrics::MemberMetrics;
use actix::Addr;
use luglink_edge::Dialect;
use luglink_list_client::ListClient;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for one reading of a page; a list may have many.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Share of the platform's calls that the leading member uses. The rest is for gateways that do
/// not hear it.
const CALLS_SHARE: f64 = 0.8;

/// How the list is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollConfig {
    /// Where the platform serves it.
    pub(crate) address: SocketAddr,
    /// Shortest time between two readings.
    pub(crate) interval: Duration,
    /// Calls that the platform takes from everyone together, per second.
    pub(crate) calls_per_s: f64,
}

/// Reads the list for one member.
#[derive(Debug)]
pub(crate) struct Poller {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) metrics: MemberMetrics,
    pub(crate) config: PollConfig,
}

/// Reads the list again and again while this member leads.
pub(crate) async fn poll(poller: Poller) {
    let Poller {
        control, config, ..
    } = &poller;
    let mut client = ListClient::new(config.address);
    let mut is_lost = false;
    let mut interval = config.interval;
    let mut began = Instant::now();
    loop {
        // From beginning to beginning: a long list takes a part of the interval to read.
        actix_rt::time::sleep(interval.saturating_sub(began.elapsed())).await;
        interval = config.interval;
        began = Instant::now();
        let Ok(look) = control.send(LookAtFleet).await else {
            return;
        };
        poller.show_state(&look);
        if !look.polls {
            continue;
        }
        let fetched = client.fetch(&*poller.dialect, READ_LIMIT).await;
        poller.count(fetched.is_ok());
        match fetched {
            Ok(fetched) => {
                let own_share = config.calls_per_s * CALLS_SHARE;
                interval = fetched.interval(own_share, config.interval);
                let list = fetched.list;
                if is_lost {
                    tracing::info!(
                        replicas = list.backends().len(),
                        "list of replicas regained"
                    );
                }
                is_lost = false;
                control.do_send(TakeBackends(list));
            }
            Err(error) => {
                if !is_lost {
                    tracing::warn!(%error, "list of replicas lost");
                }
                is_lost = true;
            }
        }
    }
}

impl Poller {
    fn count(&self, was_read: bool) {
        let end = if was_read { "read" } else { "failed" };
        self.metrics.list_reads.with_label_values(&[end]).inc();
    }

    fn show_state(&self, look: &FleetLook) {
        self.metrics.leads.set(f64::from(u8::from(look.leads)));
        self.metrics.version.set(look.document_version as f64);
        self.metrics.gateways.set(look.gateways.len() as f64);
    }
}
