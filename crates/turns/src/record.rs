//! A turn as it is kept.

use luglink_fleet::BackendId;
use luglink_types::TenantName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Ends a tenant's name in a scoped identifier. No name and no identifier of a caller holds it:
/// both are visible ASCII.
const SCOPE_END: char = '\u{1}';

/// What a caller calls a thing, kept apart by tenant: nobody can name what another tenant, or a
/// caller without one, calls the same. Without a tenant it is the caller's word itself, which is
/// how records were named before there were tenants.
fn scoped(tenant: Option<&TenantName>, word: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{SCOPE_END}{word}"),
        None => word.to_owned(),
    }
}

/// Identifier of a turn: that of the request that brought it, within its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TurnId(pub String);

impl TurnId {
    /// The turn that a request of a tenant brings or names.
    #[must_use]
    pub fn of(tenant: Option<&TenantName>, request: &str) -> Self {
        Self(scoped(tenant, request))
    }
}

impl fmt::Display for TurnId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.replace(SCOPE_END, "/"))
    }
}

/// Name of a program, as its caller chose it, within its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProgramName(pub String);

impl ProgramName {
    /// The program that a caller of a tenant names.
    #[must_use]
    pub fn of(tenant: Option<&TenantName>, name: &str) -> Self {
        Self(scoped(tenant, name))
    }
}

impl fmt::Display for ProgramName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.replace(SCOPE_END, "/"))
    }
}

/// A turn that was answered whole. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn.
    pub id: TurnId,
    /// The program that it belongs to, which decides where it is kept.
    pub program: ProgramName,
    /// The turns that it goes on from, the oldest first.
    pub ancestors: Vec<TurnId>,
    /// What the caller sent.
    pub input: Vec<u8>,
    /// What was answered, as later prompts repeat it.
    pub output: Vec<u8>,
    /// The replica that holds its prompt in cache.
    pub served_by: Option<BackendId>,
    /// Time for which it is kept, in milliseconds.
    pub retention_ms: u64,
}

impl TurnRecord {
    /// Bytes that the record takes, about.
    #[must_use]
    pub fn size(&self) -> usize {
        self.input.len() + self.output.len() + 64 * (self.ancestors.len() + 2)
    }
}
