//! The end of a run: waits for memory to be released and takes the final state.

use crate::engine::CacheUse;
use crate::fleet::Fleet;
use crate::observe::{Departure, HeldMemory, Observer};
use luglink_control::{Request, Response};
use luglink_program::ProgramView;
use luglink_types::{ProgramId, Timestamp};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that engines have, after the last program has ended, to give its memory back. Longer
/// than the checker's limit, so that the checker sees a late release as a broken promise.
const SETTLE_LIMIT: Duration = Duration::from_secs(14);

const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Waits until no engine holds memory of an ended program, and notes what is still held.
pub(crate) async fn wait_for_releases(fleet: &Fleet, observer: &Observer) {
    let idle_timeout = Duration::from_millis(fleet.config().idle_timeout_ms);
    let ends = program_ends(observer, idle_timeout);
    let last_end = ends.values().copied().max().unwrap_or_default();
    let begun = Instant::now();
    loop {
        let now = Timestamp::ZERO.plus(fleet.started().elapsed());
        let held = held_memory(fleet, &ends, now).await;
        let over =
            begun.elapsed() > idle_timeout + SETTLE_LIMIT || now.since(last_end) > SETTLE_LIMIT;
        if (held.is_empty() && now >= last_end) || over {
            observer.note(|history| history.held = held);
            return;
        }
        actix_rt::time::sleep(SETTLE_PAUSE).await;
    }
}

/// When each program ended, or counts as abandoned.
fn program_ends(observer: &Observer, idle_timeout: Duration) -> BTreeMap<ProgramId, Timestamp> {
    let history = observer.history();
    let mut ends = BTreeMap::new();
    for program in &history.programs {
        let (Some(id), Some((at, departure))) = (program.id, program.left_at) else {
            continue;
        };
        let end = match departure {
            Departure::Ended => at,
            Departure::Abandoned => at.plus(idle_timeout),
        };
        ends.insert(id, end);
    }
    ends
}

async fn held_memory(
    fleet: &Fleet,
    ends: &BTreeMap<ProgramId, Timestamp>,
    now: Timestamp,
) -> Vec<HeldMemory> {
    let mut held = Vec::new();
    for (engine, server) in fleet.engines() {
        let programs: Vec<ProgramId> = ends.keys().copied().collect();
        let blocks = server
            .inspect(move |core, _| {
                let count = |program: ProgramId| (program, core.blocks_held_by(program));
                programs.into_iter().map(count).collect::<Vec<_>>()
            })
            .await;
        for (program, blocks) in blocks.unwrap_or_default() {
            let ended = ends.get(&program).copied().unwrap_or(now);
            if blocks > 0 {
                held.push(HeldMemory {
                    engine,
                    program,
                    blocks,
                    since_end: now.since(ended),
                });
            }
        }
    }
    held
}

/// Takes the final state of every program from the control members.
pub(crate) async fn take_final_views(fleet: &Fleet, observer: &Observer) {
    let programs: Vec<ProgramId> = observer
        .history()
        .programs
        .iter()
        .filter_map(|program| program.id)
        .collect();
    let mut views: BTreeMap<ProgramId, ProgramView> = BTreeMap::new();
    for program in programs {
        if let Some(view) = view_of(fleet, program).await {
            views.insert(program, view);
        }
    }
    observer.note(|history| {
        for program in &mut history.programs {
            program.final_view = program.id.and_then(|id| views.remove(&id));
        }
    });
}

async fn view_of(fleet: &Fleet, program: ProgramId) -> Option<ProgramView> {
    for member in fleet.control() {
        if let Ok(Response::View(view)) = member.request(Request::View(program)).await {
            return view.map(|view| *view);
        }
    }
    None
}

/// Use that every engine made of its cache.
pub(crate) async fn cache_use(fleet: &Fleet) -> Vec<CacheUse> {
    let mut caches = Vec::new();
    for (_, server) in fleet.engines() {
        caches.extend(server.inspect(|core, now| core.cache_use(now)).await);
    }
    caches
}
