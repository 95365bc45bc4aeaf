//! Handing over to stores that should hold something and may lack it.

use crate::protocol::StoreRequest;
use crate::record::TurnId;
use crate::state::State;
use luglink_fleet::{StoreName, StoreView, owners};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bytes of turns in one message at the most, passed by at most one turn.
const BATCH_BYTES: usize = 512 << 10;

/// Time after which a message without an answer is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(700);

/// What is on its way to one store.
#[derive(Debug, Default)]
struct Queue {
    batches: VecDeque<StoreRequest>,
    /// The first batch's number and when it was last sent, while it is under way.
    sent: Option<(u64, Timestamp)>,
}

/// Turns that a store has on its disk, by its word, since the last view that was handed over for.
#[derive(Debug, Default)]
struct Taken {
    /// Names the disk.
    incarnation: Option<u64>,
    turns: BTreeSet<TurnId>,
}

/// A message that is due.
pub(crate) struct Due {
    pub(crate) to: StoreName,
    /// Given back when the receiver has it.
    pub(crate) number: u64,
    pub(crate) request: StoreRequest,
}

/// Hand-overs under way.
#[derive(Debug, Default)]
pub(crate) struct HandOver {
    view: StoreView,
    /// Newest view for which everything was handed over.
    done: StoreView,
    queues: BTreeMap<StoreName, Queue>,
    /// What need not be sent again when the view changes before everything was handed over.
    taken: BTreeMap<StoreName, Taken>,
    last_number: u64,
}

impl HandOver {
    pub(crate) fn new(done: StoreView) -> Self {
        Self {
            view: done.clone(),
            done,
            queues: BTreeMap::new(),
            taken: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(crate) fn view(&self) -> &StoreView {
        &self.view
    }

    pub(crate) fn done_epoch(&self) -> u64 {
        self.done.epoch
    }

    /// Takes a newer view and queues what its stores should hold and may lack.
    pub(crate) fn set_view(
        &mut self,
        view: StoreView,
        me: &StoreName,
        copies: usize,
        held: &State,
    ) {
        if view.epoch <= self.view.epoch {
            return;
        }
        self.view = view;
        self.queues.clear();
        self.forget_lost_disks();
        let mut parcels: BTreeMap<StoreName, Parcel> = BTreeMap::new();
        for turn in held.turns.values() {
            let newcomers = self.newcomers(&turn.record.program.0, me, copies);
            for name in newcomers
                .into_iter()
                .filter(|name| !self.has_taken(name, &turn.record.id))
            {
                parcels
                    .entry(name)
                    .or_default()
                    .add_turn(turn.record.clone());
            }
        }
        for (program, account) in &held.accounts {
            for name in self.newcomers(&program.0, me, copies) {
                let entry = (
                    program.clone(),
                    account.account.clone(),
                    account.retention_ms,
                );
                parcels.entry(name).or_default().accounts.push(entry);
            }
        }
        for (name, parcel) in parcels {
            self.queues.insert(name, parcel.into_queue());
        }
    }

    fn forget_lost_disks(&mut self) {
        let view = &self.view;
        self.taken.retain(|name, taken| {
            let member = view.members.get(name);
            member.map(|member| member.incarnation) == taken.incarnation
        });
    }

    fn has_taken(&self, store: &StoreName, turn: &TurnId) -> bool {
        let taken = self.taken.get(store);
        taken.is_some_and(|taken| taken.turns.contains(turn))
    }

    fn note_taken(&mut self, store: &StoreName, batch: &StoreRequest) {
        let StoreRequest::HandOver { turns, .. } = batch else {
            return;
        };
        let member = self.view.members.get(store);
        let taken = self.taken.entry(store.clone()).or_default();
        taken.incarnation = member.map(|member| member.incarnation);
        taken.turns.extend(turns.iter().map(|turn| turn.id.clone()));
    }

    /// Owners of a key that were not its owners in the last view that was handed over for.
    fn newcomers(&self, key: &str, me: &StoreName, copies: usize) -> Vec<StoreName> {
        let before = owners(&self.done, key, copies);
        let disk = |view: &StoreView, name: &StoreName| {
            view.members.get(name).map(|member| member.incarnation)
        };
        owners(&self.view, key, copies)
            .into_iter()
            .filter(|name| name != me)
            .filter(|name| {
                !before.contains(name) || disk(&self.done, name) != disk(&self.view, name)
            })
            .collect()
    }

    /// Queues something for one store beyond what a change of the view asks for.
    pub(crate) fn forward(&mut self, to: &StoreName, request: StoreRequest) {
        let queue = self.queues.entry(to.clone()).or_default();
        queue.batches.push_back(request);
    }

    /// Messages that are due.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<Due> {
        let mut due = Vec::new();
        for (name, queue) in &mut self.queues {
            let waits = queue
                .sent
                .is_some_and(|(_, at)| now.since(at) < RESEND_AFTER);
            if let (false, Some(batch)) = (waits, queue.batches.front()) {
                self.last_number += 1;
                queue.sent = Some((self.last_number, now));
                due.push(Due {
                    to: name.clone(),
                    number: self.last_number,
                    request: batch.clone(),
                });
            }
        }
        due
    }

    /// A store has the message of that number. A late word about an earlier one is passed over.
    pub(crate) fn on_taken(&mut self, by: &StoreName, number: u64) {
        let Some(queue) = self.queues.get_mut(by) else {
            return;
        };
        if queue.sent.is_some_and(|(sent, _)| sent == number) {
            queue.sent = None;
            let batch = queue.batches.pop_front();
            if queue.batches.is_empty() {
                self.queues.remove(by);
            }
            if let Some(batch) = batch {
                self.note_taken(by, &batch);
            }
        }
    }

    /// The view for which everything has just been handed over, once.
    pub(crate) fn take_completed(&mut self) -> Option<StoreView> {
        if !self.queues.is_empty() || self.done.epoch >= self.view.epoch {
            return None;
        }
        self.done = self.view.clone();
        self.taken.clear();
        Some(self.done.clone())
    }
}

/// Everything for one store.
#[derive(Default)]
struct Parcel {
    turns: Vec<Vec<crate::record::TurnRecord>>,
    bytes: usize,
    accounts: Vec<(crate::record::ProgramName, crate::account::Account, u64)>,
}

impl Parcel {
    fn add_turn(&mut self, turn: crate::record::TurnRecord) {
        if self.turns.is_empty() || self.bytes >= BATCH_BYTES {
            self.turns.push(Vec::new());
            self.bytes = 0;
        }
        self.bytes += turn.size();
        if let Some(batch) = self.turns.last_mut() {
            batch.push(turn);
        }
    }

    fn into_queue(self) -> Queue {
        let mut batches: VecDeque<StoreRequest> = self
            .turns
            .into_iter()
            .map(|turns| StoreRequest::HandOver {
                turns,
                accounts: Vec::new(),
            })
            .collect();
        if !self.accounts.is_empty() {
            batches.push_back(StoreRequest::HandOver {
                turns: Vec::new(),
                accounts: self.accounts,
            });
        }
        Queue {
            batches,
            sent: None,
        }
    }
}
