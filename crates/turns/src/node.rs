//! The store itself: takes requests, makes them durable together, gives out answers.

use crate::account::{Account, Spend};
use crate::errors::TurnsError;
use crate::hand_over::HandOver;
use crate::journal::{Entry, Journal};
use crate::protocol::{Chain, ChainQuery, StoreRequest, StoreResponse};
use crate::record::{ProgramName, TurnId, TurnRecord};
use crate::replication::Replication;
use crate::state::State;
use luglink_fleet::{BackendId, StoreName, StoreView};
use luglink_quota::{QuotaOwner, Tolerance};
use luglink_storage::{Disk, WalConfig};
use luglink_types::Timestamp;
use std::time::Duration;

/// Time between looks for what was kept long enough.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Segments that the journal keeps before it writes what is left of the oldest anew.
const MAX_SEGMENTS: u64 = 4;

/// Names one request of one client; its answer carries it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken {
    /// The client, as the shell numbers them.
    pub client: u64,
    /// The client's number for the request.
    pub request: u64,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The answer.
        response: Box<StoreResponse>,
    },
    /// Ask another store, and report its answer to [`StoreNode::on_hand_over_taken`].
    HandOver {
        /// The store.
        to: StoreName,
        /// Given back with its answer.
        number: u64,
        /// The request.
        request: Box<StoreRequest>,
    },
}

/// How a store runs.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Its name.
    pub name: StoreName,
    /// How many copies there are.
    pub replication: Replication,
    /// Limits of the journal.
    pub wal: WalConfig,
    /// How far beyond their limits the requests of tenants may come.
    pub quota_tolerance: Tolerance,
}

/// A request whose entries wait for the disk.
#[derive(Debug)]
struct Pending {
    token: RequestToken,
    answer: Answer,
}

/// What to answer once the entries are on disk.
#[derive(Debug)]
enum Answer {
    Spent {
        program: ProgramName,
        chain: Option<ChainQuery>,
        served_by: Option<BackendId>,
    },
    Done,
}

/// A turn store.
#[derive(Debug)]
pub struct StoreNode<D> {
    config: StoreConfig,
    incarnation: u64,
    journal: Journal<D>,
    state: State,
    hand_over: HandOver,
    quota: QuotaOwner,
    entries: Vec<Entry>,
    pending: Vec<Pending>,
    outputs: Vec<Output>,
    now: Timestamp,
    expiry_due: Timestamp,
    is_broken: bool,
}

impl<D: Disk> StoreNode<D> {
    /// Starts a store from its disk. `fresh` names an empty disk and must not repeat between
    /// starts.
    ///
    /// # Errors
    /// The disk is damaged, full or read-only.
    pub fn start(
        config: StoreConfig,
        disk: D,
        fresh: u64,
        now: Timestamp,
    ) -> Result<Self, TurnsError> {
        let (journal, recovered) = Journal::open(disk, config.wal, fresh)?;
        let mut state = State::default();
        let mut handed_over = StoreView::default();
        for (segment, entry) in &recovered.entries {
            state.apply(entry, *segment, now);
            if let Entry::HandedOver(view) = entry {
                handed_over = view.clone();
            }
        }
        let mut quota = QuotaOwner::new(
            config.name.clone(),
            config.replication.quota_owners(),
            config.quota_tolerance,
        );
        // Members tell a store its view only when it lacks it.
        quota.set_view(handed_over.clone(), now);
        Ok(Self {
            config,
            quota,
            incarnation: recovered.incarnation,
            journal,
            state,
            hand_over: HandOver::new(handed_over),
            entries: Vec::new(),
            pending: Vec::new(),
            outputs: Vec::new(),
            now,
            expiry_due: now,
            is_broken: false,
        })
    }

    /// Names the store's disk.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Newest view for which everything that others should hold was handed over.
    #[must_use]
    pub fn handed_over_epoch(&self) -> u64 {
        self.hand_over.done_epoch()
    }

    /// Epoch of the view of the stores.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.hand_over.view().epoch
    }

    /// Turns and accounts that the store holds.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.state.turns.len(), self.state.accounts.len())
    }

    /// The disk, for bringing faults about.
    pub fn disk_mut(&mut self) -> &mut D {
        self.journal.disk_mut()
    }

    /// Gives the disk back, as a crash leaves it.
    pub fn into_disk(self) -> D {
        self.journal.into_disk()
    }

    /// Takes a newer view of the stores.
    pub fn set_view(&mut self, view: StoreView, now: Timestamp) {
        self.now = self.now.max(now);
        let copies = self.config.replication.copies();
        self.quota.set_view(view.clone(), self.now);
        self.hand_over
            .set_view(view, &self.config.name, copies, &self.state);
    }

    /// Notes the word of a control member that hears its leader.
    pub fn note_leader_contact(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.quota.note_leader_contact(self.now);
    }

    /// Takes a request. Its answer comes out of the next [`StoreNode::flush`].
    pub fn handle(&mut self, token: RequestToken, request: StoreRequest, now: Timestamp) {
        self.now = self.now.max(now);
        match request {
            StoreRequest::Spend {
                epoch,
                program,
                turn,
                spend,
                retention_ms,
                chain,
                served_by,
            } => {
                let entry = spend_entry(&program, &turn, spend, retention_ms);
                self.write(epoch, &program, vec![entry]);
                self.pending.push(Pending {
                    token,
                    answer: Answer::Spent {
                        program,
                        chain,
                        served_by,
                    },
                });
            }
            StoreRequest::Keep {
                epoch,
                turn,
                tokens,
                foreign_ancestors,
            } => self.keep(token, epoch, *turn, tokens, foreign_ancestors),
            StoreRequest::HandOver { turns, accounts } => self.take_over(token, turns, accounts),
            StoreRequest::Account(program) => {
                let account = self.account(&program);
                self.reply(token, StoreResponse::Account(account));
            }
            StoreRequest::Lookup(wish) => {
                let chain = self.chain(&wish);
                self.reply(token, StoreResponse::Chain(chain));
            }
            StoreRequest::Quota(ask) => {
                let answer = self.quota.answer(&ask, self.now);
                self.reply(token, StoreResponse::Quota(answer));
            }
        }
    }

    /// A store has what was handed over to it under `number`.
    pub fn on_hand_over_taken(&mut self, by: &StoreName, number: u64, now: Timestamp) {
        self.now = self.now.max(now);
        self.hand_over.on_taken(by, number);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        if self.now >= self.expiry_due {
            self.expiry_due = self.now.plus(EXPIRY_INTERVAL);
            self.state.expire(self.now);
        }
    }

    /// Makes everything durable that was taken, with one sync, and gives out the work.
    pub fn flush(&mut self) -> Vec<Output> {
        if let Some(view) = self.hand_over.take_completed() {
            self.entries.push(Entry::HandedOver(view));
        }
        let entries = std::mem::take(&mut self.entries);
        let pending = std::mem::take(&mut self.pending);
        match self.persist(&entries) {
            Ok(()) => self.answer(pending),
            Err(error) => self.refuse(pending, &error.to_string()),
        }
        for due in self.hand_over.due(self.now) {
            self.outputs.push(Output::HandOver {
                to: due.to,
                number: due.number,
                request: Box::new(due.request),
            });
        }
        std::mem::take(&mut self.outputs)
    }

    fn keep(
        &mut self,
        token: RequestToken,
        epoch: u64,
        turn: TurnRecord,
        tokens: u64,
        foreign_ancestors: Vec<TurnRecord>,
    ) {
        let program = turn.program.clone();
        let settled = Spend::Settled(tokens);
        let mut entries = vec![spend_entry(&program, &turn.id, settled, turn.retention_ms)];
        entries.extend(foreign_ancestors.into_iter().map(Entry::Turn));
        entries.push(Entry::Turn(turn));
        self.write(epoch, &program, entries);
        self.pending.push(Pending {
            token,
            answer: Answer::Done,
        });
    }

    fn take_over(
        &mut self,
        token: RequestToken,
        turns: Vec<TurnRecord>,
        accounts: Vec<(ProgramName, Account, u64)>,
    ) {
        let turns = turns.into_iter().map(Entry::Turn);
        self.entries.extend(turns);
        for (program, account, retention_ms) in accounts {
            let spends = account.spends();
            let entries =
                spends.map(|(turn, spend)| spend_entry(&program, turn, spend, retention_ms));
            self.entries.extend(entries);
        }
        self.pending.push(Pending {
            token,
            answer: Answer::Done,
        });
    }

    /// Queues entries for the disk. A writer with an older view does not know all who should
    /// hold them; this store passes them on.
    fn write(&mut self, epoch: u64, program: &ProgramName, entries: Vec<Entry>) {
        if epoch < self.hand_over.view().epoch {
            let owners = self
                .config
                .replication
                .owners(self.hand_over.view(), &program.0);
            for owner in owners.iter().filter(|owner| **owner != self.config.name) {
                self.hand_over.forward(owner, hand_over_request(&entries));
            }
        }
        self.entries.extend(entries);
    }

    fn persist(&mut self, entries: &[Entry]) -> Result<(), TurnsError> {
        let news: Vec<Entry> = entries
            .iter()
            .filter(|entry| self.state.is_news(entry))
            .cloned()
            .collect();
        if news.is_empty() {
            return Ok(());
        }
        if self.is_broken {
            self.journal.repair()?;
            self.is_broken = false;
        }
        self.append(&news)?;
        if self.journal.segment_is_full() {
            self.compact()?;
        }
        Ok(())
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), TurnsError> {
        match self.journal.append(entries) {
            Ok(segment) => {
                for entry in entries {
                    self.state.apply(entry, segment, self.now);
                }
                Ok(())
            }
            Err(error) => {
                self.is_broken = true;
                Err(error)
            }
        }
    }

    /// Starts a segment; when there are many, what is left of the oldest goes into it.
    fn compact(&mut self) -> Result<(), TurnsError> {
        self.journal.start_segment();
        self.state.expire(self.now);
        let oldest = self.journal.oldest_segment();
        if self.journal.current_segment() - oldest < MAX_SEGMENTS {
            return Ok(());
        }
        let entries = self.left_in(oldest);
        self.append(&entries)?;
        for held in self.state.accounts.values_mut() {
            if held.oldest_segment <= oldest {
                held.oldest_segment = self.journal.current_segment();
            }
        }
        self.journal.remove_before(oldest + 1)
    }

    fn left_in(&self, segment: u64) -> Vec<Entry> {
        let turns = self
            .state
            .turns
            .values()
            .filter(|held| held.segment <= segment)
            .map(|held| Entry::Turn(held.record.clone()));
        let accounts = self
            .state
            .accounts
            .iter()
            .filter(|(_, held)| held.oldest_segment <= segment)
            .flat_map(|(program, held)| {
                let spends = held.account.spends();
                spends.map(|(turn, spend)| spend_entry(program, turn, spend, held.retention_ms))
            });
        let handed_over = Entry::HandedOver(self.hand_over.view().clone());
        let done = self.hand_over.done_epoch() == self.hand_over.view().epoch;
        turns
            .chain(accounts)
            .chain(done.then_some(handed_over))
            .collect()
    }

    fn answer(&mut self, pending: Vec<Pending>) {
        for Pending { token, answer } in pending {
            let response = match answer {
                Answer::Spent {
                    program,
                    chain,
                    served_by,
                } => StoreResponse::Spent {
                    served_by: self.last_replica(&program, served_by),
                    account: self.account(&program),
                    chain: chain.map(|wish| self.chain(&wish)),
                },
                Answer::Done => StoreResponse::Done,
            };
            self.reply(token, response);
        }
    }

    fn refuse(&mut self, pending: Vec<Pending>, reason: &str) {
        for Pending { token, .. } in pending {
            let reason = reason.to_owned();
            self.reply(token, StoreResponse::Failed { reason });
        }
    }

    fn account(&self, program: &ProgramName) -> Account {
        self.state
            .accounts
            .get(program)
            .map(|held| held.account.clone())
            .unwrap_or_default()
    }

    /// Notes the replica that served a turn of a program, when it is told, and tells the last one.
    fn last_replica(
        &mut self,
        program: &ProgramName,
        served_by: Option<BackendId>,
    ) -> Option<BackendId> {
        let held = self.state.accounts.get_mut(program)?;
        if served_by.is_some() {
            held.served_by = served_by;
        }
        held.served_by.clone()
    }

    fn chain(&self, wish: &ChainQuery) -> Chain {
        let Some(held) = self.state.turns.get(&wish.turn) else {
            return Chain::Absent {
                incarnation: self.incarnation,
            };
        };
        let ancestors = held.record.ancestors.iter();
        let here = ancestors.filter_map(|ancestor| self.state.turns.get(ancestor));
        Chain::Found {
            ancestors: here.map(|held| held.record.clone()).collect(),
            turn: Box::new(held.record.clone()),
        }
    }

    fn reply(&mut self, token: RequestToken, response: StoreResponse) {
        let response = Box::new(response);
        self.outputs.push(Output::Reply { token, response });
    }
}

fn spend_entry(program: &ProgramName, turn: &TurnId, spend: Spend, retention_ms: u64) -> Entry {
    Entry::Spend {
        program: program.clone(),
        turn: turn.clone(),
        spend,
        retention_ms,
    }
}

fn hand_over_request(entries: &[Entry]) -> StoreRequest {
    let mut turns = Vec::new();
    let mut accounts = Vec::new();
    for entry in entries {
        match entry {
            Entry::Turn(record) => turns.push(record.clone()),
            Entry::Spend {
                program,
                turn,
                spend,
                retention_ms,
            } => {
                let mut account = Account::default();
                account.note(turn, *spend);
                accounts.push((program.clone(), account, *retention_ms));
            }
            Entry::HandedOver(_) => {}
        }
    }
    StoreRequest::HandOver { turns, accounts }
}
