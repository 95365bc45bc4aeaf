//! Scheduling features that a deployment uses.

use luglink_edge::{Configuration, Route, RouteKind};
use luglink_types::FeatureModes;

/// Minimum number of attempts per request from which a route allows a second replica.
const MIN_SECOND_REPLICA_ATTEMPTS: u32 = 2;

/// Scheduling features enabled by the settings and the current configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    modes: FeatureModes,
    /// True if the deployment expects more work than its replicas can do.
    expects_overload: bool,
}

impl Features {
    /// Creates the features of a process from its settings.
    #[must_use]
    pub fn new(modes: FeatureModes, expects_overload: bool) -> Self {
        Self {
            modes,
            expects_overload,
        }
    }

    /// Returns true if requests of a route that wait at a slow replica move to another one: the
    /// route allows a second replica, and the request may run again there.
    #[must_use]
    pub fn moves(&self, route: &Route) -> bool {
        let by_default = route.kind == RouteKind::Streaming && allows_second_replica(route);
        route.is_repeatable()
            && allows_second_replica(route)
            && self.modes.moves.is_enabled(by_default)
    }

    /// Returns true if unary requests are hedged earlier than the route's target latency requires.
    #[must_use]
    pub fn early_hedge(&self, configuration: &Configuration) -> bool {
        self.modes
            .moves
            .is_enabled(any_stream_can_move(configuration))
    }

    /// Returns true if gateways exchange their statistics of the replicas.
    #[must_use]
    pub fn load_view(&self, configuration: &Configuration) -> bool {
        let by_default = self.expects_overload || any_stream_can_move(configuration);
        self.modes.load_view.is_enabled(by_default)
    }

    /// Returns true if replicas are chosen by the expected finish of a request.
    #[must_use]
    pub fn expected_finish(&self, configuration: &Configuration) -> bool {
        let by_default = self.expects_overload || any_stream_can_move(configuration);
        self.modes.expected_finish.is_enabled(by_default)
    }

    /// Returns true if programs are admitted by the memory that the running ones need until they
    /// end.
    #[must_use]
    pub fn working_set(&self) -> bool {
        self.modes.working_set.is_enabled(self.expects_overload)
    }

    /// Returns true if tenants and priorities get fair shares while capacity is short.
    #[must_use]
    pub fn fair_shares(&self) -> bool {
        self.modes.fair_shares.is_enabled(self.expects_overload)
    }

    /// Returns true if the bytes held for slow readers are limited.
    #[must_use]
    pub fn held_bytes(&self) -> bool {
        self.modes.held_bytes.is_enabled(true)
    }
}

fn allows_second_replica(route: &Route) -> bool {
    route.max_attempts >= MIN_SECOND_REPLICA_ATTEMPTS
}

fn any_stream_can_move(configuration: &Configuration) -> bool {
    let mut streams = configuration
        .routes
        .iter()
        .filter(|route| route.kind == RouteKind::Streaming);
    streams.any(allows_second_replica)
}
