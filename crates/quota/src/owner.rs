//! Turn store as an owner of tenant quotas.

use crate::bucket::TokenBucket;
use crate::limit::{Limit, Tolerance};
use crate::protocol::{Purpose, QuotaRequest, QuotaResponse};
use luglink_fleet::{StoreName, StoreView, owners};
use luglink_types::{TenantName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a store grants tokens after the last response of a control member that has a
/// leader. The leader replaces a store after 2 s without a request at the earliest, counted from a
/// request that the store sent up to half a second before that response.
pub const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Part of a bucket that is reserved for programs that have started: refusing a program halfway
/// wastes the engine time and the tokens that it has used.
const RESERVE_RATIO: f64 = 0.3;

/// Maximum number of recent views. From these, the store derives since when it owns a tenant for
/// which it gets the first request.
const MAX_VIEWS: usize = 16;

/// Number of buckets from which full ones are dropped. A new bucket that replaces a dropped one is
/// full too.
const CLEANUP_THRESHOLD: usize = 4_096;

/// A view with the time from which this store has it.
#[derive(Clone, Debug)]
struct ReceivedView {
    since: Timestamp,
    view: StoreView,
}

#[derive(Clone, Debug)]
struct OwnedTenant {
    limit: Limit,
    bucket: TokenBucket,
}

/// The quotas of which a store owns a part.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    name: StoreName,
    owners: usize,
    tolerance: Tolerance,
    views: Vec<ReceivedView>,
    leader_contact_at: Option<Timestamp>,
    tenants: HashMap<TenantName, OwnedTenant>,
}

impl QuotaOwner {
    /// Creates the state of the store `name`. Each tenant has `owners` owners.
    #[must_use]
    pub fn new(name: StoreName, owners: usize, tolerance: Tolerance) -> Self {
        Self {
            name,
            owners,
            tolerance,
            views: Vec::new(),
            leader_contact_at: None,
            tenants: HashMap::new(),
        }
    }

    /// Returns the stores that own a tenant, highest rank first.
    #[must_use]
    pub fn owners_of(view: &StoreView, tenant: &TenantName, count: usize) -> Vec<StoreName> {
        owners(view, tenant.as_str(), count)
    }

    /// Adds a newer view. Drops tenants that this store no longer owns, and all tenants if a view
    /// was missed: other stores may have owned them in between.
    pub fn set_view(&mut self, view: StoreView, now: Timestamp) {
        let last_epoch = self.views.last().map(|last| last.view.epoch);
        if last_epoch.is_none_or(|last_epoch| view.epoch > last_epoch + 1) {
            self.views.clear();
            self.tenants.clear();
        }
        let (name, count) = (&self.name, self.owners);
        self.tenants
            .retain(|tenant, _| owns(&view, name, tenant, count));
        self.views.push(ReceivedView { since: now, view });
        if self.views.len() > MAX_VIEWS {
            self.views.remove(0);
        }
    }

    /// Records a response of a control member that has a leader.
    pub fn note_leader_contact(&mut self, now: Timestamp) {
        self.leader_contact_at = self.leader_contact_at.max(Some(now));
    }

    /// Answers a gateway's request.
    pub fn answer(&mut self, request: &QuotaRequest, now: Timestamp) -> QuotaResponse {
        let is_in_contact = self
            .leader_contact_at
            .is_some_and(|contact_at| now.since(contact_at) <= LEADER_CONTACT_TIMEOUT);
        let Some(since) = self.owned_since(&request.tenant).filter(|_| is_in_contact) else {
            return QuotaResponse::NotOwner;
        };
        let (owners, tolerance) = (self.owners, self.tolerance);
        self.drop_full_buckets(now);
        let owned = self
            .tenants
            .entry(request.tenant.clone())
            .or_insert_with(|| OwnedTenant {
                limit: request.limit,
                bucket: TokenBucket::new(
                    request.limit.owner_initial_level(tolerance, owners),
                    since,
                    request.limit.owner_rate(owners),
                    request.limit.owner_depth(tolerance, owners),
                ),
            });
        owned.update_limit(request.limit, tolerance, owners, now);
        owned.take(request.purpose, tolerance, owners, now)
    }

    /// Returns the time from which this store has owned a tenant without interruption, within the
    /// recent views; `None` if it does not own the tenant.
    fn owned_since(&self, tenant: &TenantName) -> Option<Timestamp> {
        let is_owner = |recent: &&ReceivedView| owns(&recent.view, &self.name, tenant, self.owners);
        let uninterrupted = self.views.iter().rev().take_while(is_owner);
        uninterrupted.last().map(|earliest| earliest.since)
    }

    fn drop_full_buckets(&mut self, now: Timestamp) {
        if self.tenants.len() >= CLEANUP_THRESHOLD {
            self.tenants.retain(|_, owned| !owned.bucket.is_full(now));
        }
    }
}

impl OwnedTenant {
    /// Applies the limit of a newer configuration. A limit of an older one is ignored: gateways
    /// that do not have the newer configuration yet still send it.
    fn update_limit(&mut self, limit: Limit, tolerance: Tolerance, owners: usize, now: Timestamp) {
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
            Purpose::Begins => RESERVE_RATIO * (depth - 1.0),
            Purpose::Continues => 0.0,
        };
        match self.bucket.take(reserve, now) {
            Ok(()) => QuotaResponse::Granted,
            Err(wait) => QuotaResponse::Denied {
                retry_delay_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            },
        }
    }
}

fn owns(view: &StoreView, name: &StoreName, tenant: &TenantName, count: usize) -> bool {
    QuotaOwner::owners_of(view, tenant, count).contains(name)
}
