//! Which tenant a caller's key belongs to.

use crate::configuration::{Configuration, Route};
use crate::tenant::{KeyFingerprint, Tenant};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::rc::Rc;

/// For whom a request comes.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The route or the configuration asks for no key.
    Anyone,
    /// The holder of the key.
    Tenant(Rc<Tenant>),
}

impl Caller {
    /// The tenant, when there is one.
    #[must_use]
    pub fn tenant(&self) -> Option<&Tenant> {
        match self {
            Self::Anyone => None,
            Self::Tenant(tenant) => Some(tenant),
        }
    }

    /// Rank of a request of this caller on a route; 0 is the highest.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u8 {
        self.tenant()
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority)
    }
}

/// A request shows no key of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It shows none.
    Missing,
    /// It shows one that nobody holds.
    Unknown(KeyFingerprint),
}

/// The keys of one configuration.
///
/// Keys are looked up by their SHA-256 and not compared themselves: how long a look-up takes
/// depends on a digest that a caller cannot steer byte by byte, so it tells nothing of a key.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    has_tenants: bool,
    holders: HashMap<[u8; 32], Rc<Tenant>>,
}

impl KeyRing {
    /// The keys of a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut holders = HashMap::new();
        for tenant in &configuration.tenants {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.keys {
                holders.insert(digest(key.secret()), Rc::clone(&tenant));
            }
        }
        Self {
            has_tenants: !configuration.tenants.is_empty(),
            holders,
        }
    }

    /// Whether the configuration names tenants at all.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// Whether a request on a route needs a key.
    #[must_use]
    pub fn requires_key(&self, route: &Route) -> bool {
        self.has_tenants && !route.public
    }

    /// For whom a request on `route` comes that shows `secret`.
    ///
    /// # Errors
    /// The route asks for a key, and nobody holds this one.
    pub fn caller(&self, route: &Route, secret: Option<&str>) -> Result<Caller, KeyError> {
        if !self.requires_key(route) {
            return Ok(Caller::Anyone);
        }
        let secret = secret.ok_or(KeyError::Missing)?;
        match self.holders.get(&digest(secret)) {
            Some(tenant) => Ok(Caller::Tenant(Rc::clone(tenant))),
            None => Err(KeyError::Unknown(KeyFingerprint::of(secret))),
        }
    }
}

fn digest(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}
