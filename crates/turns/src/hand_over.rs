//! Transfer of records to stores that own them and may not have them yet.

use crate::protocol::StoreRequest;
use crate::record::TurnId;
use crate::state::State;
use luglink_fleet::{StoreName, StoreView, owners};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum size of the turns in one message. The last turn of a message may exceed it.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Time after which an unacknowledged message is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(700);

/// Messages to be sent to one store.
#[derive(Debug, Default)]
struct Queue {
    batches: VecDeque<StoreRequest>,
    /// Number and send time of the first batch while its acknowledgement is outstanding.
    sent: Option<(u64, Timestamp)>,
}

/// Turns that a store has acknowledged since the last completed view.
#[derive(Debug, Default)]
struct AcknowledgedTurns {
    /// Identifies the disk of the store.
    incarnation: Option<u64>,
    turns: BTreeSet<TurnId>,
}

/// Message that is to be sent now.
pub(crate) struct DueMessage {
    pub(crate) to: StoreName,
    /// Identifies the message in its acknowledgement.
    pub(crate) number: u64,
    pub(crate) request: StoreRequest,
}

/// Hand-over of this store's records after changes of the view.
#[derive(Debug, Default)]
pub(crate) struct HandOver {
    view: StoreView,
    /// Newest view for which the hand-over is complete.
    completed_view: StoreView,
    queues: BTreeMap<StoreName, Queue>,
    /// Turns that are not sent again if the view changes before the hand-over is complete.
    acknowledged: BTreeMap<StoreName, AcknowledgedTurns>,
    last_number: u64,
}

impl HandOver {
    pub(crate) fn new(completed_view: StoreView) -> Self {
        Self {
            view: completed_view.clone(),
            completed_view,
            queues: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(crate) fn view(&self) -> &StoreView {
        &self.view
    }

    pub(crate) fn completed_epoch(&self) -> u64 {
        self.completed_view.epoch
    }

    /// Sets a newer view and queues the records that its stores own and may not have yet.
    pub(crate) fn set_view(
        &mut self,
        view: StoreView,
        own_name: &StoreName,
        copies: usize,
        state: &State,
    ) {
        if view.epoch <= self.view.epoch {
            return;
        }
        self.view = view;
        self.queues.clear();
        self.discard_lost_disks();
        let mut transfers: BTreeMap<StoreName, Transfer> = BTreeMap::new();
        for turn in state.turns.values() {
            let new_owners = self.new_owners(&turn.record.program.0, own_name, copies);
            for name in new_owners
                .into_iter()
                .filter(|name| !self.has_acknowledged(name, &turn.record.id))
            {
                transfers
                    .entry(name)
                    .or_default()
                    .add_turn(turn.record.clone());
            }
        }
        for (program, account) in &state.accounts {
            for name in self.new_owners(&program.0, own_name, copies) {
                let entry = (
                    program.clone(),
                    account.account.clone(),
                    account.retention_ms,
                );
                transfers.entry(name).or_default().accounts.push(entry);
            }
        }
        for (name, transfer) in transfers {
            self.queues.insert(name, transfer.into_queue());
        }
    }

    fn discard_lost_disks(&mut self) {
        let view = &self.view;
        self.acknowledged.retain(|name, acknowledged| {
            let member = view.members.get(name);
            member.map(|member| member.incarnation) == acknowledged.incarnation
        });
    }

    fn has_acknowledged(&self, store: &StoreName, turn: &TurnId) -> bool {
        let acknowledged = self.acknowledged.get(store);
        acknowledged.is_some_and(|acknowledged| acknowledged.turns.contains(turn))
    }

    fn record_acknowledged(&mut self, store: &StoreName, batch: &StoreRequest) {
        let StoreRequest::HandOver { turns, .. } = batch else {
            return;
        };
        let member = self.view.members.get(store);
        let acknowledged = self.acknowledged.entry(store.clone()).or_default();
        acknowledged.incarnation = member.map(|member| member.incarnation);
        acknowledged
            .turns
            .extend(turns.iter().map(|turn| turn.id.clone()));
    }

    /// Returns the other owners of a key that did not own it with their present disk in the last
    /// completed view.
    fn new_owners(&self, key: &str, own_name: &StoreName, copies: usize) -> Vec<StoreName> {
        let before = owners(&self.completed_view, key, copies);
        let disk = |view: &StoreView, name: &StoreName| {
            view.members.get(name).map(|member| member.incarnation)
        };
        owners(&self.view, key, copies)
            .into_iter()
            .filter(|name| name != own_name)
            .filter(|name| {
                !before.contains(name) || disk(&self.completed_view, name) != disk(&self.view, name)
            })
            .collect()
    }

    /// Queues a request to one store independently of a change of the view.
    pub(crate) fn forward(&mut self, to: &StoreName, request: StoreRequest) {
        let queue = self.queues.entry(to.clone()).or_default();
        queue.batches.push_back(request);
    }

    /// Returns the messages to send now: the first of each queue, unless its acknowledgement is
    /// outstanding and has not timed out.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<DueMessage> {
        let mut due = Vec::new();
        for (name, queue) in &mut self.queues {
            let is_outstanding = queue
                .sent
                .is_some_and(|(_, sent_at)| now.since(sent_at) < RESEND_TIMEOUT);
            if let (false, Some(batch)) = (is_outstanding, queue.batches.front()) {
                self.last_number += 1;
                queue.sent = Some((self.last_number, now));
                due.push(DueMessage {
                    to: name.clone(),
                    number: self.last_number,
                    request: batch.clone(),
                });
            }
        }
        due
    }

    /// Handles the acknowledgement of a message. Late acknowledgements of earlier sends are
    /// ignored.
    pub(crate) fn on_acknowledged(&mut self, by: &StoreName, number: u64) {
        let Some(queue) = self.queues.get_mut(by) else {
            return;
        };
        if queue
            .sent
            .is_some_and(|(sent_number, _)| sent_number == number)
        {
            queue.sent = None;
            let batch = queue.batches.pop_front();
            if queue.batches.is_empty() {
                self.queues.remove(by);
            }
            if let Some(batch) = batch {
                self.record_acknowledged(by, &batch);
            }
        }
    }

    /// Marks the current view as completed if no message is left to send. Returns the view if it
    /// was not completed before.
    pub(crate) fn complete_view(&mut self) -> Option<StoreView> {
        if !self.queues.is_empty() || self.completed_view.epoch >= self.view.epoch {
            return None;
        }
        self.completed_view = self.view.clone();
        self.acknowledged.clear();
        Some(self.completed_view.clone())
    }
}

/// Turns and accounts to be transferred to one store, with the turns divided into batches.
#[derive(Default)]
struct Transfer {
    turns: Vec<Vec<crate::record::TurnRecord>>,
    /// Size of the last batch.
    bytes: usize,
    accounts: Vec<(crate::record::ProgramName, crate::account::Account, u64)>,
}

impl Transfer {
    fn add_turn(&mut self, turn: crate::record::TurnRecord) {
        if self.turns.is_empty() || self.bytes >= MAX_BATCH_BYTES {
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
