//! Logic of a control member without I/O: replication groups over one write-ahead log.
//!
//! [`ControlNode`] takes messages from other members, requests from clients, and the current
//! time. It returns messages, replies and release orders. Its only side effects are on the
//! [`Disk`] that it owns. The server in `luglink-control-server` and the simulator drive the same
//! node.
//!
//! Group 0 replicates the configuration; each other group replicates a share of the programs. All
//! groups of a member share one log, so that one sync makes the entries of all of them durable.
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
