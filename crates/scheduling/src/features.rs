//! Which decisions under load a deployment calls for.

use luglink_edge::{Configuration, Route, RouteKind};
use luglink_types::FeatureModes;

/// Fewest replicas for one request with which operators say that another replica may do what a
/// first one does not.
const SECOND_REPLICA: u32 = 2;

/// Which decisions are taken, by the settings and the configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    modes: FeatureModes,
    /// Whether the deployment expects more work than its replicas can do.
    expects_overload: bool,
}

impl Features {
    /// Those of a process.
    #[must_use]
    pub fn new(modes: FeatureModes, expects_overload: bool) -> Self {
        Self {
            modes,
            expects_overload,
        }
    }

    /// Whether requests of a route that wait at a slow replica go to another one: the route allows
    /// a second replica, and the request may run again there.
    #[must_use]
    pub fn moves(&self, route: &Route) -> bool {
        let is_needed = route.kind == RouteKind::Streaming && allows_second(route);
        route.is_repeatable() && allows_second(route) && self.modes.moves.is_enabled(is_needed)
    }

    /// Whether requests with one whole answer go to a second replica earlier than the route's aim
    /// tells.
    #[must_use]
    pub fn early_hedge(&self, configuration: &Configuration) -> bool {
        self.modes
            .moves
            .is_enabled(any_stream_may_move(configuration))
    }

    /// Whether gateways tell each other what they see of the replicas.
    #[must_use]
    pub fn load_view(&self, configuration: &Configuration) -> bool {
        let is_needed = self.expects_overload || any_stream_may_move(configuration);
        self.modes.load_view.is_enabled(is_needed)
    }

    /// Whether replicas are chosen by when a request is expected to be finished.
    #[must_use]
    pub fn expected_finish(&self, configuration: &Configuration) -> bool {
        let is_needed = self.expects_overload || any_stream_may_move(configuration);
        self.modes.expected_finish.is_enabled(is_needed)
    }

    /// Whether programs are let in by the memory that those under way need until they end.
    #[must_use]
    pub fn working_set(&self) -> bool {
        self.modes.working_set.is_enabled(self.expects_overload)
    }

    /// Whether tenants and kinds of request get fair shares while room is short.
    #[must_use]
    pub fn fair_shares(&self) -> bool {
        self.modes.fair_shares.is_enabled(self.expects_overload)
    }

    /// Whether bytes held for slow readers are bounded.
    #[must_use]
    pub fn held_bytes(&self) -> bool {
        self.modes.held_bytes.is_enabled(true)
    }
}

fn allows_second(route: &Route) -> bool {
    route.max_attempts >= SECOND_REPLICA
}

fn any_stream_may_move(configuration: &Configuration) -> bool {
    let mut streams = configuration
        .routes
        .iter()
        .filter(|route| route.kind == RouteKind::Streaming);
    streams.any(allows_second)
}
