//! Who may call, with what keys, and how much.

use luglink_types::TenantName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// A secret that a caller shows. Neither `Debug` nor `Display` tell it; logs name keys by their
/// [`KeyFingerprint`].
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// A key as its owner knows it.
    #[must_use]
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    pub(crate) fn secret(&self) -> &str {
        &self.0
    }

    /// What tells the key apart from others without telling it.
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

/// The first bytes of a key's SHA-256: enough to tell keys apart, the same on all machines, and
/// of no use to a caller.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyFingerprint([u8; 4]);

impl KeyFingerprint {
    /// The fingerprint of what a caller showed.
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

/// How many requests a tenant may make in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second, above 0.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Who calls and pays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which replicas are told.
    pub name: TenantName,
    /// Keys of its callers; without any, nobody calls for it.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, in place of their route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Its limit; `None` for no limit.
    #[serde(default)]
    pub quota: Option<Quota>,
}
