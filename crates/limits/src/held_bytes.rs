//! Limit on the bytes that a process holds for callers and replicas.
//!
//! Callers that stop reading their answers and replicas that stop reading requests leave data in
//! the memory of this process; a few hundred of them exceed the memory of a small machine. Below
//! the limits nothing is refused or cut, since callers that read cause no such growth. At a limit,
//! one holder is refused or cut so that all others are served. A request that has not started is
//! refused while it is certain that it did not run, unless longer bodies that are still arriving can
//! give way to it: otherwise a few peers that never finish their bodies would keep all others out. Of the
//! running ones, the newest of the large holders is cut first, which frees the most memory for the
//! least lost work.
//!
//! A tenant may hold at most half of the limit of the process, so that a tenant whose callers all
//! stop reading leaves room for others.

use luglink_types::TenantName;
use std::collections::BTreeMap;

/// Divisor of the process limit that gives the limit of one tenant or one request.
const TENANT_LIMIT_DIVISOR: u64 = 2;

/// Identifier of a holder; increases with each one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Limit that a request reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldBytesLimit {
    /// Limit of one request.
    Request,
    /// Limit of the request's tenant.
    Tenant,
    /// Limit of the process.
    Process,
}

impl HeldBytesLimit {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request_memory",
            Self::Tenant => "tenant_memory",
            Self::Process => "process_memory",
        }
    }
}

/// Holder that must release everything. Its bytes are no longer counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldAbort {
    /// Holder to cut.
    pub holder: HolderId,
    /// Bytes that it held.
    pub bytes: u64,
    /// Limit that was reached.
    pub bound: HeldBytesLimit,
}

/// Answer to a holder that asks for more bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// Granted once these holders have been cut.
    Granted(Vec<HeldAbort>),
    /// Denied; the holder keeps what it had.
    Denied(HeldBytesLimit),
}

#[derive(Clone, Debug)]
struct Holder {
    tenant: Option<TenantName>,
    bytes: u64,
    /// False while a replica may run the request unobserved.
    can_be_cut: bool,
    /// True while the peer has not sent all yet.
    is_receiving: bool,
}

/// Account of the bytes that a process holds.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    limit: u64,
    total: u64,
    tenants: BTreeMap<TenantName, u64>,
    holders: BTreeMap<HolderId, Holder>,
    next: u64,
}

impl HeldBytes {
    /// Creates an empty account with a limit of `limit` bytes.
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

    /// Creates an account without a limit.
    #[must_use]
    pub fn unbounded() -> Self {
        Self::new(u64::MAX)
    }

    /// Returns the bytes of all holders.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the bytes held for a tenant.
    #[must_use]
    pub fn of_tenant(&self, tenant: &TenantName) -> u64 {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }

    /// Returns the bytes of a holder, or `None` once it was cut or released.
    #[must_use]
    pub fn of_holder(&self, holder: HolderId) -> Option<u64> {
        self.holders.get(&holder).map(|holder| holder.bytes)
    }

    /// Returns the maximum number of bytes that a tenant may hold.
    #[must_use]
    pub fn tenant_limit(&self) -> u64 {
        self.limit / TENANT_LIMIT_DIVISOR
    }

    /// Adds a request that has announced its size in bytes. Cuts no holder; see [`Self::make_room`].
    ///
    /// # Errors
    ///
    /// Returns the limit that leaves no room for the request.
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
            is_receiving: false,
        };
        self.holders.insert(id, holder);
        self.set(id, announced);
        Ok(id)
    }

    /// Cuts longer holders of the tenant, and of all, whose bytes are still arriving, so that a request
    /// of `announced` bytes can be admitted. Cuts none if that does not suffice.
    pub fn make_room(&mut self, tenant: Option<&TenantName>, announced: u64) -> Vec<HeldAbort> {
        let request = GrowthRequest {
            id: HolderId(self.next),
            bytes: announced,
            added: announced,
        };
        let gives_way = |holder: &Holder| holder.is_receiving && holder.bytes > announced;
        let cuts = self.plan_cuts(&request, tenant, gives_way);
        let cuts = cuts.unwrap_or_default();
        for cut in &cuts {
            self.release(cut.holder);
        }
        cuts
    }

    /// Marks a holder whose bytes are arriving from its peer. It can be cut, since nothing has run.
    pub fn set_receiving(&mut self, id: HolderId) {
        self.set_abortable(id, true);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_receiving = true;
        }
    }

    /// Sets whether a holder that has received all can be cut. It cannot while a replica may run its
    /// request unobserved.
    pub fn set_abortable(&mut self, id: HolderId, can_be_cut: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.can_be_cut = can_be_cut;
            holder.is_receiving = false;
        }
    }

    /// Sets the bytes that a holder has or is about to have. A holder that was already cut is
    /// denied nothing and not counted.
    pub fn resize(&mut self, id: HolderId, bytes: u64) -> Growth {
        let Some(holder) = self.holders.get(&id) else {
            return Growth::Granted(Vec::new());
        };
        let added = bytes.saturating_sub(holder.bytes);
        let request = GrowthRequest { id, bytes, added };
        let can_be_cut = |holder: &Holder| holder.can_be_cut;
        let planned = self.plan_cuts(&request, holder.tenant.as_ref(), can_be_cut);
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

    /// Removes a holder and all its bytes.
    pub fn release(&mut self, id: HolderId) {
        self.set(id, 0);
        self.holders.remove(&id);
    }

    /// Returns the holders to cut for a request to fit, or the limit that denies it.
    fn plan_cuts(
        &self,
        request: &GrowthRequest,
        tenant: Option<&TenantName>,
        gives_way: impl Fn(&Holder) -> bool,
    ) -> Result<Vec<HeldAbort>, HeldBytesLimit> {
        if request.added == 0 {
            return Ok(Vec::new());
        }
        if request.bytes > self.tenant_limit() {
            return Err(HeldBytesLimit::Request);
        }
        let mut cuts = Vec::new();
        if let Some(name) = tenant {
            let after = self.of_tenant(name).saturating_add(request.added);
            let excess = after.saturating_sub(self.tenant_limit());
            let of_tenant = |holder: &Holder| holder.tenant.as_ref() == tenant && gives_way(holder);
            self.choose_cuts(
                request,
                excess,
                HeldBytesLimit::Tenant,
                of_tenant,
                &mut cuts,
            )?;
        }
        let freed: u64 = cuts.iter().map(|cut| cut.bytes).sum();
        let after = (self.total - freed).saturating_add(request.added);
        let excess = after.saturating_sub(self.limit);
        self.choose_cuts(
            request,
            excess,
            HeldBytesLimit::Process,
            &gives_way,
            &mut cuts,
        )?;
        Ok(cuts)
    }

    /// Adds holders to `cuts` until they free `excess` more bytes: the newest of the large ones
    /// first, then the newest of the others. If the next in this order is the requesting holder
    /// itself, its request is denied instead.
    fn choose_cuts(
        &self,
        request: &GrowthRequest,
        excess: u64,
        bound: HeldBytesLimit,
        is_candidate: impl Fn(&Holder) -> bool,
        cuts: &mut Vec<HeldAbort>,
    ) -> Result<(), HeldBytesLimit> {
        if excess == 0 {
            return Ok(());
        }
        let is_uncut = |id: &HolderId| cuts.iter().all(|cut| cut.holder != *id);
        let mut candidates: Vec<HeldAbort> = self
            .holders
            .iter()
            .filter(|(id, holder)| is_candidate(holder) && is_uncut(id))
            .map(|(id, holder)| HeldAbort {
                holder: *id,
                bytes: if *id == request.id {
                    request.bytes
                } else {
                    holder.bytes
                },
                bound,
            })
            .collect();
        let count = candidates.len().max(1) as u64;
        let mean = candidates.iter().map(|cut| cut.bytes).sum::<u64>() / count;
        candidates.sort_by_key(|cut| std::cmp::Reverse((cut.bytes >= mean, cut.holder)));
        let mut remaining = excess;
        for cut in candidates {
            if cut.holder == request.id {
                return Err(bound);
            }
            remaining = remaining.saturating_sub(cut.bytes);
            cuts.push(cut);
            if remaining == 0 {
                return Ok(());
            }
        }
        Err(bound)
    }

    fn set(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut holder.bytes, bytes);
        self.total = self.total - previous + bytes;
        if let Some(tenant) = &holder.tenant {
            let sum = self.tenants.entry(tenant.clone()).or_default();
            *sum = *sum - previous + bytes;
            if *sum == 0 {
                self.tenants.remove(tenant);
            }
        }
    }
}

/// Request of a holder for more bytes.
#[derive(Clone, Copy, Debug)]
struct GrowthRequest {
    id: HolderId,
    /// Bytes that it would hold.
    bytes: u64,
    /// Additional bytes.
    added: u64,
}
