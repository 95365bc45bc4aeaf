//! Announcements of runs under way to the holders of crash reports.
//!
//! Every run is announced to a quorum of the stores that own its request as it is sent, or of the
//! control members while these stores do not answer. The request does not wait for it. If the gateway
//! is lost with the replica, the holders know of the run.

use crate::gateway::Gateway;
use crate::store_link::StoreLink;
use luglink_fleet::StoreName;
use luglink_turns::{CrashRequest, HolderView, RunId, RunReport, RunUpdate};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum time for which the end of a run waits for an update that begins another one.
const END_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a store is told that the gateway still has runs under way.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of ends of runs kept for a store that does not respond.
const MAX_ENDED_RUNS: usize = 1 << 12;

/// Runs under way that one store is told of, and what it has not been told yet.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    changes: RefCell<Changes>,
    begun: Notify,
}

#[derive(Debug, Default)]
struct Changes {
    runs: HashMap<RunId, RunReport>,
    unsent: HashSet<RunId>,
    ended: Vec<RunId>,
    last_update: Option<Instant>,
}

impl Changes {
    fn take_update(&mut self, session: u64) -> Option<RunUpdate> {
        let is_alive = self
            .last_update
            .is_some_and(|last| last.elapsed() < KEEP_ALIVE_INTERVAL);
        let has_changes = !self.unsent.is_empty() || !self.ended.is_empty();
        if !has_changes && (self.runs.is_empty() || is_alive) {
            return None;
        }
        self.last_update = Some(Instant::now());
        let unsent = std::mem::take(&mut self.unsent);
        Some(RunUpdate {
            session,
            begun: unsent
                .iter()
                .filter_map(|run| self.runs.get(run).cloned())
                .collect(),
            ended: std::mem::take(&mut self.ended),
        })
    }
}

impl Announcements {
    /// Announces a run as soon as the requests that are ready have been sent.
    pub(crate) fn begin(&self, report: &RunReport) {
        let mut changes = self.changes.borrow_mut();
        changes.unsent.insert(report.run);
        changes.runs.insert(report.run, report.clone());
        drop(changes);
        self.begun.notify_one();
    }

    /// Records that a run is no longer under way, or that the stores know that it is in doubt.
    pub(crate) fn end(&self, run: RunId) {
        let mut changes = self.changes.borrow_mut();
        let is_known = changes.runs.remove(&run).is_some();
        if is_known && !changes.unsent.remove(&run) {
            changes.ended.push(run);
        }
    }

    fn has_runs(&self) -> bool {
        !self.changes.borrow().runs.is_empty()
    }

    /// Announces all runs again, but for those in `known`.
    fn announce_again(&self, known: &[RunReport]) {
        let mut changes = self.changes.borrow_mut();
        let missing = changes.runs.keys().copied();
        let missing: Vec<RunId> = missing
            .filter(|run| !known.iter().any(|report| report.run == *run))
            .collect();
        changes.unsent.extend(missing);
    }

    /// Repeats an update that the store may not have.
    fn announce_all_again(&self, ended: Vec<RunId>) {
        self.announce_again(&[]);
        let mut changes = self.changes.borrow_mut();
        changes.ended.extend(ended);
        let surplus = changes.ended.len().saturating_sub(MAX_ENDED_RUNS);
        changes.ended.drain(..surplus);
    }
}

/// Holder that runs are announced to.
#[derive(Clone, Debug)]
pub(crate) enum AnnouncementTarget {
    Store(StoreName),
    Member,
}

impl AnnouncementTarget {
    fn has_link(&self, gateway: &Gateway, link: &Rc<StoreLink>) -> bool {
        match self {
            Self::Store(name) => gateway.turns.has_link(name, link),
            Self::Member => gateway.report_members.has_link(link),
        }
    }

    /// Returns the view under which the holder is asked; `None` if it is not known any more.
    fn view(&self, gateway: &Gateway) -> Option<HolderView> {
        match self {
            Self::Store(name) => {
                let (_, view) = gateway.turns.holder(name)?;
                Some(HolderView::Stores(view))
            }
            Self::Member => Some(gateway.report_members.view()),
        }
    }
}

/// Sends the announcements for one holder while it is known.
pub(crate) async fn announce(
    gateway: Rc<Gateway>,
    target: AnnouncementTarget,
    link: Rc<StoreLink>,
) {
    let announcements = &link.announcements;
    while target.has_link(&gateway, &link) || announcements.has_runs() {
        let begun = announcements.begun.notified();
        let _ = actix_rt::time::timeout(END_INTERVAL, begun).await;
        let update = announcements
            .changes
            .borrow_mut()
            .take_update(gateway.session);
        let view = target.view(&gateway);
        if let Some((update, view)) = update.zip(view) {
            actix_rt::spawn(send(Rc::clone(&link), view, update));
        }
    }
}

async fn send(link: Rc<StoreLink>, view: HolderView, update: RunUpdate) {
    let request = CrashRequest::Update(update);
    let response = link.exchange_crashes(view, &request).await;
    let CrashRequest::Update(update) = request else {
        return;
    };
    match response {
        Some(Some(response)) if response.is_new_session => {
            link.announcements.announce_again(&update.begun);
        }
        Some(_) => {}
        None => link.announcements.announce_all_again(update.ended),
    }
}
