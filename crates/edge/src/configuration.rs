//! The configuration, which operators activate as one document.

use crate::tenant::Tenant;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::time::Duration;

/// Kind of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests that may run more than once.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Requests that are answered by a stream of events.
    Streaming,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the sum of all weights.
    pub weight: u32,
}

/// Route of requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency, in milliseconds: a response within it is in time.
    pub target_latency_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that get its requests.
    pub targets: Vec<Target>,
    /// Maximum number of replicas that may run one request.
    pub max_attempts: u32,
    /// True if requests contain only new input and refer to the previous turn.
    pub keeps_history: bool,
    /// Time for which turns are stored, in milliseconds.
    pub retention_ms: u64,
    /// True if a stream can be resumed at another replica.
    pub resumable: bool,
    /// Maximum gap between two events of a response that is in time, in milliseconds, if the
    /// operator sets one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_aim_ms: Option<u64>,
    /// True if callers need no key even if the configuration has tenants.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Returns the timeout of a request.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the target latency of a response.
    #[must_use]
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }

    /// Returns the maximum gap between two events of a response that is in time, if the operator
    /// sets one.
    #[must_use]
    pub fn target_event_gap(&self) -> Option<Duration> {
        self.gap_aim_ms.map(Duration::from_millis)
    }

    /// Returns true if a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// Parameters of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Memory for running requests and cached prompts, in tokens.
    pub cache_tokens: u64,
    /// Number of generated tokens per event.
    pub tokens_per_event: u64,
}

/// A service with a set of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections of all gateways together to one replica.
    pub connection_limit: u32,
    /// Parameters of its engines, if its replicas are model engines.
    pub engine: Option<Engine>,
}

/// Size limits and timeouts for callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number, set by the operator.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Tenants with their keys. Without tenants, no key is needed and keys are ignored.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Returns the names of all routes.
    #[must_use]
    pub fn route_names(&self) -> HashSet<&str> {
        self.routes
            .iter()
            .map(|route| route.name.as_str())
            .collect()
    }

    /// Returns the service of the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
