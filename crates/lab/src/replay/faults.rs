//! Faults of a trace, brought about in a fleet of real sockets.

use crate::engine::http::Fault;
use crate::fleet::{Fleet, FleetError};
use crate::observe::Observer;
use crate::replay::caller::CallerContext;
use crate::sim::SimFaultKind;
use crate::trace::{FaultEvent, FaultKind, FaultTarget};
use luglink_types::{EngineId, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Factor by which a slow engine is slower.
const SLOW_FACTOR: u32 = 8;

/// One thing to do at one time.
#[derive(Clone, Debug)]
struct Step {
    at: Duration,
    kind: FaultKind,
    target: FaultTarget,
    /// Whether the fault begins or ends.
    begins: bool,
}

/// Faults that really happened, by kind.
pub(crate) type FaultCounts = BTreeMap<FaultKind, u64>;

/// Brings every fault about at its time.
///
/// # Errors
/// The fleet has no such target, or the fault cannot be made on real sockets.
pub(crate) async fn run(
    fleet: &mut Fleet,
    context: &Rc<CallerContext>,
    observer: &Observer,
    faults: &[FaultEvent],
) -> Result<FaultCounts, FleetError> {
    let mut steps: Vec<Step> = faults.iter().flat_map(steps_of).collect();
    steps.sort_by_key(|step| step.at);
    let mut counts = FaultCounts::new();
    for step in steps {
        let due = fleet.started() + step.at;
        actix_rt::time::sleep_until(due.into()).await;
        if step.begins {
            let planned = SimFaultKind::from(step.kind).is_planned();
            observer.note(|history| history.unplanned_faults |= !planned);
            *counts.entry(step.kind).or_default() += 1;
        }
        carry_out(fleet, context, observer, &step).await?;
    }
    Ok(counts)
}

fn steps_of(fault: &FaultEvent) -> Vec<Step> {
    let at = Duration::from_millis(fault.at_ms);
    let step = |at, begins| Step {
        at,
        kind: fault.kind,
        target: fault.target.clone(),
        begins,
    };
    let mut steps = vec![step(at, true)];
    if let Some(length) = fault.for_ms {
        steps.push(step(at + Duration::from_millis(length), false));
    }
    steps
}

async fn carry_out(
    fleet: &mut Fleet,
    context: &Rc<CallerContext>,
    observer: &Observer,
    step: &Step,
) -> Result<(), FleetError> {
    match &step.target {
        FaultTarget::Daemon(index) => on_daemon(fleet, context, *index, step).await,
        FaultTarget::Control(index) => on_control(fleet, *index, step).await,
        FaultTarget::Engine(index) => on_engine(fleet, observer, *index, step).await,
        FaultTarget::Zone(zone) => on_zone(fleet, context, observer, zone, step).await,
    }
}

async fn on_daemon(
    fleet: &mut Fleet,
    context: &Rc<CallerContext>,
    index: usize,
    step: &Step,
) -> Result<(), FleetError> {
    match (step.kind, step.begins) {
        (FaultKind::Restart, true) => {
            let zone = fleet.daemon_zone(index).unwrap_or_default().to_owned();
            let address = fleet.daemons_for(&zone).first().copied();
            context.stopping.borrow_mut().extend(address);
            fleet.stop_daemon(index).await?;
            fleet.start_daemon(index).await?;
            if let Some(address) = address {
                context.stopping.borrow_mut().remove(&address);
            }
            Ok(())
        }
        (FaultKind::Restart, false) => Ok(()),
        // A process that hangs or cannot be reached looks like a dead one from outside.
        (_, true) => fleet.crash_daemon(index).await,
        (_, false) => fleet.start_daemon(index).await,
    }
}

async fn on_control(fleet: &mut Fleet, index: usize, step: &Step) -> Result<(), FleetError> {
    match (step.kind, step.begins) {
        (FaultKind::Restart, true) => {
            fleet.stop_control(index).await?;
            fleet.start_control(index).await
        }
        (FaultKind::Restart, false) => Ok(()),
        (_, true) => fleet.crash_control(index),
        (_, false) => fleet.start_control(index).await,
    }
}

async fn on_engine(
    fleet: &mut Fleet,
    observer: &Observer,
    index: usize,
    step: &Step,
) -> Result<(), FleetError> {
    match (step.kind, step.begins) {
        (FaultKind::Crash | FaultKind::Restart, true) => {
            fleet.crash_engine(index).await?;
            if step.kind == FaultKind::Restart {
                return fleet.start_engine(index).await;
            }
            Ok(())
        }
        (FaultKind::Crash, false) => fleet.start_engine(index).await,
        (FaultKind::Restart | FaultKind::Heal, _) => Ok(()),
        (FaultKind::Hang | FaultKind::Partition, begins) => {
            fleet.engine_fault(index, Fault::Hang(begins))
        }
        (FaultKind::Slow, begins) => {
            let factor = if begins { SLOW_FACTOR } else { 1 };
            fleet.engine_fault(index, Fault::Slow(factor))
        }
        (FaultKind::Leave, begins) => {
            let engine = EngineId(u32::try_from(index).unwrap_or(u32::MAX));
            let at = Timestamp::ZERO.plus(fleet.started().elapsed());
            observer.leaving(engine, begins, at);
            fleet.engine_fault(index, Fault::Leave(begins))
        }
        (FaultKind::DropEvents, begins) => fleet.engine_fault(index, Fault::DropEvents(begins)),
    }
}

/// A lost zone loses its daemons and engines.
async fn on_zone(
    fleet: &mut Fleet,
    context: &Rc<CallerContext>,
    observer: &Observer,
    zone: &str,
    step: &Step,
) -> Result<(), FleetError> {
    for index in 0..fleet.daemon_count() {
        if fleet.daemon_zone(index) == Some(zone) {
            on_daemon(fleet, context, index, step).await?;
        }
    }
    for index in 0..fleet.config().engines {
        if fleet.engine_zone(index) == zone {
            on_engine(fleet, observer, index, step).await?;
        }
    }
    Ok(())
}
