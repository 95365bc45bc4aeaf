//! The administration API: code generated from `proto/luglink/admin/v1/admin.proto`,
//! conversions to and from the resources, and the file format of `luglink ctl apply`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod client;
mod convert;
mod errors;
mod resource_file;

pub use client::{AdminClient, ClientError};
pub use convert::{
    answer_to_proto, change_from_proto, key_from_proto, kind_from_proto, operation_from_proto,
    operation_to_proto, resource_from_proto, resource_to_proto,
};
pub use errors::{ApiError, ResourceFileError};
pub use resource_file::{ResourceFile, parse_resource_file};

/// Code generated from the schema; `cargo run -p xtask -- generate` writes it.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/luglink.admin.v1.rs");
}

/// Metadata key under which a member that does not lead names the one that does.
pub const LEADER_METADATA: &str = "luglink-leader";
