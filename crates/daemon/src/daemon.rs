//! State of the daemon, dispatch of events, and timers.

use crate::action::{Action, Answer};
use crate::call::{ActiveCall, CallId};
use crate::caller::TicketId;
use crate::config::{DaemonConfig, DaemonConfigError};
use crate::control_client::{ControlClient, OperationId, OperationResult};
use crate::event::{EngineEvent, Event};
use crate::lookup::{ActiveLookup, LookupId};
use crate::pools::Pools;
use crate::program::ServedProgram;
use crate::queue::CallQueue;
use crate::retry_budget::RetryBudget;
use luglink_control::{Request, Response};
use luglink_program::Command;
use luglink_resources::ConfigurationView;
use luglink_routing::AttemptId;
use luglink_types::{GroupId, MemberId, ProgramId, Refusal, RefusalCode, Revision, Timestamp};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Purpose of an operation at the control members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Creates a caller's program.
    Create { ticket: TicketId },
    /// Creates a program of one call.
    CreateOneShot { program: ProgramId },
    /// Takes ownership of a program.
    Acquire { program: ProgramId },
    /// Reads the state of a program for a caller.
    View { ticket: TicketId },
    /// Ends a program; without a ticket, no caller waits.
    End {
        ticket: Option<TicketId>,
        program: ProgramId,
    },
    /// Records the intent of a call.
    Begin { call: CallId },
    /// Records another attempt of a call.
    Retry { call: CallId },
    /// Records the outcome of a call.
    Finish { call: CallId },
    /// The result is ignored.
    Background,
    /// Waits for a new configuration.
    Watch,
}

/// The call or lookup that an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOwner {
    Call(CallId),
    Lookup(LookupId),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounters {
    /// Calls accepted.
    pub calls: u64,
    /// Calls answered in full.
    pub completed: u64,
    /// Requests refused.
    pub refused: u64,
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Claims sent to take the ownership of a program.
    pub acquired: u64,
    /// Plain lookups accepted.
    pub lookups: u64,
    /// Prompt tokens found in the engines' caches.
    pub cached_tokens: u64,
    /// Prompt tokens of completed calls.
    pub prompt_tokens: u64,
}

impl DaemonCounters {
    /// Returns the sums of two processes' counters.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            completed: self.completed + other.completed,
            refused: self.refused + other.refused,
            dispatched: self.dispatched + other.dispatched,
            retries: self.retries + other.retries,
            acquired: self.acquired + other.acquired,
            lookups: self.lookups + other.lookups,
            cached_tokens: self.cached_tokens + other.cached_tokens,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
        }
    }
}

/// State machine of a daemon.
#[derive(Debug)]
pub struct Daemon {
    pub(crate) config: DaemonConfig,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: Timestamp,
    pub(crate) configuration: ConfigurationView,
    pub(crate) control: ControlClient,
    pub(crate) operations: BTreeMap<OperationId, Purpose>,
    pub(crate) pools: Pools,
    pub(crate) programs: BTreeMap<ProgramId, ServedProgram>,
    pub(crate) calls: BTreeMap<CallId, ActiveCall>,
    pub(crate) lookups: BTreeMap<LookupId, ActiveLookup>,
    pub(crate) attempts: BTreeMap<AttemptId, AttemptOwner>,
    pub(crate) queue: CallQueue,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) counters: DaemonCounters,
    pub(crate) actions: Vec<Action>,
    last_call: CallId,
    last_attempt: AttemptId,
    last_lookup: LookupId,
    pub(crate) last_intent: u64,
    watch_member: usize,
    watch_due: Option<Timestamp>,
    last_watch_failed: bool,
    renew_due: Timestamp,
    last_tick_at: Timestamp,
    draining: bool,
    drained: bool,
}

/// Timeout of a watch: the time a control member may hold it, plus a margin for the network.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Timeout of a watch that the control member must answer at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay before a failed watch is sent to another member.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Retry delay suggested to callers of a daemon that is starting or stopping.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time by which a running process overruns [`Daemon::next_deadline`]. A longer overrun
/// means that the process was suspended.
const MAX_TICK_LATENESS: Duration = Duration::from_millis(500);

/// Longest time between two checks of queues and deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Daemon {
    /// Creates a daemon without a configuration. Its first action is to request one from the
    /// control members.
    ///
    /// # Errors
    /// Returns an error if `config` violates a rule.
    pub fn new(config: DaemonConfig, seed: u64, now: Timestamp) -> Result<Self, DaemonConfigError> {
        config.validate()?;
        let control = ControlClient::new(config.members.clone(), config.control_attempt_timeout);
        Ok(Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            configuration: ConfigurationView::default(),
            control,
            operations: BTreeMap::new(),
            pools: Pools::new(
                config.router.clone(),
                config.daemon,
                config.zone.clone(),
                config.subset_size,
            ),
            programs: BTreeMap::new(),
            calls: BTreeMap::new(),
            lookups: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: CallQueue::default(),
            retry_budget: RetryBudget::new(config.retry_ratio, config.retry_reserve),
            counters: DaemonCounters::default(),
            actions: Vec::new(),
            last_call: CallId::default(),
            last_attempt: AttemptId::default(),
            last_lookup: LookupId::default(),
            last_intent: 0,
            // Daemons are spread over the members, so that no single member serves all watches.
            watch_member: config.daemon.0 as usize % config.members.len(),
            watch_due: Some(now),
            last_watch_failed: false,
            renew_due: now.plus(config.renew_interval),
            last_tick_at: now,
            draining: false,
            drained: false,
            config,
        })
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let lateness = now.since(self.next_deadline());
        self.now = self.now.max(now);
        if lateness > MAX_TICK_LATENESS {
            self.extend_timeouts_after_pause(lateness);
        }
        self.dispatch_event(event);
        self.run_queue();
        self.report_drained();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let mut due = self.renew_due;
        if let Some(watch) = self.watch_due {
            due = due.min(watch);
        }
        if let Some(control) = self.control.next_deadline() {
            due = due.min(control);
        }
        if !self.calls.is_empty() || !self.lookups.is_empty() || self.draining {
            // Counted from the last tick, so that a steady stream of other events cannot delay it.
            due = due.min(self.last_tick_at.plus(TICK_INTERVAL));
        }
        due
    }

    /// Returns true if the daemon has a configuration and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining && self.configuration.revision() > Revision(0)
    }

    /// Returns the configuration in force at this daemon.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationView {
        &self.configuration
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> DaemonCounters {
        self.counters
    }

    /// Returns the number of calls that wait for an engine.
    #[must_use]
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of calls accepted and not yet answered.
    #[must_use]
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of programs that this daemon owns or is acquiring.
    #[must_use]
    pub fn held_programs(&self) -> usize {
        self.programs.len()
    }

    /// Returns the engines whose events this daemon must receive.
    #[must_use]
    pub fn engine_replicas(&self) -> Vec<luglink_routing::ReplicaInfo> {
        self.pools.engine_replicas()
    }

    fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::Create { ticket, request } => self.on_create(ticket, request),
            Event::Call { ticket, request } => self.on_call(ticket, request),
            Event::View { ticket, program } => self.on_view(ticket, program),
            Event::End {
                ticket,
                program,
                abandoned,
            } => self.on_end(ticket, program, abandoned),
            Event::Lookup { ticket, request } => self.on_lookup(ticket, request),
            Event::CallerGone { ticket } => self.on_caller_gone(ticket),
            Event::Control {
                operation,
                response,
            } => self.on_control(operation, *response),
            Event::MemberUnreachable { member } => self.control.on_unreachable(member, self.now),
            Event::Engine { attempt, event } => self.on_engine(attempt, event),
            Event::Load { engine, report } => self.pools.on_report(engine, report, self.now),
            Event::Cache {
                engine,
                stored,
                removed,
                restarted,
            } => self.pools.on_cache(engine, &stored, &removed, restarted),
            Event::Leaving { engines } => self.pools.set_leaving(&engines),
            Event::Drain => self.draining = true,
            Event::Tick => self.on_tick(),
        }
    }

    /// Extends all timeouts by the time that this process was suspended. Messages that arrived
    /// meanwhile are still unread, so the silence of engines and control members proves nothing.
    fn extend_timeouts_after_pause(&mut self, pause: Duration) {
        for call in self.calls.values_mut() {
            call.silence_deadline = call.silence_deadline.plus(pause);
        }
        for lookup in self.lookups.values_mut() {
            lookup.extend_deadline(pause);
        }
        self.control.extend_deadlines(pause);
    }

    fn on_tick(&mut self) {
        self.last_tick_at = self.now;
        let expired = self.control.tick(self.now, &mut self.actions);
        for operation in expired {
            if let Some(purpose) = self.operations.remove(&operation) {
                self.complete_operation(purpose, OperationResult::TimedOut);
            }
        }
        if self.watch_due.is_some_and(|due| self.now >= due) {
            self.watch_configuration();
        }
        if self.now >= self.renew_due {
            self.renew_due = self.now.plus(self.config.renew_interval);
            self.renew_leases();
            self.trim_history_cache();
        }
        self.expire_calls();
        self.expire_lookups();
    }

    fn on_control(&mut self, operation: OperationId, response: Response) {
        let result = self
            .control
            .on_response(operation, response, self.now, &mut self.actions);
        if let Some(result) = result
            && let Some(purpose) = self.operations.remove(&operation)
        {
            self.complete_operation(purpose, result);
        }
    }

    fn complete_operation(&mut self, purpose: Purpose, result: OperationResult) {
        match purpose {
            Purpose::Create { ticket } => self.on_created(ticket, result),
            Purpose::CreateOneShot { program } | Purpose::Acquire { program } => {
                self.on_acquired(program, result);
            }
            Purpose::View { ticket } => self.on_viewed(ticket, result),
            Purpose::End { ticket, program } => self.on_ended(ticket, program, result),
            Purpose::Begin { call } => self.on_begun(call, result),
            Purpose::Retry { call } => self.on_retry_recorded(call, result),
            Purpose::Finish { call } => self.on_finished(call, result),
            Purpose::Background => {}
            Purpose::Watch => self.on_watch(result),
        }
    }

    fn on_engine(&mut self, attempt: AttemptId, event: EngineEvent) {
        match self.attempts.get(&attempt) {
            Some(AttemptOwner::Call(call)) => self.on_call_event(*call, attempt, event),
            Some(AttemptOwner::Lookup(lookup)) => self.on_lookup_event(*lookup, attempt, event),
            // Late event of an abandoned attempt: it must not affect any other call.
            None => {}
        }
    }

    fn on_caller_gone(&mut self, ticket: TicketId) {
        for call in self.calls.values_mut() {
            if call.ticket == Some(ticket) {
                call.ticket = None;
            }
        }
    }

    /// Submits a program command to the program's group.
    pub(crate) fn submit_command(
        &mut self,
        program: ProgramId,
        command: Command,
        purpose: Purpose,
    ) {
        let timeout = self.config.control_timeout;
        self.submit(
            program.group(self.config.program_groups),
            Request::Program(command),
            timeout,
            purpose,
        );
    }

    pub(crate) fn submit(
        &mut self,
        group: GroupId,
        request: Request,
        timeout: Duration,
        purpose: Purpose,
    ) {
        let operation = self
            .control
            .submit(group, request, timeout, self.now, &mut self.actions);
        self.operations.insert(operation, purpose);
    }

    /// Sends a watch for a newer configuration to one member; see [`Daemon::on_watch`]. After a
    /// failed watch, the next member must answer at once. Otherwise the daemon could spend the time
    /// within which a change must be in force on waiting for members that do not
    /// answer.
    fn watch_configuration(&mut self) {
        self.watch_due = None;
        let member = self.config.members[self.watch_member];
        let known = self.configuration.revision();
        let hold = !self.last_watch_failed;
        let timeout = if hold { WATCH_TIMEOUT } else { PROBE_TIMEOUT };
        let operation = self.control.submit_to(
            luglink_control::CONFIGURATION_GROUP,
            member,
            Request::WatchConfiguration { known, hold },
            timeout,
            timeout,
            self.now,
            &mut self.actions,
        );
        self.operations.insert(operation, Purpose::Watch);
    }

    fn on_watch(&mut self, result: OperationResult) {
        let OperationResult::Answered(response) = result else {
            self.last_watch_failed = true;
            self.watch_member = (self.watch_member + 1) % self.config.members.len();
            self.watch_due = Some(self.now.plus(WATCH_RETRY_DELAY));
            return;
        };
        self.last_watch_failed = false;
        if let Response::Configuration(catch_up) = *response
            && self.configuration.advance(catch_up)
        {
            self.pools.configure(&self.configuration);
        }
        self.watch_due = Some(self.now);
        self.watch_configuration();
    }

    /// Renews the leases of programs with calls in flight, so that the control members do not
    /// consider these calls lost.
    fn renew_leases(&mut self) {
        let mut by_group: BTreeMap<GroupId, Vec<(ProgramId, luglink_types::Epoch)>> =
            BTreeMap::new();
        let busy: BTreeSet<ProgramId> = self.calls.values().map(|call| call.program).collect();
        for program in busy {
            let held = self.programs.get(&program).and_then(ServedProgram::held);
            if let Some(held) = held {
                let group = program.group(self.config.program_groups);
                by_group
                    .entry(group)
                    .or_default()
                    .push((program, held.epoch));
            }
        }
        for (group, programs) in by_group {
            let command = Command::Renew(luglink_program::RenewLease { programs });
            let timeout = self.config.renew_interval;
            self.submit(
                group,
                Request::Program(command),
                timeout,
                Purpose::Background,
            );
        }
    }

    fn report_drained(&mut self) {
        let busy = !self.calls.is_empty() || !self.lookups.is_empty() || self.has_waiting_callers();
        if self.draining && !self.drained && !busy {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }

    fn has_waiting_callers(&self) -> bool {
        self.operations.values().any(|purpose| {
            matches!(
                purpose,
                Purpose::Create { .. }
                    | Purpose::View { .. }
                    | Purpose::End {
                        ticket: Some(_),
                        ..
                    }
            )
        })
    }

    /// Refuses a request if the daemon is stopping, or has no configuration yet and so does not
    /// know which resources exist. Returns true if the request is refused.
    pub(crate) fn refuse_when_not_ready(&mut self, ticket: TicketId) -> bool {
        if self.is_ready() {
            return false;
        }
        let refusal = if self.draining {
            Refusal::not_run(RefusalCode::Draining, "this daemon is stopping")
        } else {
            Refusal::not_run(
                RefusalCode::ControlUnavailable,
                "this daemon has no configuration yet",
            )
        };
        self.refuse(ticket, refusal.retry_after(NOT_READY_RETRY_AFTER));
        true
    }

    pub(crate) fn answer(&mut self, ticket: TicketId, answer: Answer) {
        self.actions.push(Action::Answer { ticket, answer });
    }

    pub(crate) fn refuse(&mut self, ticket: TicketId, refusal: Refusal) {
        self.counters.refused += 1;
        self.answer(ticket, Answer::Refused(refusal));
    }

    pub(crate) fn next_call_id(&mut self) -> CallId {
        self.last_call.0 += 1;
        self.last_call
    }

    pub(crate) fn next_attempt_id(&mut self) -> AttemptId {
        self.last_attempt.0 += 1;
        self.last_attempt
    }

    pub(crate) fn next_lookup_id(&mut self) -> LookupId {
        self.last_lookup.0 += 1;
        self.last_lookup
    }

    pub(crate) fn random_number(&mut self) -> u64 {
        self.random.next_u64()
    }

    /// Returns the control members known to this daemon.
    #[must_use]
    pub fn members(&self) -> &[MemberId] {
        &self.config.members
    }
}

/// Refusal for a request that no control member answered before anything was dispatched.
pub(crate) fn control_unavailable() -> Refusal {
    Refusal::not_run(
        RefusalCode::ControlUnavailable,
        "no control member answered in time",
    )
    .retry_after(Duration::from_secs(1))
}
