//! Reads the platform's list of replicas. The leader reads it for all. A member whose copy is stale,
//! because no list of a leader arrives, reads it too; the members share a limit of the read rate.

use crate::actor::{ApplyBackendList, ControlActor, now};
use crate::metrics::MemberMetrics;
use crate::queries::{FleetStatus, GetFleetStatus};
use crate::settlement_log::SettlementLog;
use actix::Addr;
use luglink_edge::Dialect;
use luglink_fleet::{ListReadLimits, ListReadSchedule, ListReader};
use luglink_list_client::{ListClient, RateLimitPolicy};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for one page of the list, which may have many pages.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of the checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Source of the list and limits for reading it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollConfig {
    /// Address at which the platform serves the list.
    pub(crate) address: SocketAddr,
    /// Limits of the read rate.
    pub(crate) limits: ListReadLimits,
}

/// Reader of the list for one member.
#[derive(Debug)]
pub(crate) struct Poller {
    pub(crate) control: Addr<ControlActor>,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) metrics: MemberMetrics,
    pub(crate) config: PollConfig,
}

/// Reads the list whenever a read by this member is due.
pub(crate) async fn poll(poller: Poller) {
    let mut client = ListClient::new(poller.config.address);
    let mut schedule = ListReadSchedule::new(poller.config.limits);
    let mut settlement_log = SettlementLog::default();
    let mut is_failing = false;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let Ok(status) = poller.control.send(GetFleetStatus).await else {
            return;
        };
        poller.update_gauges(&status);
        settlement_log.update(status.settlement.as_ref(), &poller.metrics);
        let reader = match status.leads_configuration {
            true => ListReader::Leader,
            false => ListReader::Member(status.members),
        };
        schedule.expect_replicas(status.replicas);
        if !schedule.is_due(reader, status.list_age, now(), rand::random()) {
            continue;
        }
        let rate_limit_policy = match reader {
            ListReader::Leader => RateLimitPolicy::Wait,
            _ => RateLimitPolicy::GiveUp,
        };
        let began = now();
        let started = Instant::now();
        let fetched = client.fetch(&*poller.dialect, PAGE_TIMEOUT, rate_limit_policy);
        match fetched.await {
            Ok(fetched) => {
                schedule.succeeded(fetched.pages, began, rand::random());
                if is_failing {
                    let replicas = fetched.list.len();
                    tracing::info!(replicas, "reading the list of replicas succeeded again");
                }
                is_failing = false;
                poller.count("read");
                let skipped_entries = u64::from(fetched.skipped_entries);
                poller.metrics.skipped_entries.inc_by(skipped_entries);
                poller.control.do_send(ApplyBackendList {
                    list: fetched.list,
                    age: started.elapsed(),
                });
            }
            Err(error) => {
                schedule.failed(error.is_rate_limited(), began, rand::random());
                poller.count("failed");
                if !is_failing {
                    tracing::warn!(%error, ?reader, "cannot read the list of replicas");
                }
                is_failing = true;
            }
        }
    }
}

impl Poller {
    fn count(&self, outcome: &str) {
        self.metrics.list_reads.with_label_values(&[outcome]).inc();
    }

    fn update_gauges(&self, status: &FleetStatus) {
        self.metrics
            .leads
            .set(f64::from(u8::from(status.is_fresh_leader)));
        if let Some(age) = status.list_age {
            self.metrics.list_age.set(age.as_secs_f64());
        }
        self.metrics.version.set(status.document_version as f64);
        self.metrics.gateways.set(f64::from(status.ready_gateways));
    }
}
