//! Conversions between messages of the API and resources.

use crate::errors::{ApiError, ApiSnafu};
use crate::v1;
use luglink_resources::{
    Adapter, BudgetPolicy, Change, ChangeResponse, ModelPool, Operation, PriorityLevel,
    ProgramClass, Replica, Resource, ResourceKey, ResourceKind, RevisionPrecondition, Service,
    Tenant,
};
use luglink_types::{
    Budget, ChangeId, ClassName, EngineId, ModelName, Priority, Revision, ServiceName, TenantName,
    UNLIMITED, ZoneName,
};
use snafu::OptionExt;

/// Converts a request to a change.
///
/// # Errors
/// Returns an error if a required field is missing or a value is unknown.
pub fn change_from_proto(request: v1::ApplyRequest) -> Result<Change, ApiError> {
    let operations: Result<Vec<Operation>, ApiError> = request
        .operations
        .into_iter()
        .map(operation_from_proto)
        .collect();
    Ok(Change {
        change_id: ChangeId(request.change_id),
        operator: request.operator,
        expected: request
            .expected_revision
            .map_or(RevisionPrecondition::Current, |revision| {
                RevisionPrecondition::Exactly(Revision(revision))
            }),
        operations: operations?,
    })
}

/// Converts a change response to a message.
#[must_use]
pub fn response_to_proto(response: ChangeResponse) -> v1::ApplyResponse {
    use v1::apply_response::Answer;
    let answer = match response {
        ChangeResponse::Accepted { revision } => Answer::AcceptedRevision(revision.0),
        ChangeResponse::Stale { current, .. } => Answer::StaleCurrentRevision(current.0),
        ChangeResponse::Invalid { violations } => Answer::Invalid(v1::Violations {
            violations: violations
                .into_iter()
                .map(|violation| v1::Violation {
                    field: violation.field,
                    value: violation.value,
                    rule: violation.rule,
                })
                .collect(),
        }),
        ChangeResponse::ChangeIdReused => Answer::ChangeIdReused(true),
    };
    v1::ApplyResponse {
        answer: Some(answer),
    }
}

/// Converts a message to an operation.
///
/// # Errors
/// Returns an error if the message is empty or contains an invalid resource or key.
pub fn operation_from_proto(operation: v1::Operation) -> Result<Operation, ApiError> {
    use v1::operation::Operation as OperationMessage;
    match operation.operation {
        Some(OperationMessage::Set(resource)) => resource_from_proto(resource).map(Operation::Set),
        Some(OperationMessage::Delete(key)) => key_from_proto(&key).map(Operation::Delete),
        None => ApiSnafu {
            field: "operation",
            rule: "must be set or delete",
        }
        .fail(),
    }
}

/// Converts an operation to a message.
#[must_use]
pub fn operation_to_proto(operation: &Operation) -> v1::Operation {
    use v1::operation::Operation as OperationMessage;
    let message = match operation {
        Operation::Set(resource) => OperationMessage::Set(resource_to_proto(resource)),
        Operation::Delete(key) => OperationMessage::Delete(v1::ResourceKey {
            kind: kind_to_proto(key.kind).into(),
            name: key.name.clone(),
        }),
    };
    v1::Operation {
        operation: Some(message),
    }
}

/// Converts a message to a key of a resource.
///
/// # Errors
/// Returns an error if the kind is unknown.
pub fn key_from_proto(key: &v1::ResourceKey) -> Result<ResourceKey, ApiError> {
    let kind = kind_from_proto(key.kind()).context(ApiSnafu {
        field: "kind",
        rule: "must be a known kind of resource",
    })?;
    Ok(ResourceKey {
        kind,
        name: key.name.clone(),
    })
}

/// Converts the kind of a resource; `None` if it is unspecified.
#[must_use]
pub fn kind_from_proto(kind: v1::ResourceKind) -> Option<ResourceKind> {
    match kind {
        v1::ResourceKind::Unspecified => None,
        v1::ResourceKind::Tenant => Some(ResourceKind::Tenant),
        v1::ResourceKind::Class => Some(ResourceKind::Class),
        v1::ResourceKind::ModelPool => Some(ResourceKind::ModelPool),
        v1::ResourceKind::Adapter => Some(ResourceKind::Adapter),
        v1::ResourceKind::Priority => Some(ResourceKind::Priority),
        v1::ResourceKind::Budget => Some(ResourceKind::Budget),
        v1::ResourceKind::Service => Some(ResourceKind::Service),
    }
}

fn kind_to_proto(kind: ResourceKind) -> v1::ResourceKind {
    match kind {
        ResourceKind::Tenant => v1::ResourceKind::Tenant,
        ResourceKind::Class => v1::ResourceKind::Class,
        ResourceKind::ModelPool => v1::ResourceKind::ModelPool,
        ResourceKind::Adapter => v1::ResourceKind::Adapter,
        ResourceKind::Priority => v1::ResourceKind::Priority,
        ResourceKind::Budget => v1::ResourceKind::Budget,
        ResourceKind::Service => v1::ResourceKind::Service,
    }
}

/// Converts a message to a resource.
///
/// # Errors
/// Returns an error if the message is empty or a priority is unknown.
pub fn resource_from_proto(resource: v1::Resource) -> Result<Resource, ApiError> {
    use v1::resource::Resource as Message;
    let resource = resource.resource.context(ApiSnafu {
        field: "resource",
        rule: "must be one of the resource kinds",
    })?;
    Ok(match resource {
        Message::Tenant(tenant) => Resource::Tenant(Tenant {
            name: TenantName(tenant.name),
            weight: tenant.weight,
            max_concurrent_calls: tenant.max_concurrent_calls,
            tokens_per_second: tenant.tokens_per_second,
        }),
        Message::Class(class) => Resource::Class(ProgramClass {
            priority: priority_from_proto(class.priority())?,
            name: ClassName(class.name),
            budget: class.budget,
            idle_timeout_ms: class.idle_timeout_ms,
            max_queued_calls: class.max_queued_calls,
        }),
        Message::ModelPool(pool) => Resource::ModelPool(ModelPool {
            name: ModelName(pool.name),
            version: pool.version,
            cost_per_token_micros: pool.cost_per_token_micros,
            max_output_tokens: pool.max_output_tokens,
            minimum_serving: pool.minimum_serving,
            replicas: replicas_from_proto(pool.replicas),
        }),
        Message::Adapter(adapter) => Resource::Adapter(Adapter {
            name: adapter.name,
            model: ModelName(adapter.model),
            version: adapter.version,
        }),
        Message::Priority(level) => Resource::Priority(PriorityLevel {
            name: priority_from_proto(level.name())?,
            aging_ms: level.aging_ms,
        }),
        Message::Budget(policy) => Resource::Budget(BudgetPolicy {
            budget: Budget {
                calls: policy.calls.unwrap_or(UNLIMITED),
                tokens: policy.tokens.unwrap_or(UNLIMITED),
                cost_micros: policy.cost_micros.unwrap_or(UNLIMITED),
                retries: policy.retries.unwrap_or(UNLIMITED),
                deadline_ms: policy.deadline_ms.unwrap_or(UNLIMITED),
            },
            name: policy.name,
        }),
        Message::Service(service) => Resource::Service(Service {
            name: ServiceName(service.name),
            replicas: replicas_from_proto(service.replicas),
        }),
    })
}

/// Converts a resource to a message.
#[must_use]
pub fn resource_to_proto(resource: &Resource) -> v1::Resource {
    use v1::resource::Resource as Message;
    let message = match resource {
        Resource::Tenant(tenant) => Message::Tenant(v1::Tenant {
            name: tenant.name.0.clone(),
            weight: tenant.weight,
            max_concurrent_calls: tenant.max_concurrent_calls,
            tokens_per_second: tenant.tokens_per_second,
        }),
        Resource::Class(class) => Message::Class(v1::ProgramClass {
            name: class.name.0.clone(),
            priority: priority_to_proto(class.priority).into(),
            budget: class.budget.clone(),
            idle_timeout_ms: class.idle_timeout_ms,
            max_queued_calls: class.max_queued_calls,
        }),
        Resource::ModelPool(pool) => Message::ModelPool(v1::ModelPool {
            name: pool.name.0.clone(),
            version: pool.version.clone(),
            cost_per_token_micros: pool.cost_per_token_micros,
            max_output_tokens: pool.max_output_tokens,
            minimum_serving: pool.minimum_serving,
            replicas: replicas_to_proto(&pool.replicas),
        }),
        Resource::Adapter(adapter) => Message::Adapter(v1::Adapter {
            name: adapter.name.clone(),
            model: adapter.model.0.clone(),
            version: adapter.version.clone(),
        }),
        Resource::Priority(level) => Message::Priority(v1::PriorityLevel {
            name: priority_to_proto(level.name).into(),
            aging_ms: level.aging_ms,
        }),
        Resource::Budget(policy) => Message::Budget(budget_to_proto(policy)),
        Resource::Service(service) => Message::Service(v1::Service {
            name: service.name.0.clone(),
            replicas: replicas_to_proto(&service.replicas),
        }),
    };
    v1::Resource {
        resource: Some(message),
    }
}

fn budget_to_proto(policy: &BudgetPolicy) -> v1::BudgetPolicy {
    let limit = |value: u64| (value != UNLIMITED).then_some(value);
    v1::BudgetPolicy {
        name: policy.name.clone(),
        calls: limit(policy.budget.calls),
        tokens: limit(policy.budget.tokens),
        cost_micros: limit(policy.budget.cost_micros),
        retries: limit(policy.budget.retries),
        deadline_ms: limit(policy.budget.deadline_ms),
    }
}

fn replicas_from_proto(replicas: Vec<v1::Replica>) -> Vec<Replica> {
    let from_proto = |replica: v1::Replica| Replica {
        engine: EngineId(replica.engine),
        address: replica.address,
        zone: ZoneName(replica.zone),
    };
    replicas.into_iter().map(from_proto).collect()
}

fn replicas_to_proto(replicas: &[Replica]) -> Vec<v1::Replica> {
    let to_proto = |replica: &Replica| v1::Replica {
        engine: replica.engine.0,
        address: replica.address.clone(),
        zone: replica.zone.0.clone(),
    };
    replicas.iter().map(to_proto).collect()
}

fn priority_from_proto(priority: v1::Priority) -> Result<Priority, ApiError> {
    match priority {
        v1::Priority::Unspecified => ApiSnafu {
            field: "priority",
            rule: "must be background, normal or interactive",
        }
        .fail(),
        v1::Priority::Background => Ok(Priority::Background),
        v1::Priority::Normal => Ok(Priority::Normal),
        v1::Priority::Interactive => Ok(Priority::Interactive),
    }
}

fn priority_to_proto(priority: Priority) -> v1::Priority {
    match priority {
        Priority::Background => v1::Priority::Background,
        Priority::Normal => v1::Priority::Normal,
        Priority::Interactive => v1::Priority::Interactive,
    }
}
