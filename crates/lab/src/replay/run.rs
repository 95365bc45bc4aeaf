//! The whole replay.

use crate::engine::CacheUse;
use crate::fleet::{Fleet, FleetConfig, FleetError};
use crate::observe::{History, Observer, RevisionSeen};
use crate::replay::caller::{CallerContext, run_lookup, run_program};
use crate::replay::http_client::new_client;
use crate::replay::plan::ReplayPlan;
use crate::replay::{faults, operator, settle};
use crate::sim::{SimFaultKind, SimResult};
use crate::trace::{FaultKind, TraceEvent};
use luglink_types::Timestamp;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Time between looks at the daemons' revisions.
const REVISION_INTERVAL: Duration = Duration::from_millis(250);

/// What a replay gives.
#[derive(Debug)]
pub struct ReplayResult {
    /// What was seen.
    pub history: History,
    /// What the engines say of their caches.
    pub caches: Vec<CacheUse>,
    /// Faults that happened, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// How long it took.
    pub elapsed: Duration,
    /// Changes that could not even be sent.
    pub problems: Vec<String>,
}

impl From<SimResult> for ReplayResult {
    fn from(result: SimResult) -> Self {
        let faults = result.faults.by_kind.iter();
        Self {
            faults: faults
                .map(|(kind, count)| (kind.as_str(), *count))
                .collect(),
            history: result.history,
            caches: result.caches,
            elapsed: result.elapsed,
            problems: result.problems,
        }
    }
}

/// Starts a fleet, replays a trace against it, and stops it. `progress` is told now and then
/// how many of all requests have ended.
///
/// # Errors
/// The fleet cannot start, or the trace names parts it does not have.
pub async fn replay_on_fleet(
    config: FleetConfig,
    events: &[TraceEvent],
    progress: impl Fn(usize, usize) + 'static,
) -> Result<ReplayResult, FleetError> {
    let observer = Observer::default();
    let mut fleet = Fleet::start(config, observer.clone()).await?;
    let plan = ReplayPlan::new(events);
    let base = fleet.started().elapsed();
    let context = Rc::new(caller_context(&fleet, &observer));
    let total = plan.lookups.len() + count_calls(&plan);
    let reporting = actix_rt::spawn(report_progress(observer.clone(), total, progress));
    let mut callers = Vec::new();
    for mut program in plan.programs.clone() {
        program.program.at_ms += millis(base);
        callers.push(actix_rt::spawn(run_program(Rc::clone(&context), program)));
    }
    for mut lookup in plan.lookups.clone() {
        lookup.at_ms += millis(base);
        callers.push(actix_rt::spawn(run_lookup(Rc::clone(&context), lookup)));
    }
    let operators = actix_rt::spawn(run_operators(&fleet, &observer, &plan, base));
    let mut shifted = plan.faults.clone();
    for fault in &mut shifted {
        fault.at_ms += millis(base);
    }
    let counts = run_with_looks(&mut fleet, &context, &observer, &shifted, callers).await?;
    let problems = operators.await.unwrap_or_default();
    look_at_revisions(&fleet, &observer).await;
    settle::wait_for_releases(&fleet, &observer).await;
    settle::take_final_views(&fleet, &observer).await;
    let caches = settle::cache_use(&fleet).await;
    reporting.abort();
    let elapsed = fleet.started().elapsed();
    fleet.stop().await;
    let faults = counts
        .into_iter()
        .map(|(kind, count)| (SimFaultKind::from(kind).as_str(), count))
        .collect();
    Ok(ReplayResult {
        history: observer.history(),
        caches,
        faults,
        elapsed,
        problems,
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn caller_context(fleet: &Fleet, observer: &Observer) -> CallerContext {
    let zones = fleet.config().deployment.zones();
    let daemons = zones
        .iter()
        .map(|zone| ((*zone).to_owned(), fleet.daemons_for(zone)));
    CallerContext {
        client: new_client(),
        observer: observer.clone(),
        started: fleet.started(),
        tools: fleet.tools(),
        daemons: daemons.collect(),
        created: RefCell::new(BTreeMap::new()),
        stopping: RefCell::new(BTreeSet::new()),
        run: "run".to_owned(),
    }
}

fn count_calls(plan: &ReplayPlan) -> usize {
    let is_call =
        |step: &&crate::replay::ProgramStep| matches!(step, crate::replay::ProgramStep::Call(_));
    plan.programs
        .iter()
        .map(|program| program.steps.iter().filter(is_call).count())
        .sum()
}

async fn report_progress(
    observer: Observer,
    total: usize,
    progress: impl Fn(usize, usize) + 'static,
) {
    loop {
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let mut done = 0;
        observer.note(|history| done = history.calls.len() + history.lookups.len());
        progress(done, total);
    }
}

/// Faults and looks at revisions, until every caller is done.
async fn run_with_looks(
    fleet: &mut Fleet,
    context: &Rc<CallerContext>,
    observer: &Observer,
    shifted: &[crate::trace::FaultEvent],
    callers: Vec<actix_rt::task::JoinHandle<()>>,
) -> Result<BTreeMap<FaultKind, u64>, FleetError> {
    look_at_revisions(fleet, observer).await;
    let counts = faults::run(fleet, context, observer, shifted).await?;
    let all = actix_rt::spawn(async move {
        for caller in callers {
            let _ = caller.await;
        }
    });
    while !all.is_finished() {
        look_at_revisions(fleet, observer).await;
        actix_rt::time::sleep(REVISION_INTERVAL).await;
    }
    Ok(counts)
}

async fn look_at_revisions(fleet: &Fleet, observer: &Observer) {
    let at = Timestamp::ZERO.plus(fleet.started().elapsed());
    for (daemon, process, revision) in fleet.revisions().await {
        observer.note(|history| {
            history.revisions.push(RevisionSeen {
                daemon,
                process,
                at,
                revision,
            });
        });
    }
}

fn run_operators(
    fleet: &Fleet,
    observer: &Observer,
    plan: &ReplayPlan,
    base: Duration,
) -> impl Future<Output = Vec<String>> + use<> {
    let admin = fleet.admin().clone();
    let observer = observer.clone();
    let started = fleet.started();
    let mut changes = plan.changes.clone();
    changes.sort_by_key(|change| change.at_ms);
    async move {
        let mut running = Vec::new();
        for change in changes {
            let (admin, observer) = (admin.clone(), observer.clone());
            running.push(actix_rt::spawn(async move {
                let due = started + base + Duration::from_millis(change.at_ms);
                actix_rt::time::sleep_until(due.into()).await;
                operator::apply(&admin, &observer, started, &change).await
            }));
        }
        let mut problems = Vec::new();
        for change in running {
            if let Ok(Err(problem)) = change.await {
                problems.push(problem);
            }
        }
        problems
    }
}
