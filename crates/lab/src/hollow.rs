//! The configuration of a whole fleet: 350 hollow daemons and 8 control members in one process,
//! with the real logic, while operators change things and a zone and a region are lost.

use crate::check::{Promise, check};
use crate::observe::RevisionSeen;
use crate::replay::ReplayPlan;
use crate::sim::{
    NetworkConfig, SimConfig, SimFault, SimFaultKind, SimPlan, SimResult, Topology, simulate,
};
use crate::trace::{ChangeEvent, ChangeSet, Deployment, ExpectedRevision, FaultTarget, TraceEvent};
use luglink_types::Timestamp;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which the changes are made.
const SPAN: Duration = Duration::from_secs(60);

/// A change in force later than this breaks the promise, in milliseconds.
pub const IN_FORCE_LIMIT_MS: u64 = 19_000;

/// Bytes a second that control may cost a daemon.
pub const BYTES_LIMIT: f64 = 2_048.0;

/// Size of a hollow fleet.
#[derive(Clone, Copy, Debug)]
pub struct HollowConfig {
    /// Daemons in each of the seven zones.
    pub daemons_per_zone: usize,
    /// Replicas in the configuration.
    pub replicas: usize,
    /// Changes within a minute.
    pub changes: u64,
    /// Seed.
    pub seed: u64,
}

/// What a hollow fleet showed.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// Daemons.
    pub daemons: usize,
    /// Changes that were accepted.
    pub accepted: usize,
    /// Time from acceptance to the daemon in the middle, in milliseconds.
    pub in_force_p50_ms: u64,
    /// To the daemon at 99 of 100.
    pub in_force_p99_ms: u64,
    /// To the last daemon that nothing had cut off.
    pub in_force_last_ms: u64,
    /// Broken promises about the configuration.
    pub broken: Vec<String>,
    /// Bytes a second between a daemon and the control members, on average.
    pub bytes_per_second: f64,
    /// Of the daemon with the most.
    pub most_bytes_per_second: f64,
    /// Messages a second of a daemon.
    pub messages_per_second: f64,
    /// Events of the run.
    pub events: u64,
    /// Trouble of the run itself.
    pub problems: Vec<String>,
}

impl HollowReport {
    /// Whether every limit was kept.
    #[must_use]
    pub fn holds(&self) -> bool {
        let in_time = self.in_force_last_ms <= IN_FORCE_LIMIT_MS;
        let cheap = self.most_bytes_per_second <= BYTES_LIMIT;
        in_time && cheap && self.broken.is_empty() && self.problems.is_empty()
    }
}

/// Runs a hollow fleet.
///
/// # Errors
/// The simulator failed.
pub fn run_hollow(config: &HollowConfig) -> Result<HollowReport, String> {
    let result = simulate(sim_config(config), plan(config)).map_err(|error| error.to_string())?;
    Ok(report(&result))
}

fn sim_config(config: &HollowConfig) -> SimConfig {
    let mut sim = SimConfig::today(Deployment::Kopano, config.seed);
    sim.topology = Topology::both_regions();
    sim.deployments = vec![Deployment::Kopano, Deployment::Hub];
    sim.control_members = 8;
    sim.program_groups = 8;
    sim.daemons_per_zone = config.daemons_per_zone;
    sim.engines = config.replicas / 2;
    sim.service_replicas = 1;
    // Engines' events are not control; their readers are left out.
    sim.poll_interval = Duration::from_secs(3_600);
    sim.network = NetworkConfig {
        loss_per_mille: 5,
        duplicate_per_mille: 2,
        late_per_mille: 5,
        lateness: Duration::from_millis(400),
    };
    sim.count_traffic = true;
    sim
}

fn plan(config: &HollowConfig) -> SimPlan {
    let span = u64::try_from(SPAN.as_millis()).unwrap_or(u64::MAX);
    let change = |number: u64| {
        let mut fields = serde_json::Map::new();
        fields.insert("tokens".to_owned(), (1_000_000 + number).into());
        TraceEvent::Change(ChangeEvent {
            at_ms: number * span / config.changes.max(1),
            operator: "lab".to_owned(),
            change_id: format!("change-{number}"),
            expected_revision: ExpectedRevision::Current,
            set: ChangeSet {
                kind: "budget".to_owned(),
                name: "desk".to_owned(),
                fields,
            },
        })
    };
    let events: Vec<TraceEvent> = (0..config.changes).map(change).collect();
    let fault = |at: u64, kind, zone: &str, seconds| SimFault {
        at: Duration::from_secs(at),
        kind,
        target: FaultTarget::Zone(zone.to_owned()).into(),
        length: Some(Duration::from_secs(seconds)),
    };
    SimPlan {
        replay: ReplayPlan::new(&events),
        faults: vec![
            fault(10, SimFaultKind::Crash, "isando-b", 10),
            fault(30, SimFaultKind::RegionCut, "plateau", 10),
        ],
    }
}

fn report(result: &SimResult) -> HollowReport {
    let mut waits = waits(result);
    waits.sort_unstable();
    let at = |percent: usize| {
        let last = waits.len().saturating_sub(1);
        millis(waits.get((waits.len() * percent / 100).min(last)))
    };
    let seconds = result.base.plus(result.elapsed).since(Timestamp::ZERO);
    let seconds = seconds.as_secs_f64().max(1.0);
    let bytes: Vec<f64> = result
        .control_traffic
        .iter()
        .map(|traffic| traffic.bytes as f64 / seconds)
        .collect();
    let messages: u64 = result.control_traffic.iter().map(|it| it.messages).sum();
    let daemons = result.control_traffic.len();
    let accepted = result.history.changes.iter();
    HollowReport {
        daemons,
        accepted: accepted.filter(|it| it.accepted.is_some()).count(),
        in_force_p50_ms: at(50),
        in_force_p99_ms: at(99),
        in_force_last_ms: millis(waits.last()),
        broken: check(Promise::ConfigurationInForce, &result.history),
        bytes_per_second: bytes.iter().sum::<f64>() / daemons.max(1) as f64,
        most_bytes_per_second: bytes.iter().copied().fold(0.0, f64::max),
        messages_per_second: messages as f64 / daemons.max(1) as f64 / seconds,
        events: result.events,
        problems: result.problems.clone(),
    }
}

fn millis(wait: Option<&Duration>) -> u64 {
    wait.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// For each accepted change and each daemon that could hear of it all the time: how long until it
/// was in force there, to a tenth of a second.
fn waits(result: &SimResult) -> Vec<Duration> {
    let history = &result.history;
    let mut looks: BTreeMap<u32, Vec<&RevisionSeen>> = BTreeMap::new();
    for seen in &history.revisions {
        looks.entry(seen.daemon).or_default().push(seen);
    }
    let mut waits = Vec::new();
    for (at, revision) in history.changes.iter().filter_map(|change| change.accepted) {
        for (daemon, own) in &looks {
            let Some(seen) = own.iter().find(|seen| seen.revision >= revision) else {
                continue;
            };
            let cut_off = history.isolations.iter().any(|isolation| {
                isolation.daemon == *daemon && isolation.from <= seen.at && isolation.until >= at
            });
            if !cut_off {
                waits.push(seen.at.since(at));
            }
        }
    }
    waits
}
