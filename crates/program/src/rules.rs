//! Rules that a command must keep, and the refusals when it does not.

use crate::call::{CallRecord, CallState};
use crate::command::{BeginCall, CreateProgram, FinishCall, ProgramSpec};
use crate::program::Program;
use luglink_types::{Budget, Charge, Executed, OutcomeClass, ProgramId, Refusal, RefusalCode};

/// A repeated creation must ask for the same program; the zone is the asking daemon's.
pub(crate) fn check_same_spec(existing: &Program, create: &CreateProgram) -> Result<(), Refusal> {
    let asked = ProgramSpec {
        zone: existing.spec.zone.clone(),
        ..create.spec.clone()
    };
    if existing.spec == asked {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::KeyReused,
        format!(
            "program {} exists with another specification",
            create.program
        ),
    ))
}

/// The class ceiling binds the program that makes the call; its parents answer for their own.
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

/// An intent that was overtaken by a later one is a copy that the network kept back: its sender
/// has long had an answer to it and will not look at another.
pub(crate) fn check_intent(program: &Program, begin: &BeginCall) -> Result<(), Refusal> {
    if begin.intent > program.owner.last_intent {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::StaleOwner,
        format!(
            "intent {} comes after intent {}",
            begin.intent, program.owner.last_intent
        ),
    ))
}

pub(crate) fn check_order(program: &Program, begin: &BeginCall) -> Result<(), Refusal> {
    if program.call_in_flight().is_some() {
        return Err(Refusal::not_run(
            RefusalCode::CallInProgress,
            "the program's previous call is still running",
        ));
    }
    match begin.sequence {
        Some(sequence) if sequence != program.next_sequence => Err(Refusal::not_run(
            RefusalCode::OutOfOrder,
            format!(
                "sequence {sequence} is not the program's next, {}",
                program.next_sequence
            ),
        )),
        _ => Ok(()),
    }
}

pub(crate) fn matching_call(
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

/// What another attempt reserves. An attempt that an engine may have worked on is paid for
/// beside the next one.
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

/// The charge of an attempt beyond the first, besides its tokens.
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
        format!("no program {id}, or it is past its retention"),
    )
}

pub(crate) fn unknown_outcome() -> Refusal {
    Refusal::uncertain(
        RefusalCode::OutcomeUnknown,
        "nobody can tell whether the request ran, and it must not run twice",
    )
}
