//! Reads the platform's list of replicas, at the member that leads, or at each of them in turn
//! while none hears a leader.

use crate::actor::{ControlActor, TakeBackends, now};
use crate::looks::{FleetLook, LookAtFleet};
use crate::metrics::MemberMetrics;
use actix::Addr;
use luglink_edge::Dialect;
use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_list_client::{ListClient, RateLimitPolicy};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for one reading of a page; a list may have many.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Time between looks whether to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the list is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollConfig {
    /// Where the platform serves it.
    pub(crate) address: SocketAddr,
    /// How often.
    pub(crate) rates: ListReadLimits,
}

/// Reads the list for one member.
#[derive(Debug)]
pub(crate) struct Poller {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) metrics: MemberMetrics,
    pub(crate) config: PollConfig,
}

/// Reads the list again and again, whenever it is this member's turn.
pub(crate) async fn poll(poller: Poller) {
    let mut client = ListClient::new(poller.config.address);
    let mut reading = ListReadSchedule::new(poller.config.rates);
    let mut is_lost = false;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let Ok(look) = poller.control.send(LookAtFleet).await else {
            return;
        };
        poller.show_state(&look);
        let reader = match look.leads_configuration {
            true => ListReader::Leader,
            false => ListReader::Member(look.members),
        };
        reading.expect_replicas(look.replicas);
        if !reading.is_due(reader, look.list_age, now(), rand::random()) {
            continue;
        }
        let at_refusal = match reader {
            ListReader::Leader => RateLimitPolicy::Wait,
            _ => RateLimitPolicy::GiveUp,
        };
        let began = now();
        let started = Instant::now();
        let fetched = client.fetch(&*poller.dialect, READ_LIMIT, at_refusal);
        match fetched.await {
            Ok(fetched) => {
                reading.succeeded(fetched.pages, began, rand::random());
                if is_lost {
                    let replicas = fetched.list.len();
                    tracing::info!(replicas, "list of replicas regained");
                }
                is_lost = false;
                poller.count("read");
                let skipped_entries = u64::from(fetched.skipped_entries);
                poller.metrics.skipped_entries.inc_by(skipped_entries);
                poller.control.do_send(TakeBackends {
                    list: fetched.list,
                    age: started.elapsed(),
                });
            }
            Err(error) => {
                reading.failed(error.is_rate_limited(), began, rand::random());
                poller.count("failed");
                if !is_lost {
                    tracing::warn!(%error, ?reader, "list of replicas lost");
                }
                is_lost = true;
            }
        }
    }
}

impl Poller {
    fn count(&self, end: &str) {
        self.metrics.list_reads.with_label_values(&[end]).inc();
    }

    fn show_state(&self, look: &FleetLook) {
        self.metrics.leads.set(f64::from(u8::from(look.leads)));
        if let Some(age) = look.list_age {
            self.metrics.list_age.set(age.as_secs_f64());
        }
        self.metrics.version.set(look.document_version as f64);
        self.metrics.gateways.set(f64::from(look.ready_gateways));
    }
}
