//! What a gateway decides about HTTP requests, as pure logic: which route a request takes, which
//! replica gets it, when it may be sent again, and what an answer is worth.
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
mod load_shedding;
mod own_dialect;
mod patience;
mod placement;
mod pool;
mod routing_table;
mod sending;
mod split;
mod tenant;
mod violation;

pub use configuration::{Configuration, Engine, Limits, Route, RouteKind, Service, Target};
pub use dialect::{BackendPage, Dialect, HeaderNames, OperatorCall, ResolutionQuery};
pub use errors::DialectError;
pub use events::{EventSplitter, StreamEvent};
pub use keyring::{Caller, KeyRing, UnknownKey};
pub use load_shedding::{Intake, LoadShedder};
pub use own_dialect::LuglinkDialect;
pub use patience::{room_patience, room_pause, start_patience};
pub use placement::{Placement, ReplicaReport, place};
pub use pool::{Choice, Pool, Reach, Wish};
pub use routing_table::RoutingTable;
pub use sending::{Retryable, SendOutcome};
pub use split::SplitDraws;
pub use tenant::{ApiKey, KeyFingerprint, Quota, Tenant};
pub use violation::Violation;
