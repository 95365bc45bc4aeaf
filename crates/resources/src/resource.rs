//! Resources that operators create.

use luglink_types::{
    Budget, ClassName, EngineId, ModelName, Priority, ServiceName, TenantName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Tenant, to which the resource use of its programs is charged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: TenantName,
    /// Weight of the tenant's share of the engines under contention, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of concurrent calls in the whole fleet; 0 for no limit.
    #[serde(default)]
    pub max_concurrent_calls: u32,
    /// Maximum number of tokens per second in the whole fleet; 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u64,
}

/// Defaults and limits of a class of programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramClass {
    /// Name.
    pub name: ClassName,
    /// Default priority.
    #[serde(default)]
    pub priority: Priority,
    /// Name of the budget that limits each program of the class; empty for no limit.
    #[serde(default)]
    pub budget: String,
    /// Maximum pause between two calls, in milliseconds. After it, a program counts as abandoned.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Maximum number of calls that wait at one daemon. Further calls are refused as overloaded.
    #[serde(default = "default_max_queued_calls")]
    pub max_queued_calls: u32,
}

/// Replica of a pool or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Identifier, unique in the whole configuration.
    pub engine: EngineId,
    /// IP address and port.
    pub address: String,
    /// Zone.
    pub zone: ZoneName,
}

/// Pool of engines that serve one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPool {
    /// Name of the model.
    pub name: ModelName,
    /// Version of the model to serve.
    pub version: String,
    /// Cost of a token, in millionths of the operator's currency unit.
    #[serde(default)]
    pub cost_per_token_micros: u64,
    /// Default limit on the generated tokens of a call.
    #[serde(default = "default_max_output_tokens")]
    pub max_output_tokens: u64,
    /// Minimum number of replicas that must keep serving during a rollout.
    #[serde(default)]
    pub minimum_serving: u32,
    /// Replicas.
    pub replicas: Vec<Replica>,
}

/// Fine-tuned adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// Model that the adapter belongs to.
    pub model: ModelName,
    /// Version of the adapter to serve.
    pub version: String,
}

/// Queueing parameters of a priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityLevel {
    /// Priority.
    pub name: Priority,
    /// Waiting time after which a call counts as one priority higher, in milliseconds.
    pub aging_ms: u64,
}

/// Named budget that limits the programs of the classes that refer to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetPolicy {
    /// Name.
    pub name: String,
    /// Limits.
    pub budget: Budget,
}

/// Plain service, which callers reach with HTTP lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Replicas.
    pub replicas: Vec<Replica>,
}

/// Default weight of a tenant.
const DEFAULT_WEIGHT: u32 = 1;

/// Default idle timeout of programs: 15 minutes.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 900_000;

/// Default maximum number of calls of a class that wait at one daemon.
const DEFAULT_MAX_QUEUED_CALLS: u32 = 512;

/// Default limit on the generated tokens of a call.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 4_096;

const fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

const fn default_idle_timeout_ms() -> u64 {
    DEFAULT_IDLE_TIMEOUT_MS
}

const fn default_max_queued_calls() -> u32 {
    DEFAULT_MAX_QUEUED_CALLS
}

const fn default_max_output_tokens() -> u64 {
    DEFAULT_MAX_OUTPUT_TOKENS
}

macro_rules! resource_kinds {
    ($($(#[$doc:meta])* $kind:ident($type:ty) => $text:literal, |$resource:ident| $name:expr;)*) => {
        /// Kind of a resource.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResourceKind {
            $($(#[$doc])* $kind,)*
        }

        impl ResourceKind {
            /// All kinds.
            pub const ALL: &'static [ResourceKind] = &[$(Self::$kind,)*];

            /// Returns the name of the kind, as operators write it.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $text,)* }
            }
        }

        /// Resource of any kind.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Resource {
            $($(#[$doc])* $kind($type),)*
        }

        impl Resource {
            /// Returns the key of the resource.
            #[must_use]
            pub fn key(&self) -> ResourceKey {
                match self {
                    $(Self::$kind($resource) => ResourceKey {
                        kind: ResourceKind::$kind,
                        name: $name,
                    },)*
                }
            }
        }
    };
}

resource_kinds! {
    /// See [`Tenant`].
    Tenant(Tenant) => "tenant", |resource| resource.name.0.clone();
    /// See [`ProgramClass`].
    Class(ProgramClass) => "class", |resource| resource.name.0.clone();
    /// See [`ModelPool`].
    ModelPool(ModelPool) => "model_pool", |resource| resource.name.0.clone();
    /// See [`Adapter`].
    Adapter(Adapter) => "adapter", |resource| resource.name.clone();
    /// See [`PriorityLevel`].
    Priority(PriorityLevel) => "priority", |resource| priority_name(resource.name).to_owned();
    /// See [`BudgetPolicy`].
    Budget(BudgetPolicy) => "budget", |resource| resource.name.clone();
    /// See [`Service`].
    Service(Service) => "service", |resource| resource.name.0.clone();
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Key of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

pub(crate) const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Background => "background",
        Priority::Normal => "normal",
        Priority::Interactive => "interactive",
    }
}
