//! What a gateway reads and checks of HTTP requests, as pure logic: which route a request takes, who
//! sent it, what may be sent again, and what a configuration says.
//!
//! How callers, replicas and the platform spell things is the job of a [`Dialect`]; nothing else
//! here knows a header or a path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod configuration;
mod dialect;
mod errors;
mod events;
mod keyring;
mod list_entries;
mod own_dialect;
mod replica_report;
mod routing_table;
mod sending;
mod split;
mod tenant;
mod violation;

pub use configuration::{Configuration, Engine, Limits, Route, RouteKind, Service, Target};
pub use dialect::{BackendPage, Dialect, HeaderNames, OperatorCall, ResolutionQuery};
pub use errors::DialectError;
pub use events::{EventSplitter, StreamEvent};
pub use keyring::{Caller, KeyError, KeyRing};
pub use list_entries::{ListEntries, ListEntry, SkippedEntries};
pub use own_dialect::LuglinkDialect;
pub use replica_report::ReplicaReport;
pub use routing_table::RoutingTable;
pub use sending::{Retryable, SendOutcome};
pub use split::SplitDraws;
pub use tenant::{ApiKey, KeyFingerprint, Quota, Tenant};
pub use violation::Violation;
