//! The resources that operators create.

use luglink_types::{
    Budget, ClassName, EngineId, ModelName, Priority, ServiceName, TenantName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Who pays for programs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name.
    pub name: TenantName,
    /// Share of the engines under contention, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Calls in flight in the whole fleet; 0 for no limit.
    #[serde(default)]
    pub max_concurrent_calls: u32,
    /// Tokens per second in the whole fleet; 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u64,
}

/// Defaults and limits of programs of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramClass {
    /// Name.
    pub name: ClassName,
    /// Priority of programs that state none.
    #[serde(default)]
    pub priority: Priority,
    /// Name of the budget that caps each program of the class; empty for none.
    #[serde(default)]
    pub budget: String,
    /// Longest pause between two calls before a program counts as abandoned, in milliseconds.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Calls that may wait at one daemon; more are refused as overloaded.
    #[serde(default = "default_max_queued_calls")]
    pub max_queued_calls: u32,
}

/// One replica of a pool or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Identifier, unique in the whole configuration.
    pub engine: EngineId,
    /// Address: an IP number and a port.
    pub address: String,
    /// Zone.
    pub zone: ZoneName,
}

/// The engines that serve one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPool {
    /// Name of the model.
    pub name: ModelName,
    /// Version to serve.
    pub version: String,
    /// Price of one token in millionths of the currency unit.
    #[serde(default)]
    pub cost_per_token_micros: u64,
    /// Ceiling of generated tokens of calls that state none.
    #[serde(default = "default_max_output_tokens")]
    pub max_output_tokens: u64,
    /// Replicas that a rollout must leave serving.
    #[serde(default)]
    pub minimum_serving: u32,
    /// The replicas.
    pub replicas: Vec<Replica>,
}

/// A fine-tuned adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name.
    pub name: String,
    /// The model it belongs to.
    pub model: ModelName,
    /// Version to serve.
    pub version: String,
}

/// What a priority means for queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityLevel {
    /// The priority.
    pub name: Priority,
    /// After waiting this long a call counts as one priority higher, in milliseconds.
    pub aging_ms: u64,
}

/// A named budget that caps programs of the classes that refer to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetPolicy {
    /// Name.
    pub name: String,
    /// The ceilings.
    pub budget: Budget,
}

/// A plain service, reached by HTTP lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// The replicas.
    pub replicas: Vec<Replica>,
}

/// Weight of tenants that state none.
const DEFAULT_WEIGHT: u32 = 1;

/// Longest pause of programs whose class states none: fifteen minutes.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 900_000;

/// Calls that may wait at one daemon when the class states nothing.
const DEFAULT_MAX_QUEUED_CALLS: u32 = 512;

/// Ceiling of generated tokens when the pool states none.
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
        /// The kind of a resource.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResourceKind {
            $($(#[$doc])* $kind,)*
        }

        impl ResourceKind {
            /// Every kind.
            pub const ALL: &'static [ResourceKind] = &[$(Self::$kind,)*];

            /// The kind as operators write it.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $text,)* }
            }
        }

        /// One resource.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Resource {
            $($(#[$doc])* $kind($type),)*
        }

        impl Resource {
            /// The key under which the resource is kept.
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

/// Names a resource.
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
