//! Replica statistics of each zone, aggregated at a control member.
//!
//! In a zone with few members, every gateway reports to every member, and each member sums all
//! reports. In a larger zone a gateway reports to some members and is counted by one of them. Each
//! member then sums the reports of the gateways that it counts, and the members exchange these sums
//! instead of all reports.

use crate::replica_stats::{ReplicaStats, StatsReport};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetime of a cached sum. Gateways request it one after the other, and members have little
/// processor time.
const CACHED_SUM_LIFETIME: Duration = Duration::from_millis(50);

/// Statistics summed over all gateways of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStats {
    /// Sum of the reports.
    pub replica_stats: StatsReport,
    /// Average age of the summed reports.
    pub age: Duration,
}

/// Statistics of the gateways that one member counts, as sent to the other members of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStats {
    /// Identifier of the member; its newest message replaces the previous one.
    pub member: u32,
    /// Sums by zone of the gateways that it counts.
    pub zones: BTreeMap<String, ZoneStats>,
}

/// The gateway that sent a report.
#[derive(Clone, Copy, Debug)]
pub struct StatsSource<'request> {
    /// Name of its machine.
    pub name: &'request str,
    /// Its zone.
    pub zone: &'request str,
    /// True if this member is the one that counts it.
    pub is_counted_here: bool,
}

#[derive(Clone, Debug)]
struct GatewayReport {
    zone: String,
    replica_stats: StatsReport,
    received_at: Timestamp,
    is_counted_here: bool,
}

/// A report or a sum of reports, with its age.
#[derive(Clone, Copy, Debug)]
struct AgedReport<'table> {
    replica_stats: &'table StatsReport,
    age: Duration,
    /// Age of the report for which its current weights were computed.
    weighted_at: Duration,
}

impl AgedReport<'_> {
    /// Returns the weight of the report's samples and failures. The weight decreases linearly to 0
    /// at the age of `limit`; the reduction up to `weighted_at` is already included in the report.
    fn weight(&self, limit: Duration) -> f64 {
        let remaining_at = |age: Duration| limit.saturating_sub(age).as_secs_f64();
        match remaining_at(self.weighted_at) {
            0.0 => 0.0,
            previous => remaining_at(self.age) / previous,
        }
    }
}

#[derive(Clone, Debug)]
struct Cached {
    sum: ZoneStats,
    summed_at: Timestamp,
}

/// The latest report of each gateway and of each other member of the zone.
#[derive(Clone, Debug, Default)]
pub struct StatsTable {
    gateways: BTreeMap<String, GatewayReport>,
    neighbours: BTreeMap<u32, (MemberStats, Timestamp)>,
    sums: BTreeMap<String, Cached>,
    has_neighbours: bool,
}

impl StatsTable {
    /// Sets whether some gateways of the zone report to other members only.
    pub fn set_has_zone_peers(&mut self, has_neighbours: bool) {
        self.has_neighbours = has_neighbours;
    }

    /// Records a gateway's report.
    pub fn note(&mut self, source: StatsSource<'_>, replica_stats: StatsReport, now: Timestamp) {
        let report = GatewayReport {
            zone: source.zone.to_owned(),
            replica_stats,
            received_at: now,
            is_counted_here: source.is_counted_here,
        };
        self.gateways.insert(source.name.to_owned(), report);
    }

    /// Records the sums that another member of the zone sent.
    pub fn note_zone_peer(&mut self, stats: MemberStats, now: Timestamp) {
        self.neighbours.insert(stats.member, (stats, now));
    }

    /// Removes reports older than `limit`.
    pub fn expire(&mut self, now: Timestamp, limit: Duration) {
        self.gateways
            .retain(|_, report| now.since(report.received_at) < limit);
        self.neighbours
            .retain(|_, (_, received_at)| now.since(*received_at) < limit);
        self.sums
            .retain(|_, cached| now.since(cached.summed_at) < limit);
    }

    /// Returns the statistics summed over the gateways of a zone. Reports older than `limit` are
    /// ignored, and the weight of samples and failures decreases with their age.
    pub fn sum(&mut self, zone: &str, now: Timestamp, limit: Duration) -> ZoneStats {
        let cached = self.sums.get(zone);
        if let Some(cached) =
            cached.filter(|cached| now.since(cached.summed_at) < CACHED_SUM_LIFETIME)
        {
            return cached.sum.clone();
        }
        let own = self.own_reports(zone, self.has_neighbours, now);
        let received = self.neighbours.values().filter_map(|(stats, received_at)| {
            let zone_stats = stats.zones.get(zone)?;
            Some(AgedReport {
                replica_stats: &zone_stats.replica_stats,
                age: zone_stats.age + now.since(*received_at),
                weighted_at: zone_stats.age,
            })
        });
        let received = received.filter(|_| self.has_neighbours);
        let sum = sum_of(own.chain(received), limit);
        let cached = Cached {
            sum: sum.clone(),
            summed_at: now,
        };
        self.sums.insert(zone.to_owned(), cached);
        sum
    }

    /// Returns the sums of the gateways that this member counts, for the other members of its zone.
    #[must_use]
    pub fn counted(&self, member: u32, now: Timestamp, limit: Duration) -> MemberStats {
        let counted = self
            .gateways
            .values()
            .filter(|report| report.is_counted_here);
        let mut zones: BTreeMap<String, ZoneStats> = counted
            .map(|report| (report.zone.clone(), ZoneStats::default()))
            .collect();
        for (zone, stats) in &mut zones {
            *stats = sum_of(self.own_reports(zone, true, now), limit);
        }
        MemberStats { member, zones }
    }

    /// Returns the reports that a zone's gateways sent to this member, with their ages.
    fn own_reports<'table>(
        &'table self,
        zone: &str,
        counted_only: bool,
        now: Timestamp,
    ) -> impl Iterator<Item = AgedReport<'table>> {
        let reports = self.gateways.values();
        reports
            .filter(move |report| report.zone == zone && (report.is_counted_here || !counted_only))
            .map(move |report| AgedReport {
                replica_stats: &report.replica_stats,
                age: now.since(report.received_at),
                weighted_at: Duration::ZERO,
            })
    }
}

fn sum_of<'table>(reports: impl Iterator<Item = AgedReport<'table>>, limit: Duration) -> ZoneStats {
    let recent: Vec<AgedReport<'_>> = reports.filter(|report| report.age < limit).collect();
    let count = u32::try_from(recent.len()).unwrap_or(u32::MAX).max(1);
    let total: Duration = recent.iter().map(|report| report.age).sum();
    let weighted: Vec<StatsReport> = recent
        .iter()
        .map(|report| weighted(report.replica_stats, report.weight(limit)))
        .collect();
    ZoneStats {
        replica_stats: StatsReport::sum(&weighted),
        age: total / count,
    }
}

/// Returns a report whose samples and failures are multiplied by `weight`. Requests in flight are
/// not: a slightly older number is the best estimate of the current one.
fn weighted(report: &StatsReport, weight: f64) -> StatsReport {
    let scale = |tenths: u32| (f64::from(tenths) * weight).round() as u32;
    let replica_stats = report.0.iter().map(|stats| ReplicaStats {
        samples_tenths: scale(stats.samples_tenths),
        failures_tenths: scale(stats.failures_tenths),
        ..*stats
    });
    StatsReport(replica_stats.collect())
}
