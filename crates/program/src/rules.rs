//! Preconditions of commands and the refusals for violations.

use crate::call::{CallRecord, CallState};
use crate::command::{BeginCall, CreateProgram, FinishCall, ProgramSpec};
use crate::program::Program;
use luglink_types::{Budget, Charge, Executed, OutcomeClass, ProgramId, Refusal, RefusalCode};

/// Checks that a repeated creation has the same specification. The zone may differ, because it is
/// that of the requesting daemon.
pub(crate) fn check_same_spec(existing: &Program, create: &CreateProgram) -> Result<(), Refusal> {
    let requested = ProgramSpec {
        zone: existing.spec.zone.clone(),
        ..create.spec.clone()
    };
    if existing.spec == requested {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::KeyReused,
        format!(
            "program {} already exists with a different specification",
            create.program
        ),
    ))
}

/// Returns the budget that applies to `payer` for a call of `caller`. The class ceiling limits the
/// calling program only; its ancestors are limited by their own budgets.
pub(crate) fn effective_budget(payer: &Program, caller: ProgramId, ceiling: &Budget) -> Budget {
    if payer.id == caller {
        payer.spec.budget.intersect(ceiling)
    } else {
        payer.spec.budget.clone()
    }
}

pub(crate) fn check_active(program: &Program) -> Result<(), Refusal> {
    if program.is_active() {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::ProgramEnded,
        format!("program {} has ended", program.id),
    ))
}

/// Checks that an intent is newer than the owner's latest one. An older intent is a duplicate
/// that the network delayed; its sender already has a reply and ignores another.
pub(crate) fn check_intent(program: &Program, begin: &BeginCall) -> Result<(), Refusal> {
    if begin.intent > program.owner.last_intent {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::StaleOwner,
        format!(
            "intent {} is not newer than intent {}",
            begin.intent, program.owner.last_intent
        ),
    ))
}

pub(crate) fn check_order(program: &Program, begin: &BeginCall) -> Result<(), Refusal> {
    if program.call_in_flight().is_some() {
        return Err(Refusal::not_run(
            RefusalCode::CallInProgress,
            "the program's previous call is still in flight",
        ));
    }
    match begin.sequence {
        Some(sequence) if sequence != program.next_sequence => Err(Refusal::not_run(
            RefusalCode::OutOfOrder,
            format!(
                "sequence {sequence} is out of order: the program's next sequence is {}",
                program.next_sequence
            ),
        )),
        _ => Ok(()),
    }
}

pub(crate) fn find_call_in_flight(
    program: &Program,
    sequence: luglink_types::Sequence,
) -> Result<&CallRecord, Refusal> {
    program
        .call_in_flight()
        .filter(|call| call.sequence == sequence)
        .ok_or_else(unknown_outcome)
}

pub(crate) fn already_finished(call: &CallRecord, finish: &FinishCall) -> bool {
    match call.state {
        CallState::Completed { attempts, .. } => {
            finish.class == OutcomeClass::Completed
                && attempts == finish.attempt.0.saturating_add(1)
        }
        CallState::Uncertain { attempt } => {
            finish.class == OutcomeClass::Uncertain && attempt == finish.attempt
        }
        CallState::InFlight { .. } => false,
    }
}

/// Computes the additional reservation for a retry. If an engine may have processed the failed
/// attempt, it stays charged in addition to the next one.
pub(crate) fn retry_charge(call: &CallRecord, failed_as: OutcomeClass) -> Charge {
    if failed_as.is_unprocessed() {
        return ONE_RETRY;
    }
    let attempt = Charge {
        calls: 0,
        ..call.ceiling
    };
    attempt.plus(&ONE_RETRY)
}

/// Charge of each attempt after the first, not including its tokens.
pub(crate) const ONE_RETRY: Charge = Charge {
    calls: 0,
    tokens: 0,
    cost_micros: 0,
    retries: 1,
};

pub(crate) fn executed_after(class: OutcomeClass) -> Executed {
    if class.is_unprocessed() {
        Executed::No
    } else {
        Executed::Unknown
    }
}

pub(crate) fn unknown_program(id: ProgramId) -> Refusal {
    Refusal::not_run(
        RefusalCode::UnknownProgram,
        format!("program {id} does not exist or is past its retention"),
    )
}

pub(crate) fn unknown_outcome() -> Refusal {
    Refusal::uncertain(
        RefusalCode::OutcomeUnknown,
        "it is unknown whether the request ran, and it must not run twice",
    )
}
