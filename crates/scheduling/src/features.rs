//! Scheduling features that a deployment uses.

use luglink_edge::{Configuration, Route, RouteKind};
use luglink_types::Switches;

/// Minimum number of attempts per request from which a route allows a second replica.
const SECOND_REPLICA: u32 = 2;

/// Scheduling features enabled by the settings and the current configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    switches: Switches,
    /// True if the deployment expects more work than its replicas can do.
    expects_pressure: bool,
}

impl Features {
    /// Creates the features of a process from its settings.
    #[must_use]
    pub fn new(switches: Switches, expects_pressure: bool) -> Self {
        Self {
            switches,
            expects_pressure,
        }
    }

    /// Returns true if requests of a route that wait at a slow replica move to another one: the
    /// route allows a second replica, and the request may run again there.
    #[must_use]
    pub fn moves(&self, route: &Route) -> bool {
        let called_for = route.kind == RouteKind::Streaming && allows_second(route);
        route.is_repeatable() && allows_second(route) && self.switches.moves.holds(called_for)
    }

    /// Returns true if unary requests are hedged earlier than the route's target latency requires.
    #[must_use]
    pub fn early_hedge(&self, configuration: &Configuration) -> bool {
        self.switches
            .moves
            .holds(any_stream_may_move(configuration))
    }

    /// Returns true if gateways exchange their observations of the replicas.
    #[must_use]
    pub fn load_view(&self, configuration: &Configuration) -> bool {
        let called_for = self.expects_pressure || any_stream_may_move(configuration);
        self.switches.load_view.holds(called_for)
    }

    /// Returns true if replicas are chosen by the expected finish of a request.
    #[must_use]
    pub fn expected_finish(&self, configuration: &Configuration) -> bool {
        let called_for = self.expects_pressure || any_stream_may_move(configuration);
        self.switches.expected_finish.holds(called_for)
    }

    /// Returns true if programs are admitted by the memory that the running ones need until they
    /// end.
    #[must_use]
    pub fn working_set(&self) -> bool {
        self.switches.working_set.holds(self.expects_pressure)
    }

    /// Returns true if tenants and priorities get fair shares while capacity is short.
    #[must_use]
    pub fn fair_shares(&self) -> bool {
        self.switches.fair_shares.holds(self.expects_pressure)
    }

    /// Returns true if the bytes held for slow readers are limited.
    #[must_use]
    pub fn held_bytes(&self) -> bool {
        self.switches.held_bytes.holds(true)
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
