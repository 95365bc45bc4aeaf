//! Outcomes: what follows a failed attempt, and how the end of a call becomes durable.

use crate::call::{CallId, CurrentAttempt, Phase};
use crate::control_client::Conclusion;
use crate::daemon::{Daemon, Purpose};
use crate::program::ServedProgram;
use crate::programs::program_reply;
use luglink_program::{Command, FinishCall, Reply, RetryCall, StoredAnswer};
use luglink_types::{
    AttemptNumber, ChatMessage, EngineId, OutcomeClass, ProgramId, Refusal, RefusalCode, Role,
    Sequence, TokenUsage,
};

impl Daemon {
    /// Decides what follows a failed attempt. Only classes that are safe to retry lead to
    /// another attempt, within the call's, the program's and the daemon's retry bounds.
    pub(crate) fn on_attempt_failed(&mut self, id: CallId, class: OutcomeClass) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.may_have_run |= !class.is_unprocessed();
        let may_retry =
            class.retry_is_safe() && !call.part_sent && call.attempts < self.config.max_attempts;
        if may_retry
            && self.retry_budget.try_withdraw()
            && let Some(engine) = self.route_call(id)
        {
            return self.record_retry(id, class, engine);
        }
        self.record_outcome(id, class);
    }

    fn record_retry(&mut self, id: CallId, class: OutcomeClass, engine: luglink_types::EngineId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let program = call.program;
        let failed = call
            .attempt
            .map_or(AttemptNumber(0), |attempt| attempt.number);
        let sequence = call.sequence.unwrap_or_default();
        let Some(held) = self.programs.get(&program).and_then(ServedProgram::held) else {
            return;
        };
        let command = Command::Retry(RetryCall {
            program,
            epoch: held.epoch,
            sequence,
            failed,
            class,
            ceiling: self.class_budget(&held.spec),
            engine,
        });
        let attempt = CurrentAttempt {
            id: self.next_attempt_id(),
            number: failed.next(),
            engine,
        };
        self.reserve_attempt(id, attempt);
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Retrying;
        }
        self.counters.retries += 1;
        self.submit_command(program, command, Purpose::Retry { call: id });
    }

    pub(crate) fn on_retry_recorded(&mut self, id: CallId, conclusion: Conclusion) {
        let retrying = self
            .calls
            .get(&id)
            .is_some_and(|call| call.phase == Phase::Retrying);
        if !retrying {
            return;
        }
        match program_reply(conclusion) {
            Ok(Reply::Begun(begun)) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    call.window = begun.window;
                }
                self.dispatch_in_window(id);
            }
            Ok(_) => {}
            Err(refusal) => {
                self.cancel_attempt(id);
                if refusal.code == RefusalCode::ControlUnavailable {
                    // Whether the attempt was recorded is not known, so the call stays open
                    // under this epoch; the next owner will find it uncertain.
                    let program = self.calls.get(&id).map(|call| call.program);
                    self.close_refused(id, unknown_outcome());
                    if let Some(program) = program {
                        self.drop_program(program, &refusal);
                    }
                    return;
                }
                self.close_refused(id, refusal);
            }
        }
    }

    /// Makes the outcome durable; the caller is answered afterwards.
    pub(crate) fn record_outcome(&mut self, id: CallId, class: OutcomeClass) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Finishing;
        let program = call.program;
        let attempt = call
            .attempt
            .map_or(AttemptNumber(0), |attempt| attempt.number);
        let answer = if class == OutcomeClass::Completed {
            call.text.clone()
        } else {
            String::new()
        };
        let usage = call.usage;
        let sequence = call.sequence.unwrap_or_default();
        call.outcome = Some(class);
        let Some(held) = self.programs.get(&program).and_then(ServedProgram::held) else {
            return self.close_refused(id, unknown_outcome());
        };
        let command = Command::Finish(FinishCall {
            program,
            epoch: held.epoch,
            sequence,
            attempt,
            class,
            answer,
            usage,
        });
        self.submit_command(program, command, Purpose::Finish { call: id });
    }

    pub(crate) fn on_finished(&mut self, id: CallId, conclusion: Conclusion) {
        let Some(class) = self.calls.get(&id).and_then(|call| call.outcome) else {
            return;
        };
        match program_reply(conclusion) {
            Ok(Reply::Finished { next_sequence }) => {
                self.on_outcome_durable(id, class, next_sequence)
            }
            Ok(_) => self.close_refused(id, unknown_outcome()),
            Err(refusal) => self.on_outcome_refused(id, class, &refusal),
        }
    }

    fn on_outcome_durable(&mut self, id: CallId, class: OutcomeClass, next_sequence: Sequence) {
        match class {
            OutcomeClass::Completed => self.complete(id, next_sequence),
            OutcomeClass::Uncertain => {
                let rerun = self.calls.get(&id).is_some_and(|call| {
                    call.request.repeatable
                        && !call.part_sent
                        && call.ticket.is_some()
                        && call.attempts < self.config.max_attempts
                });
                if rerun && self.retry_budget.try_withdraw() {
                    return self.run_again(id, next_sequence);
                }
                self.set_next_sequence(id, next_sequence);
                self.close_refused(id, unknown_outcome());
            }
            OutcomeClass::NotDispatched
            | OutcomeClass::RejectedBeforeProcessing
            | OutcomeClass::EngineRetryable => {
                let refusal = engine_failed(class);
                self.close_refused(id, refusal);
            }
        }
    }

    fn on_outcome_refused(&mut self, id: CallId, class: OutcomeClass, refusal: &Refusal) {
        let program = self.calls.get(&id).map(|call| call.program);
        let answer = if class.is_unprocessed() {
            engine_failed(class)
        } else if refusal.code == RefusalCode::StaleOwner {
            Refusal::uncertain(RefusalCode::StaleOwner, refusal.detail.clone())
        } else {
            unknown_outcome()
        };
        self.close_refused(id, answer);
        // What this daemon holds of the program is no longer what the group holds.
        if let Some(program) = program {
            self.drop_program(program, refusal);
        }
    }

    fn complete(&mut self, id: CallId, next_sequence: Sequence) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let text = std::mem::take(&mut call.text);
        let usage = call.usage;
        let program = call.program;
        let engine = call.attempt.map(|attempt| attempt.engine);
        let attempts = call.attempt.map_or(1, |attempt| attempt.number.0 + 1);
        let sequence = call.sequence.unwrap_or_default();
        let messages = call.request.messages.clone();
        self.counters.cached_tokens += usage.cached_tokens;
        self.counters.prompt_tokens += usage.prompt_tokens;
        let held = self
            .programs
            .get_mut(&program)
            .and_then(ServedProgram::held_mut);
        if let Some(held) = held {
            held.append(messages);
            held.append([ChatMessage {
                role: Role::Assistant,
                content: text.clone(),
            }]);
            held.next_sequence = next_sequence;
            held.previous_engine = engine;
            held.attained_tokens += usage.prompt_tokens
                - usage.cached_tokens.min(usage.prompt_tokens)
                + usage.completion_tokens;
        }
        self.note_cached_turn(program, engine);
        self.close_answered(
            id,
            StoredAnswer {
                sequence,
                text,
                usage,
                attempts,
            },
        );
    }

    /// The engine keeps the turn's blocks; its own event comes late or never.
    fn note_cached_turn(&mut self, program: ProgramId, engine: Option<EngineId>) {
        let held = self.programs.get(&program).and_then(ServedProgram::held);
        let (Some(held), Some(engine)) = (held, engine) else {
            return;
        };
        if let Some(router) = self.pools.router_of(engine) {
            router.on_blocks_stored(engine, held.prefix.blocks());
        }
    }

    /// The caller allowed the call to run twice, and the first run is on record as uncertain:
    /// the intent is sent again under the same key.
    fn run_again(&mut self, id: CallId, next_sequence: Sequence) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reset_output();
        call.outcome = None;
        call.attempt = None;
        call.usage = TokenUsage::default();
        self.set_next_sequence(id, next_sequence);
        self.counters.retries += 1;
        self.requeue(id);
    }

    fn set_next_sequence(&mut self, id: CallId, next_sequence: Sequence) {
        let Some(program) = self.calls.get(&id).map(|call| call.program) else {
            return;
        };
        let served = self.programs.get_mut(&program);
        if let Some(held) = served.and_then(ServedProgram::held_mut) {
            held.next_sequence = next_sequence;
        }
    }
}

fn engine_failed(class: OutcomeClass) -> Refusal {
    let detail = "the engines failed and no retry is left";
    let refusal = if class.is_unprocessed() {
        Refusal::not_run(RefusalCode::EngineFailed, detail)
    } else {
        Refusal::uncertain(RefusalCode::EngineFailed, detail)
    };
    refusal.retry_after(std::time::Duration::from_secs(1))
}

fn unknown_outcome() -> Refusal {
    Refusal::uncertain(
        RefusalCode::OutcomeUnknown,
        "nobody can tell whether the request ran; the program keeps its place",
    )
}
