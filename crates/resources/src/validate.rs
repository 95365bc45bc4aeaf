//! Validation of changes.

use crate::change::{Change, Operation};
use crate::errors::Violation;
use crate::resource::{
    Adapter, BudgetPolicy, ModelPool, PriorityLevel, ProgramClass, Replica, Resource, ResourceKey,
    ResourceKind, Service, Tenant,
};
use luglink_types::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MAX_NAME_BYTES: usize = 63;
const MAX_OPERATIONS: usize = 1_000;
const MAX_REPLICAS: usize = 4_096;
const MAX_TEXT_BYTES: usize = 200;

/// Validates a change against the current resources and returns all violations.
#[must_use]
pub fn validate_change(
    current: &BTreeMap<ResourceKey, Resource>,
    change: &Change,
) -> Vec<Violation> {
    let mut checker = Checker::default();
    checker.check_change(change);
    let mut next = current.clone();
    for operation in &change.operations {
        checker.check_operation(&next, operation);
        apply_operation(&mut next, operation);
    }
    if checker.violations.is_empty() {
        checker.check_references(&next);
    }
    checker.violations
}

/// Applies one operation.
pub(crate) fn apply_operation(
    resources: &mut BTreeMap<ResourceKey, Resource>,
    operation: &Operation,
) {
    match operation {
        Operation::Set(resource) => {
            resources.insert(resource.key(), resource.clone());
        }
        Operation::Delete(key) => {
            resources.remove(key);
        }
    }
}

#[derive(Default)]
struct Checker {
    violations: Vec<Violation>,
}

impl Checker {
    fn require(
        &mut self,
        holds: bool,
        field: impl Into<String>,
        value: impl ToString,
        rule: impl Into<String>,
    ) {
        if !holds {
            let value: String = value.to_string().chars().take(MAX_TEXT_BYTES).collect();
            self.violations.push(Violation {
                field: field.into(),
                value,
                rule: rule.into(),
            });
        }
    }

    fn check_change(&mut self, change: &Change) {
        let id = change.change_id.as_str();
        self.require(
            !id.is_empty() && id.len() <= MAX_TEXT_BYTES,
            "change_id",
            id,
            format!("1 to {MAX_TEXT_BYTES} bytes"),
        );
        self.require(
            change.operator.len() <= MAX_TEXT_BYTES,
            "operator",
            &change.operator,
            format!("at most {MAX_TEXT_BYTES} bytes"),
        );
        let count = change.operations.len();
        self.require(
            (1..=MAX_OPERATIONS).contains(&count),
            "operations",
            count,
            format!("1 to {MAX_OPERATIONS} operations"),
        );
    }

    fn check_operation(
        &mut self,
        resources: &BTreeMap<ResourceKey, Resource>,
        operation: &Operation,
    ) {
        match operation {
            Operation::Delete(key) => self.require(
                resources.contains_key(key),
                "delete",
                key,
                "the resource must exist",
            ),
            Operation::Set(resource) => {
                let key = resource.key();
                self.check_name(&key);
                self.check_resource(&key.to_string(), resource);
            }
        }
    }

    fn check_name(&mut self, key: &ResourceKey) {
        let is_allowed =
            |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let name = &key.name;
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed);
        self.require(
            is_valid,
            format!("{}.name", key.kind),
            name,
            format!("1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"),
        );
    }

    fn check_resource(&mut self, prefix: &str, resource: &Resource) {
        match resource {
            Resource::Tenant(tenant) => self.check_tenant(prefix, tenant),
            Resource::Class(class) => self.check_class(prefix, class),
            Resource::ModelPool(pool) => self.check_pool(prefix, pool),
            Resource::Adapter(adapter) => self.check_adapter(prefix, adapter),
            Resource::Priority(level) => self.check_priority(prefix, level),
            Resource::Budget(policy) => self.check_budget(prefix, policy),
            Resource::Service(service) => self.check_service(prefix, service),
        }
    }

    fn check_tenant(&mut self, prefix: &str, tenant: &Tenant) {
        self.require(
            tenant.weight > 0,
            format!("{prefix}.weight"),
            tenant.weight,
            "above 0",
        );
    }

    fn check_class(&mut self, prefix: &str, class: &ProgramClass) {
        self.require(
            class.idle_timeout_ms > 0,
            format!("{prefix}.idle_timeout_ms"),
            class.idle_timeout_ms,
            "above 0",
        );
        self.require(
            class.max_queued_calls > 0,
            format!("{prefix}.max_queued_calls"),
            class.max_queued_calls,
            "above 0",
        );
    }

    fn check_pool(&mut self, prefix: &str, pool: &ModelPool) {
        self.check_version(prefix, &pool.version);
        self.require(
            pool.max_output_tokens > 0,
            format!("{prefix}.max_output_tokens"),
            pool.max_output_tokens,
            "above 0",
        );
        self.check_replicas(prefix, &pool.replicas);
        self.require(
            pool.minimum_serving as usize <= pool.replicas.len(),
            format!("{prefix}.minimum_serving"),
            pool.minimum_serving,
            "at most the number of replicas",
        );
    }

    fn check_version(&mut self, prefix: &str, version: &str) {
        self.require(
            !version.is_empty() && version.len() <= MAX_NAME_BYTES,
            format!("{prefix}.version"),
            version,
            format!("1 to {MAX_NAME_BYTES} bytes"),
        );
    }

    fn check_adapter(&mut self, prefix: &str, adapter: &Adapter) {
        self.check_version(prefix, &adapter.version);
    }

    fn check_priority(&mut self, prefix: &str, level: &PriorityLevel) {
        self.require(
            level.aging_ms > 0,
            format!("{prefix}.aging_ms"),
            level.aging_ms,
            "above 0, or low priorities could starve",
        );
    }

    fn check_budget(&mut self, prefix: &str, policy: &BudgetPolicy) {
        let budget = &policy.budget;
        let positive = [
            ("calls", budget.calls),
            ("tokens", budget.tokens),
            ("deadline_ms", budget.deadline_ms),
        ];
        for (field, value) in positive {
            self.require(
                value > 0,
                format!("{prefix}.{field}"),
                value,
                "above 0, or no program could ever run",
            );
        }
    }

    fn check_service(&mut self, prefix: &str, service: &Service) {
        self.check_replicas(prefix, &service.replicas);
    }

    fn check_replicas(&mut self, prefix: &str, replicas: &[Replica]) {
        self.require(
            replicas.len() <= MAX_REPLICAS,
            format!("{prefix}.replicas"),
            replicas.len(),
            format!("at most {MAX_REPLICAS}"),
        );
        for (index, replica) in replicas.iter().enumerate() {
            self.require(
                replica.address.parse::<SocketAddr>().is_ok(),
                format!("{prefix}.replicas[{index}].address"),
                &replica.address,
                "an IP number and a port, as in 127.0.0.1:8000",
            );
        }
    }

    fn check_references(&mut self, resources: &BTreeMap<ResourceKey, Resource>) {
        let mut engines: BTreeSet<EngineId> = BTreeSet::new();
        for (key, resource) in resources {
            match resource {
                Resource::Class(class) if !class.budget.is_empty() => self.require_existing(
                    resources,
                    format!("{key}.budget"),
                    ResourceKind::Budget,
                    &class.budget,
                ),
                Resource::Adapter(adapter) => self.require_existing(
                    resources,
                    format!("{key}.model"),
                    ResourceKind::ModelPool,
                    adapter.model.as_str(),
                ),
                Resource::ModelPool(pool) => {
                    self.require_unique(&mut engines, key, &pool.replicas);
                }
                Resource::Service(service) => {
                    self.require_unique(&mut engines, key, &service.replicas);
                }
                _ => {}
            }
        }
    }

    fn require_existing(
        &mut self,
        resources: &BTreeMap<ResourceKey, Resource>,
        field: String,
        kind: ResourceKind,
        name: &str,
    ) {
        let key = ResourceKey {
            kind,
            name: name.to_owned(),
        };
        self.require(
            resources.contains_key(&key),
            field,
            name,
            format!("a {kind} of this name must exist"),
        );
    }

    fn require_unique(
        &mut self,
        engines: &mut BTreeSet<EngineId>,
        key: &ResourceKey,
        replicas: &[Replica],
    ) {
        for (index, replica) in replicas.iter().enumerate() {
            self.require(
                engines.insert(replica.engine),
                format!("{key}.replicas[{index}].engine"),
                replica.engine,
                "unique in the whole configuration",
            );
        }
    }
}
