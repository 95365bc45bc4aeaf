//! Distributed rate limit of a tenant over all gateways, as pure logic.
//!
//! # Invariant
//!
//! In every window, the number of admitted requests of a tenant is at most `rate * window + burst`
//! plus the deployment's [`Tolerance`]. This holds for any behaviour of gateways, and if processes
//! are partitioned, paused, killed or replaced. The condition is that within one window at most as
//! many stores are replaced as may be lost, or all stores once.
//!
//! # Algorithm
//!
//! A tenant is owned by the turn stores that rank first for its name, one more than may be lost at
//! once. Each owner holds an equal part of the limit in its own [`TokenBucket`]. A gateway requests
//! a token from one owner after the other before it admits a request. So no consensus is needed, no
//! gateway holds tokens that could be lost or used late, and losing an owner loses only its part of
//! the limit.
//!
//! Owners change with the store view. Two rules prevent the parts from exceeding the limit then:
//!
//! - An owner grants no tokens after [`LEADER_CONTACT_TIMEOUT`] without a response of a control
//!   member that has a leader. The leader replaces a store without heartbeats later than that.
//! - A new owner of a tenant starts with a nearly empty bucket, because the previous one may just
//!   have granted all its tokens.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bucket;
mod limit;
mod owner;
mod protocol;

pub use bucket::TokenBucket;
pub use limit::{Limit, Tolerance};
pub use owner::{LEADER_CONTACT_TIMEOUT, QuotaOwner};
pub use protocol::{Purpose, QuotaRequest, QuotaResponse};
