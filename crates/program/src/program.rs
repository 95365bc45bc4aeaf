//! One program and the rules for its calls.

use crate::account::{Account, RefundRule};
use crate::call::{CallRecord, CallState, StoredAnswer};
use crate::command::{Claim, CreateProgram, EndReason, FinishCall, ProgramSpec};
use crate::reply::{Owned, ProgramView};
use luglink_types::{
    Budget, Charge, ChatMessage, DaemonId, EngineId, Epoch, IdempotencyKey, OutcomeClass,
    ProgramId, Refusal, RefusalCode, Role, Sequence, Timestamp, UNLIMITED,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Whether a program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramStatus {
    /// It may make calls.
    Active,
    /// It has ended.
    Ended {
        /// Why.
        reason: EndReason,
        /// When, in the group's time.
        at: Timestamp,
    },
}

/// Who serves a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLease {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its epoch; every take-over raises it.
    pub epoch: Epoch,
    /// The claim by which it holds the program.
    pub claim: Claim,
    /// Its latest intent.
    pub last_intent: u64,
    /// Last time the owner was heard of.
    pub renewed_at: Timestamp,
}

/// A program and everything that must survive of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    pub(crate) id: ProgramId,
    pub(crate) spec: ProgramSpec,
    pub(crate) status: ProgramStatus,
    pub(crate) owner: OwnerLease,
    pub(crate) next_sequence: Sequence,
    pub(crate) history: Vec<ChatMessage>,
    pub(crate) account: Account,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) children: BTreeSet<ProgramId>,
    pub(crate) engines: BTreeSet<EngineId>,
    pub(crate) created_at: Timestamp,
    pub(crate) active_at: Timestamp,
    /// Until when an attempt that was taken for lost may still start at an engine.
    pub(crate) quiet_until: Timestamp,
    /// Claims that another one has followed, the latest last.
    pub(crate) old_claims: VecDeque<Claim>,
}

/// Old claims that are remembered. A copy of a request that is older than this many take-overs
/// has outlived every timeout of its sender.
const OLD_CLAIMS: usize = 8;

impl Program {
    pub(crate) fn new(create: &CreateProgram, at: Timestamp) -> Self {
        Self {
            id: create.program,
            spec: create.spec.clone(),
            status: ProgramStatus::Active,
            owner: OwnerLease {
                daemon: create.owner,
                epoch: Epoch(1),
                claim: create.claim,
                last_intent: 0,
                renewed_at: at,
            },
            next_sequence: Sequence(0),
            history: Vec::new(),
            account: Account::default(),
            calls: Vec::new(),
            children: BTreeSet::new(),
            engines: BTreeSet::new(),
            created_at: at,
            active_at: at,
            quiet_until: Timestamp::ZERO,
            old_claims: VecDeque::new(),
        }
    }

    /// Gives the program to the daemon of a new claim.
    pub(crate) fn change_owner(&mut self, daemon: DaemonId, claim: Claim) {
        self.old_claims.push_back(self.owner.claim);
        if self.old_claims.len() > OLD_CLAIMS {
            self.old_claims.pop_front();
        }
        self.owner.daemon = daemon;
        self.owner.claim = claim;
        self.owner.last_intent = 0;
        self.owner.epoch = self.owner.epoch.next();
    }

    /// Whether the program may make calls.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.status == ProgramStatus::Active
    }

    /// The budget account.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// The conversation.
    #[must_use]
    pub fn history(&self) -> &[ChatMessage] {
        &self.history
    }

    /// What the program is.
    #[must_use]
    pub fn spec(&self) -> &ProgramSpec {
        &self.spec
    }

    /// Who serves it.
    #[must_use]
    pub fn owner(&self) -> OwnerLease {
        self.owner
    }

    /// Its calls, by sequence.
    #[must_use]
    pub fn calls(&self) -> &[CallRecord] {
        &self.calls
    }

    pub(crate) fn call_in_flight(&self) -> Option<&CallRecord> {
        self.calls.last().filter(|call| call.in_flight())
    }

    pub(crate) fn call_by_key(&self, key: &IdempotencyKey) -> Option<&CallRecord> {
        self.calls
            .iter()
            .find(|call| call.key.as_ref() == Some(key))
    }

    /// Ends of the program's life that time alone brings about.
    pub(crate) fn overdue(&self, at: Timestamp, owner_lease: Duration) -> Option<EndReason> {
        if self.call_in_flight().is_some() && at.since(self.owner.renewed_at) < owner_lease {
            return None;
        }
        if self.deadline_passed(&self.spec.budget, at) {
            return Some(EndReason::DeadlinePassed);
        }
        let idle = Duration::from_millis(self.spec.idle_timeout_ms);
        (at.since(self.active_at) > idle).then_some(EndReason::Abandoned)
    }

    pub(crate) fn deadline_passed(&self, budget: &Budget, at: Timestamp) -> bool {
        budget
            .deadline()
            .is_some_and(|deadline| at.since(self.created_at) > deadline)
    }

    /// Checks that `epoch` is the current owner's.
    pub(crate) fn check_epoch(&self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch == self.owner.epoch {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalCode::StaleOwner,
            format!(
                "program {} is owned under epoch {}, not {epoch}",
                self.id, self.owner.epoch
            ),
        ))
    }

    /// A call without an outcome whose owner is gone has become uncertain. Its reservation
    /// counts as spent, because the engine may have spent it.
    pub(crate) fn abandon_call_in_flight(&mut self) -> Option<Charge> {
        let call = self.calls.last_mut().filter(|call| call.in_flight())?;
        let CallState::InFlight {
            attempt, window, ..
        } = call.state
        else {
            return None;
        };
        self.quiet_until = self.quiet_until.max(window.surely_over());
        call.state = CallState::Uncertain { attempt };
        let reservation = std::mem::take(&mut call.reservation);
        self.next_sequence = call.sequence.next();
        Some(reservation)
    }

    /// Moves the new messages of a closed, uncertain call into the history: the caller's words
    /// are kept even when the answer is not known. Returns whether there were any.
    pub(crate) fn absorb_uncertain_messages(&mut self) -> bool {
        let Some(call) = self.calls.last_mut() else {
            return false;
        };
        let uncertain = matches!(call.state, CallState::Uncertain { .. });
        if !uncertain || call.pending.is_empty() {
            return false;
        }
        self.history.append(&mut call.pending);
        true
    }

    /// Applies the outcome of the call in flight. Returns the reservation and what of it was
    /// used.
    pub(crate) fn close_call(
        &mut self,
        finish: &FinishCall,
        refund: RefundRule,
    ) -> (Charge, Charge) {
        let Some(mut call) = self.calls.pop() else {
            return (Charge::default(), Charge::default());
        };
        let reservation = call.reservation;
        let used = used_of_reservation(&call, finish, refund);
        match finish.class {
            OutcomeClass::Completed => {
                self.history.append(&mut call.pending);
                call.state = CallState::Completed {
                    history_index: self.history.len(),
                    usage: finish.usage,
                    attempts: finish.attempt.0.saturating_add(1),
                };
                self.history.push(ChatMessage {
                    role: Role::Assistant,
                    content: finish.answer.clone(),
                });
                call.reservation = Charge::default();
                self.next_sequence = call.sequence.next();
                self.calls.push(call);
            }
            OutcomeClass::Uncertain => {
                if let CallState::InFlight { window, .. } = call.state {
                    self.quiet_until = self.quiet_until.max(window.surely_over());
                }
                call.state = CallState::Uncertain {
                    attempt: finish.attempt,
                };
                call.reservation = Charge::default();
                self.next_sequence = call.sequence.next();
                self.calls.push(call);
            }
            // The request did not take effect: its place and its key are free again.
            OutcomeClass::NotDispatched
            | OutcomeClass::RejectedBeforeProcessing
            | OutcomeClass::EngineRetryable => {}
        }
        (reservation, used)
    }

    /// The stored answer of a completed call.
    pub(crate) fn stored_answer(&self, call: &CallRecord) -> Option<StoredAnswer> {
        let CallState::Completed {
            history_index,
            usage,
            attempts,
        } = call.state
        else {
            return None;
        };
        let message = self.history.get(history_index)?;
        Some(StoredAnswer {
            sequence: call.sequence,
            text: message.content.clone(),
            usage,
            attempts,
        })
    }

    pub(crate) fn owned(&self) -> Owned {
        Owned {
            program: self.id,
            epoch: self.owner.epoch,
            next_sequence: self.next_sequence,
            spec: self.spec.clone(),
            history: self.history.clone(),
            engines: self.engines.iter().copied().collect(),
            created_at_micros: self.created_at.as_micros(),
        }
    }

    /// What anyone may see of the program.
    #[must_use]
    pub fn view(&self) -> ProgramView {
        let uncertain = |call: &&CallRecord| matches!(call.state, CallState::Uncertain { .. });
        ProgramView {
            program: self.id,
            spec: self.spec.clone(),
            status: self.status,
            owner: self.owner.daemon,
            epoch: self.owner.epoch,
            next_sequence: self.next_sequence,
            spent: self.account.spent(),
            reserved: self.account.reserved(),
            history: self.history.clone(),
            uncertain_calls: self
                .calls
                .iter()
                .filter(uncertain)
                .map(|call| call.sequence)
                .collect(),
        }
    }
}

/// What the call has used of its reservation. Only the last attempt can have left a part
/// unused for certain; earlier ones that an engine worked on stay charged in full.
fn used_of_reservation(call: &CallRecord, finish: &FinishCall, refund: RefundRule) -> Charge {
    if refund == RefundRule::Never {
        return call.reservation;
    }
    if finish.class.is_unprocessed() {
        // Retries stay charged, so that a flapping engine cannot be tried for ever.
        return call.reservation.minus(&call.ceiling);
    }
    if finish.class != OutcomeClass::Completed {
        return call.reservation;
    }
    let used_tokens = call
        .input_tokens
        .saturating_add(finish.usage.completion_tokens)
        .min(call.ceiling.tokens);
    let unused_tokens = call.ceiling.tokens - used_tokens;
    let unused = Charge {
        tokens: unused_tokens,
        cost_micros: unused_tokens.saturating_mul(call.cost_per_token_micros),
        ..Charge::default()
    };
    call.reservation.minus(&unused)
}

/// The ceiling of one call: what it can spend at the most.
pub(crate) fn call_ceiling(input_tokens: u64, max_output_tokens: u64, price_micros: u64) -> Charge {
    let tokens = input_tokens.saturating_add(max_output_tokens);
    Charge {
        calls: 1,
        tokens,
        // An unlimited ceiling must not turn a free token into an unlimited price.
        cost_micros: if tokens == UNLIMITED && price_micros == 0 {
            0
        } else {
            tokens.saturating_mul(price_micros)
        },
        retries: 0,
    }
}
