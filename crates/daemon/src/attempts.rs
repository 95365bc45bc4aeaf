//! Attempts of calls: routing, dispatch and handling of engine events.

use crate::action::{Action, Answer, ChatDispatch, Dispatch, DispatchBody};
use crate::call::{CallId, CurrentAttempt, Phase};
use crate::daemon::{AttemptOwner, Daemon};
use crate::event::EngineEvent;
use crate::pools::PoolName;
use luglink_routing::{AttemptId, PrefixHasher, RouteRequest};
use luglink_types::{EngineId, ModelName, OutcomeClass, Refusal, RefusalCode};
use std::time::Duration;

/// Factor on the predicted duration. An engine that sends nothing for this long, plus the silence
/// timeout, is considered hung.
const PREDICTED_DURATION_FACTOR: u32 = 3;

/// Upper bound on a predicted duration, in seconds. Longer predictions are cut to it.
const MAX_PREDICTED_SECONDS: f64 = 600.0;

impl Daemon {
    pub(crate) fn pool_of(&self, id: CallId) -> Option<ModelName> {
        let program = self.calls.get(&id)?.program;
        let held = self.programs.get(&program)?.held()?;
        Some(held.spec.model.clone())
    }

    /// Returns the prefix hashes of the prompt: the history, then the call's messages.
    fn prompt_prefix(&self, id: CallId) -> Option<PrefixHasher> {
        let call = self.calls.get(&id)?;
        let held = self.programs.get(&call.program)?.held()?;
        let mut prefix = held.prefix.clone();
        for message in &call.request.messages {
            prefix.push(message);
        }
        Some(prefix)
    }

    /// Chooses an engine that has free capacity.
    pub(crate) fn route_call(&mut self, id: CallId) -> Option<EngineId> {
        let pool = PoolName::Model(self.pool_of(id)?);
        let prefix = self.prompt_prefix(id)?;
        let random = self.random_number();
        let now = self.now;
        self.clear_exclusions_if_all_failed(id, &pool);
        let call = self.calls.get(&id)?;
        let previous = self.programs.get(&call.program)?.held()?.previous_engine;
        let request = RouteRequest {
            blocks: prefix.blocks(),
            prompt_tokens: prefix.tokens(),
            previous,
            excluded: &call.excluded,
        };
        let router = self.pools.router(&pool)?;
        let choice = router.choose(&request, random, now)?;
        let predicted_duration =
            Duration::from_secs_f64(choice.predicted_seconds.clamp(0.0, MAX_PREDICTED_SECONDS));
        if let Some(call) = self.calls.get_mut(&id) {
            call.predicted_duration = predicted_duration;
        }
        Some(choice.engine)
    }

    /// Clears the call's excluded engines if no other engine is usable. Otherwise a call that every
    /// engine has failed would wait for an engine that does not exist.
    fn clear_exclusions_if_all_failed(&mut self, id: CallId, pool: &PoolName) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let others = self
            .pools
            .router(pool)
            .is_some_and(|router| router.has_usable_replica_besides(&call.excluded, now));
        if !others {
            call.excluded.clear();
        }
    }

    /// Registers the attempt at the chosen engine's router, so that its load counts from now on.
    pub(crate) fn reserve_attempt(&mut self, id: CallId, attempt: CurrentAttempt) {
        let Some(prefix) = self.prompt_prefix(id) else {
            return;
        };
        let now = self.now;
        if let Some(router) = self.pools.router_of(attempt.engine) {
            let request = RouteRequest {
                blocks: prefix.blocks(),
                prompt_tokens: prefix.tokens(),
                previous: None,
                excluded: &[],
            };
            router.on_dispatch(attempt.engine, attempt.id, &request, now);
        }
        self.attempts.insert(attempt.id, AttemptOwner::Call(id));
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempt = Some(attempt);
        }
    }

    /// Dispatches the call if its start window is open, delays it if the window has not begun, and
    /// fails the attempt if the window has ended.
    pub(crate) fn dispatch_in_window(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if now < call.window.not_before {
            call.phase = Phase::Delayed;
            return;
        }
        if now > call.window.start_by || self.is_chosen_engine_draining(id) {
            return self.fail_undispatched(id);
        }
        self.dispatch_call(id);
    }

    /// Returns true if the chosen engine has started to drain since it was chosen, which can happen
    /// while the intent is made durable. A draining engine gets no new calls.
    fn is_chosen_engine_draining(&mut self, id: CallId) -> bool {
        let Some(attempt) = self.calls.get(&id).and_then(|call| call.attempt) else {
            return false;
        };
        let router = self.pools.router_of(attempt.engine);
        router.is_some_and(|router| router.is_draining(attempt.engine))
    }

    /// Fails an attempt whose intent is durable but that is not dispatched.
    fn fail_undispatched(&mut self, id: CallId) {
        if let Some(attempt) = self.calls.get(&id).and_then(|call| call.attempt) {
            self.attempts.remove(&attempt.id);
            if let Some(router) = self.pools.router_of(attempt.engine) {
                router.on_cancel(attempt.engine, attempt.id);
            }
        }
        self.on_attempt_failed(id, OutcomeClass::NotDispatched);
    }

    /// Dispatches the call to its engine. The intent must be durable.
    fn dispatch_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(attempt) = call.attempt else {
            return;
        };
        let address = self
            .pools
            .router_of(attempt.engine)
            .and_then(|router| router.address(attempt.engine).map(str::to_owned));
        let Some(address) = address else {
            // The configuration removed the engine while the intent was being recorded.
            return self.fail_undispatched(id);
        };
        let Some(body) = self.chat_dispatch(id) else {
            return;
        };
        let silence = self.config.engine_silence_timeout;
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&id) {
            call.phase = Phase::Running;
            call.attempts += 1;
            call.silence_deadline = now
                .plus(silence)
                .plus(call.predicted_duration * PREDICTED_DURATION_FACTOR);
            call.reset_output();
        }
        self.counters.dispatched += 1;
        self.actions.push(Action::Dispatch(Box::new(Dispatch {
            attempt: attempt.id,
            engine: attempt.engine,
            address,
            body: DispatchBody::Chat(body),
        })));
    }

    fn chat_dispatch(&self, id: CallId) -> Option<ChatDispatch> {
        let call = self.calls.get(&id)?;
        let held = self.programs.get(&call.program)?.held()?;
        let mut messages = held.history.clone();
        messages.extend(call.request.messages.iter().cloned());
        Some(ChatDispatch {
            program: call.program,
            epoch: held.epoch,
            sequence: call.sequence.unwrap_or_default(),
            attempt_number: call.attempt?.number,
            model: held.spec.model.clone(),
            adapter: held.spec.adapter.clone(),
            priority: held.spec.priority,
            messages,
            max_output_tokens: call.max_output_tokens,
            start_by: call.window.start_by,
        })
    }

    pub(crate) fn on_call_event(&mut self, id: CallId, attempt: AttemptId, event: EngineEvent) {
        let current = self.calls.get(&id).and_then(|call| call.attempt);
        let Some(current) = current.filter(|current| current.id == attempt) else {
            return;
        };
        match event {
            EngineEvent::Part(text) => self.on_part(id, current, text),
            EngineEvent::Completed { usage } => {
                self.attempts.remove(&attempt);
                if let Some(router) = self.pools.router_of(current.engine) {
                    router.on_success(current.engine, attempt);
                }
                if let Some(call) = self.calls.get_mut(&id) {
                    call.usage = usage;
                }
                self.record_outcome(id, OutcomeClass::Completed);
            }
            EngineEvent::NotSent => self.fail_attempt(id, current, OutcomeClass::NotDispatched),
            EngineEvent::Rejected => {
                self.fail_attempt(id, current, OutcomeClass::RejectedBeforeProcessing);
            }
            EngineEvent::Retryable => {
                self.fail_attempt(id, current, OutcomeClass::EngineRetryable);
            }
            EngineEvent::Broken => self.fail_attempt(id, current, OutcomeClass::Uncertain),
            // An engine sends no lookup response to a model call.
            EngineEvent::LookupDone { .. } => {
                self.fail_attempt(id, current, OutcomeClass::Uncertain);
            }
        }
    }

    fn on_part(&mut self, id: CallId, current: CurrentAttempt, text: String) {
        if let Some(router) = self.pools.router_of(current.engine) {
            router.on_first_token(current.engine, current.id);
        }
        let silence = self.config.engine_silence_timeout;
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.silence_deadline = now.plus(silence);
        call.text.push_str(&text);
        if call.request.stream {
            call.part_sent = true;
            if let Some(ticket) = call.ticket {
                self.answer(ticket, Answer::Part(text));
            }
        }
    }

    fn fail_attempt(&mut self, id: CallId, current: CurrentAttempt, class: OutcomeClass) {
        self.attempts.remove(&current.id);
        let now = self.now;
        if let Some(router) = self.pools.router_of(current.engine) {
            router.on_failure(current.engine, current.id, now);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.excluded.push(current.engine);
        }
        self.on_attempt_failed(id, class);
    }

    /// Cancels an attempt whose engine has exceeded the silence timeout. The engine may still be
    /// working, so the outcome is uncertain.
    pub(crate) fn on_engine_silent(&mut self, id: CallId) {
        let Some(current) = self.calls.get(&id).and_then(|call| call.attempt) else {
            return;
        };
        self.actions.push(Action::Cancel {
            attempt: current.id,
        });
        self.fail_attempt(id, current, OutcomeClass::Uncertain);
    }

    /// Removes the call's attempt from the router and cancels it if it is running.
    pub(crate) fn cancel_attempt(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.take() else {
            return;
        };
        let running = call.phase == Phase::Running;
        if let Some(router) = self.pools.router_of(attempt.engine) {
            router.on_cancel(attempt.engine, attempt.id);
        }
        let known = self.attempts.remove(&attempt.id).is_some();
        if running && known {
            self.actions.push(Action::Cancel {
                attempt: attempt.id,
            });
        }
    }

    /// Fails a call whose program's deadline has passed: refuses the caller at once and cancels a
    /// running attempt, whose outcome is recorded as uncertain. A call whose intent or outcome is
    /// being recorded is left to the reply.
    pub(crate) fn fail_at_deadline(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let detail = "the program's deadline has passed";
        let not_run = Refusal::not_run(RefusalCode::DeadlineExceeded, detail);
        let uncertain = Refusal::uncertain(RefusalCode::DeadlineExceeded, detail);
        match call.phase {
            // The intent or the outcome is being recorded: the reply decides how the call ends.
            Phase::Beginning | Phase::Finishing => return,
            Phase::Waiting | Phase::Queued => return self.close_refused(id, not_run),
            Phase::Delayed => {
                let refusal = if call.may_have_run {
                    uncertain
                } else {
                    not_run
                };
                call.deadline = luglink_types::Timestamp::MAX;
                let ticket = call.ticket.take();
                if let Some(ticket) = ticket {
                    self.refuse(ticket, refusal);
                }
                return self.fail_undispatched(id);
            }
            Phase::Running | Phase::Retrying => {}
        }
        let ticket = call.ticket.take();
        if let Some(ticket) = ticket {
            self.refuse(ticket, uncertain);
        }
        let attempt = self.calls.get(&id).and_then(|call| call.attempt);
        self.cancel_attempt(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempt = attempt;
            call.deadline = luglink_types::Timestamp::MAX;
        }
        self.record_outcome(id, OutcomeClass::Uncertain);
    }
}
