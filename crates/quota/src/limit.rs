//! Rate limit of a tenant, and the tolerance of a deployment.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Rate limit of a tenant in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Version of the configuration that defines it; the higher version is in force.
    pub version: u64,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Number of requests beyond the rate that may arrive at once.
    pub burst: f64,
}

/// Number of requests beyond `rate * window + burst` that a deployment tolerates in any interval of
/// length `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the interval.
    pub window: Duration,
    /// Tolerance relative to the limit.
    pub overage: f64,
    /// Additional number of requests, independent of the limit.
    pub slack: f64,
}

/// Part of the tolerance that is added to the burst for the bucket depth. Programs send several
/// requests at once, and these are distributed unevenly over the owners. Buckets as deep as the
/// burst would refuse tenants that stay within the limit in every window.
const DEPTH_RATIO: f64 = 0.8;

/// Part of the tolerance that the buckets of all new owners together hold at the start. With
/// [`DEPTH_RATIO`], the tolerance suffices for a change of every owner in one window.
const INITIAL_LEVEL_RATIO: f64 = 0.15;

impl Limit {
    /// Returns the refill rate of one of `owners`, in tokens per second.
    pub(crate) fn owner_rate(&self, owners: usize) -> f64 {
        self.rate_per_s / owners.max(1) as f64
    }

    /// Returns the bucket depth of one of `owners`: at least 1, since a bucket with less could
    /// never grant a token.
    pub(crate) fn owner_depth(&self, tolerance: Tolerance, owners: usize) -> f64 {
        let depth = self.burst + DEPTH_RATIO * self.tolerated_excess(tolerance);
        (depth / owners.max(1) as f64).max(1.0)
    }

    /// Returns the initial bucket level of one of `owners` that is new to the tenant.
    pub(crate) fn owner_initial_level(&self, tolerance: Tolerance, owners: usize) -> f64 {
        INITIAL_LEVEL_RATIO * self.tolerated_excess(tolerance) / owners.max(1) as f64
    }

    /// Returns the number of requests beyond the limit that are tolerated in a window.
    fn tolerated_excess(&self, tolerance: Tolerance) -> f64 {
        let limit = self.rate_per_s * tolerance.window.as_secs_f64() + self.burst;
        tolerance.overage * limit + tolerance.slack
    }
}
