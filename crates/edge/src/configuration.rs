//! The configuration that operators put in force as one document.

use crate::tenant::Tenant;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::time::Duration;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each request.
    Unsafe,
    /// Answered by a series of events.
    Streaming,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service that gets it.
    pub service: String,
    /// Its size against the other targets'.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is in time, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services that get its requests.
    pub targets: Vec<Target>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests bring only what is new and name the turn they go on from.
    pub keeps_history: bool,
    /// Time for which turns are kept, in milliseconds.
    pub retention_ms: u64,
    /// Whether a stream may go on at another replica.
    pub resumable: bool,
    /// Longest pause between events at which an answer is in time, in milliseconds, when the
    /// operator names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_aim_ms: Option<u64>,
    /// Whether callers need no key where the configuration names tenants.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Longest time that a request is held.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time within which an answer is in time.
    #[must_use]
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms)
    }

    /// Longest pause between events at which an answer is in time, when the operator names one.
    #[must_use]
    pub fn target_event_gap(&self) -> Option<Duration> {
        self.gap_aim_ms.map(Duration::from_millis)
    }

    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// What a service's model engines are like.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens of memory for running requests and cached prompts.
    pub cache_tokens: u64,
    /// Generated tokens in one event.
    pub tokens_per_event: u64,
}

/// A set of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one replica accepts from all gateways together.
    pub connection_limit: u32,
    /// Set when its replicas are model engines.
    pub engine: Option<Engine>,
}

/// What callers may send, and for how long they may take or rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time for the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may rest, in milliseconds.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operator's version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Who may call; with none, everybody may and no key is looked at.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Names of all routes.
    #[must_use]
    pub fn route_names(&self) -> HashSet<&str> {
        self.routes
            .iter()
            .map(|route| route.name.as_str())
            .collect()
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
