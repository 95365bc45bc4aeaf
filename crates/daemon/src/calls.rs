//! Calls before dispatch: acceptance, order within the program, queueing and the intent; and the
//! end of calls: answers, refusals and timeouts.

use crate::action::Answer;
use crate::call::{ActiveCall, CallId, CurrentAttempt, Phase};
use crate::caller::{CallRequest, CallTarget, TicketId};
use crate::control_client::OperationResult;
use crate::daemon::{Daemon, Purpose, control_unavailable};
use crate::program::ServedProgram;
use crate::programs::program_reply;
use crate::queue::QueuedCall;
use luglink_program::{BeginCall, Begun, Command, CreateProgram, EndReason, Reply, StartWindow};
use luglink_types::{
    AttemptNumber, Epoch, Executed, IdempotencyKey, ProgramId, Refusal, RefusalCode, Sequence,
    Timestamp, TokenUsage, count_tokens,
};
use std::time::Duration;

/// Retry delay suggested to callers that are refused as overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Daemon {
    pub(crate) fn on_call(&mut self, ticket: TicketId, request: CallRequest) {
        if self.refuse_when_not_ready(ticket) {
            return;
        }
        if request.messages.is_empty() {
            let refusal =
                Refusal::not_run(RefusalCode::InvalidRequest, "messages must not be empty");
            return self.refuse(ticket, refusal);
        }
        if self.calls.len() >= self.config.max_queued_calls + self.max_running_calls() {
            return self.refuse(ticket, overloaded("calls of this daemon"));
        }
        match request.target.clone() {
            CallTarget::Existing(program) => {
                self.accept(ticket, program, request, false);
                self.ensure_served(program);
            }
            CallTarget::OneShot(defaults) => {
                let spec = match self.resolve_spec(&defaults, None) {
                    Ok(spec) => spec,
                    Err(refusal) => return self.refuse(ticket, refusal),
                };
                if let Some(refusal) = self.admission_refusal(&spec.model) {
                    return self.refuse(ticket, refusal);
                }
                let program = match &request.key {
                    Some(key) => ProgramId::derived(defaults.tenant.as_str(), key.as_str()),
                    None => ProgramId {
                        family: self.random_number(),
                        member: self.random_number(),
                    },
                };
                self.accept(ticket, program, request, true);
                self.create_one_shot(program, spec);
            }
        }
    }

    /// Returns the maximum number of calls past the queue: the capacity of all replicas together.
    fn max_running_calls(&self) -> usize {
        self.config.router.max_requests_per_replica * self.config.subset_size
    }

    fn accept(
        &mut self,
        ticket: TicketId,
        program: ProgramId,
        request: CallRequest,
        one_shot: bool,
    ) {
        self.counters.calls += 1;
        self.retry_budget.on_request();
        let id = self.next_call_id();
        // Every call has a key, so that the control members recognise a repeated intent.
        let nonce = self.random_number();
        let key = request.key.clone().unwrap_or_else(|| {
            IdempotencyKey(format!("~{}-{nonce:x}-{}", self.config.daemon, id.0))
        });
        let input_tokens = request
            .messages
            .iter()
            .map(|message| count_tokens(&message.content))
            .sum();
        let call = ActiveCall {
            program,
            ticket: Some(ticket),
            key,
            input_tokens,
            max_output_tokens: 0,
            arrived_at: self.now,
            deadline: Timestamp::MAX,
            phase: Phase::Waiting,
            window: StartWindow::default(),
            predicted_duration: Duration::ZERO,
            silence_deadline: Timestamp::MAX,
            sequence: request.sequence,
            attempt: None,
            attempts: 0,
            excluded: Vec::new(),
            text: String::new(),
            usage: TokenUsage::default(),
            outcome: None,
            part_sent: false,
            may_have_run: false,
            reacquired: false,
            one_shot,
            request,
        };
        self.calls.insert(id, call);
        let now = self.now;
        let served = self
            .programs
            .entry(program)
            .or_insert_with(|| ServedProgram::acquiring(now));
        served.last_used_at = now;
        if served.waiting.len() >= self.config.max_waiting_per_program {
            return self.close_refused(id, overloaded("calls of this program"));
        }
        served.waiting.push_back(id);
    }

    /// Starts the program's next call, or requests ownership if the program is not owned.
    fn ensure_served(&mut self, program: ProgramId) {
        let Some(served) = self.programs.get(&program) else {
            return;
        };
        if served.held().is_some() {
            return self.start_next_call(program);
        }
        let is_acquiring = self.operations.values().any(|purpose| {
            matches!(purpose, Purpose::Acquire { program: asked }
                | Purpose::CreateOneShot { program: asked } if *asked == program)
        });
        if !is_acquiring {
            self.acquire(program);
        }
    }

    fn create_one_shot(&mut self, program: ProgramId, spec: luglink_program::ProgramSpec) {
        let served = self.programs.get(&program);
        if served.is_none_or(|served| served.held().is_some()) {
            return self.start_next_call(program);
        }
        let command = Command::Create(CreateProgram {
            program,
            spec,
            owner: self.config.daemon,
            claim: self.new_claim(),
        });
        self.submit_command(program, command, Purpose::CreateOneShot { program });
    }

    /// Moves the program's next waiting call into the queue if no other call of it is current.
    pub(crate) fn start_next_call(&mut self, program: ProgramId) {
        let Some(served) = self.programs.get(&program) else {
            return;
        };
        let Some(held) = served.held() else {
            return;
        };
        if served.current.is_some() {
            return;
        }
        let Some(id) = self.next_call_in_sequence(served, held.next_sequence) else {
            return;
        };
        let spec = held.spec.clone();
        let deadline = held.deadline();
        let limit = self
            .class_queue_limit(&spec)
            .min(self.config.max_queued_calls);
        let ceiling = self
            .configuration
            .pool(&spec.model)
            .map(|pool| pool.max_output_tokens);
        if let Some(served) = self.programs.get_mut(&program) {
            served.waiting.retain(|waiting| *waiting != id);
            served.current = Some(id);
        }
        let Some(ceiling) = ceiling else {
            let refusal = Refusal::not_run(
                RefusalCode::UnknownResource,
                format!("model `{}` is no longer configured", spec.model),
            );
            return self.close_refused(id, refusal);
        };
        if self.queue.len() >= limit {
            return self.close_refused(id, overloaded("calls of this class"));
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.deadline = deadline;
            let wanted = call.request.max_output_tokens.unwrap_or(ceiling);
            call.max_output_tokens = wanted.min(ceiling);
        }
        self.requeue(id);
    }

    /// Adds a call to the queue.
    pub(crate) fn requeue(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Queued;
        let program = call.program;
        let Some(held) = self.programs.get(&program).and_then(ServedProgram::held) else {
            return;
        };
        self.queue.push(QueuedCall {
            call: id,
            pool: held.spec.model.clone(),
            priority: held.spec.priority,
            attained_tokens: held.attained_tokens,
            queued_at: self.now,
            aging: self.aging(&held.spec),
        });
    }

    /// Returns the next waiting call in order of arrival. A call that states a later sequence
    /// number is passed over for up to `max_reorder_wait`, so that earlier ones can arrive.
    fn next_call_in_sequence(&self, served: &ServedProgram, next: Sequence) -> Option<CallId> {
        let max_wait = self.config.max_reorder_wait;
        let may_start = |id: &&CallId| {
            self.calls.get(id).is_some_and(|call| {
                let early = call
                    .request
                    .sequence
                    .is_some_and(|sequence| sequence > next);
                !early || self.now.since(call.arrived_at) >= max_wait
            })
        };
        served.waiting.iter().find(may_start).copied()
    }

    /// Starts queued calls, the most urgent first, until the pools have no free capacity.
    pub(crate) fn run_queue(&mut self) {
        if self.queue.len() == 0 {
            return;
        }
        let mut full_pools = Vec::new();
        for queued in self.queue.by_urgency(self.now) {
            if full_pools.contains(&queued.pool) {
                continue;
            }
            if !self.begin_call(queued.call) {
                full_pools.push(queued.pool);
            }
        }
    }

    /// Chooses an engine and sends the intent. Returns false if no engine has free capacity.
    fn begin_call(&mut self, id: CallId) -> bool {
        let Some(engine) = self.route_call(id) else {
            return false;
        };
        self.queue.remove(id);
        let attempt = self.next_attempt_id();
        self.reserve_attempt(
            id,
            CurrentAttempt {
                id: attempt,
                number: AttemptNumber(0),
                engine,
            },
        );
        self.send_begin(id, engine);
        true
    }

    fn send_begin(&mut self, id: CallId, engine: luglink_types::EngineId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Beginning;
        self.last_intent += 1;
        let intent = self.last_intent;
        let program = call.program;
        let Some(held) = self.programs.get(&program).and_then(ServedProgram::held) else {
            return;
        };
        let price = self
            .configuration
            .pool(&held.spec.model)
            .map_or(0, |pool| pool.cost_per_token_micros);
        let command = Command::Begin(BeginCall {
            program,
            epoch: held.epoch,
            intent,
            sequence: call.request.sequence,
            key: Some(call.key.clone()),
            messages: call.request.messages.clone(),
            input_tokens: call.input_tokens,
            max_output_tokens: call.max_output_tokens,
            requested_output_tokens: call.request.max_output_tokens,
            cost_per_token_micros: price,
            repeatable: call.request.repeatable,
            ceiling: self.class_budget(&held.spec),
            engine,
        });
        self.submit_command(program, command, Purpose::Begin { call: id });
    }

    pub(crate) fn on_begun(&mut self, id: CallId, result: OperationResult) {
        if !self.calls.contains_key(&id) {
            return;
        }
        match program_reply(result) {
            Ok(Reply::Begun(begun)) => {
                self.apply_recorded_intent(id, begun);
                self.dispatch_in_window(id);
            }
            Ok(Reply::AlreadyAnswered(answer)) => {
                self.cancel_attempt(id);
                self.close_answered(id, answer);
            }
            Ok(_) => self.on_begin_refused(id, control_unavailable()),
            Err(refusal) => self.on_begin_refused(id, refusal),
        }
    }

    fn apply_recorded_intent(&mut self, id: CallId, begun: Begun) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.sequence = Some(begun.sequence);
        call.window = begun.window;
        if let Some(attempt) = &mut call.attempt {
            attempt.number = begun.attempt;
        }
        let program = call.program;
        let held = self
            .programs
            .get_mut(&program)
            .and_then(ServedProgram::held_mut);
        if let (Some(held), Some(history)) = (held, begun.history) {
            held.replace_history(history);
        }
    }

    fn on_begin_refused(&mut self, id: CallId, refusal: Refusal) {
        self.cancel_attempt(id);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let program = call.program;
        let lost_ownership = matches!(
            refusal.code,
            RefusalCode::StaleOwner | RefusalCode::CallInProgress
        );
        if lost_ownership && !call.reacquired {
            return self.reacquire(id);
        }
        if refusal.code == RefusalCode::ControlUnavailable {
            // Whether the intent was recorded is unknown. The next takeover, under a new epoch,
            // resolves this.
            self.close_refused(id, refusal.clone());
            self.drop_program(program, &refusal);
            return;
        }
        self.close_refused(id, refusal);
    }

    /// Takes the program over under a new epoch and retries the call. This is needed if another
    /// daemon owns the program, or if a forgotten intent of this daemon blocks the call.
    fn reacquire(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.reacquired = true;
        call.phase = Phase::Waiting;
        call.excluded.clear();
        let program = call.program;
        if let Some(served) = self.programs.get_mut(&program) {
            served.current = None;
            served.waiting.push_front(id);
        }
        self.acquire(program);
    }

    /// Requests the stored answers of an ended program for its waiting calls, since a repeated key
    /// still gets its answer.
    pub(crate) fn resolve_calls_of_ended(&mut self, program: ProgramId, refusal: &Refusal) {
        let Some(served) = self.programs.get_mut(&program) else {
            return;
        };
        let waiting: Vec<CallId> = served.waiting.drain(..).collect();
        if waiting.is_empty() {
            self.drop_program(program, refusal);
            return;
        }
        for id in waiting {
            self.request_stored_answer(id);
        }
        self.programs.remove(&program);
    }

    /// Sends an intent for an ended program. It cannot start a run; it can only find a stored answer.
    fn request_stored_answer(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Beginning;
        call.reacquired = true;
        let ceiling = call.request.max_output_tokens.unwrap_or(0);
        let command = Command::Begin(BeginCall {
            program: call.program,
            epoch: Epoch(0),
            intent: 0,
            sequence: call.request.sequence,
            key: Some(call.key.clone()),
            messages: call.request.messages.clone(),
            input_tokens: call.input_tokens,
            max_output_tokens: ceiling,
            requested_output_tokens: call.request.max_output_tokens,
            cost_per_token_micros: 0,
            repeatable: false,
            ceiling: luglink_types::Budget::default(),
            engine: luglink_types::EngineId::default(),
        });
        let program = call.program;
        self.submit_command(program, command, Purpose::Begin { call: id });
    }

    /// Answers a call and starts the program's next one.
    pub(crate) fn close_answered(&mut self, id: CallId, answer: luglink_program::StoredAnswer) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        self.counters.completed += 1;
        if let Some(ticket) = call.ticket {
            self.answer(
                ticket,
                Answer::Completed {
                    program: call.program,
                    answer,
                },
            );
        }
        self.on_call_closed(&call);
    }

    /// Refuses a call and starts the program's next one.
    pub(crate) fn close_refused(&mut self, id: CallId, mut refusal: Refusal) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        if call.may_have_run {
            refusal.executed = Executed::Unknown;
        }
        match call.ticket {
            Some(ticket) => self.refuse(ticket, refusal),
            None => self.counters.refused += 1,
        }
        self.on_call_closed(&call);
    }

    fn remove_call(&mut self, id: CallId) -> Option<ActiveCall> {
        let call = self.calls.remove(&id)?;
        self.queue.remove(id);
        if let Some(served) = self.programs.get_mut(&call.program) {
            served.waiting.retain(|waiting| *waiting != id);
            if served.current == Some(id) {
                served.current = None;
            }
        }
        Some(call)
    }

    fn on_call_closed(&mut self, call: &ActiveCall) {
        let idle = self
            .programs
            .get(&call.program)
            .is_some_and(ServedProgram::is_idle);
        if call.one_shot && idle {
            self.submit_end(call.program, EndReason::Finished, None);
            return;
        }
        self.start_next_call(call.program);
    }

    /// Handles timeouts of calls: deadlines, silent engines and pools without a usable engine. Also
    /// starts calls whose start window has begun or whose reorder wait is over.
    pub(crate) fn expire_calls(&mut self) {
        let now = self.now;
        let overdue: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| now > call.deadline && call.phase != Phase::Finishing)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.fail_at_deadline(id);
        }
        self.dispatch_delayed_calls();
        self.expire_silent_attempts();
        self.refuse_calls_without_engine();
        let waiting: Vec<ProgramId> = self
            .calls
            .values()
            .filter(|call| call.phase == Phase::Waiting)
            .map(|call| call.program)
            .collect();
        for program in waiting {
            self.start_next_call(program);
        }
    }

    /// Dispatches delayed calls whose start window has begun, so that no lost attempt can start
    /// after them.
    fn dispatch_delayed_calls(&mut self) {
        let delayed: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.phase == Phase::Delayed)
            .map(|(id, _)| *id)
            .collect();
        for id in delayed {
            self.dispatch_in_window(id);
        }
    }

    /// Cancels attempts at engines that have been silent for too long, since a hung engine may
    /// never answer. Such an attempt counts as broken.
    fn expire_silent_attempts(&mut self) {
        let now = self.now;
        let silent: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.phase == Phase::Running && now > call.silence_deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.on_engine_silent(id);
        }
    }

    fn refuse_calls_without_engine(&mut self) {
        let now = self.now;
        let max_wait = self.config.max_engine_wait;
        let since = Timestamp::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX)),
        );
        for pool in self.queue.pools() {
            let name = crate::pools::PoolName::Model(pool.clone());
            let usable = self
                .pools
                .router(&name)
                .is_some_and(|router| router.has_usable_replica(now));
            if usable {
                continue;
            }
            for id in self.queue.waiting_since(since) {
                if self.pool_of(id).as_ref() == Some(&pool) {
                    let refusal = Refusal::not_run(
                        RefusalCode::NoEngine,
                        format!("no engine of model `{pool}` is usable"),
                    )
                    .retry_after(Duration::from_secs(2));
                    self.close_refused(id, refusal);
                }
            }
        }
    }
}

fn overloaded(what: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::Overloaded,
        format!("the queue for {what} is full"),
    )
    .retry_after(OVERLOAD_RETRY_AFTER)
}
