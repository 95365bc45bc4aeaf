//! What a turn store does for the tenants that it owns.

use crate::bucket::TokenBucket;
use crate::limit::{Limit, Tolerance};
use crate::protocol::{Purpose, QuotaRequest, QuotaResponse};
use luglink_fleet::{StoreName, StoreView, owners};
use luglink_types::{TenantName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the last word of a control member that hears its leader, for which a store still
/// gives tokens. A leader passes a store over after 2 s of silence at the earliest, counted from a
/// question that the store put up to half a second before the last answer.
pub const FRESH_FOR: Duration = Duration::from_millis(1_400);

/// Part of a bucket that is kept for programs that have begun. One that is refused in its middle
/// has used engines and tokens for nothing.
const RESERVE_SHARE: f64 = 0.3;

/// Views that are remembered, to know since when the store owns a tenant that it is asked about
/// for the first time.
const REMEMBERED_VIEWS: usize = 16;

/// Tenants whose buckets are held at the most. Those that are full are let go first, since a new
/// one would be full too.
const MAX_BUCKETS: usize = 4_096;

/// A view, and since when this store has it.
#[derive(Clone, Debug)]
struct HeldView {
    since: Timestamp,
    view: StoreView,
}

#[derive(Clone, Debug)]
struct OwnedTenant {
    limit: Limit,
    bucket: TokenBucket,
}

/// The tenants that a store owns a part of.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    name: StoreName,
    owners: usize,
    tolerance: Tolerance,
    views: Vec<HeldView>,
    fresh_at: Option<Timestamp>,
    tenants: HashMap<TenantName, OwnedTenant>,
}

impl QuotaOwner {
    /// The part of the store of that name; each tenant has `owners`.
    #[must_use]
    pub fn new(name: StoreName, owners: usize, tolerance: Tolerance) -> Self {
        Self {
            name,
            owners,
            tolerance,
            views: Vec::new(),
            fresh_at: None,
            tenants: HashMap::new(),
        }
    }

    /// The stores that own a tenant, best first.
    #[must_use]
    pub fn owners_of(view: &StoreView, tenant: &TenantName, count: usize) -> Vec<StoreName> {
        owners(view, tenant.as_str(), count)
    }

    /// Takes a newer view. Tenants that it gives to others are forgotten, and all of them when
    /// views between were missed: others may have owned them meanwhile.
    pub fn set_view(&mut self, view: StoreView, now: Timestamp) {
        let held = self.views.last().map(|held| held.view.epoch);
        if held.is_none_or(|held| view.epoch > held + 1) {
            self.views.clear();
            self.tenants.clear();
        }
        let (name, count) = (&self.name, self.owners);
        self.tenants
            .retain(|tenant, _| owns(&view, name, tenant, count));
        self.views.push(HeldView { since: now, view });
        if self.views.len() > REMEMBERED_VIEWS {
            self.views.remove(0);
        }
    }

    /// Notes the word of a control member that hears its leader.
    pub fn note_leader_contact(&mut self, now: Timestamp) {
        self.fresh_at = self.fresh_at.max(Some(now));
    }

    /// Answers a gateway.
    pub fn answer(&mut self, ask: &QuotaRequest, now: Timestamp) -> QuotaResponse {
        let is_fresh = self
            .fresh_at
            .is_some_and(|fresh_at| now.since(fresh_at) <= FRESH_FOR);
        let Some(since) = self.owned_since(&ask.tenant).filter(|_| is_fresh) else {
            return QuotaResponse::NotOwner;
        };
        let (owners, tolerance) = (self.owners, self.tolerance);
        self.make_room(now);
        let owned = self
            .tenants
            .entry(ask.tenant.clone())
            .or_insert_with(|| OwnedTenant {
                limit: ask.limit,
                bucket: TokenBucket::new(
                    ask.limit.owner_start(tolerance, owners),
                    since,
                    ask.limit.owner_rate(owners),
                    ask.limit.owner_depth(tolerance, owners),
                ),
            });
        owned.adopt(ask.limit, tolerance, owners, now);
        owned.take(ask.purpose, tolerance, owners, now)
    }

    /// Since when this store has owned a tenant without a break, as far as it remembers.
    fn owned_since(&self, tenant: &TenantName) -> Option<Timestamp> {
        let is_mine = |held: &&HeldView| owns(&held.view, &self.name, tenant, self.owners);
        let unbroken = self.views.iter().rev().take_while(is_mine);
        unbroken.last().map(|held| held.since)
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.tenants.len() >= MAX_BUCKETS {
            self.tenants.retain(|_, owned| !owned.bucket.is_full(now));
        }
    }
}

impl OwnedTenant {
    /// Takes a limit of a newer configuration. Gateways that have not heard of it yet ask by the
    /// older one; it does not come back.
    fn adopt(&mut self, limit: Limit, tolerance: Tolerance, owners: usize, now: Timestamp) {
        if limit.version <= self.limit.version {
            return;
        }
        self.limit = limit;
        let depth = limit.owner_depth(tolerance, owners);
        self.bucket.resize(limit.owner_rate(owners), depth, now);
    }

    fn take(
        &mut self,
        purpose: Purpose,
        tolerance: Tolerance,
        owners: usize,
        now: Timestamp,
    ) -> QuotaResponse {
        let depth = self.limit.owner_depth(tolerance, owners);
        let reserve = match purpose {
            Purpose::Begins => RESERVE_SHARE * (depth - 1.0),
            Purpose::Continues => 0.0,
        };
        match self.bucket.take(reserve, now) {
            Ok(()) => QuotaResponse::Granted,
            Err(wait) => QuotaResponse::Denied {
                come_back_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            },
        }
    }
}

fn owns(view: &StoreView, name: &StoreName, tenant: &TenantName, count: usize) -> bool {
    QuotaOwner::owners_of(view, tenant, count).contains(name)
}
