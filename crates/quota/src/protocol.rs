//! Requests of gateways to owners, and their responses.

use crate::limit::Limit;
use luglink_types::TenantName;
use serde::{Deserialize, Serialize};

/// Relation of a request to its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// The first request of a program. Refusing it wastes no work, while granting it leads to later
    /// requests of the program, each of which takes a token too.
    Begins,
    /// A later request of a program, or a request without a program.
    Continues,
}

/// Request for a token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Limit of the tenant in the gateway's configuration.
    pub limit: Limit,
    /// Relation of the request to its program.
    pub purpose: Purpose,
}

/// Response of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaResponse {
    /// A token is granted.
    Granted,
    /// The owner has too few tokens.
    Denied {
        /// Time until it has enough tokens, in milliseconds.
        retry_delay_ms: u64,
    },
    /// The store does not own the tenant, or cannot know whether it still does.
    NotOwner,
}
