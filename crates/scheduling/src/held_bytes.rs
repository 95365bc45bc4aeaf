//! How many bytes a process holds for others, and what it does about them at its bound.
//!
//! The load: callers that stop reading their answers, and replicas that stop reading requests.
//! Whatever is meant for them stays in this process's memory, and a few hundred of them are more
//! than a small machine has. Below the bounds nothing is refused and nothing is cut, since callers
//! that read need none of this. At a bound, one holder's loss keeps all others served: what has
//! not begun is refused while it is certain that it did not run, and what is under way is cut, the
//! newest of the large holders first, since they free the most for the least work lost.
//!
//! No tenant takes more than half of a process: one whose callers all stop reading leaves room for
//! the others.

use luglink_types::TenantName;
use std::collections::BTreeMap;

/// Part of a process's bound that one tenant, or one request, may hold.
const TENANT_SHARE: u64 = 2;

/// Names a holder; rises with each one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// The bound that a request met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldBytesLimit {
    /// Of one request.
    Request,
    /// Of the request's tenant.
    Tenant,
    /// Of the process.
    Process,
}

impl HeldBytesLimit {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request_memory",
            Self::Tenant => "tenant_memory",
            Self::Process => "process_memory",
        }
    }
}

/// A holder that is to let go of everything. Its bytes do not count any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldAbort {
    /// The holder.
    pub holder: HolderId,
    /// What it held.
    pub bytes: u64,
    /// The bound that was met.
    pub bound: HeldBytesLimit,
}

/// Whether a holder may hold what it asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It may, once these have let go.
    Granted(Vec<HeldAbort>),
    /// It may not, and goes on holding what it had.
    Denied(HeldBytesLimit),
}

#[derive(Clone, Debug)]
struct Holder {
    tenant: Option<TenantName>,
    bytes: u64,
    /// Whether it can be cut: nothing of it runs unseen.
    can_be_cut: bool,
}

/// The bytes that a process holds for others.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    limit: u64,
    total: u64,
    tenants: BTreeMap<TenantName, u64>,
    holders: BTreeMap<HolderId, Holder>,
    next: u64,
}

impl HeldBytes {
    /// Nothing yet, of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            total: 0,
            tenants: BTreeMap::new(),
            holders: BTreeMap::new(),
            next: 0,
        }
    }

    /// Counts without a bound.
    #[must_use]
    pub fn unbounded() -> Self {
        Self::new(u64::MAX)
    }

    /// Bytes held by all.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Bytes held for a tenant.
    #[must_use]
    pub fn of_tenant(&self, tenant: &TenantName) -> u64 {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }

    /// Bytes that one holder holds; `None` once it was cut or has let go.
    #[must_use]
    pub fn of_holder(&self, holder: HolderId) -> Option<u64> {
        self.holders.get(&holder).map(|holder| holder.bytes)
    }

    /// Most bytes that a tenant may hold.
    #[must_use]
    pub fn tenant_limit(&self) -> u64 {
        self.limit / TENANT_SHARE
    }

    /// Takes in a request that has announced so many bytes. Nobody is cut for one that has not
    /// begun.
    ///
    /// # Errors
    /// The bound that leaves no room for it.
    pub fn admit(
        &mut self,
        tenant: Option<TenantName>,
        announced: u64,
    ) -> Result<HolderId, HeldBytesLimit> {
        if announced > self.tenant_limit() {
            return Err(HeldBytesLimit::Request);
        }
        let of_tenant = tenant.as_ref().map_or(0, |tenant| self.of_tenant(tenant));
        if of_tenant.saturating_add(announced) > self.tenant_limit() {
            return Err(HeldBytesLimit::Tenant);
        }
        if self.total.saturating_add(announced) > self.limit {
            return Err(HeldBytesLimit::Process);
        }
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            tenant,
            bytes: 0,
            can_be_cut: false,
        };
        self.holders.insert(id, holder);
        self.set(id, announced);
        Ok(id)
    }

    /// Says whether a holder can be cut from now on: not while a replica may run its request
    /// unseen.
    pub fn set_abortable(&mut self, id: HolderId, can_be_cut: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.can_be_cut = can_be_cut;
        }
    }

    /// A holder has, or is about to have, so many bytes. One that was cut already is denied
    /// nothing and counts no more.
    pub fn resize(&mut self, id: HolderId, bytes: u64) -> Growth {
        let Some(holder) = self.holders.get(&id) else {
            return Growth::Granted(Vec::new());
        };
        let more = bytes.saturating_sub(holder.bytes);
        let wish = Wish { id, bytes, more };
        let planned = self.plan(&wish, holder.tenant.as_ref());
        match planned {
            Ok(cuts) => {
                for cut in &cuts {
                    self.release(cut.holder);
                }
                self.set(id, bytes);
                Growth::Granted(cuts)
            }
            Err(bound) => Growth::Denied(bound),
        }
    }

    /// A holder lets go of everything.
    pub fn release(&mut self, id: HolderId) {
        self.set(id, 0);
        self.holders.remove(&id);
    }

    /// Who must let go for a wish to fit, or the bound that stands against it.
    fn plan(
        &self,
        wish: &Wish,
        tenant: Option<&TenantName>,
    ) -> Result<Vec<HeldAbort>, HeldBytesLimit> {
        if wish.more == 0 {
            return Ok(Vec::new());
        }
        if wish.bytes > self.tenant_limit() {
            return Err(HeldBytesLimit::Request);
        }
        let mut cuts = Vec::new();
        if let Some(name) = tenant {
            let after = self.of_tenant(name).saturating_add(wish.more);
            let excess = after.saturating_sub(self.tenant_limit());
            let of_tenant = |holder: &Holder| holder.tenant.as_ref() == tenant;
            self.choose(wish, excess, HeldBytesLimit::Tenant, of_tenant, &mut cuts)?;
        }
        let freed: u64 = cuts.iter().map(|cut| cut.bytes).sum();
        let after = (self.total - freed).saturating_add(wish.more);
        let excess = after.saturating_sub(self.limit);
        self.choose(wish, excess, HeldBytesLimit::Process, |_| true, &mut cuts)?;
        Ok(cuts)
    }

    /// Adds holders to `cuts` until these free `excess` bytes more: the newest of the large ones
    /// first, then the newest of the others. A holder whose own turn comes is denied instead.
    fn choose(
        &self,
        wish: &Wish,
        excess: u64,
        bound: HeldBytesLimit,
        is_meant: impl Fn(&Holder) -> bool,
        cuts: &mut Vec<HeldAbort>,
    ) -> Result<(), HeldBytesLimit> {
        if excess == 0 {
            return Ok(());
        }
        let is_left = |id: &HolderId| cuts.iter().all(|cut| cut.holder != *id);
        let mut candidates: Vec<HeldAbort> = self
            .holders
            .iter()
            .filter(|(id, holder)| holder.can_be_cut && is_meant(holder) && is_left(id))
            .map(|(id, holder)| HeldAbort {
                holder: *id,
                bytes: if *id == wish.id {
                    wish.bytes
                } else {
                    holder.bytes
                },
                bound,
            })
            .collect();
        let count = candidates.len().max(1) as u64;
        let mean = candidates.iter().map(|cut| cut.bytes).sum::<u64>() / count;
        candidates.sort_by_key(|cut| std::cmp::Reverse((cut.bytes >= mean, cut.holder)));
        let mut missing = excess;
        for cut in candidates {
            if cut.holder == wish.id {
                return Err(bound);
            }
            missing = missing.saturating_sub(cut.bytes);
            cuts.push(cut);
            if missing == 0 {
                return Ok(());
            }
        }
        Err(bound)
    }

    fn set(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let had = std::mem::replace(&mut holder.bytes, bytes);
        self.total = self.total - had + bytes;
        if let Some(tenant) = &holder.tenant {
            let sum = self.tenants.entry(tenant.clone()).or_default();
            *sum = *sum - had + bytes;
            if *sum == 0 {
                self.tenants.remove(tenant);
            }
        }
    }
}

/// What a holder asks for.
#[derive(Clone, Copy, Debug)]
struct Wish {
    id: HolderId,
    /// What it would hold.
    bytes: u64,
    /// What of that is new.
    more: u64,
}
