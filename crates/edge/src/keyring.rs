//! Authentication of callers by API keys.

use crate::configuration::{Configuration, Route};
use crate::tenant::{KeyFingerprint, Tenant};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::rc::Rc;

/// Authenticated caller of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Any caller, since the route or the configuration requires no key.
    Anyone,
    /// The tenant that has the key.
    Tenant(Rc<Tenant>),
}

impl Caller {
    /// Returns the tenant, if there is one.
    #[must_use]
    pub fn tenant(&self) -> Option<&Tenant> {
        match self {
            Self::Anyone => None,
            Self::Tenant(tenant) => Some(tenant),
        }
    }

    /// Returns the priority of this caller's requests on a route; 0 is the highest.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u8 {
        self.tenant()
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority)
    }
}

/// Failed authentication of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The request has no key.
    Missing,
    /// The request has a key that belongs to no tenant.
    Unknown(KeyFingerprint),
}

/// The keys of one configuration.
///
/// Keys are looked up by their SHA-256 digest and not compared directly, to prevent timing attacks:
/// the time of a look-up depends on a digest that a caller cannot choose byte by byte.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    has_tenants: bool,
    tenants_by_digest: HashMap<[u8; 32], Rc<Tenant>>,
}

impl KeyRing {
    /// Creates the key ring of a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut tenants_by_digest = HashMap::new();
        for tenant in &configuration.tenants {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.keys {
                tenants_by_digest.insert(digest(key.secret()), Rc::clone(&tenant));
            }
        }
        Self {
            has_tenants: !configuration.tenants.is_empty(),
            tenants_by_digest,
        }
    }

    /// Returns true if the configuration has any tenants.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// Returns true if requests on a route need a key.
    #[must_use]
    pub fn requires_key(&self, route: &Route) -> bool {
        self.has_tenants && !route.public
    }

    /// Authenticates a request on `route` with the key `secret`.
    ///
    /// # Errors
    /// Returns an error if the route requires a key, and the key is missing or unknown.
    pub fn caller(&self, route: &Route, secret: Option<&str>) -> Result<Caller, KeyError> {
        if !self.requires_key(route) {
            return Ok(Caller::Anyone);
        }
        let secret = secret.ok_or(KeyError::Missing)?;
        match self.tenants_by_digest.get(&digest(secret)) {
            Some(tenant) => Ok(Caller::Tenant(Rc::clone(tenant))),
            None => Err(KeyError::Unknown(KeyFingerprint::of(secret))),
        }
    }
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}
