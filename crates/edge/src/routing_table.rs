//! Lookup of the route of a request.

use crate::configuration::{Configuration, Route};
use std::collections::HashMap;
use std::rc::Rc;

/// Routes by host, longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RoutingTable {
    /// Creates the table of a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of a request; `host` may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .cloned()
    }
}
