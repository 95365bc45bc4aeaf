//! State of one program and the transitions of its calls.

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

/// Status of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramStatus {
    /// The program may make calls.
    Active,
    /// The program has ended.
    Ended {
        /// Reason for the end.
        reason: EndReason,
        /// Time of the end, in the group's time.
        at: Timestamp,
    },
}

/// Ownership of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerLease {
    /// Daemon that serves the program.
    pub daemon: DaemonId,
    /// Epoch of the owner, incremented by every take-over.
    pub epoch: Epoch,
    /// Claim under which the daemon owns the program.
    pub claim: Claim,
    /// Number of the owner's latest intent.
    pub last_intent: u64,
    /// Time of the owner's latest claim, new intent, outcome or lease renewal.
    pub renewed_at: Timestamp,
}

/// Replicated state of one program.
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
    pub(crate) last_active_at: Timestamp,
    /// Time until which an attempt with an uncertain outcome may still start at an engine.
    pub(crate) earliest_next_start: Timestamp,
    /// Superseded claims, most recent last.
    pub(crate) superseded_claims: VecDeque<Claim>,
}

/// Maximum number of superseded claims that are remembered. A duplicate of a request that is
/// older than this many take-overs has outlived every timeout of its sender.
const MAX_SUPERSEDED_CLAIMS: usize = 8;

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
            last_active_at: at,
            earliest_next_start: Timestamp::ZERO,
            superseded_claims: VecDeque::new(),
        }
    }

    /// Transfers ownership to the daemon of a new claim.
    pub(crate) fn change_owner(&mut self, daemon: DaemonId, claim: Claim) {
        self.superseded_claims.push_back(self.owner.claim);
        if self.superseded_claims.len() > MAX_SUPERSEDED_CLAIMS {
            self.superseded_claims.pop_front();
        }
        self.owner.daemon = daemon;
        self.owner.claim = claim;
        self.owner.last_intent = 0;
        self.owner.epoch = self.owner.epoch.next();
    }

    /// Returns true if the program may make calls.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.status == ProgramStatus::Active
    }

    /// Budget account of the program.
    #[must_use]
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Messages of the conversation.
    #[must_use]
    pub fn history(&self) -> &[ChatMessage] {
        &self.history
    }

    /// Specification of the program.
    #[must_use]
    pub fn spec(&self) -> &ProgramSpec {
        &self.spec
    }

    /// Current ownership.
    #[must_use]
    pub fn owner(&self) -> OwnerLease {
        self.owner
    }

    /// Calls of the program, ordered by sequence.
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

    /// Returns the reason for which elapsed time ends the program at `at`, if any.
    pub(crate) fn due_end_reason(&self, at: Timestamp, owner_lease: Duration) -> Option<EndReason> {
        if self.call_in_flight().is_some() && at.since(self.owner.renewed_at) < owner_lease {
            return None;
        }
        if self.deadline_passed(&self.spec.budget, at) {
            return Some(EndReason::DeadlinePassed);
        }
        let idle = Duration::from_millis(self.spec.idle_timeout_ms);
        (at.since(self.last_active_at) > idle).then_some(EndReason::Abandoned)
    }

    pub(crate) fn deadline_passed(&self, budget: &Budget, at: Timestamp) -> bool {
        budget
            .deadline()
            .is_some_and(|deadline| at.since(self.created_at) > deadline)
    }

    /// Checks that `epoch` is the epoch of the current owner.
    pub(crate) fn check_epoch(&self, epoch: Epoch) -> Result<(), Refusal> {
        if epoch == self.owner.epoch {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalCode::StaleOwner,
            format!(
                "stale owner of program {}: current epoch is {}, request has {epoch}",
                self.id, self.owner.epoch
            ),
        ))
    }

    /// Marks the call in flight, if any, as uncertain when its owner is replaced, its owner's lease
    /// expires or its program ends. Returns the reservation, which must be charged in full because
    /// the engine may have spent it.
    pub(crate) fn abandon_call_in_flight(&mut self) -> Option<Charge> {
        let call = self.calls.last_mut().filter(|call| call.in_flight())?;
        let CallState::InFlight {
            attempt, window, ..
        } = call.state
        else {
            return None;
        };
        self.earliest_next_start = self.earliest_next_start.max(window.latest_possible_start());
        call.state = CallState::Uncertain { attempt };
        let reservation = std::mem::take(&mut call.reservation);
        self.next_sequence = call.sequence.next();
        Some(reservation)
    }

    /// Moves the messages of the last call into the history if that call is uncertain, so that
    /// they are kept although the answer is unknown. Returns true if the history changed.
    pub(crate) fn append_uncertain_messages(&mut self) -> bool {
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

    /// Applies the outcome of the call in flight. Returns its reservation and the part of it that
    /// was used.
    pub(crate) fn close_call(
        &mut self,
        finish: &FinishCall,
        refund: RefundRule,
    ) -> (Charge, Charge) {
        let Some(mut call) = self.calls.pop() else {
            return (Charge::default(), Charge::default());
        };
        let reservation = call.reservation;
        let used = used_charge(&call, finish, refund);
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
                    self.earliest_next_start =
                        self.earliest_next_start.max(window.latest_possible_start());
                }
                call.state = CallState::Uncertain {
                    attempt: finish.attempt,
                };
                call.reservation = Charge::default();
                self.next_sequence = call.sequence.next();
                self.calls.push(call);
            }
            // The request did not take effect, so its sequence number and its key can be used
            // again.
            OutcomeClass::NotDispatched
            | OutcomeClass::RejectedBeforeProcessing
            | OutcomeClass::EngineRetryable => {}
        }
        (reservation, used)
    }

    /// Returns the stored answer of a completed call.
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

    /// Returns the public view of the program.
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

/// Computes the part of a call's reservation that was used. Only the last attempt can leave a
/// part that is certainly unused; earlier attempts that an engine may have processed stay charged
/// in full.
fn used_charge(call: &CallRecord, finish: &FinishCall, refund: RefundRule) -> Charge {
    if refund == RefundRule::Never {
        return call.reservation;
    }
    if finish.class.is_unprocessed() {
        // Retries stay charged, so that a flapping engine cannot be retried without limit.
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

/// Computes the maximum charge of one call.
pub(crate) fn call_ceiling(input_tokens: u64, max_output_tokens: u64, price_micros: u64) -> Charge {
    let tokens = input_tokens.saturating_add(max_output_tokens);
    Charge {
        calls: 1,
        tokens,
        // If tokens are free, an unlimited number of them must not result in an unlimited cost.
        cost_micros: if tokens == UNLIMITED && price_micros == 0 {
            0
        } else {
            tokens.saturating_mul(price_micros)
        },
        retries: 0,
    }
}
