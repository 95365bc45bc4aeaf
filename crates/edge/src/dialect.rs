//! How callers, replicas, operators and the platform spell things.

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
    /// Identifier of a request; echoed in its answer.
    pub request_id: HeaderName,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The replica that alone may run the request.
    pub expected_replica: HeaderName,
    /// Set by a replica that did not run the request.
    pub not_executed: HeaderName,
    /// Signature of a replica's answer.
    pub signature: HeaderName,
    /// Program that a request belongs to.
    pub program: HeaderName,
    /// Turn that a turn goes on from.
    pub previous_turn: HeaderName,
    /// Tokens that all turns of the program may generate together.
    pub token_budget: HeaderName,
    /// Tokens of the prompt and the most to be generated, parted by a comma.
    pub token_usage: HeaderName,
    /// Time until a request's program should be over, in milliseconds.
    pub program_deadline_ms: HeaderName,
    /// Parts of the prompt in order, parted by commas, each an identifier in hex, a colon and its
    /// tokens. The last one is the request's own or its program's.
    pub prompt_parts: HeaderName,
    /// Urgency at the replica; 0 comes first.
    pub priority: HeaderName,
    /// Last event that the receiver of a stream has.
    pub last_event_id: HeaderName,
    /// Seconds after which to come back.
    pub retry_after: HeaderName,
    /// Tells a replica for which tenant a request comes.
    pub tenant: HeaderName,
    /// What a caller shows for its tenant.
    pub credential: HeaderName,
    /// The scheme before the key in it.
    pub credential_scheme: &'static str,
    /// Headers that only the system sets: replicas act on them, so what a caller sends in them
    /// never reaches one.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// The key that a request shows; none when it shows several or one of another scheme.
    #[must_use]
    pub fn secret<'headers>(&self, headers: &'headers HeaderMap) -> Option<&'headers str> {
        let mut shown = headers.get_all(&self.credential).into_iter();
        let only = shown.next().filter(|_| shown.next().is_none())?;
        let (scheme, secret) = only.to_str().ok()?.trim().split_once(' ')?;
        let is_key = scheme.eq_ignore_ascii_case(self.credential_scheme);
        is_key.then(|| secret.trim())
    }

    /// Takes off whatever a caller sent in headers that only the system sets.
    pub fn remove_reserved(&self, headers: &mut HeaderMap) {
        for name in &self.reserved {
            headers.remove(name);
        }
    }
}

/// One page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendPage {
    /// Replicas on it.
    pub backends: Vec<Backend>,
    /// Entries on it that name no replica to use.
    pub skipped_entries: SkippedEntries,
    /// Names the page after it.
    pub next: Option<String>,
}

/// A caller's question where to go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResolutionQuery {
    /// The caller's zone, when it says so.
    pub zone: Option<String>,
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Puts a configuration in force.
    PutConfiguration,
    /// Reads the configuration in force.
    GetConfiguration,
    /// Empties a turn store.
    StartRetirement(StoreName),
    /// Asks how far that is.
    GetRetirement(StoreName),
}

/// How callers, replicas, operators and the platform spell things.
pub trait Dialect: std::fmt::Debug + 'static {
    /// Header names.
    fn headers(&self) -> &HeaderNames;

    /// Reads a configuration.
    ///
    /// # Errors
    /// It cannot be read in full.
    fn configuration(&self, content: &[u8]) -> Result<Configuration, DialectError>;

    /// Path and query of a page of the platform's list.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads a page of the platform's list. Entries that cannot be read are passed over.
    ///
    /// # Errors
    /// It is not such a page, or is cut short.
    fn backend_page(&self, content: &[u8]) -> Result<BackendPage, DialectError>;

    /// Path at which a replica reports its load.
    fn report_path(&self) -> &'static str;

    /// Reads such a report.
    ///
    /// # Errors
    /// It cannot be read in full.
    fn replica_report(&self, content: &[u8]) -> Result<ReplicaReport, DialectError>;

    /// Whether a path asks whether a gateway takes callers.
    fn is_readiness(&self, path: &str) -> bool;

    /// Reads a caller's question where to go; `None` when the path asks something else.
    fn resolution(&self, path: &str, query: &str) -> Option<ResolutionQuery>;

    /// The answer to it.
    fn resolution_answer(&self, gateways: &[SocketAddr], valid_for: Duration) -> Vec<u8>;

    /// Reads what an operator asks; `None` when the path asks something else.
    fn operator_call(&self, method: &http::Method, path: &str) -> Option<OperatorCall>;

    /// The answer to a question how far a retirement is.
    fn retirement_answer(&self, state: RetireState) -> Vec<u8>;

    /// The body of a refusal.
    fn problem(&self, detail: &str) -> Vec<u8>;
}
