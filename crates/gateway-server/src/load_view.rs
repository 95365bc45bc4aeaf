//! What the gateways of the zone tell each other of the replicas, by way of the control members.

use crate::gateway::Gateway;
use luglink_fleet::{StatsReport, ZoneStats};
use luglink_fleet_client::AskedMember;
use luglink_scheduling::VIEW_STALE_AFTER;
use luglink_telemetry::milliseconds;
use luglink_types::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Time between looks at the view's age.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The view that was taken last.
#[derive(Debug, Default)]
pub(crate) struct ViewTaken {
    /// When the words in it were said, in the mean; `None` before the first.
    said_at: Cell<Option<Timestamp>>,
    /// Replicas in it.
    replicas: Cell<usize>,
}

impl ViewTaken {
    fn age(&self, now: Timestamp) -> Option<Duration> {
        self.said_at.get().map(|said_at| now.since(said_at))
    }
}

impl Gateway {
    /// Whether the settings and the configuration in force call for a shared view.
    fn shares_load_view(&self) -> bool {
        let in_force = self.in_force.borrow();
        let features = &self.config.features;
        in_force
            .as_ref()
            .is_some_and(|in_force| features.load_view(&in_force.configuration))
    }

    /// What to tell a member of the replicas; `None` while nothing is shared, and for a member
    /// that needs it for no sum.
    pub(crate) fn sights_to_tell(&self, asked: AskedMember) -> Option<StatsReport> {
        let is_needed = asked.is_counted_here || asked.covers_whole_zone;
        let is_told = is_needed && self.shares_load_view();
        is_told.then(|| self.pool.borrow().replica_stats(self.now()))
    }

    /// Takes what the gateways of the zone see together.
    pub(crate) fn set_zone_view(&self, zone: &ZoneStats) {
        if !self.shares_load_view() {
            return;
        }
        let age = u64::try_from(zone.age.as_micros()).unwrap_or(u64::MAX);
        let said_at = Timestamp::from_micros(self.now().as_micros().saturating_sub(age));
        self.pool
            .borrow_mut()
            .set_zone_view(&zone.replica_stats, said_at);
        self.view_taken.said_at.set(Some(said_at));
        self.view_taken.replicas.set(zone.replica_stats.0.len());
    }
}

/// Shows the view's age, and logs when it is lost and regained, for ever.
pub(crate) async fn watch(gateway: Rc<Gateway>) {
    let mut is_held = false;
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let view = &gateway.view_taken;
        let age = view.age(gateway.now());
        let replicas = view.replicas.get();
        if let Some(age) = age {
            gateway.metrics.load_view_age.set(age.as_secs_f64());
            gateway.metrics.load_view_replicas.set(replicas as f64);
        }
        let was_held =
            std::mem::replace(&mut is_held, age.is_some_and(|age| age < VIEW_STALE_AFTER));
        match (was_held, is_held) {
            (false, true) => tracing::info!(replicas, "load view of the zone regained"),
            (true, false) => {
                let age_ms = age.map(milliseconds);
                let is_shared = gateway.shares_load_view();
                tracing::warn!(age_ms, is_shared, "load view of the zone lost");
            }
            _ => {}
        }
    }
}
