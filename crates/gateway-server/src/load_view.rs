//! Load view of the zone: replica statistics of its gateways, summed and distributed by the control
//! members.

use crate::gateway::Gateway;
use luglink_fleet::{StatsReport, ZoneStats};
use luglink_fleet_client::AskedMember;
use luglink_scheduling::VIEW_STALE_AFTER;
use luglink_telemetry::milliseconds;
use luglink_types::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the age of the view is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age and size of the latest load view.
#[derive(Debug, Default)]
pub(crate) struct LastView {
    /// Mean time at which its statistics were reported; `None` before the first view.
    reported_at: Cell<Option<Timestamp>>,
    /// Number of replicas in it.
    replicas: Cell<usize>,
}

impl LastView {
    fn age(&self, now: Timestamp) -> Option<Duration> {
        self.reported_at
            .get()
            .map(|reported_at| now.since(reported_at))
    }
}

impl Gateway {
    /// Returns true if the settings and the configuration in force enable the load view.
    fn shares_load_view(&self) -> bool {
        let in_force = self.in_force.borrow();
        let features = &self.config.features;
        in_force
            .as_ref()
            .is_some_and(|in_force| features.load_view(&in_force.configuration))
    }

    /// Returns this gateway's replica statistics for a control member; `None` if the load view is
    /// disabled, or if the member does not include this gateway in any sum.
    pub(crate) fn replica_stats_to_report(&self, member: AskedMember) -> Option<StatsReport> {
        let is_needed = member.is_counted_here || member.covers_whole_zone;
        let is_reported = is_needed && self.shares_load_view();
        is_reported.then(|| self.pool.borrow().replica_stats(self.now()))
    }

    /// Updates the pool with the summed statistics of the zone's gateways.
    pub(crate) fn update_load_view(&self, zone: &ZoneStats) {
        if !self.shares_load_view() {
            return;
        }
        let age = u64::try_from(zone.age.as_micros()).unwrap_or(u64::MAX);
        let reported_at = Timestamp::from_micros(self.now().as_micros().saturating_sub(age));
        self.pool
            .borrow_mut()
            .set_zone_view(&zone.replica_stats, reported_at);
        self.last_view.reported_at.set(Some(reported_at));
        self.last_view.replicas.set(zone.replica_stats.0.len());
    }
}

/// Exports the age of the view as a metric and logs when the view becomes stale or fresh again;
/// never returns.
pub(crate) async fn watch(gateway: Rc<Gateway>) {
    let mut is_fresh = false;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let view = &gateway.last_view;
        let age = view.age(gateway.now());
        let replicas = view.replicas.get();
        if let Some(age) = age {
            gateway.metrics.load_view_age.set(age.as_secs_f64());
            gateway.metrics.load_view_replicas.set(replicas as f64);
        }
        let was_fresh =
            std::mem::replace(&mut is_fresh, age.is_some_and(|age| age < VIEW_STALE_AFTER));
        match (was_fresh, is_fresh) {
            (false, true) => tracing::info!(replicas, "load view of the zone is fresh"),
            (true, false) => {
                let age_ms = age.map(milliseconds);
                let is_shared = gateway.shares_load_view();
                tracing::warn!(age_ms, is_shared, "load view of the zone is stale");
            }
            _ => {}
        }
    }
}
