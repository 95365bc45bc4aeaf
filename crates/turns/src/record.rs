//! Stored turns and their identifiers.

use luglink_fleet::BackendId;
use luglink_types::TenantName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates the tenant's name from the rest of an identifier. Names and identifiers from callers
/// cannot contain it, because they are visible ASCII.
const TENANT_SEPARATOR: char = '\u{1}';

/// Adds the tenant to an identifier from a caller, so that no caller can address records of
/// another tenant, or of a caller without a tenant, by choosing the same identifier. Without a
/// tenant the identifier stays unchanged, so that existing records keep their identifiers.
fn tenant_scoped(tenant: Option<&TenantName>, identifier: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{TENANT_SEPARATOR}{identifier}"),
        None => identifier.to_owned(),
    }
}

/// Identifier of a turn: the identifier of its request, scoped by tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TurnId(pub String);

impl TurnId {
    /// Creates the identifier of the turn that belongs to a tenant's request.
    #[must_use]
    pub fn of(tenant: Option<&TenantName>, request: &str) -> Self {
        Self(tenant_scoped(tenant, request))
    }
}

impl fmt::Display for TurnId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.replace(TENANT_SEPARATOR, "/"))
    }
}

/// Name of a program, chosen by the caller and scoped by tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProgramName(pub String);

impl ProgramName {
    /// Creates the scoped name of a tenant's program.
    #[must_use]
    pub fn of(tenant: Option<&TenantName>, name: &str) -> Self {
        Self(tenant_scoped(tenant, name))
    }
}

impl fmt::Display for ProgramName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.replace(TENANT_SEPARATOR, "/"))
    }
}

/// Completed turn. It is immutable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Identifier of the turn.
    pub id: TurnId,
    /// Program of the turn, which determines the stores that own the record.
    pub program: ProgramName,
    /// Turns that this one continues, oldest first.
    pub ancestors: Vec<TurnId>,
    /// Input from the caller.
    pub input: Vec<u8>,
    /// Output of the model, in the form in which later prompts contain it.
    pub output: Vec<u8>,
    /// Replica that has the prompt of the turn in its cache.
    pub served_by: Option<BackendId>,
    /// Retention time in milliseconds.
    pub retention_ms: u64,
}

impl TurnRecord {
    /// Approximate size of the record in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.input.len() + self.output.len() + 64 * (self.ancestors.len() + 2)
    }
}
