//! Choice of a replica for each request, from what one daemon knows.
//!
//! A daemon knows little: load reports lag, cache events are late and have gaps, and other
//! daemons send requests it never sees. [`Router`] corrects the reports by what the daemon
//! itself has sent since. No I/O, no clock; random numbers come in with each call.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cost;
mod engine;
mod health;
mod policy;
mod prefix;
mod prefix_index;
mod router;
mod subset;

pub use cost::CostModel;
pub use engine::{AttemptId, LoadReport};
pub use health::{Health, HealthConfig};
pub use policy::Policy;
pub use prefix::{BLOCK_TOKENS, BlockHash, PrefixHasher};
pub use router::{Choice, ReplicaInfo, RouteRequest, Router, RouterConfig};
pub use subset::choose_subset;
