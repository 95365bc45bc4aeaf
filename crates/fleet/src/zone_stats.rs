//! What the gateways of each zone see of the replicas, as one member knows it.
//!
//! While a zone has few members, each of them hears every gateway of the zone, and sums what it
//! hears. In a larger zone each gateway is heard by some members and counted by one; members then
//! sum the gateways that they count, and tell each other these sums instead of all words.

use crate::sight::{ReplicaStats, StatsReport};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a sum serves all who ask. Gateways ask one after the other, and a member has
/// little processor time.
const SUM_LASTS: Duration = Duration::from_millis(50);

/// What all gateways of a zone saw together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStats {
    /// The sum.
    pub replica_stats: StatsReport,
    /// Mean age of the words in it.
    pub age: Duration,
}

/// What one member's gateways saw, as it tells the other members of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStats {
    /// Names the member; each of its words replaces the one before.
    pub member: u32,
    /// By the zones of the gateways that it counts.
    pub zones: BTreeMap<String, ZoneStats>,
}

/// A gateway's word, as it came.
#[derive(Clone, Copy, Debug)]
pub struct StatsSource<'word> {
    /// Name of its machine.
    pub name: &'word str,
    /// Its zone.
    pub zone: &'word str,
    /// Whether it counts on this member to count it.
    pub is_counted_here: bool,
}

#[derive(Clone, Debug)]
struct Word {
    zone: String,
    replica_stats: StatsReport,
    heard: Timestamp,
    is_counted_here: bool,
}

/// A word, or a sum of words.
#[derive(Clone, Copy, Debug)]
struct AgedWord<'table> {
    replica_stats: &'table StatsReport,
    age: Duration,
    /// Age at which what it witnesses was faded already.
    faded_at: Duration,
}

impl AgedWord<'_> {
    /// What is left of what it witnesses, when nothing is at the age of `limit`.
    fn share_left(&self, limit: Duration) -> f64 {
        let left_at = |age: Duration| limit.saturating_sub(age).as_secs_f64();
        match left_at(self.faded_at) {
            0.0 => 0.0,
            before => left_at(self.age) / before,
        }
    }
}

#[derive(Clone, Debug)]
struct Cached {
    sum: ZoneStats,
    summed_at: Timestamp,
}

/// The newest word of each gateway and of each neighbour.
#[derive(Clone, Debug, Default)]
pub struct StatsTable {
    gateways: BTreeMap<String, Word>,
    neighbours: BTreeMap<u32, (MemberStats, Timestamp)>,
    sums: BTreeMap<String, Cached>,
    has_neighbours: bool,
}

impl StatsTable {
    /// Takes whether other members of the zone hear gateways that this one does not.
    pub fn set_has_zone_peers(&mut self, has_neighbours: bool) {
        self.has_neighbours = has_neighbours;
    }

    /// Takes a gateway's word.
    pub fn note(&mut self, of: StatsSource<'_>, replica_stats: StatsReport, now: Timestamp) {
        let word = Word {
            zone: of.zone.to_owned(),
            replica_stats,
            heard: now,
            is_counted_here: of.is_counted_here,
        };
        self.gateways.insert(of.name.to_owned(), word);
    }

    /// Takes another member's word of the gateways that it counts.
    pub fn note_zone_peer(&mut self, word: MemberStats, now: Timestamp) {
        self.neighbours.insert(word.member, (word, now));
    }

    /// Forgets words that are older than `limit`.
    pub fn expire(&mut self, now: Timestamp, limit: Duration) {
        self.gateways
            .retain(|_, word| now.since(word.heard) < limit);
        self.neighbours
            .retain(|_, (_, heard)| now.since(*heard) < limit);
        self.sums
            .retain(|_, cached| now.since(cached.summed_at) < limit);
    }

    /// What the gateways of a zone saw together. Words older than `limit` are left out, and what
    /// they witness counts for less the older they are.
    pub fn sum(&mut self, zone: &str, now: Timestamp, limit: Duration) -> ZoneStats {
        let cached = self.sums.get(zone);
        if let Some(cached) = cached.filter(|cached| now.since(cached.summed_at) < SUM_LASTS) {
            return cached.sum.clone();
        }
        let own = self.own_words(zone, self.has_neighbours, now);
        let told = self.neighbours.values().filter_map(|(word, heard)| {
            let told = word.zones.get(zone)?;
            Some(AgedWord {
                replica_stats: &told.replica_stats,
                age: told.age + now.since(*heard),
                faded_at: told.age,
            })
        });
        let told = told.filter(|_| self.has_neighbours);
        let sum = sum_of(own.chain(told), limit);
        let cached = Cached {
            sum: sum.clone(),
            summed_at: now,
        };
        self.sums.insert(zone.to_owned(), cached);
        sum
    }

    /// What the gateways that this member counts saw, for the other members of its zone.
    #[must_use]
    pub fn counted(&self, member: u32, now: Timestamp, limit: Duration) -> MemberStats {
        let counted = self.gateways.values().filter(|word| word.is_counted_here);
        let mut zones: BTreeMap<String, ZoneStats> = counted
            .map(|word| (word.zone.clone(), ZoneStats::default()))
            .collect();
        for (zone, told) in &mut zones {
            *told = sum_of(self.own_words(zone, true, now), limit);
        }
        MemberStats { member, zones }
    }

    /// Words of a zone's gateways with their ages.
    fn own_words<'table>(
        &'table self,
        zone: &str,
        counted_only: bool,
        now: Timestamp,
    ) -> impl Iterator<Item = AgedWord<'table>> {
        let words = self.gateways.values();
        words
            .filter(move |word| word.zone == zone && (word.is_counted_here || !counted_only))
            .map(move |word| AgedWord {
                replica_stats: &word.replica_stats,
                age: now.since(word.heard),
                faded_at: Duration::ZERO,
            })
    }
}

fn sum_of<'words>(words: impl Iterator<Item = AgedWord<'words>>, limit: Duration) -> ZoneStats {
    let fresh: Vec<AgedWord<'_>> = words.filter(|word| word.age < limit).collect();
    let count = u32::try_from(fresh.len()).unwrap_or(u32::MAX).max(1);
    let total: Duration = fresh.iter().map(|word| word.age).sum();
    let faded: Vec<StatsReport> = fresh
        .iter()
        .map(|word| faded(word.replica_stats, word.share_left(limit)))
        .collect();
    ZoneStats {
        replica_stats: StatsReport::sum(&faded),
        age: total / count,
    }
}

/// A word whose evidence counts for a share. What is under way stays: a word of a moment ago is
/// the best guess of now.
fn faded(word: &StatsReport, share: f64) -> StatsReport {
    let fade = |tenths: u32| (f64::from(tenths) * share).round() as u32;
    let replica_stats = word.0.iter().map(|sight| ReplicaStats {
        samples_tenths: fade(sight.samples_tenths),
        failures_tenths: fade(sight.failures_tenths),
        ..*sight
    });
    StatsReport(replica_stats.collect())
}
