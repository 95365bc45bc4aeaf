//! A control member as pure logic: replication groups over one write-ahead log.
//!
//! [`ControlNode`] takes messages of other members, requests of daemons and operators, and the
//! time; it gives out messages, replies and orders. Its only effect is on the [`Disk`] it is
//! given. The shell in `luglink-control-server` and the simulator drive the same node.
//!
//! Group 0 holds the configuration; the others hold programs, each a share of them. All groups
//! of a member share one log, so one sync makes the work of all of them durable.
//!
//! [`Disk`]: luglink_storage::Disk
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod config;
mod errors;
mod fleet;
mod group;
mod identity;
mod machine;
mod member_plan;
mod node;
mod observer_table;
mod observers;
mod parts;
mod persistence;
mod placement;
mod protocol;
mod store;
mod watches;

pub use config::{ControlConfig, ManagedConfig};
pub use errors::ControlError;
pub use identity::Identity;
pub use machine::CONFIGURATION_GROUP;
pub use node::{ControlNode, Input, Leadership, Output};
pub use parts::{RequestParts, ResponseParts};
pub use placement::initial_membership;
pub use protocol::{
    Fence, GroupStatus, MemberStatus, ReleaseOrder, Request, RequestToken, Response,
};
