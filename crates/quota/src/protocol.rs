//! What a gateway asks an owner, and what it is told.

use crate::limit::Limit;
use luglink_types::TenantName;
use serde::{Deserialize, Serialize};

/// What a request is to its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// It begins one. Refusing it costs nothing yet, and letting it through will cost a token for
    /// each request to come.
    Begins,
    /// It belongs to one that has begun, or to none.
    Continues,
}

/// Asks for a token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// Its limit, as the gateway knows it.
    pub limit: Limit,
    /// What the token is for.
    pub purpose: Purpose,
}

/// What an owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaResponse {
    /// The request may go.
    Granted,
    /// The owner has no token left for it.
    Denied {
        /// Time until it will, in milliseconds.
        come_back_ms: u64,
    },
    /// The store does not own the tenant, or does not know whether it still does.
    NotOwner,
}
