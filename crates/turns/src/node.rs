//! Logic of a store: collects requests, makes them durable in batches, and replies to them.

mod reports;

use crate::account::{Account, Spend};
use crate::crash_keeper::CrashKeeper;
use crate::crash_parts::CountedReport;
use crate::errors::TurnsError;
use crate::follower_leases::LEASE_DURATION;
use crate::hand_over::HandOver;
use crate::journal::{Entry, Journal};
use crate::keep_parts::{KeepCheck, KeepReport};
use crate::parts::{ClientView, OriginRequest, OriginResponse, OutputResponse};
use crate::protocol::{Chain, ChainQuery, StoreRequest, StoreResponse};
use crate::record::{ProgramName, TurnId, TurnRecord};
use crate::refusal::{Refusal, RequestCheck};
use crate::replication::Replication;
use crate::report_hand_over::ReportHandOver;
use crate::state::State;
use crate::stream_records::StreamRecords;
use luglink_fleet::{BackendId, StoreName, StoreView};
use luglink_quota::{QuotaOwner, Tolerance};
use luglink_storage::{Disk, WalConfig};
use luglink_types::Timestamp;
use std::time::Duration;

/// Time between removals of expired turns and accounts.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of journal segments after which the live entries of the oldest are rewritten.
const MAX_SEGMENTS: u64 = 4;

/// Identifies one request of one client in its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken {
    /// Number of the client, assigned by the server process.
    pub client: u64,
    /// Number of the request, assigned by the client.
    pub request: u64,
}

/// Action that the server process performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Replies to a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The response.
        response: Box<StoreResponse>,
        /// Part of the response to a request with a [`KeepCheck`].
        report: Option<Box<KeepReport>>,
    },
    /// Sends a request to another store. If that store acknowledges it, the server process calls
    /// [`StoreNode::on_hand_over_acknowledged`].
    HandOver {
        /// The receiving store.
        to: StoreName,
        /// Identifies the request in its acknowledgement.
        number: u64,
        /// The request.
        request: Box<StoreRequest>,
    },
}

/// Configuration of a store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Name of the store.
    pub name: StoreName,
    /// Number of copies of each record.
    pub replication: Replication,
    /// Limits of the journal.
    pub wal: WalConfig,
    /// Amount by which the requests of tenants may exceed their quotas.
    pub quota_tolerance: Tolerance,
}

/// Reply to a request whose entries are not on disk yet.
#[derive(Debug)]
struct PendingReply {
    token: RequestToken,
    kind: ReplyKind,
}

/// Kind of the reply that is sent once the entries are on disk.
#[derive(Debug)]
enum ReplyKind {
    Spent {
        program: ProgramName,
        chain: Option<ChainQuery>,
        served_by: Option<BackendId>,
    },
    Kept {
        program: ProgramName,
        check: Option<KeepCheck>,
    },
    Done,
}

/// State machine of a turn store.
#[derive(Debug)]
pub struct StoreNode<D> {
    config: StoreConfig,
    incarnation: u64,
    has_new_disk: bool,
    journal: Journal<D>,
    state: State,
    hand_over: HandOver,
    report_hand_over: ReportHandOver,
    /// Time until which gateways may have leases.
    leases_until: Timestamp,
    /// The same for leases under an earlier view.
    earlier_leases_until: Timestamp,
    quota: QuotaOwner,
    streams: StreamRecords,
    crashes: CrashKeeper,
    entries: Vec<Entry>,
    pending: Vec<PendingReply>,
    outputs: Vec<Output>,
    now: Timestamp,
    expiry_due: Timestamp,
    needs_repair: bool,
    /// True if the view was read from the disk, which does not have its settled configuration.
    is_view_restored: bool,
}

impl<D: Disk> StoreNode<D> {
    /// Starts a store from its disk. An empty disk gets the incarnation `new_incarnation`, which
    /// must be different at every start.
    ///
    /// # Errors
    /// Fails if the disk is damaged, full or read-only.
    pub fn start(
        config: StoreConfig,
        disk: D,
        new_incarnation: u64,
        now: Timestamp,
    ) -> Result<Self, TurnsError> {
        let mut state = State::default();
        let mut completed_view = StoreView::default();
        let visit = |segment, entry: Entry| {
            state.apply(&entry, segment, now);
            if let Entry::HandedOver(view) = entry {
                completed_view = view;
            }
        };
        let (mut journal, incarnation) = Journal::open(disk, config.wal, new_incarnation, visit)?;
        let crashes = CrashKeeper::open(journal.disk_mut(), new_incarnation, now)?;
        let has_new_disk = incarnation == new_incarnation;
        let mut quota = QuotaOwner::new(
            config.name.clone(),
            config.replication.quota_owners(),
            config.quota_tolerance,
        );
        // Members do not send the view to a store that already has it, so it is set here.
        quota.set_view(completed_view.clone(), now);
        Ok(Self {
            is_view_restored: completed_view.epoch > 0,
            config,
            quota,
            incarnation,
            has_new_disk,
            journal,
            state,
            hand_over: HandOver::new(completed_view),
            report_hand_over: ReportHandOver::default(),
            leases_until: match has_new_disk {
                true => now,
                false => now.plus(LEASE_DURATION),
            },
            earlier_leases_until: now,
            streams: StreamRecords::new(),
            crashes,
            entries: Vec::new(),
            pending: Vec::new(),
            outputs: Vec::new(),
            now,
            expiry_due: now,
            needs_repair: false,
        })
    }

    /// Identifies the store's disk.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns true if the disk was empty when the store started.
    #[must_use]
    pub fn has_new_disk(&self) -> bool {
        self.has_new_disk
    }

    /// Epoch of the newest view for which the hand-over to the other owners is complete.
    #[must_use]
    pub fn handed_over_epoch(&self) -> u64 {
        self.hand_over.completed_view().epoch
    }

    /// Epoch of the current view of the stores.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.hand_over.view().epoch
    }

    /// Epoch of the newest view that this store has in full; 0 for a view that was read from the disk.
    /// Members send views that are newer.
    #[must_use]
    pub fn known_epoch(&self) -> u64 {
        match self.is_view_restored {
            true => 0,
            false => self.epoch(),
        }
    }

    /// Numbers of stored turns and accounts.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.state.turns.len(), self.state.accounts.len())
    }

    /// Returns the disk for fault injection.
    pub fn disk_mut(&mut self) -> &mut D {
        self.journal.disk_mut()
    }

    /// Returns the disk in the state that a crash leaves behind.
    pub fn into_disk(self) -> D {
        self.journal.into_disk()
    }

    /// Sets a newer view of the stores. Requests that were handled before belong to the earlier view,
    /// so they are made durable first and are part of the hand-over.
    pub fn set_view(&mut self, view: StoreView, now: Timestamp) {
        self.now = self.now.max(now);
        if view.epoch == self.epoch() && self.is_view_restored {
            self.is_view_restored = false;
            self.hand_over.complete_restored_view(&view);
        }
        if view.epoch <= self.epoch() {
            return;
        }
        self.is_view_restored = false;
        self.commit_requests();
        let copies = self.config.replication.copies();
        self.quota.set_view(view.clone(), self.now);
        self.hand_over
            .set_view(view, &self.config.name, copies, &self.state);
        self.earlier_leases_until = self.leases_until;
        self.report_hand_over.clear();
        let reports: Vec<CountedReport> = self.crashes.counted_reports().collect();
        self.hand_over_reports(reports);
    }

    /// Records a message from a control member that is in contact with its leader.
    pub fn note_leader_contact(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.quota.note_leader_contact(self.now);
    }

    /// Handles a request of a client under its view of the stores, or of another store. A request
    /// whose response could not count is not recorded; the caller replies that it was refused.
    pub fn handle_under(
        &mut self,
        client_view: Option<ClientView>,
        token: RequestToken,
        request: StoreRequest,
        now: Timestamp,
    ) -> Option<Refusal> {
        self.handle_checked(client_view, None, token, request, now)
    }

    /// Does the same for a request that may have a [`KeepCheck`]. A turn whose ancestors the store lacks
    /// is not stored then; the reply names them.
    pub fn handle_checked(
        &mut self,
        client_view: Option<ClientView>,
        check: Option<KeepCheck>,
        token: RequestToken,
        request: StoreRequest,
        now: Timestamp,
    ) -> Option<Refusal> {
        self.now = self.now.max(now);
        let refusal = self.request_check().refusal(client_view, &request);
        if refusal.is_none() {
            let request = self.request_check().accepted(client_view, request);
            self.handle_accepted(check, token, request);
        }
        refusal
    }

    fn request_check(&self) -> RequestCheck<'_> {
        RequestCheck {
            name: &self.config.name,
            incarnation: self.incarnation,
            copies: self.config.replication.copies(),
            hand_over: &self.hand_over,
            is_view_restored: self.is_view_restored,
            state: &self.state,
        }
    }

    /// Handles a request. The next [`StoreNode::flush`] returns the reply.
    pub fn handle(&mut self, token: RequestToken, request: StoreRequest, now: Timestamp) {
        self.now = self.now.max(now);
        self.handle_accepted(None, token, request);
    }

    fn handle_accepted(
        &mut self,
        check: Option<KeepCheck>,
        token: RequestToken,
        request: StoreRequest,
    ) {
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
                self.pending.push(PendingReply {
                    token,
                    kind: ReplyKind::Spent {
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
            } => {
                let missing = match check {
                    Some(_) => self.missing_ancestors(&turn, &foreign_ancestors),
                    None => Vec::new(),
                };
                match missing.is_empty() {
                    true => self.keep(token, check, epoch, *turn, tokens, foreign_ancestors),
                    false => self.reply_missing(token, &turn, missing),
                }
            }
            StoreRequest::HandOver { turns, accounts } => {
                self.accept_hand_over(token, turns, accounts)
            }
            StoreRequest::Account(program) => {
                let account = self.account(&program);
                self.reply(token, StoreResponse::Account(account));
            }
            StoreRequest::Lookup(query) => {
                let chain = self.chain(&query);
                self.reply(token, StoreResponse::Chain(chain));
            }
            StoreRequest::Quota(request) => {
                let response = self.quota.answer(&request, self.now);
                self.reply(token, StoreResponse::Quota(response));
            }
        }
    }

    /// Keeps or returns the origin of a stream and its output. They are not written to disk, so there is
    /// no need to wait for [`StoreNode::flush`]. A request about the output gets a second response.
    pub fn handle_origin(
        &mut self,
        request: &OriginRequest,
        now: Timestamp,
    ) -> (OriginResponse, Option<OutputResponse>) {
        self.now = self.now.max(now);
        self.streams.handle(request, self.now)
    }

    /// Number of streams whose origins are kept.
    #[must_use]
    pub fn origin_count(&self) -> usize {
        self.streams.origin_count()
    }

    /// Approximate size of the outputs of streams that are kept, in bytes.
    #[must_use]
    pub fn output_bytes(&self) -> usize {
        self.streams.output_bytes()
    }

    /// Handles the acknowledgement of the hand-over request `number` by another store.
    pub fn on_hand_over_acknowledged(&mut self, by: &StoreName, number: u64, now: Timestamp) {
        self.now = self.now.max(now);
        self.hand_over.on_acknowledged(by, number);
    }

    /// Advances the time and removes expired turns and accounts.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        let doubts = self.crashes.tick(self.journal.disk_mut(), self.now);
        self.hand_over_doubts(doubts);
        if self.now >= self.expiry_due {
            self.expiry_due = self.now.plus(EXPIRY_INTERVAL);
            self.state.expire(self.now);
            self.streams.expire(self.now);
            self.crashes.expire(self.now);
        }
    }

    /// Makes all collected entries durable with one sync and returns the actions to perform.
    pub fn flush(&mut self) -> Vec<Output> {
        let completed_view = self.hand_over.completable_view();
        let completed_view = completed_view.filter(|_| self.has_handed_over_reports());
        let completed_view = completed_view.cloned().map(Entry::HandedOver);
        let completes_view = completed_view.is_some();
        self.entries.extend(completed_view);
        if self.commit_requests() && completes_view {
            self.hand_over.complete_view();
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

    /// Makes all collected entries durable and queues the replies. Returns true on success.
    fn commit_requests(&mut self) -> bool {
        let entries = std::mem::take(&mut self.entries);
        let pending = std::mem::take(&mut self.pending);
        match self.persist(entries) {
            Ok(()) => {
                self.complete_pending(pending);
                true
            }
            Err(error) => {
                self.fail_pending(pending, &error.to_string());
                false
            }
        }
    }

    /// Returns the ancestors of a turn that this store will not hold once all collected entries are on
    /// disk. The others do not expire before that.
    fn missing_ancestors(&mut self, turn: &TurnRecord, carried: &[TurnRecord]) -> Vec<TurnId> {
        self.state.renew_turn(turn, self.now);
        let is_held = |ancestor: &TurnId| {
            let collected = self.entries.iter().filter_map(Entry::turn);
            self.state.turns.contains_key(ancestor)
                || carried.iter().any(|record| record.id == *ancestor)
                || collected.into_iter().any(|record| record.id == *ancestor)
        };
        let ancestors = turn.ancestors.iter();
        ancestors
            .filter(|ancestor| !is_held(ancestor))
            .cloned()
            .collect()
    }

    fn reply_missing(&mut self, token: RequestToken, turn: &TurnRecord, missing: Vec<TurnId>) {
        let reason = format!(
            "this store lacks {} of the {} ancestors of turn {}",
            missing.len(),
            turn.ancestors.len(),
            turn.id
        );
        let report = KeepReport {
            missing,
            account: None,
        };
        self.outputs.push(Output::Reply {
            token,
            response: Box::new(StoreResponse::Failed { reason }),
            report: Some(Box::new(report)),
        });
    }

    fn keep(
        &mut self,
        token: RequestToken,
        check: Option<KeepCheck>,
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
        self.pending.push(PendingReply {
            token,
            kind: ReplyKind::Kept { program, check },
        });
    }

    fn accept_hand_over(
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
        self.pending.push(PendingReply {
            token,
            kind: ReplyKind::Done,
        });
    }

    /// Queues entries for the disk. A writer of an older build with an older view may not know all
    /// current owners, so this store forwards the entries to the other owners.
    fn write(&mut self, epoch: u64, program: &ProgramName, entries: Vec<Entry>) {
        if self.request_check().owners_changed(epoch, Some(program)) {
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

    fn persist(&mut self, entries: Vec<Entry>) -> Result<(), TurnsError> {
        let (changes, known): (Vec<Entry>, Vec<Entry>) = entries
            .into_iter()
            .partition(|entry| self.state.is_changed_by(entry));
        for entry in &known {
            self.state.renew(entry, self.now);
        }
        if changes.is_empty() {
            return Ok(());
        }
        if self.needs_repair {
            self.journal.repair()?;
            self.needs_repair = false;
        }
        self.append(&changes)?;
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
                self.needs_repair = true;
                Err(error)
            }
        }
    }

    /// Starts a new segment. If there are too many, rewrites the live entries of the oldest into
    /// it and removes the oldest.
    fn compact(&mut self) -> Result<(), TurnsError> {
        self.journal.start_segment();
        self.state.expire(self.now);
        let oldest = self.journal.oldest_segment();
        if self.journal.current_segment() - oldest < MAX_SEGMENTS {
            return Ok(());
        }
        let entries = self.live_entries_up_to(oldest);
        self.append(&entries)?;
        for held in self.state.accounts.values_mut() {
            if held.oldest_segment <= oldest {
                held.oldest_segment = self.journal.current_segment();
            }
        }
        self.journal.remove_segments_before(oldest + 1)
    }

    fn live_entries_up_to(&self, segment: u64) -> Vec<Entry> {
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
        let completed_view = self.hand_over.completed_view();
        let handed_over = Entry::HandedOver(completed_view.clone());
        turns
            .chain(accounts)
            .chain((completed_view.epoch > 0).then_some(handed_over))
            .collect()
    }

    fn complete_pending(&mut self, pending: Vec<PendingReply>) {
        for PendingReply { token, kind } in pending {
            let mut report = None;
            let response = match kind {
                ReplyKind::Spent {
                    program,
                    chain,
                    served_by,
                } => StoreResponse::Spent {
                    served_by: self.update_last_replica(&program, served_by),
                    account: self.account(&program),
                    chain: chain.map(|query| self.chain(&query)),
                },
                ReplyKind::Kept { program, check } => {
                    report = check.and_then(|check| self.keep_report(&program, check));
                    StoreResponse::Done
                }
                ReplyKind::Done => StoreResponse::Done,
            };
            self.outputs.push(Output::Reply {
                token,
                response: Box::new(response),
                report,
            });
        }
    }

    /// Returns the account of a program if it is not the one that the writer knows.
    fn keep_report(&self, program: &ProgramName, check: KeepCheck) -> Option<Box<KeepReport>> {
        let account = self.account(program);
        (account.digest() != check.account_digest).then(|| {
            Box::new(KeepReport {
                missing: Vec::new(),
                account: Some(account),
            })
        })
    }

    fn fail_pending(&mut self, pending: Vec<PendingReply>, reason: &str) {
        for PendingReply { token, .. } in pending {
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

    /// Records the replica that served a turn of a program, if it is known, and returns the last
    /// recorded one.
    fn update_last_replica(
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

    fn chain(&self, query: &ChainQuery) -> Chain {
        let Some(held) = self.state.turns.get(&query.turn) else {
            return Chain::Absent {
                incarnation: self.incarnation,
            };
        };
        let ancestors = held.record.ancestors.iter();
        let found = ancestors.filter_map(|ancestor| self.state.turns.get(ancestor));
        Chain::Found {
            ancestors: found.map(|held| held.record.clone()).collect(),
            turn: Box::new(held.record.clone()),
        }
    }

    fn reply(&mut self, token: RequestToken, response: StoreResponse) {
        self.outputs.push(Output::Reply {
            token,
            response: Box::new(response),
            report: None,
        });
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
                account.record(turn, *spend);
                accounts.push((program.clone(), account, *retention_ms));
            }
            Entry::HandedOver(_) => {}
        }
    }
    StoreRequest::HandOver { turns, accounts }
}
