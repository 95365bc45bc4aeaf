//! Administration API: code generated from `proto/luglink/admin/v1/admin.proto`, a client,
//! conversions to and from resources, and the file format of `luglink ctl apply`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod client;
mod convert;
mod errors;
mod resource_file;

pub use client::{AdminClient, ClientError};
pub use convert::{
    change_from_proto, key_from_proto, kind_from_proto, operation_from_proto, operation_to_proto,
    resource_from_proto, resource_to_proto, response_to_proto,
};
pub use errors::{ApiError, ResourceFileError};
pub use resource_file::{ResourceFile, parse_resource_file};

/// Code that `cargo run -p xtask -- generate` generates from the schema.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/luglink.admin.v1.rs");
}

/// Metadata key with the identifier of the leader, in responses of members that do not lead.
pub const LEADER_METADATA: &str = "luglink-leader";
