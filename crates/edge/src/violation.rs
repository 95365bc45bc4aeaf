//! Rules that a configuration must keep to come into force.

use crate::configuration::{Configuration, Route};
use std::collections::BTreeSet;
use std::fmt;

/// A rule that a configuration breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Where, as in `routes[3].timeout_ms`.
    pub field: String,
    /// What must hold there.
    pub rule: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.rule)
    }
}

impl Configuration {
    /// Every rule that the configuration breaks, in the order of its fields.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        if self.version == 0 {
            found.push(violation("version", "must be above 0"));
        }
        self.check_services(&mut found);
        self.check_routes(&mut found);
        found
    }

    fn check_services(&self, found: &mut Vec<Violation>) {
        let mut names = BTreeSet::new();
        for (position, service) in self.services.iter().enumerate() {
            if !names.insert(service.name.as_str()) {
                let field = format!("services[{position}].name");
                found.push(violation(field, "must name each service once"));
            }
        }
    }

    fn check_routes(&self, found: &mut Vec<Violation>) {
        let services: BTreeSet<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let mut places = BTreeSet::new();
        for (position, route) in self.routes.iter().enumerate() {
            let at = |field: &str| format!("routes[{position}].{field}");
            if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let rule = "must differ from every other route's host and prefix";
                found.push(violation(at("path_prefix"), rule));
            }
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                found.push(violation(at("path_prefix"), "must begin and end with `/`"));
            }
            if route.timeout_ms == 0 {
                found.push(violation(at("timeout_ms"), "must be above 0"));
            }
            check_targets(route, &services, &at, found);
        }
    }
}

fn check_targets(
    route: &Route,
    services: &BTreeSet<&str>,
    at: &impl Fn(&str) -> String,
    found: &mut Vec<Violation>,
) {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    if total == 0 {
        let rule = "must name a service whose weight is above 0";
        found.push(violation(at("targets"), rule));
    }
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            found.push(violation(
                at("targets"),
                "must name services that are there",
            ));
        }
    }
}

fn violation(field: impl Into<String>, rule: &'static str) -> Violation {
    Violation {
        field: field.into(),
        rule,
    }
}
