//! Who reads the platform's list of replicas, and when.
//!
//! The platform answers a bounded number of calls a second to everyone together, and a list takes
//! a call for each page. So one process reads for all: the leader. While nobody hears a leader,
//! members read, and gateways that hear no member: both so rarely that together they stay within
//! a share of the platform's rate, however many they are. A process that has never been told how
//! many there are, or has never had a list, never reads: it has no configuration either, and serves
//! nobody.

use luglink_types::Timestamp;
use std::time::Duration;

/// Share of the platform's calls that the leader takes, unless that makes its list old.
const LEADER_SHARE: f64 = 0.1;

/// Longest time between two readings of the leader, as a share of the age from which others read.
/// With a reading, an election and the way to the last gateway besides, a leaving replica is known
/// everywhere before that age even when the leader falls between two readings.
const LEADER_INTERVAL: f64 = 0.45;

/// Share of the platform's calls that members take together while they hear no leader.
const MEMBERS_SHARE: f64 = 0.3;

/// Share of the platform's calls that gateways take together while they hear no member.
const GATEWAYS_SHARE: f64 = 0.35;

/// Replicas that a page is taken to hold before one was read: the fewest seen.
const REPLICAS_PER_PAGE: usize = 50;

/// Doublings of the time between two readings that were refused one after the other.
const MOST_DOUBLINGS: u32 = 6;

/// What a process may read the list for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListReader {
    /// For all: it leads.
    Leader,
    /// For those who ask it, when no leader's list comes: one of so many members; 0 while it does
    /// not belong to them.
    Member(u32),
    /// For itself, when no member's list comes: one of so many gateways; 0 while it was not told.
    Gateway(u32),
}

impl ListReader {
    /// Calls a second that one process takes in the mean.
    fn calls_per_s(self, of_everyone: f64) -> f64 {
        let (share, processes) = match self {
            Self::Leader => (LEADER_SHARE, 1),
            Self::Member(members) => (MEMBERS_SHARE, members),
            Self::Gateway(gateways) => (GATEWAYS_SHARE, gateways),
        };
        of_everyone * share / f64::from(processes.max(1))
    }
}

/// What the settings say of reading.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListReadLimits {
    /// Calls that the platform answers to everyone together, per second.
    pub calls_per_s: f64,
    /// Shortest time between two readings.
    pub min_interval: Duration,
    /// Age from which a list is too old to wait for others.
    pub stale_after: Duration,
}

/// One process's readings.
#[derive(Clone, Debug)]
pub struct ListReadSchedule {
    rates: ListReadLimits,
    /// Calls that a reading takes.
    pages: u32,
    /// Whether `pages` was counted and not estimated.
    has_read: bool,
    /// Readings in a row that were refused.
    refusals: u32,
    /// What it reads for, and when it may read next.
    due: Option<(ListReader, Timestamp)>,
}

impl ListReadSchedule {
    /// Nothing read yet.
    #[must_use]
    pub fn new(rates: ListReadLimits) -> Self {
        Self {
            rates,
            pages: 1,
            has_read: false,
            refusals: 0,
            due: None,
        }
    }

    /// Takes how many replicas the list names, by word of others.
    pub fn expect_replicas(&mut self, replicas: usize) {
        if !self.has_read {
            self.pages = u32::try_from(replicas / REPLICAS_PER_PAGE + 1).unwrap_or(u32::MAX);
        }
    }

    /// Whether to read now. `age` is that of the list at hand, `draw` any number that differs
    /// between processes and calls.
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
            // Who has no list yet does not know what a reading costs, and will get one from others.
            ListReader::Member(_) | ListReader::Gateway(_) => {
                age.is_some_and(|age| age >= self.rates.stale_after)
            }
        };
        if !is_needed {
            // A time that has passed unused says nothing any more; one that is still to come keeps
            // those whose list grows old again from reading sooner than their share allows.
            self.due = self.due.filter(|(_, due)| *due > now);
            return false;
        }
        match self.due {
            Some((known, due)) if is_same_kind(known, reader) => now >= due,
            _ => {
                let first = match reader {
                    ListReader::Leader => Duration::ZERO,
                    // At random, so that those who lose the others together take turns.
                    _ => self.interval(reader).mul_f64(fraction(draw)),
                };
                self.due = Some((reader, now.plus(first)));
                first.is_zero()
            }
        }
    }

    /// Notes that a reading that began at `began` took `pages` calls.
    pub fn succeeded(&mut self, pages: u32, began: Timestamp, draw: u64) {
        self.pages = pages;
        self.has_read = true;
        self.refusals = 0;
        self.schedule(began, draw);
    }

    /// Notes that a reading that began at `began` failed. A platform that refuses is asked less
    /// and less.
    pub fn failed(&mut self, was_refused: bool, began: Timestamp, draw: u64) {
        if was_refused {
            self.refusals = (self.refusals + 1).min(MOST_DOUBLINGS);
        }
        self.schedule(began, draw);
    }

    fn schedule(&mut self, began: Timestamp, draw: u64) {
        let Some((reader, _)) = self.due else { return };
        let interval = self.interval(reader) * 2_u32.pow(self.refusals);
        let spread = match reader {
            ListReader::Leader if self.refusals == 0 => 1.0,
            _ => 0.5 + fraction(draw),
        };
        self.due = Some((reader, began.plus(interval.mul_f64(spread))));
    }

    /// Mean time between two readings.
    fn interval(&self, reader: ListReader) -> Duration {
        let own = reader.calls_per_s(self.rates.calls_per_s);
        let paced = Duration::from_secs_f64(f64::from(self.pages) / own);
        let longest = match reader {
            ListReader::Leader => self.rates.stale_after.mul_f64(LEADER_INTERVAL),
            _ => Duration::MAX,
        };
        paced.min(longest).max(self.rates.min_interval)
    }
}

fn is_same_kind(one: ListReader, other: ListReader) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}

/// A number from 0 to 1.
fn fraction(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1_u64 << 53) as f64
}
