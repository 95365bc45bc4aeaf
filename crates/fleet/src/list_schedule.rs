//! Schedule by which processes read the platform's list of replicas.
//!
//! The platform limits the total rate of calls of all processes, and a list takes one call per
//! page. So the leader reads for all processes. Without a leader, members read the list, and so do
//! gateways that reach no member. Their intervals grow with their number, so that together they
//! stay within a share of the platform's rate limit. A member or gateway that does not know that
//! number, or has never had a list, does not read: it has no configuration either and serves no
//! requests.

use luglink_types::Timestamp;
use std::time::Duration;

/// Share of the platform's rate limit that the leader uses, unless its list would become stale.
const LEADER_RATE_SHARE: f64 = 0.1;

/// Maximum interval between two reads of the leader, as a fraction of the age at which a list is
/// stale. The rest is left for a read, an election and the transfer to the last gateway, so that a
/// draining replica is known everywhere in time even if the leader fails between two reads.
const MAX_LEADER_INTERVAL_RATIO: f64 = 0.45;

/// Share of the platform's rate limit that all members together use while they have no leader.
const MEMBERS_RATE_SHARE: f64 = 0.3;

/// Share of the platform's rate limit that all gateways together use while they reach no member.
const GATEWAYS_RATE_SHARE: f64 = 0.35;

/// Assumed number of replicas per page before the first read: the smallest page seen, so that the
/// number of calls is not underestimated.
const MIN_REPLICAS_PER_PAGE: usize = 50;

/// Maximum number of times that the read interval is doubled after consecutive rejected reads.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The role in which a process reads the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListReader {
    /// The leader, which reads for all processes.
    Leader,
    /// One of this many members, which reads for its observers while it receives no list from a
    /// leader; 0 if it does not belong to the membership.
    Member(u32),
    /// One of this many gateways, which reads for itself while it receives no list from a member;
    /// 0 if it does not know their number.
    Gateway(u32),
}

impl ListReader {
    /// Returns the average call rate of one process, given the platform's total rate limit.
    fn calls_per_s(self, total: f64) -> f64 {
        let (share, processes) = match self {
            Self::Leader => (LEADER_RATE_SHARE, 1),
            Self::Member(members) => (MEMBERS_RATE_SHARE, members),
            Self::Gateway(gateways) => (GATEWAYS_RATE_SHARE, gateways),
        };
        total * share / f64::from(processes.max(1))
    }
}

/// Limits for reading the list, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListReadLimits {
    /// Rate limit of the platform for all processes together, in calls per second.
    pub calls_per_s: f64,
    /// Minimum interval between two reads.
    pub min_interval: Duration,
    /// Age at which a list is stale, so that members and gateways read it themselves.
    pub stale_after: Duration,
}

/// Schedule of one process's reads.
#[derive(Clone, Debug)]
pub struct ListReadSchedule {
    limits: ListReadLimits,
    /// Number of calls that a read takes.
    pages: u32,
    /// True if `pages` is the count of a read and not an estimate.
    has_read: bool,
    /// Number of consecutive rejected reads.
    rejections: u32,
    /// Role and time of the next read.
    due: Option<(ListReader, Timestamp)>,
}

impl ListReadSchedule {
    /// Creates the schedule of a process that has not read the list yet.
    #[must_use]
    pub fn new(limits: ListReadLimits) -> Self {
        Self {
            limits,
            pages: 1,
            has_read: false,
            rejections: 0,
            due: None,
        }
    }

    /// Estimates the number of pages from the length of a list received from another process.
    pub fn expect_replicas(&mut self, replicas: usize) {
        if !self.has_read {
            self.pages = u32::try_from(replicas / MIN_REPLICAS_PER_PAGE + 1).unwrap_or(u32::MAX);
        }
    }

    /// Returns true if the process must read now. `age` is the age of its current list, `draw` a
    /// random number that differs between processes and calls.
    pub fn is_due(
        &mut self,
        reader: ListReader,
        age: Option<Duration>,
        now: Timestamp,
        draw: u64,
    ) -> bool {
        let is_needed = match reader {
            ListReader::Leader => true,
            ListReader::Member(0) | ListReader::Gateway(0) => false,
            // A process without a list does not know how many calls a read takes, and will receive
            // a list from others.
            ListReader::Member(_) | ListReader::Gateway(_) => {
                age.is_some_and(|age| age >= self.limits.stale_after)
            }
        };
        if !is_needed {
            // A due time in the past is obsolete. One in the future is kept, so that a process
            // whose list becomes stale again does not exceed its share of the rate.
            self.due = self.due.filter(|(_, due)| *due > now);
            return false;
        }
        match self.due {
            Some((known, due)) if is_same_role(known, reader) => now >= due,
            _ => {
                let first = match reader {
                    ListReader::Leader => Duration::ZERO,
                    // Random, so that processes that lose contact at the same time do not read at
                    // the same time.
                    _ => self.interval(reader).mul_f64(fraction(draw)),
                };
                self.due = Some((reader, now.plus(first)));
                first.is_zero()
            }
        }
    }

    /// Records that a read that began at `began` took `pages` calls.
    pub fn succeeded(&mut self, pages: u32, began: Timestamp, draw: u64) {
        self.pages = pages;
        self.has_read = true;
        self.rejections = 0;
        self.schedule(began, draw);
    }

    /// Records that a read that began at `began` failed. The interval doubles with each read that
    /// the platform rejected.
    pub fn failed(&mut self, was_rejected: bool, began: Timestamp, draw: u64) {
        if was_rejected {
            self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        }
        self.schedule(began, draw);
    }

    fn schedule(&mut self, began: Timestamp, draw: u64) {
        let Some((reader, _)) = self.due else { return };
        let interval = self.interval(reader) * 2_u32.pow(self.rejections);
        let jitter = match reader {
            ListReader::Leader if self.rejections == 0 => 1.0,
            _ => 0.5 + fraction(draw),
        };
        self.due = Some((reader, began.plus(interval.mul_f64(jitter))));
    }

    /// Returns the average interval between two reads.
    fn interval(&self, reader: ListReader) -> Duration {
        let own_rate = reader.calls_per_s(self.limits.calls_per_s);
        let paced = Duration::from_secs_f64(f64::from(self.pages) / own_rate);
        let max_interval = match reader {
            ListReader::Leader => self.limits.stale_after.mul_f64(MAX_LEADER_INTERVAL_RATIO),
            _ => Duration::MAX,
        };
        paced.min(max_interval).max(self.limits.min_interval)
    }
}

fn is_same_role(one: ListReader, other: ListReader) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}

/// Maps a random number to the interval from 0 to 1.
fn fraction(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1_u64 << 53) as f64
}
