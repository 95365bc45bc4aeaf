//! HTTP-level logic of a gateway without I/O: routing, authentication, retry decisions, and the
//! configuration.
//!
//! Header names, paths and formats of callers, replicas and the platform are defined by a
//! [`Dialect`]; nothing else in this crate depends on them.
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
