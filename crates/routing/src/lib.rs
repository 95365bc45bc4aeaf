//! Selection of a replica for each request, based on the state of one daemon.
//!
//! A daemon has incomplete information: load reports lag, cache events are late and have gaps, and
//! other daemons send requests too. [`Router`] corrects the reports by the requests that the daemon
//! has sent since. It does no I/O and has no clock; time and random numbers are arguments.
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
