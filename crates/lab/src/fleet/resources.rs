//! The configuration of a deployment.

use crate::trace::{ChangeSet, Deployment};
use luglink_resources::{
    BudgetPolicy, ModelPool, Operation, PriorityLevel, ProgramClass, Replica, Resource, Service,
    Tenant,
};
use luglink_types::{Budget, Priority};
use serde_json::Value;

/// Waiting time after which a call counts as one priority higher, in milliseconds.
const AGING_MS: u64 = 8_000;

/// Replicas that a rollout must leave serving.
const MINIMUM_SERVING: u32 = 4;

/// Ceiling of generated tokens.
const MAX_OUTPUT_TOKENS: u64 = 4_096;

/// Price of a token in millionths of the currency unit.
const TOKEN_PRICE_MICROS: u64 = 2;

/// What a deployment's configuration is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentLayout {
    /// The deployment.
    pub deployment: Deployment,
    /// Its engines.
    pub engines: Vec<Replica>,
    /// Replicas of its plain service.
    pub services: Vec<Replica>,
    /// Pause after which a program counts as abandoned, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Calls of one class that may wait at one daemon.
    pub max_queued_calls: usize,
}

/// The operations that configure a deployment.
#[must_use]
pub fn deployment_resources(layout: &DeploymentLayout) -> Vec<Operation> {
    let deployment = layout.deployment;
    let engines = u32::try_from(layout.engines.len()).unwrap_or(u32::MAX);
    let mut resources = vec![
        Resource::Tenant(Tenant {
            name: deployment.tenant().into(),
            weight: 1,
            max_concurrent_calls: 0,
            tokens_per_second: 0,
        }),
        Resource::ModelPool(ModelPool {
            name: deployment.model().into(),
            version: "1".to_owned(),
            cost_per_token_micros: TOKEN_PRICE_MICROS,
            max_output_tokens: MAX_OUTPUT_TOKENS,
            minimum_serving: MINIMUM_SERVING.min(engines),
            replicas: layout.engines.clone(),
        }),
        Resource::Service(Service {
            name: deployment.service().into(),
            replicas: layout.services.clone(),
        }),
    ];
    for name in [
        Priority::Background,
        Priority::Normal,
        Priority::Interactive,
    ] {
        resources.push(Resource::Priority(PriorityLevel {
            name,
            aging_ms: AGING_MS,
        }));
    }
    for (class, priority) in deployment.classes() {
        resources.push(Resource::Budget(BudgetPolicy {
            name: (*class).to_owned(),
            budget: Budget::default(),
        }));
        resources.push(Resource::Class(ProgramClass {
            name: (*class).into(),
            priority: *priority,
            budget: (*class).to_owned(),
            idle_timeout_ms: layout.idle_timeout_ms,
            max_queued_calls: u32::try_from(layout.max_queued_calls).unwrap_or(u32::MAX),
        }));
    }
    resources.into_iter().map(Operation::Set).collect()
}

/// The budget that a trace's change sets, on top of the budget there is.
///
/// # Errors
/// The change is not one of a budget, or a field is not one of a budget's.
pub fn budget_from_change(
    set: &ChangeSet,
    current: Option<BudgetPolicy>,
) -> Result<BudgetPolicy, String> {
    if set.kind != "budget" {
        return Err(format!(
            "set.kind: `{}` cannot be changed by a trace, only `budget` can",
            set.kind
        ));
    }
    let mut budget = current.map_or_else(Budget::default, |policy| policy.budget);
    for (field, value) in &set.fields {
        let number = Value::as_u64(value)
            .ok_or_else(|| format!("set.{field}: must be a whole number, not {value}"))?;
        match field.as_str() {
            "calls" => budget.calls = number,
            "tokens" => budget.tokens = number,
            "cost_micros" => budget.cost_micros = number,
            "retries" => budget.retries = number,
            "deadline_ms" => budget.deadline_ms = number,
            _ => return Err(format!("set.{field}: is not a field of a budget")),
        }
    }
    Ok(BudgetPolicy {
        name: set.name.clone(),
        budget,
    })
}
