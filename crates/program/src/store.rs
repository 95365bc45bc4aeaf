//! State machine over all programs of one replication group.

use crate::account::RefundRule;
use crate::call::{CallRecord, CallState, request_fingerprint};
use crate::command::{
    BeginCall, Command, ConfirmRelease, CreateProgram, EndProgram, EndReason, FinishCall,
    RenewLease, RetryCall, TakeOver,
};
use crate::expiry::{Expiry, expiry};
use crate::program::{Program, ProgramStatus, call_ceiling};
use crate::reply::{Begun, Reply};
use crate::rules::{
    ONE_RETRY, already_finished, check_active, check_intent, check_order, check_same_spec,
    effective_budget, executed_after, find_call_in_flight, retry_charge, unknown_outcome,
    unknown_program,
};
use crate::window::StartWindow;
use luglink_types::{
    AttemptNumber, Budget, Charge, EngineId, ProgramId, Refusal, RefusalCode, Timestamp,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of programs on the path from a root program to a descendant.
const MAX_NESTING_DEPTH: usize = 32;

/// Pending release of an ended program's memory at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Release {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
}

/// State machine of one program group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramStore {
    programs: BTreeMap<ProgramId, Program>,
    releases: BTreeSet<Release>,
    refund: RefundRule,
    /// Latest timestamp of all entries. It never decreases, even if the clock of a new leader is
    /// behind that of the previous one.
    now: Timestamp,
}

impl ProgramStore {
    /// Creates an empty store with the given refund rule.
    #[must_use]
    pub fn new(refund: RefundRule) -> Self {
        Self {
            refund,
            ..Self::default()
        }
    }

    /// Returns the program with the given identifier.
    #[must_use]
    pub fn program(&self, id: ProgramId) -> Option<&Program> {
        self.programs.get(&id)
    }

    /// Iterates over all programs, including ended ones within their retention.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// Iterates over the releases that engines have not confirmed yet.
    pub fn releases(&self) -> impl Iterator<Item = Release> + '_ {
        self.releases.iter().copied()
    }

    /// Returns true if [`Command::Expire`] at `at` would change any program.
    #[must_use]
    pub fn has_overdue(&self, at: Timestamp) -> bool {
        self.programs
            .values()
            .any(|program| expiry(program, at) != Expiry::Nothing)
    }

    /// Applies one command with the timestamp that the leader assigned to it.
    pub fn apply(&mut self, at: Timestamp, command: &Command) -> Reply {
        self.now = self.now.max(at);
        let outcome = match command {
            Command::Create(create) => self.create(create),
            Command::TakeOver(take_over) => self.take_over(take_over),
            Command::Begin(begin) => self.begin(begin),
            Command::Retry(retry) => self.retry(retry),
            Command::Finish(finish) => self.finish(finish),
            Command::Renew(renew) => Ok(self.renew(renew)),
            Command::End(end) => self.end(end),
            Command::ConfirmRelease(confirm) => Ok(self.confirm_release(confirm)),
            Command::Expire => Ok(self.expire()),
        };
        outcome.unwrap_or_else(Reply::Refused)
    }

    fn create(&mut self, create: &CreateProgram) -> Result<Reply, Refusal> {
        if let Some(existing) = self.programs.get(&create.program) {
            check_same_spec(existing, create)?;
            // A repeated request, possibly sent to another daemon because the first one failed.
            return self.take_over(&TakeOver {
                program: create.program,
                daemon: create.owner,
                claim: create.claim,
            });
        }
        if let Some(parent) = create.spec.parent {
            self.attach_child(parent, create.program)?;
        }
        let program = Program::new(create, self.now);
        let reply = Reply::Owned(Box::new(program.owned()));
        self.programs.insert(create.program, program);
        Ok(reply)
    }

    fn attach_child(&mut self, parent: ProgramId, child: ProgramId) -> Result<(), Refusal> {
        if parent.family != child.family {
            return Err(Refusal::not_run(
                RefusalCode::InvalidRequest,
                "parent: a child program must have the same family as its parent",
            ));
        }
        if self.lineage(parent).len() >= MAX_NESTING_DEPTH {
            return Err(Refusal::not_run(
                RefusalCode::InvalidRequest,
                format!("parent: nesting depth exceeds the limit of {MAX_NESTING_DEPTH}"),
            ));
        }
        let parent = self.active_mut(parent)?;
        parent.children.insert(child);
        Ok(())
    }

    fn take_over(&mut self, take_over: &TakeOver) -> Result<Reply, Refusal> {
        let now = self.now;
        let program = self.active_mut(take_over.program)?;
        if program.superseded_claims.contains(&take_over.claim) {
            return Err(Refusal::not_run(
                RefusalCode::StaleOwner,
                "the program has been taken over under a later claim",
            ));
        }
        if program.owner.claim != take_over.claim {
            program.change_owner(take_over.daemon, take_over.claim);
            let abandoned = program.abandon_call_in_flight();
            self.charge_abandoned_call(take_over.program, abandoned);
        }
        let program = self.active_mut(take_over.program)?;
        program.owner.renewed_at = now;
        program.last_active_at = now;
        Ok(Reply::Owned(Box::new(program.owned())))
    }

    fn begin(&mut self, begin: &BeginCall) -> Result<Reply, Refusal> {
        let fingerprint = request_fingerprint(&begin.messages, begin.requested_output_tokens);
        let program = self.existing(begin.program)?;
        if let Some(call) = begin.key.as_ref().and_then(|key| program.call_by_key(key)) {
            return self.begin_with_known_key(begin, call.clone(), fingerprint);
        }
        check_active(program)?;
        program.check_epoch(begin.epoch)?;
        check_intent(program, begin)?;
        check_order(program, begin)?;
        self.check_deadlines(begin.program, &begin.ceiling)?;
        let reservation = call_ceiling(
            begin.input_tokens,
            begin.max_output_tokens,
            begin.cost_per_token_micros,
        );
        self.reserve(begin.program, &begin.ceiling, &reservation)?;
        let now = self.now;
        let program = self.active_mut(begin.program)?;
        program.owner.last_intent = begin.intent;
        let history_changed = program.append_uncertain_messages();
        let window = StartWindow::after(program.earliest_next_start, now);
        let sequence = program.next_sequence;
        program.calls.push(CallRecord {
            sequence,
            key: begin.key.clone(),
            fingerprint,
            repeatable: begin.repeatable,
            ceiling: reservation,
            reservation,
            cost_per_token_micros: begin.cost_per_token_micros,
            input_tokens: begin.input_tokens,
            pending: begin.messages.clone(),
            state: CallState::InFlight {
                epoch: begin.epoch,
                attempt: AttemptNumber(0),
                engine: begin.engine,
                window,
            },
        });
        program.engines.insert(begin.engine);
        program.last_active_at = now;
        program.owner.renewed_at = now;
        Ok(Reply::Begun(Begun {
            sequence,
            attempt: AttemptNumber(0),
            history: history_changed.then(|| program.history.clone()),
            window,
        }))
    }

    /// Handles a call whose idempotency key was used before. It runs again only if the caller
    /// permits that.
    fn begin_with_known_key(
        &mut self,
        begin: &BeginCall,
        call: CallRecord,
        fingerprint: u64,
    ) -> Result<Reply, Refusal> {
        if call.fingerprint != fingerprint {
            return Err(Refusal::not_run(
                RefusalCode::KeyReused,
                "the idempotency key was used for a different request of this program",
            ));
        }
        let program = self.existing(begin.program)?;
        match call.state {
            CallState::Completed { .. } => match program.stored_answer(&call) {
                Some(answer) => Ok(Reply::AlreadyAnswered(answer)),
                None => Err(unknown_outcome()),
            },
            CallState::InFlight {
                epoch,
                attempt,
                engine,
                window,
            } => {
                program.check_epoch(begin.epoch)?;
                // The owner repeats the intent because its reply was lost: repeat the reply.
                if epoch == begin.epoch && engine == begin.engine {
                    return Ok(Reply::Begun(Begun {
                        sequence: call.sequence,
                        attempt,
                        history: Some(program.history.clone()),
                        window,
                    }));
                }
                Err(Refusal::uncertain(
                    RefusalCode::CallInProgress,
                    "a call with the same idempotency key is still in flight",
                ))
            }
            CallState::Uncertain { attempt } => self.rerun_uncertain_call(begin, &call, attempt),
        }
    }

    /// Runs an uncertain call again. This requires the caller's permission (`repeatable`) and that
    /// the program has made no later call.
    fn rerun_uncertain_call(
        &mut self,
        begin: &BeginCall,
        call: &CallRecord,
        attempt: AttemptNumber,
    ) -> Result<Reply, Refusal> {
        let program = self.existing(begin.program)?;
        let is_last = call.sequence.next() == program.next_sequence;
        if !call.repeatable || !begin.repeatable || !is_last {
            return Err(unknown_outcome());
        }
        check_active(program)?;
        program.check_epoch(begin.epoch)?;
        self.check_deadlines(begin.program, &begin.ceiling)?;
        let mut reservation = call_ceiling(
            begin.input_tokens,
            begin.max_output_tokens,
            begin.cost_per_token_micros,
        );
        reservation.calls = 0;
        reservation.retries = 1;
        self.reserve(begin.program, &begin.ceiling, &reservation)?;
        let now = self.now;
        let program = self.active_mut(begin.program)?;
        program.next_sequence = call.sequence;
        program.engines.insert(begin.engine);
        program.last_active_at = now;
        let attempt = attempt.next();
        let window = StartWindow::after(program.earliest_next_start, now);
        if let Some(record) = program.calls.last_mut() {
            record.ceiling = reservation.minus(&ONE_RETRY);
            record.reservation = reservation;
            record.state = CallState::InFlight {
                epoch: begin.epoch,
                attempt,
                engine: begin.engine,
                window,
            };
        }
        Ok(Reply::Begun(Begun {
            sequence: call.sequence,
            attempt,
            history: None,
            window,
        }))
    }

    fn retry(&mut self, retry: &RetryCall) -> Result<Reply, Refusal> {
        let program = self.existing(retry.program)?;
        program.check_epoch(retry.epoch)?;
        let in_flight = find_call_in_flight(program, retry.sequence)?;
        let CallState::InFlight {
            attempt, window, ..
        } = in_flight.state
        else {
            return Err(unknown_outcome());
        };
        if attempt == retry.failed.next() {
            // The command is repeated because its reply was lost.
            return Ok(Reply::Begun(Begun {
                sequence: retry.sequence,
                attempt,
                history: None,
                window,
            }));
        }
        if attempt != retry.failed || !retry.class.retry_is_safe() {
            return Err(unknown_outcome());
        }
        let amount = retry_charge(in_flight, retry.class);
        if let Err(refusal) = self.admit_retry(retry, &amount) {
            self.close(&FinishCall {
                program: retry.program,
                epoch: retry.epoch,
                sequence: retry.sequence,
                attempt: retry.failed,
                class: retry.class,
                answer: String::new(),
                usage: luglink_types::TokenUsage::default(),
            });
            return Err(refusal);
        }
        let attempt = retry.failed.next();
        let now = self.now;
        let program = self.active_mut(retry.program)?;
        let window = StartWindow::after(program.earliest_next_start, now);
        program.engines.insert(retry.engine);
        if let Some(call) = program.calls.last_mut() {
            call.reservation = call.reservation.plus(&amount);
            call.state = CallState::InFlight {
                epoch: retry.epoch,
                attempt,
                engine: retry.engine,
                window,
            };
        }
        Ok(Reply::Begun(Begun {
            sequence: retry.sequence,
            attempt,
            history: None,
            window,
        }))
    }

    fn admit_retry(&mut self, retry: &RetryCall, amount: &Charge) -> Result<(), Refusal> {
        check_active(self.existing(retry.program)?)
            .and_then(|()| self.check_deadlines(retry.program, &retry.ceiling))
            .and_then(|()| self.reserve(retry.program, &retry.ceiling, amount))
            .map_err(|refusal| Refusal {
                executed: executed_after(retry.class),
                ..refusal
            })
    }

    fn finish(&mut self, finish: &FinishCall) -> Result<Reply, Refusal> {
        let program = self.existing(finish.program)?;
        program.check_epoch(finish.epoch)?;
        let repeated = program
            .calls
            .iter()
            .any(|call| call.sequence == finish.sequence && already_finished(call, finish));
        if repeated {
            // The command is repeated because its reply was lost.
            return Ok(Reply::Finished {
                next_sequence: program.next_sequence,
            });
        }
        let call = find_call_in_flight(program, finish.sequence)?;
        let current =
            matches!(call.state, CallState::InFlight { attempt, .. } if attempt == finish.attempt);
        if !current {
            return Err(unknown_outcome());
        }
        self.close(finish);
        let now = self.now;
        let program = self.existing_mut(finish.program)?;
        program.last_active_at = now;
        program.owner.renewed_at = now;
        Ok(Reply::Finished {
            next_sequence: program.next_sequence,
        })
    }

    /// Applies an outcome to the call and settles its reservation in all charged accounts.
    fn close(&mut self, finish: &FinishCall) {
        let refund = self.refund;
        let Some(program) = self.programs.get_mut(&finish.program) else {
            return;
        };
        let (reservation, used) = program.close_call(finish, refund);
        for payer in self.lineage(finish.program) {
            if let Some(program) = self.programs.get_mut(&payer) {
                program.account.settle(&reservation, &used);
            }
        }
    }

    fn renew(&mut self, renew: &RenewLease) -> Reply {
        let now = self.now;
        for (id, epoch) in &renew.programs {
            if let Some(program) = self.programs.get_mut(id)
                && program.owner.epoch == *epoch
            {
                program.owner.renewed_at = now;
            }
        }
        Reply::Done
    }

    fn end(&mut self, end: &EndProgram) -> Result<Reply, Refusal> {
        self.existing(end.program)?;
        self.end_tree(end.program, end.reason);
        Ok(Reply::Done)
    }

    fn end_tree(&mut self, root: ProgramId, reason: EndReason) {
        let mut pending = vec![(root, reason)];
        while let Some((id, reason)) = pending.pop() {
            let now = self.now;
            let Some(program) = self.programs.get_mut(&id) else {
                continue;
            };
            if !program.is_active() {
                continue;
            }
            program.status = ProgramStatus::Ended { reason, at: now };
            let abandoned = program.abandon_call_in_flight();
            let engines: Vec<EngineId> = program.engines.iter().copied().collect();
            let children = program.children.iter().copied();
            pending.extend(children.map(|child| (child, EndReason::ParentEnded)));
            let releases = engines.into_iter().map(|engine| Release {
                program: id,
                engine,
            });
            self.releases.extend(releases);
            self.charge_abandoned_call(id, abandoned);
        }
    }

    fn confirm_release(&mut self, confirm: &ConfirmRelease) -> Reply {
        self.releases.remove(&Release {
            program: confirm.program,
            engine: confirm.engine,
        });
        Reply::Done
    }

    fn expire(&mut self) -> Reply {
        let now = self.now;
        let due: Vec<(ProgramId, Expiry)> = self
            .programs
            .values()
            .map(|program| (program.id, expiry(program, now)))
            .filter(|(_, expiry)| *expiry != Expiry::Nothing)
            .collect();
        for (id, expiry) in due {
            match expiry {
                Expiry::Nothing => {}
                Expiry::End(reason) => self.end_tree(id, reason),
                Expiry::Remove => self.remove_program(id),
                Expiry::AbandonCall => {
                    let abandoned = self
                        .programs
                        .get_mut(&id)
                        .and_then(Program::abandon_call_in_flight);
                    self.charge_abandoned_call(id, abandoned);
                }
            }
        }
        Reply::Done
    }

    fn remove_program(&mut self, id: ProgramId) {
        let Some(program) = self.programs.remove(&id) else {
            return;
        };
        let parent = program.spec.parent;
        if let Some(parent) = parent.and_then(|parent| self.programs.get_mut(&parent)) {
            parent.children.remove(&id);
        }
    }

    /// Charges the reservation of an abandoned call in full to all accounts that reserved it.
    fn charge_abandoned_call(&mut self, id: ProgramId, abandoned: Option<Charge>) {
        let Some(reservation) = abandoned else {
            return;
        };
        for payer in self.lineage(id) {
            if let Some(program) = self.programs.get_mut(&payer) {
                program.account.settle(&reservation, &reservation);
            }
        }
    }

    /// Reserves `amount` in the accounts of the program and all its ancestors, or in none of them.
    fn reserve(&mut self, id: ProgramId, ceiling: &Budget, amount: &Charge) -> Result<(), Refusal> {
        let payers = self.lineage(id);
        for payer in &payers {
            let program = self.existing(*payer)?;
            let budget = effective_budget(program, id, ceiling);
            if let Some(dimension) = program.account.exceeded_dimension(&budget, amount) {
                return Err(Refusal::not_run(
                    RefusalCode::BudgetExhausted,
                    format!("budget of program {payer} exhausted: {}", dimension.field()),
                ));
            }
        }
        for payer in payers {
            if let Some(program) = self.programs.get_mut(&payer) {
                program.account.reserve(amount);
            }
        }
        Ok(())
    }

    fn check_deadlines(&self, id: ProgramId, ceiling: &Budget) -> Result<(), Refusal> {
        for payer in self.lineage(id) {
            let program = self.existing(payer)?;
            let budget = effective_budget(program, id, ceiling);
            if program.deadline_passed(&budget, self.now) {
                return Err(Refusal::not_run(
                    RefusalCode::DeadlineExceeded,
                    format!("deadline of program {payer} has passed"),
                ));
            }
        }
        Ok(())
    }

    /// Returns the program and its ancestors, starting with the program.
    fn lineage(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut lineage = Vec::new();
        let mut next = Some(id);
        while let Some(current) = next {
            if lineage.len() > MAX_NESTING_DEPTH {
                break;
            }
            lineage.push(current);
            next = self
                .programs
                .get(&current)
                .and_then(|program| program.spec.parent);
        }
        lineage
    }

    fn existing(&self, id: ProgramId) -> Result<&Program, Refusal> {
        self.programs.get(&id).ok_or_else(|| unknown_program(id))
    }

    fn existing_mut(&mut self, id: ProgramId) -> Result<&mut Program, Refusal> {
        self.programs
            .get_mut(&id)
            .ok_or_else(|| unknown_program(id))
    }

    fn active_mut(&mut self, id: ProgramId) -> Result<&mut Program, Refusal> {
        let program = self.existing_mut(id)?;
        check_active(program)?;
        Ok(program)
    }
}
