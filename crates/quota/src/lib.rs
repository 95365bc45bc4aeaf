//! How many requests of a tenant all gateways together let through, as pure logic.
//!
//! # Invariant
//!
//! In every window, the requests of a tenant that are let through come to at most
//! `rate * window + burst` and what the deployment's [`Tolerance`] adds. It holds whatever the
//! gateways do, and whoever is cut off, frozen, killed or replaced, as long as no more stores than
//! may be lost are replaced in one window, or all of them once.
//!
//! # How
//!
//! Some turn stores own a tenant: the first few of the order in which stores rank for its name,
//! one more than may be lost at once. Each owner holds an equal part of the limit in a
//! [`TokenBucket`] of its own, and a gateway asks one owner after the other for a token before it
//! lets a request through. So nothing has to be agreed on, no gateway holds anything that could
//! be lost or used late, and losing an owner costs its part of the limit and nothing else.
//!
//! Owners change with the view of the stores. Two rules keep the parts from adding up to more
//! than the limit then: an owner gives no tokens once it has not heard for [`FRESH_FOR`] from a
//! control member that hears its leader, which is sooner than the leader passes a silent store
//! over; and an owner that is new to a tenant begins with a bucket that is nearly empty, because
//! the one before it may just have given out all of its own.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod bucket;
mod limit;
mod owner;
mod protocol;

pub use bucket::TokenBucket;
pub use limit::{Limit, Tolerance};
pub use owner::{FRESH_FOR, QuotaOwner};
pub use protocol::{Purpose, QuotaRequest, QuotaResponse};
