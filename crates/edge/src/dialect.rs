//! Interface to the headers, paths and formats of callers, replicas, operators and the platform.

use crate::configuration::Configuration;
use crate::errors::DialectError;
use crate::list_entries::SkippedEntries;
use crate::replica_report::ReplicaReport;
use http::{HeaderMap, HeaderName};
use luglink_fleet::{Backend, RetireState, StoreName};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers that a gateway reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of a request, echoed in the response.
    pub request_id: HeaderName,
    /// Time that the caller waits for a response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The only replica that may run the request.
    pub expected_replica: HeaderName,
    /// Set in the response of a replica that did not run the request.
    pub not_executed: HeaderName,
    /// Signature of a replica's response.
    pub signature: HeaderName,
    /// Program of a request.
    pub program: HeaderName,
    /// Turn that the request continues.
    pub previous_turn: HeaderName,
    /// Maximum number of tokens that all turns of the program may generate together.
    pub token_budget: HeaderName,
    /// Number of prompt tokens and maximum number of generated tokens, separated by a comma.
    pub token_usage: HeaderName,
    /// Time until the deadline of the request's program, in milliseconds.
    pub program_deadline_ms: HeaderName,
    /// Parts of the prompt in order, separated by commas. A part is a hexadecimal identifier, a
    /// colon and its number of tokens. The last part belongs to the request or its program alone.
    pub prompt_parts: HeaderName,
    /// Priority at the replica; 0 is the highest.
    pub priority: HeaderName,
    /// Identifier of the last event that the receiver of a stream has.
    pub last_event_id: HeaderName,
    /// Identifier of the request that brought the first event of the stream that a request resumes.
    pub resumes: HeaderName,
    /// Time after which to retry, in seconds.
    pub retry_after: HeaderName,
    /// Tenant of a request, sent to replicas.
    pub tenant: HeaderName,
    /// Credential of a caller, with its scheme and key.
    pub credential: HeaderName,
    /// Scheme of the credential.
    pub credential_scheme: &'static str,
    /// Headers that only the system sets. Replicas act on them, so values that callers send are
    /// removed.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// Returns the key of a request; `None` if there is no credential, one of another scheme, or
    /// more than one.
    #[must_use]
    pub fn secret<'headers>(&self, headers: &'headers HeaderMap) -> Option<&'headers str> {
        let mut credentials = headers.get_all(&self.credential).into_iter();
        let only = credentials
            .next()
            .filter(|_| credentials.next().is_none())?;
        let (scheme, secret) = only.to_str().ok()?.trim().split_once(' ')?;
        let is_key = scheme.eq_ignore_ascii_case(self.credential_scheme);
        is_key.then(|| secret.trim())
    }

    /// Removes all headers that only the system sets.
    pub fn remove_reserved(&self, headers: &mut HeaderMap) {
        for name in &self.reserved {
            headers.remove(name);
        }
    }
}

/// One page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendPage {
    /// Replicas on the page.
    pub backends: Vec<Backend>,
    /// Entries on the page that cannot be read.
    pub skipped_entries: SkippedEntries,
    /// Token of the next page.
    pub next: Option<String>,
}

/// A caller's request for the addresses of gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolutionQuery {
    /// Zone of the caller, if it is given.
    pub zone: Option<String>,
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Activates a configuration.
    PutConfiguration,
    /// Reads the active configuration.
    GetConfiguration,
    /// Starts the retirement of a turn store.
    StartRetirement(StoreName),
    /// Reads the state of a retirement.
    GetRetirement(StoreName),
}

/// Headers, paths and formats of callers, replicas, operators and the platform.
pub trait Dialect: std::fmt::Debug + 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Returns an error if any part of it is invalid.
    fn configuration(&self, content: &[u8]) -> Result<Configuration, DialectError>;

    /// Returns the path and query of a page of the platform's list.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Parses a page of the platform's list. Entries that cannot be read are skipped.
    ///
    /// # Errors
    /// Returns an error if it is not a list page or is truncated.
    fn backend_page(&self, content: &[u8]) -> Result<BackendPage, DialectError>;

    /// Returns the path of a replica's load report.
    fn report_path(&self) -> &'static str;

    /// Parses a replica's load report.
    ///
    /// # Errors
    /// Returns an error if any part of it is invalid.
    fn replica_report(&self, content: &[u8]) -> Result<ReplicaReport, DialectError>;

    /// Returns true if the path is that of the readiness check.
    fn is_readiness(&self, path: &str) -> bool;

    /// Parses a caller's request for gateways; `None` if the path is another one.
    fn resolution(&self, path: &str, query: &str) -> Option<ResolutionQuery>;

    /// Returns the body of the response to a request for gateways.
    fn resolution_answer(&self, gateways: &[SocketAddr], valid_for: Duration) -> Vec<u8>;

    /// Parses a call of an operator; `None` if the path is another one.
    fn operator_call(&self, method: &http::Method, path: &str) -> Option<OperatorCall>;

    /// Returns the body of the response to a request for the state of a retirement.
    fn retirement_answer(&self, state: RetireState) -> Vec<u8>;

    /// Returns the body of an error response.
    fn problem(&self, detail: &str) -> Vec<u8>;
}
