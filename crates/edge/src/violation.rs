//! Validation of configurations.

use crate::configuration::{Configuration, Route};
use crate::tenant::Tenant;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A rule that a configuration violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Path of the field, as in `routes[3].timeout_ms`.
    pub field: String,
    /// The violated rule.
    pub rule: &'static str,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.rule)
    }
}

impl Configuration {
    /// Returns all violated rules: of the version, then of services, routes and tenants.
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
        let mut first_uses = BTreeMap::new();
        for (position, tenant) in self.tenants.iter().enumerate() {
            let at = |field: &str| format!("tenants[{position}].{field} of `{}`", tenant.name);
            check_tenant(tenant, &at, found);
            if !names.insert(&tenant.name) {
                found.push(violation(at("name"), "must be unique among tenants"));
            }
            let is_shared = |key| *first_uses.entry(key).or_insert(position) != position;
            if tenant.keys.iter().any(is_shared) {
                found.push(violation(at("keys"), "must not be used by another tenant"));
            }
        }
    }

    fn check_services(&self, found: &mut Vec<Violation>) {
        let mut names = BTreeSet::new();
        for (position, service) in self.services.iter().enumerate() {
            if !names.insert(service.name.as_str()) {
                let field = format!("services[{position}].name");
                found.push(violation(field, "must be unique among services"));
            }
        }
    }

    fn check_routes(&self, found: &mut Vec<Violation>) {
        let services: BTreeSet<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let mut prefixes = BTreeSet::new();
        for (position, route) in self.routes.iter().enumerate() {
            let at = |field: &str| format!("routes[{position}].{field}");
            if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
                let rule = "must be unique among the routes of the host";
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
    // The name is sent to replicas in a header, and is part of the keys of stored turns.
    let name = tenant.name.as_str();
    let is_valid = !name.is_empty() && name.bytes().all(|byte| matches!(byte, 0x21..=0x7e));
    if !is_valid {
        let rule = "must consist of visible ASCII characters and not be empty";
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
        let rule = "must have a service with a weight above 0";
        found.push(violation(at("targets"), rule));
    }
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            found.push(violation(at("targets"), "must refer to existing services"));
        }
    }
}

fn violation(field: impl Into<String>, rule: &'static str) -> Violation {
    Violation {
        field: field.into(),
        rule,
    }
}
