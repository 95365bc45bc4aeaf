//! The simulator itself: it repeats, its faults do something, and a fixed set of seeds is clean.

use luglink_lab::check::check_all;
use luglink_lab::observe::Outcome;
use luglink_lab::replay::ReplayPlan;
use luglink_lab::sim::scenario::{Scenario, run_scenario};
use luglink_lab::sim::{
    NetworkConfig, SimConfig, SimFault, SimFaultKind, SimPlan, SimResult, SimTarget, simulate,
};
use luglink_lab::trace::{Deployment, FaultTarget, GeneratorConfig, generate};
use std::time::Duration;

/// Seeds of each scenario that CI runs.
const FIXED_SEEDS: std::ops::Range<u64> = 0..12;

fn load(seed: u64) -> ReplayPlan {
    ReplayPlan::new(&generate(&GeneratorConfig {
        deployment: Deployment::Kopano,
        seed,
        span_ms: 6_000,
        programs_per_second: 1.5,
        lookups_per_second: 3.0,
        pause_factor: 0.3,
    }))
}

fn config() -> SimConfig {
    let mut config = SimConfig::today(Deployment::Kopano, 3);
    config.program_groups = 2;
    config.idle_timeout = Duration::from_secs(8);
    config.engine_silence_timeout = Duration::from_secs(3);
    config
}

fn run(config: SimConfig, faults: Vec<SimFault>) -> SimResult {
    let replay = load(5);
    simulate(config, SimPlan { replay, faults }).expect("the event engine works")
}

/// A run that does the same for ever ends in an error that says so.
#[test]
fn a_run_is_bounded_by_its_events() {
    let mut config = config();
    config.most_events = 50;
    let plan = SimPlan {
        replay: load(5),
        faults: Vec::new(),
    };
    let error = simulate(config, plan).expect_err("fifty events are not enough");
    assert!(
        error.to_string().starts_with("no end after 50 events"),
        "{error}"
    );
}

fn fault(kind: SimFaultKind, target: impl Into<SimTarget>) -> SimFault {
    SimFault {
        at: Duration::from_millis(700),
        kind,
        target: target.into(),
        length: Some(Duration::from_millis(6_000)),
    }
}

#[test]
fn a_seed_replays_bit_for_bit() {
    for scenario in [Scenario::Chaos, Scenario::RegionPartition] {
        let first = run_scenario(scenario, 0..3, 1);
        let second = run_scenario(scenario, 0..3, 3);
        assert_eq!(first.digest, second.digest, "on one thread and on three");
        let other = run_scenario(scenario, 3..6, 1);
        assert_ne!(first.digest, other.digest);
    }
}

#[test]
fn a_fixed_set_of_seeds_of_every_scenario_is_clean() {
    for scenario in Scenario::ALL {
        let report = run_scenario(*scenario, FIXED_SEEDS, 4);
        assert!(report.failures.is_empty(), "{:#?}", report.failures);
        assert!(report.calls > 0, "{} made no calls", scenario.as_str());
    }
}

#[test]
fn without_faults_everything_is_answered() {
    let result = run(config(), Vec::new());
    let answered = |outcome: &Outcome| matches!(outcome, Outcome::Completed { .. });
    assert!(result.history.calls.iter().all(|it| answered(&it.outcome)));
    assert!(
        result
            .history
            .lookups
            .iter()
            .all(|it| answered(&it.outcome))
    );
    assert_eq!(check_all(&result.history), Vec::new());
    assert_eq!(result.problems, Vec::<String>::new());
    assert_eq!(result.faults.by_kind.values().sum::<u64>(), 0);
}

/// Every kind of fault, at a target of the kind that it is meant for, changes the run.
#[test]
fn every_fault_does_something() {
    let calm = run(config(), Vec::new());
    let engine = FaultTarget::Engine(0);
    let leader = SimTarget::Leader(1);
    let daemon = FaultTarget::Daemon(0);
    let faults = [
        fault(SimFaultKind::Crash, daemon.clone()),
        fault(SimFaultKind::Restart, daemon.clone()),
        fault(SimFaultKind::Hang, daemon.clone()),
        fault(SimFaultKind::Partition, daemon.clone()),
        fault(SimFaultKind::OneWayPartition, daemon),
        fault(SimFaultKind::Crash, leader.clone()),
        fault(SimFaultKind::TornCrash, leader.clone()),
        fault(SimFaultKind::DiskLoss, leader.clone()),
        fault(SimFaultKind::Restart, leader.clone()),
        fault(SimFaultKind::Hang, leader.clone()),
        fault(SimFaultKind::Slow, leader),
        fault(SimFaultKind::Crash, engine.clone()),
        fault(SimFaultKind::Restart, engine.clone()),
        fault(SimFaultKind::Hang, engine.clone()),
        fault(SimFaultKind::Slow, engine.clone()),
        fault(SimFaultKind::Leave, engine.clone()),
        fault(SimFaultKind::DropEvents, engine),
        fault(
            SimFaultKind::Crash,
            FaultTarget::Zone("isando-a".to_owned()),
        ),
    ];
    for fault in faults {
        let result = run(config(), vec![fault.clone()]);
        let counted = result.faults.by_kind.get(&fault.kind);
        assert!(counted.is_some_and(|count| *count > 0), "{fault:?}");
        assert_ne!(result.digest, calm.digest, "{fault:?} changed nothing");
        assert_eq!(check_all(&result.history), Vec::new(), "{fault:?}");
    }
}

#[test]
fn a_rough_network_loses_doubles_and_delays() {
    let mut rough = config();
    rough.network = NetworkConfig::rough();
    let result = run(rough, Vec::new());
    assert!(result.faults.lost_messages > 0);
    assert!(result.faults.doubled_messages > 0);
    assert!(result.faults.late_messages > 0);
}

#[test]
fn a_cut_stops_messages_and_a_torn_crash_tears_writes() {
    let cut = run(
        config(),
        vec![fault(SimFaultKind::Partition, FaultTarget::Control(0))],
    );
    assert!(cut.faults.cut_messages > 0);
    let torn = (0..20).map(|step| {
        let mut torn = fault(SimFaultKind::TornCrash, SimTarget::Leader(1));
        torn.at += Duration::from_millis(step * 7);
        run(config(), vec![torn]).faults.torn_writes
    });
    assert!(torn.sum::<u64>() > 0);
}
