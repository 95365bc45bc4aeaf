//! Rules that a configuration must keep to come into force.

use crate::configuration::{Configuration, Route};
use crate::tenant::Tenant;
use std::collections::{BTreeMap, BTreeSet};
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
        self.check_tenants(&mut found);
        found
    }

    fn check_tenants(&self, found: &mut Vec<Violation>) {
        let mut names = BTreeSet::new();
        let mut holders = BTreeMap::new();
        for (position, tenant) in self.tenants.iter().enumerate() {
            let at = |field: &str| format!("tenants[{position}].{field} of `{}`", tenant.name);
            check_tenant(tenant, &at, found);
            if !names.insert(&tenant.name) {
                found.push(violation(at("name"), "must name each tenant once"));
            }
            let is_shared = |key| *holders.entry(key).or_insert(position) != position;
            if tenant.keys.iter().any(is_shared) {
                found.push(violation(at("keys"), "must not be another tenant's too"));
            }
        }
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

fn check_tenant(tenant: &Tenant, at: &impl Fn(&str) -> String, found: &mut Vec<Violation>) {
    // Replicas are told the name in a header, and stored turns are named by it.
    let name = tenant.name.as_str();
    let is_sendable = !name.is_empty() && name.bytes().all(|byte| matches!(byte, 0x21..=0x7e));
    if !is_sendable {
        let rule = "must be of visible ASCII characters, at least one";
        found.push(violation(at("name"), rule));
    }
    if tenant.keys.iter().any(|key| key.secret().is_empty()) {
        found.push(violation(at("keys"), "must not be empty"));
    }
    if let Some(quota) = tenant.quota {
        if !(quota.rate_per_s.is_finite() && quota.rate_per_s > 0.0) {
            found.push(violation(at("rate_per_s"), "must be above 0"));
        }
        if !(quota.burst.is_finite() && quota.burst >= 0.0) {
            found.push(violation(at("burst"), "must not be below 0"));
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
