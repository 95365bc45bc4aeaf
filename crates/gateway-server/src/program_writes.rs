//! Writes of a program's records to the stores that own them. A store that lacks earlier records of the
//! program gets them before its acknowledgement counts.

use crate::store_link::StoreLink;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::StoreName;
use luglink_turns::{
    Account, AccountRepair, ClientView, KeepCheck, ProgramWrite, Spend, StoreRequest,
    StoreResponse, TurnId, TurnRecord, turn_batches,
};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Maximum number of times that a turn is sent to one store within a write. The store may lack other
/// ancestors by the time at which those that it named have arrived.
const MAX_SENDS_PER_STORE: u32 = 3;

/// Store that a write is sent to, and the view under which it is.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: StoreName,
    pub(crate) link: Rc<StoreLink>,
    pub(crate) view: ClientView,
    /// True if the store has its disk since the configuration was settled. Other stores get what they
    /// lack from the hand-over, too.
    pub(crate) is_settled: bool,
}

/// Turn to be stored, with what the writer knows about its program.
pub(crate) struct Keep {
    request: StoreRequest,
    check: KeepCheck,
    /// Account of the program with the turn settled.
    known: Account,
    turn: TurnId,
    /// Ancestors of the turn, oldest first.
    chain: Vec<Rc<TurnRecord>>,
}

impl Keep {
    /// Creates the write of a turn. `known` is the program's account as of the turn's reservation.
    pub(crate) fn new(
        epoch: u64,
        turn: &TurnRecord,
        tokens: u64,
        chain: &[Rc<TurnRecord>],
        mut known: Account,
    ) -> Self {
        known.record(&turn.id, Spend::Settled(tokens));
        let foreign = chain
            .iter()
            .filter(|ancestor| ancestor.program != turn.program);
        Self {
            request: StoreRequest::Keep {
                epoch,
                turn: Box::new(turn.clone()),
                tokens,
                foreign_ancestors: foreign.map(|ancestor| (**ancestor).clone()).collect(),
            },
            check: KeepCheck {
                account_digest: known.digest(),
            },
            known,
            turn: turn.id.clone(),
            chain: chain.to_vec(),
        }
    }

    pub(crate) fn known(&self) -> &Account {
        &self.known
    }
}

/// Response of a store to a part of a write.
enum StoreEvent {
    /// The records are on disk, beside this copy of the account.
    Written(StoreName, Account),
    /// The store has completed its account.
    Repaired(StoreName),
    Failed,
}

type Sending = Pin<Box<dyn Future<Output = StoreEvent>>>;

/// Write under way.
pub(crate) struct WriteTask {
    write: ProgramWrite,
    targets: BTreeMap<StoreName, Target>,
    sending: FuturesUnordered<Sending>,
    is_complete: Rc<Cell<bool>>,
}

impl WriteTask {
    fn new(write: ProgramWrite, targets: Vec<Target>) -> Self {
        let targets = targets.into_iter();
        Self {
            write,
            targets: targets
                .map(|target| (target.name.clone(), target))
                .collect(),
            sending: FuturesUnordered::new(),
            is_complete: Rc::default(),
        }
    }

    /// Begins the write of a turn.
    pub(crate) fn keep(write: ProgramWrite, targets: Vec<Target>, keep: Keep) -> Self {
        let task = Self::new(write, targets);
        let keep = Rc::new(keep);
        for target in task.targets.values() {
            let is_complete = Rc::clone(&task.is_complete);
            let sending = keep_at(target.clone(), Rc::clone(&keep), is_complete);
            task.sending.push(Box::pin(sending));
        }
        task
    }

    /// Begins the write of a turn's tokens.
    pub(crate) fn settle(
        write: ProgramWrite,
        targets: Vec<Target>,
        request: &StoreRequest,
    ) -> Self {
        let task = Self::new(write, targets);
        for target in task.targets.values() {
            let name = target.name.clone();
            let sending = Rc::clone(&target.link).send_under(target.view, request);
            task.sending.push(Box::pin(async move {
                match sending.await {
                    Some(StoreResponse::Spent { account, .. }) => {
                        StoreEvent::Written(name, account)
                    }
                    _ => StoreEvent::Failed,
                }
            }));
        }
        task
    }

    /// Waits until a quorum of stores holds the write and the whole account. Returns false if too few
    /// do. The other stores get what they lack afterwards.
    pub(crate) async fn complete(mut self) -> (ProgramWrite, bool) {
        while !self.write.is_complete() {
            match self.sending.next().await {
                Some(event) => self.on_event(event),
                None => return (self.write, false),
            }
        }
        self.is_complete.set(true);
        let write = self.write.clone();
        if !self.sending.is_empty() {
            actix_rt::spawn(async move {
                while let Some(event) = self.sending.next().await {
                    self.on_event(event);
                }
            });
        }
        (write, true)
    }

    fn on_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Written(store, copy) => {
                for repair in self.write.on_written(&store, copy) {
                    let target = self.targets.get(&repair.store);
                    let is_wanted = |target: &&Target| target.is_settled || !self.is_complete.get();
                    if let Some(target) = target.filter(is_wanted) {
                        let repairing = repair_account(target, &repair);
                        self.sending.push(Box::pin(async move {
                            match repairing.await {
                                Some(store) => StoreEvent::Repaired(store),
                                None => StoreEvent::Failed,
                            }
                        }));
                    }
                }
            }
            StoreEvent::Repaired(store) => self.write.on_repaired(&store),
            StoreEvent::Failed => {}
        }
    }
}

/// Completes the account of a store. Returns the store's name if it has acknowledged that.
pub(crate) fn repair_account(
    target: &Target,
    repair: &AccountRepair,
) -> impl Future<Output = Option<StoreName>> + use<> {
    let name = target.name.clone();
    let sending = Rc::clone(&target.link).send_under(target.view, &repair.request);
    async move {
        let is_taken = matches!(sending.await, Some(StoreResponse::Done));
        tracing::info!(store = %name, taken = is_taken, "sent a store the tokens of a program that it lacked");
        is_taken.then_some(name)
    }
}

/// Stores a turn at one store, after the ancestors that it lacks.
async fn keep_at(target: Target, keep: Rc<Keep>, is_complete: Rc<Cell<bool>>) -> StoreEvent {
    for _ in 0..MAX_SENDS_PER_STORE {
        let link = Rc::clone(&target.link);
        let answer = link.keep_under(target.view, &keep.request, keep.check);
        let Some((response, report)) = answer.await else {
            return StoreEvent::Failed;
        };
        if response == StoreResponse::Done {
            let copy = report.account.unwrap_or_else(|| keep.known.clone());
            return StoreEvent::Written(target.name, copy);
        }
        let is_wanted = target.is_settled || !is_complete.get();
        if report.missing.is_empty()
            || !is_wanted
            || !send_ancestors(&target, &keep, &report.missing).await
        {
            return StoreEvent::Failed;
        }
    }
    StoreEvent::Failed
}

/// Sends a store the ancestors of a turn that it lacks. Returns true if it has all of them on disk.
async fn send_ancestors(target: &Target, keep: &Keep, missing: &[TurnId]) -> bool {
    let ancestors = keep.chain.iter();
    let ancestors = ancestors.filter(|ancestor| missing.contains(&ancestor.id));
    let records: Vec<TurnRecord> = ancestors.map(|ancestor| (**ancestor).clone()).collect();
    let mut is_taken = records.len() == missing.len();
    for batch in turn_batches(records) {
        let sending = Rc::clone(&target.link).send_under(target.view, &batch);
        is_taken = is_taken && matches!(sending.await, Some(StoreResponse::Done));
    }
    tracing::info!(
        store = %target.name,
        turn = %keep.turn,
        missing = missing.len(),
        taken = is_taken,
        "sent a store the ancestors of a turn that it lacked"
    );
    is_taken
}
