//! luglink's native dialect, for deployments without a platform of their own.

use crate::configuration::Configuration;
use crate::dialect::{BackendPage, Dialect, HeaderNames, OperatorCall, ResolutionQuery};
use crate::errors::{DialectError, MalformedSnafu};
use crate::list_entries::{ListEntries, ListEntry};
use crate::replica_report::ReplicaReport;
use http::{HeaderName, Method};
use luglink_fleet::{Backend, BackendId, Incarnation, RetireState, SoftwareVersion, StoreName};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

const CONFIGURATION_PATH: &str = "/v1/configuration";
const STORES_PATH: &str = "/v1/stores/";
const RETIREMENT_SUFFIX: &str = "/retirement";

/// luglink's native dialect.
#[derive(Clone, Debug)]
pub struct LuglinkDialect {
    headers: HeaderNames,
}

impl Default for LuglinkDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            headers: HeaderNames {
                request_id: name("luglink-request-id"),
                deadline_ms: name("luglink-deadline-ms"),
                expected_replica: name("luglink-expected-replica"),
                not_executed: name("luglink-not-executed"),
                signature: name("luglink-signature"),
                program: name("luglink-program"),
                previous_turn: name("luglink-previous-turn"),
                token_budget: name("luglink-token-budget"),
                token_usage: name("luglink-token-usage"),
                program_deadline_ms: name("luglink-program-deadline-ms"),
                prompt_parts: name("luglink-prompt-parts"),
                priority: name("luglink-priority"),
                last_event_id: name("last-event-id"),
                resumes: name("luglink-resumes"),
                retry_after: http::header::RETRY_AFTER,
                tenant: name("luglink-tenant"),
                credential: http::header::AUTHORIZATION,
                credential_scheme: "Bearer",
                reserved: vec![
                    name("luglink-expected-replica"),
                    name("luglink-priority"),
                    name("luglink-tenant"),
                ],
            },
        }
    }
}

/// Entry of a replica list.
#[derive(Serialize, Deserialize)]
struct ListedBackend {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    /// Start time in Unix milliseconds.
    #[serde(default)]
    started_ms: u64,
    /// Version of its software. Replicas of a list that names none are of one version.
    #[serde(default)]
    version: SoftwareVersion,
}

impl ListEntry for ListedBackend {
    fn names(&self) -> Vec<&str> {
        vec![&self.id, &self.service, &self.zone]
    }
}

/// Load report of a replica.
#[derive(Serialize, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    memory_used: u64,
    memory_total: u64,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Serialize)]
struct Resolution<'answer> {
    gateways: &'answer [SocketAddr],
    valid_for_ms: u128,
}

#[derive(Serialize)]
struct Retirement {
    state: RetireState,
}

#[derive(Serialize)]
struct Problem<'answer> {
    detail: &'answer str,
}

fn body(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

impl Dialect for LuglinkDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn configuration(&self, content: &[u8]) -> Result<Configuration, DialectError> {
        serde_json::from_slice(content).context(MalformedSnafu {
            what: "configuration",
        })
    }

    fn list_path(&self, page: Option<&str>) -> String {
        page.map_or_else(
            || "/v1/replicas".to_owned(),
            |page| format!("/v1/replicas?page={page}"),
        )
    }

    fn backend_page(&self, content: &[u8]) -> Result<BackendPage, DialectError> {
        let page = ListEntries::<ListedBackend>::read(content, "replicas", "next")?;
        let backends = page.entries.into_iter().map(|listed| Backend {
            id: BackendId(listed.id),
            service: listed.service,
            address: listed.address,
            zone: listed.zone,
            slots: listed.slots,
            draining: listed.draining,
            incarnation: Incarnation(listed.started_ms),
            version: Some(listed.version),
        });
        Ok(BackendPage {
            backends: backends.collect(),
            skipped_entries: page.skipped_entries,
            next: page.next,
        })
    }

    fn report_path(&self) -> &'static str {
        "/v1/report"
    }

    fn replica_report(&self, content: &[u8]) -> Result<ReplicaReport, DialectError> {
        let report: Report =
            serde_json::from_slice(content).context(MalformedSnafu { what: "report" })?;
        Ok(ReplicaReport {
            running: report.running,
            waiting: report.waiting,
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            incarnation: Incarnation(report.started_ms),
        })
    }

    fn is_readiness(&self, path: &str) -> bool {
        path == "/v1/ready"
    }

    fn resolution(&self, path: &str, query: &str) -> Option<ResolutionQuery> {
        (path == "/v1/gateways").then(|| ResolutionQuery {
            zone: query
                .split('&')
                .find_map(|pair| pair.strip_prefix("zone="))
                .map(str::to_owned),
        })
    }

    fn resolution_answer(&self, gateways: &[SocketAddr], valid_for: Duration) -> Vec<u8> {
        body(&Resolution {
            gateways,
            valid_for_ms: valid_for.as_millis(),
        })
    }

    fn operator_call(&self, method: &Method, path: &str) -> Option<OperatorCall> {
        let is_read = method == Method::GET;
        if path == CONFIGURATION_PATH {
            return match is_read {
                true => Some(OperatorCall::GetConfiguration),
                false => Some(OperatorCall::PutConfiguration),
            };
        }
        let name = path
            .strip_prefix(STORES_PATH)?
            .strip_suffix(RETIREMENT_SUFFIX)?;
        let name = StoreName(name.to_owned());
        Some(match is_read {
            true => OperatorCall::GetRetirement(name),
            false => OperatorCall::StartRetirement(name),
        })
    }

    fn retirement_answer(&self, state: RetireState) -> Vec<u8> {
        body(&Retirement { state })
    }

    fn problem(&self, detail: &str) -> Vec<u8> {
        body(&Problem { detail })
    }
}
