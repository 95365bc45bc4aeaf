//! A tenant's limit, and how far beyond it a deployment lets its requests come.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A tenant's limit in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Version of the configuration that it stands in; of two, the higher one holds.
    pub version: u64,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// How many requests beyond `rate * window + burst` a deployment bears in any span of time of the
/// length `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The span of time.
    pub window: Duration,
    /// A share of the limit.
    pub overage: f64,
    /// A number of requests, whatever the limit is.
    pub slack: f64,
}

/// Part of the tolerance by which buckets are deeper than the burst. Programs send several
/// requests at once, and these reach the owners unevenly: buckets as deep as the burst refuse
/// tenants whose requests stay within the limit in every window.
const DEPTH_SHARE: f64 = 0.8;

/// Part of the tolerance with which the buckets of new owners begin, all owners together. With
/// [`DEPTH_SHARE`] it leaves room within the tolerance for a change of every owner in a window.
const START_SHARE: f64 = 0.15;

impl Limit {
    /// Tokens that come to one of `owners` each second.
    pub(crate) fn owner_rate(&self, owners: usize) -> f64 {
        self.rate_per_s / owners.max(1) as f64
    }

    /// Tokens that the bucket of one of `owners` holds at the most; a whole one at least, since
    /// less could never be given.
    pub(crate) fn owner_depth(&self, tolerance: Tolerance, owners: usize) -> f64 {
        let depth = self.burst + DEPTH_SHARE * self.bearable(tolerance);
        (depth / owners.max(1) as f64).max(1.0)
    }

    /// Tokens in the bucket of one of `owners` that is new to the tenant.
    pub(crate) fn owner_start(&self, tolerance: Tolerance, owners: usize) -> f64 {
        START_SHARE * self.bearable(tolerance) / owners.max(1) as f64
    }

    /// Requests beyond the limit that are borne in a window.
    fn bearable(&self, tolerance: Tolerance) -> f64 {
        let within = self.rate_per_s * tolerance.window.as_secs_f64() + self.burst;
        tolerance.overage * within + tolerance.slack
    }
}
