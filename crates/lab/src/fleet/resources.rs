//! The configuration of a deployment.

use crate::fleet::config::FleetConfig;
use crate::trace::ChangeSet;
use luglink_admin_api::v1;
use luglink_types::Priority;
use serde_json::Value;
use std::net::SocketAddr;

/// Waiting time after which a call counts as one priority higher, in milliseconds.
const AGING_MS: u64 = 8_000;

/// Replicas that a rollout must leave serving.
const MINIMUM_SERVING: u32 = 4;

/// Ceiling of generated tokens.
const MAX_OUTPUT_TOKENS: u64 = 4_096;

fn set(resource: v1::resource::Resource) -> v1::Operation {
    v1::Operation {
        operation: Some(v1::operation::Operation::Set(v1::Resource {
            resource: Some(resource),
        })),
    }
}

/// The operations that configure a deployment with these engines and service replicas.
#[must_use]
pub fn deployment_resources(
    config: &FleetConfig,
    engines: &[SocketAddr],
    services: &[SocketAddr],
) -> Vec<v1::Operation> {
    use v1::resource::Resource;
    let deployment = config.deployment;
    let mut operations = vec![
        set(Resource::Tenant(v1::Tenant {
            name: deployment.tenant().to_owned(),
            weight: 1,
            ..v1::Tenant::default()
        })),
        set(Resource::ModelPool(v1::ModelPool {
            name: deployment.model().to_owned(),
            version: "1".to_owned(),
            cost_per_token_micros: 2,
            max_output_tokens: MAX_OUTPUT_TOKENS,
            minimum_serving: MINIMUM_SERVING.min(engines.len().try_into().unwrap_or(u32::MAX)),
            replicas: replicas(config, engines, 0),
        })),
        set(Resource::Service(v1::Service {
            name: deployment.service().to_owned(),
            replicas: replicas(config, services, engines.len()),
        })),
    ];
    for priority in [
        v1::Priority::Background,
        v1::Priority::Normal,
        v1::Priority::Interactive,
    ] {
        operations.push(set(Resource::Priority(v1::PriorityLevel {
            name: priority.into(),
            aging_ms: AGING_MS,
        })));
    }
    for (class, priority) in deployment.classes() {
        operations.push(set(Resource::Budget(v1::BudgetPolicy {
            name: (*class).to_owned(),
            ..v1::BudgetPolicy::default()
        })));
        operations.push(set(Resource::Class(v1::ProgramClass {
            name: (*class).to_owned(),
            priority: priority_to_proto(*priority).into(),
            budget: (*class).to_owned(),
            idle_timeout_ms: config.idle_timeout_ms,
            max_queued_calls: u32::try_from(config.max_queued_calls).unwrap_or(u32::MAX),
        })));
    }
    operations
}

fn priority_to_proto(priority: Priority) -> v1::Priority {
    match priority {
        Priority::Background => v1::Priority::Background,
        Priority::Normal => v1::Priority::Normal,
        Priority::Interactive => v1::Priority::Interactive,
    }
}

fn replicas(config: &FleetConfig, addresses: &[SocketAddr], first: usize) -> Vec<v1::Replica> {
    let zones = config.deployment.zones();
    let replica = |(index, address): (usize, &SocketAddr)| v1::Replica {
        engine: u32::try_from(first + index).unwrap_or(u32::MAX),
        address: address.to_string(),
        zone: zones[index % zones.len()].to_owned(),
    };
    addresses.iter().enumerate().map(replica).collect()
}

/// The budget that a trace's change sets, on top of the budget there is.
///
/// # Errors
/// The change is not one of a budget, or a field is not one of a budget's.
pub fn budget_from_change(
    set: &ChangeSet,
    current: Option<v1::BudgetPolicy>,
) -> Result<v1::Operation, String> {
    if set.kind != "budget" {
        return Err(format!(
            "set.kind: `{}` cannot be changed by a trace, only `budget` can",
            set.kind
        ));
    }
    let mut budget = current.unwrap_or_default();
    budget.name.clone_from(&set.name);
    for (field, value) in &set.fields {
        let number = Value::as_u64(value)
            .ok_or_else(|| format!("set.{field}: must be a whole number, not {value}"))?;
        match field.as_str() {
            "calls" => budget.calls = Some(number),
            "tokens" => budget.tokens = Some(number),
            "cost_micros" => budget.cost_micros = Some(number),
            "retries" => budget.retries = Some(number),
            "deadline_ms" => budget.deadline_ms = Some(number),
            _ => return Err(format!("set.{field}: is not a field of a budget")),
        }
    }
    Ok(self::set(v1::resource::Resource::Budget(budget)))
}
