//! Tenants with their keys and quotas.

use luglink_types::TenantName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// API key of a caller. The secret is not printed by `Debug`; logs identify keys by their
/// [`KeyFingerprint`].
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its secret.
    #[must_use]
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    pub(crate) fn secret(&self) -> &str {
        &self.0
    }

    /// Returns the fingerprint, which identifies the key without revealing it.
    #[must_use]
    pub fn fingerprint(&self) -> KeyFingerprint {
        KeyFingerprint::of(&self.0)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ApiKey({})", self.fingerprint())
    }
}

/// The first bytes of a key's SHA-256 digest: enough to distinguish keys, the same on all machines,
/// and useless for authentication.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyFingerprint([u8; 4]);

impl KeyFingerprint {
    /// Returns the fingerprint of a secret.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        Self([digest[0], digest[1], digest[2], digest[3]])
    }
}

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Rate limit of a tenant in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate_per_s: f64,
    /// Number of requests beyond the rate that may arrive at once.
    pub burst: f64,
}

/// A tenant, whose callers authenticate by API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which is sent to replicas.
    pub name: TenantName,
    /// Keys of its callers; without keys, the tenant can send no requests.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Its rate limit; `None` for no limit.
    #[serde(default)]
    pub quota: Option<Quota>,
}
