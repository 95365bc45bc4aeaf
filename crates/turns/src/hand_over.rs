//! Transfer of records to stores that own them and may not have them yet.

use crate::account::Account;
use crate::protocol::StoreRequest;
use crate::record::{ProgramName, TurnId, TurnRecord};
use crate::state::State;
use luglink_fleet::{StoreName, StoreView, owner_disks, owners, settled_owners};
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

/// Turns that a store has acknowledged since the configuration was last settled.
#[derive(Debug, Default)]
struct AcknowledgedTurns {
    /// Identifies the disk of the store.
    incarnation: Option<u64>,
    turns: BTreeSet<TurnId>,
}

/// Number of earlier views that are kept to tell whether the owners of a program have changed since.
const MAX_EARLIER_VIEWS: usize = 16;

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
    /// Views before the present one, oldest first.
    earlier_views: VecDeque<StoreView>,
    /// Newest view for which the hand-over is complete.
    completed_view: StoreView,
    queues: BTreeMap<StoreName, Queue>,
    /// Turns that are not sent again if the view changes before the configuration is settled.
    acknowledged: BTreeMap<StoreName, AcknowledgedTurns>,
    last_number: u64,
}

impl HandOver {
    pub(crate) fn new(completed_view: StoreView) -> Self {
        Self {
            view: completed_view.clone(),
            completed_view,
            earlier_views: VecDeque::new(),
            queues: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub(crate) fn view(&self) -> &StoreView {
        &self.view
    }

    pub(crate) fn completed_view(&self) -> &StoreView {
        &self.completed_view
    }

    /// Returns true if some program, or the given one, has had other owners, or owners with other disks,
    /// at any time since the view of `epoch`, as far as this store knows. Owners under a newer view are
    /// unknown.
    pub(crate) fn owners_changed_since(
        &self,
        epoch: u64,
        program: Option<&str>,
        copies: usize,
    ) -> bool {
        if epoch >= self.view.epoch {
            return false;
        }
        let is_known = self.earlier_views.iter().any(|view| view.epoch == epoch);
        let since = self.earlier_views.iter().filter(|view| view.epoch >= epoch);
        !is_known
            || since
                .into_iter()
                .any(|view| self.has_other_owners(view, program, copies))
    }

    fn has_other_owners(&self, earlier: &StoreView, program: Option<&str>, copies: usize) -> bool {
        match program {
            Some(program) => {
                owner_disks(earlier, program, copies) != owner_disks(&self.view, program, copies)
            }
            None => !writable_disks(earlier).eq(writable_disks(&self.view)),
        }
    }

    /// Sets the settled configuration of the present view, which was read from the disk without it.
    pub(crate) fn complete_restored_view(&mut self, view: &StoreView) {
        self.view.settled.clone_from(&view.settled);
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
        let earlier = std::mem::replace(&mut self.view, view);
        self.earlier_views.push_back(earlier);
        if self.earlier_views.len() > MAX_EARLIER_VIEWS {
            self.earlier_views.pop_front();
        }
        self.queues.clear();
        self.discard_lost_disks();
        if self.is_settled() {
            return;
        }
        let mut transfers: BTreeMap<StoreName, Transfer> = BTreeMap::new();
        for turn in state.turns.values() {
            let new_owners = self.new_owners(&turn.record.program.0, own_name, copies);
            for name in new_owners
                .into_iter()
                .filter(|name| !self.has_acknowledged(name, &turn.record.id))
            {
                let transfer = transfers.entry(name).or_default();
                for ancestor in foreign_ancestors(state, &turn.record) {
                    transfer.add_ancestor(ancestor);
                }
                transfer.add_turn(turn.record.clone());
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

    /// Returns the other owners of a key that may lack its records: those that do not own it in the
    /// settled configuration with their present disk.
    pub(crate) fn new_owners(
        &self,
        key: &str,
        own_name: &StoreName,
        copies: usize,
    ) -> Vec<StoreName> {
        let settled = settled_owners(&self.view, key, copies);
        owners(&self.view, key, copies)
            .into_iter()
            .filter(|name| name != own_name)
            .filter(|name| !settled.contains(name) || !self.view.is_settled(name))
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

    /// Returns the current view if no message is left to send and the view was not completed before.
    pub(crate) fn completable_view(&self) -> Option<&StoreView> {
        let is_due = self.queues.is_empty() && self.completed_view.epoch < self.view.epoch;
        is_due.then_some(&self.view)
    }

    /// Records that the completion of the current view is on disk.
    pub(crate) fn complete_view(&mut self) {
        self.completed_view = self.view.clone();
        if self.is_settled() {
            self.acknowledged.clear();
        }
    }

    /// Returns true if all owners have all records.
    pub(crate) fn is_settled(&self) -> bool {
        *self.view.settled_stores() == self.view.next_settled_stores()
    }
}

/// Returns the requests that transfer turns to a store, in messages of a bounded size.
pub fn turn_batches(turns: impl IntoIterator<Item = TurnRecord>) -> Vec<StoreRequest> {
    let mut transfer = Transfer::default();
    for turn in turns {
        transfer.add_turn(turn);
    }
    transfer.into_batches().into()
}

/// Returns the ancestors of a turn that belong to other programs, which are kept where the turn is. They
/// are those of its predecessor, too, if that one is of the same program.
fn foreign_ancestors<'state>(
    state: &'state State,
    turn: &'state TurnRecord,
) -> impl Iterator<Item = &'state TurnRecord> {
    let held = |id: &TurnId| state.turns.get(id).map(|held| &held.record);
    let predecessor = turn.ancestors.last().and_then(held);
    let has_own = predecessor.is_none_or(|predecessor| predecessor.program != turn.program);
    let ancestors = turn.ancestors.iter().filter(move |_| has_own);
    let ancestors = ancestors.filter_map(held);
    ancestors.filter(|ancestor| ancestor.program != turn.program)
}

fn writable_disks(view: &StoreView) -> impl Iterator<Item = (&StoreName, u64)> {
    let writable = view.writable();
    writable.map(|(name, member)| (name, member.incarnation))
}

/// Turns and accounts to be transferred to one store, with the turns divided into batches.
#[derive(Default)]
struct Transfer {
    turns: Vec<Vec<TurnRecord>>,
    /// Size of the last batch.
    bytes: usize,
    /// Ancestors of other programs among the turns.
    ancestors: BTreeSet<TurnId>,
    accounts: Vec<(ProgramName, Account, u64)>,
}

impl Transfer {
    fn add_turn(&mut self, turn: TurnRecord) {
        if self.turns.is_empty() || self.bytes >= MAX_BATCH_BYTES {
            self.turns.push(Vec::new());
            self.bytes = 0;
        }
        self.bytes += turn.size();
        if let Some(batch) = self.turns.last_mut() {
            batch.push(turn);
        }
    }

    fn add_ancestor(&mut self, turn: &TurnRecord) {
        if self.ancestors.insert(turn.id.clone()) {
            self.add_turn(turn.clone());
        }
    }

    fn into_queue(self) -> Queue {
        Queue {
            batches: self.into_batches(),
            sent: None,
        }
    }

    fn into_batches(self) -> VecDeque<StoreRequest> {
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
        batches
    }
}
