//! Callers in the simulator: each program's caller does its steps one after the other, and asks
//! again at another daemon when its own is gone.

use crate::caller_policy::{MAX_SENDS, RESEND_PAUSE, ReadRefusal};
use crate::engine::prompt_text;
use crate::observe::{CallRecord, Departure, Outcome, ProgramRecord};
use crate::replay::{ProgramPlan, ProgramStep};
use crate::sim::message::{Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::world::{Waiter, World};
use crate::trace::CallEvent;
use luglink_daemon::{
    Answer, CallRequest, CallTarget, CreateRequest, Event, ProgramParameters, TicketId,
};
use luglink_types::{
    ChatMessage, IdempotencyKey, ProgramId, Refusal, RefusalCode, Role, Timestamp,
};
use std::time::Duration;

/// Silence after which a caller gives a sending up.
pub(crate) const CALLER_PATIENCE: Duration = Duration::from_secs(12);

/// Time between looks whether a parent has been created.
const PARENT_PAUSE: Duration = Duration::from_millis(20);

/// What a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Nothing,
    WaitingForParent,
    Creating,
    Pausing,
    Calling,
    Ending,
    Done,
}

/// What a caller has seen of its current call.
#[derive(Clone, Debug, Default)]
struct CallProgress {
    sent_at: Timestamp,
    first_token_at: Option<Timestamp>,
    last_token_at: Option<Timestamp>,
    gaps: Vec<Duration>,
    during_planned_stop: bool,
}

/// A program's caller.
#[derive(Debug)]
pub(crate) struct Caller {
    plan: ProgramPlan,
    id: Option<ProgramId>,
    created_at: Timestamp,
    tool_time: Duration,
    end_sent_at: Option<Timestamp>,
    left_at: Option<(Timestamp, Departure)>,
    refused: Option<RefusalCode>,
    next_step: usize,
    doing: Doing,
    generation: u32,
    ticket: Option<TicketId>,
    daemon: usize,
    sends: usize,
    /// An earlier sending of the same request got no answer.
    doubt: bool,
    call: CallProgress,
}

impl Caller {
    pub(crate) fn new(plan: ProgramPlan) -> Self {
        Self {
            plan,
            id: None,
            created_at: Timestamp::ZERO,
            tool_time: Duration::ZERO,
            end_sent_at: None,
            left_at: None,
            refused: None,
            next_step: 0,
            doing: Doing::Nothing,
            generation: 0,
            ticket: None,
            daemon: 0,
            sends: 0,
            doubt: false,
            call: CallProgress::default(),
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.doing == Doing::Done
    }

    /// When the program begins, from the start of the trace.
    pub(crate) fn begins_at(&self) -> Duration {
        Duration::from_millis(self.plan.program.at_ms)
    }

    fn current_call(&self) -> Option<&CallEvent> {
        match self.plan.steps.get(self.next_step) {
            Some(ProgramStep::Call(call)) => Some(call),
            _ => None,
        }
    }
}

impl World {
    /// The daemons that a caller in a zone asks, the nearest first.
    pub(crate) fn daemons_for(&self, zone: usize) -> Vec<usize> {
        let zone_of = |daemon: &usize| self.config.topology.zone_of(*daemon);
        let (near, far): (Vec<usize>, Vec<usize>) =
            (0..self.daemons.len()).partition(|daemon| zone_of(daemon) == zone);
        near.into_iter().chain(far).collect()
    }

    fn caller_zone(&self, caller: usize) -> usize {
        let name = &self.callers[caller].plan.program.zone;
        self.config.topology.zone_named(name).unwrap_or_default()
    }

    /// The request that a ticket belongs to, if it is one for a model or a service.
    pub(crate) fn request_of(&self, ticket: TicketId) -> Option<String> {
        match self.tickets.get(&ticket)? {
            Waiter::Caller(caller) => {
                let caller = &self.callers[*caller];
                let calling = caller.doing == Doing::Calling;
                let call = caller.current_call().filter(|_| calling)?;
                Some(call.request.clone())
            }
            Waiter::Lookup(lookup) => Some(self.lookups[*lookup].event.request.clone()),
        }
    }

    /// Makes the caller wait; whatever it waited for before no longer counts.
    fn caller_waits(&mut self, caller: usize, wait: Duration) {
        let state = &mut self.callers[caller];
        state.generation += 1;
        let generation = state.generation;
        self.schedule_in(wait, SimEvent::Caller { caller, generation });
    }

    pub(crate) fn caller_wakes(&mut self, caller: usize, generation: u32) {
        if self.callers[caller].generation != generation {
            return;
        }
        match self.callers[caller].doing {
            Doing::Nothing | Doing::WaitingForParent => self.begin_program(caller),
            Doing::Pausing => self.do_step(caller),
            Doing::Creating | Doing::Calling | Doing::Ending => self.caller_times_out(caller),
            Doing::Done => {}
        }
    }

    fn begin_program(&mut self, caller: usize) {
        if self.callers[caller].doing == Doing::Nothing {
            self.callers[caller].created_at = self.now;
        }
        let parent = match self.parent_of(caller) {
            ParentState::None => None,
            ParentState::Created(id) => Some(id),
            ParentState::Refused => {
                return self.program_refused(caller, Some(RefusalCode::UnknownProgram));
            }
            ParentState::Waiting => {
                self.callers[caller].doing = Doing::WaitingForParent;
                return self.caller_waits(caller, PARENT_PAUSE);
            }
        };
        self.callers[caller].doing = Doing::Creating;
        self.send_create(caller, parent);
    }

    fn parent_of(&self, caller: usize) -> ParentState {
        let Some(parent) = &self.callers[caller].plan.program.parent else {
            return ParentState::None;
        };
        let found = self
            .callers
            .iter()
            .find(|other| other.plan.program.program == *parent);
        match found {
            None => ParentState::Refused,
            Some(parent) => match (parent.id, parent.doing) {
                (Some(id), _) => ParentState::Created(id),
                (None, Doing::Done) => ParentState::Refused,
                (None, _) => ParentState::Waiting,
            },
        }
    }

    fn send_create(&mut self, caller: usize, parent: Option<ProgramId>) {
        let event = &self.callers[caller].plan.program;
        let request = CreateRequest {
            program: ProgramParameters {
                tenant: event.tenant.as_str().into(),
                class: event.class.as_str().into(),
                model: event.model.as_str().into(),
                adapter: None,
                priority: Some(event.priority),
                budget: event.budget.clone(),
            },
            parent,
            key: Some(IdempotencyKey(format!("run-{}", event.program))),
        };
        self.caller_sends(caller, |ticket| Event::Create { ticket, request });
    }

    /// Sends a request to the daemon whose turn it is.
    fn caller_sends(&mut self, caller: usize, event: impl FnOnce(TicketId) -> Event) {
        let zone = self.caller_zone(caller);
        let daemons = self.daemons_for(zone);
        let ticket = self.new_ticket(Waiter::Caller(caller));
        let state = &mut self.callers[caller];
        let daemon = daemons[state.sends % daemons.len()];
        state.sends += 1;
        state.daemon = daemon;
        state.ticket = Some(ticket);
        let message = Message::CallerRequest {
            event: Box::new(event(ticket)),
        };
        self.send(Node::Callers(zone), Node::Daemon(daemon), message);
        self.caller_waits(caller, CALLER_PATIENCE);
    }

    fn send_again(&mut self, caller: usize) {
        match self.callers[caller].doing {
            Doing::Creating => {
                let parent = match self.parent_of(caller) {
                    ParentState::Created(id) => Some(id),
                    _ => None,
                };
                self.send_create(caller, parent);
            }
            Doing::Calling => self.send_call(caller),
            Doing::Ending => self.send_end(caller),
            _ => {}
        }
    }

    fn send_call(&mut self, caller: usize) {
        let state = &self.callers[caller];
        let (Some(id), Some(call)) = (state.id, state.current_call()) else {
            return;
        };
        let request = CallRequest {
            target: CallTarget::Existing(id),
            sequence: None,
            key: Some(IdempotencyKey(call.request.clone())),
            messages: vec![ChatMessage {
                role: Role::User,
                content: prompt_text(&call.request, call.input_tokens, call.output_tokens),
            }],
            max_output_tokens: Some(call.output_tokens * self.config.ceiling_factor),
            repeatable: call.repeatable,
            stream: true,
        };
        self.caller_sends(caller, |ticket| Event::Call { ticket, request });
    }

    fn send_end(&mut self, caller: usize) {
        if let Some(program) = self.callers[caller].id {
            self.caller_sends(caller, |ticket| Event::End {
                ticket,
                program,
                abandoned: false,
            });
        }
    }

    /// Nothing was heard for too long, or the pause before another sending is over.
    fn caller_times_out(&mut self, caller: usize) {
        let Some(ticket) = self.callers[caller].ticket.take() else {
            return self.send_again(caller);
        };
        self.tickets.remove(&ticket);
        let zone = self.caller_zone(caller);
        let daemon = self.callers[caller].daemon;
        let message = Message::CallerRequest {
            event: Box::new(Event::CallerGone { ticket }),
        };
        self.send(Node::Callers(zone), Node::Daemon(daemon), message);
        self.caller_unanswered(caller, true);
    }

    /// A sending got no answer: the caller asks the next daemon, or gives up.
    fn caller_unanswered(&mut self, caller: usize, connected: bool) {
        let state = &mut self.callers[caller];
        state.doubt |= connected;
        state.ticket = None;
        if state.sends < MAX_SENDS {
            return self.caller_waits(caller, RESEND_PAUSE);
        }
        match state.doing {
            Doing::Creating => self.program_refused(caller, None),
            Doing::Calling => self.end_call(caller, Outcome::Unknown { code: None }),
            _ => self.leave(caller, Departure::Ended),
        }
    }

    pub(crate) fn deliver_to_callers(&mut self, message: Message) {
        let (ticket, answer) = match message {
            Message::CallerAnswer { ticket, answer } => (ticket, Reply::Answer(answer)),
            Message::CallerBroken { ticket, connected } => (ticket, Reply::Broken { connected }),
            _ => return,
        };
        // An answer to a sending that was given up reaches nobody.
        let Some(waiter) = self.tickets.get(&ticket).copied() else {
            return;
        };
        if !matches!(answer, Reply::Answer(Answer::Part(_))) {
            self.tickets.remove(&ticket);
        }
        match waiter {
            Waiter::Caller(caller) => self.caller_is_answered(caller, answer),
            Waiter::Lookup(lookup) => self.lookup_is_answered(lookup, answer),
        }
    }

    fn caller_is_answered(&mut self, caller: usize, reply: Reply) {
        self.note_planned_stop(caller);
        let answer = match reply {
            Reply::Answer(answer) => answer,
            Reply::Broken { connected } => return self.caller_unanswered(caller, connected),
        };
        match (self.callers[caller].doing, answer) {
            (Doing::Creating, Answer::Created(owned)) => {
                self.callers[caller].id = Some(owned.program);
                self.begin_step(caller);
            }
            (Doing::Calling, Answer::Part(_)) => self.part_arrived(caller),
            (Doing::Calling, Answer::Completed { answer, .. }) => {
                let outcome = Outcome::Completed {
                    text: answer.text,
                    usage: answer.usage,
                };
                self.end_call(caller, outcome);
            }
            (Doing::Ending, Answer::Ended) => self.leave(caller, Departure::Ended),
            (_, Answer::Refused(refusal)) => self.caller_refused(caller, &refusal),
            (_, answer) => self
                .problems
                .push(format!("caller {caller} got a strange answer: {answer:?}")),
        }
    }

    fn note_planned_stop(&mut self, caller: usize) {
        let daemon = self.callers[caller].daemon;
        if self.daemons[daemon].draining {
            self.callers[caller].call.during_planned_stop = true;
        }
    }

    fn part_arrived(&mut self, caller: usize) {
        let now = self.now;
        let call = &mut self.callers[caller].call;
        call.first_token_at.get_or_insert(now);
        if let Some(last) = call.last_token_at.replace(now) {
            call.gaps.push(now.since(last));
        }
        self.caller_waits(caller, CALLER_PATIENCE);
    }

    fn caller_refused(&mut self, caller: usize, refusal: &Refusal) {
        let read = ReadRefusal::from(refusal);
        let state = &mut self.callers[caller];
        let repeatable = match state.doing {
            Doing::Calling => state.current_call().is_some_and(|call| call.repeatable),
            _ => true,
        };
        state.ticket = None;
        let again = read.is_worth_asking_again(repeatable) && state.sends < MAX_SENDS;
        if again {
            state.doubt |= read.executed != luglink_types::Executed::No;
            return self.caller_waits(caller, read.wait());
        }
        match state.doing {
            Doing::Creating => self.program_refused(caller, Some(refusal.code)),
            Doing::Calling => {
                let outcome = read.outcome(state.doubt);
                self.end_call(caller, outcome);
            }
            _ => self.leave(caller, Departure::Ended),
        }
    }

    /// Takes the next step, after the pause before it.
    fn begin_step(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        state.sends = 0;
        state.doubt = false;
        state.ticket = None;
        let pause = match state.plan.steps.get(state.next_step) {
            Some(ProgramStep::Call(call)) => call.after_ms,
            Some(ProgramStep::End(after) | ProgramStep::Abandon(after)) => *after,
            None => return self.leave(caller, Departure::Abandoned),
        };
        let pause = Duration::from_millis(pause);
        state.tool_time += pause;
        state.doing = Doing::Pausing;
        self.caller_waits(caller, pause);
    }

    fn do_step(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        match &state.plan.steps[state.next_step] {
            ProgramStep::Call(_) => {
                state.doing = Doing::Calling;
                state.call = CallProgress {
                    sent_at: self.now,
                    ..CallProgress::default()
                };
                self.send_call(caller);
            }
            ProgramStep::End(_) => {
                state.doing = Doing::Ending;
                state.end_sent_at = Some(self.now);
                self.send_end(caller);
            }
            ProgramStep::Abandon(_) => self.leave(caller, Departure::Abandoned),
        }
    }

    fn end_call(&mut self, caller: usize, outcome: Outcome) {
        let state = &mut self.callers[caller];
        let progress = std::mem::take(&mut state.call);
        let Some(call) = state.current_call() else {
            return;
        };
        let record = CallRecord {
            sends: state.sends,
            first_token_at: progress.first_token_at,
            token_gaps: progress.gaps,
            during_planned_stop: progress.during_planned_stop,
            ..CallRecord::of(call, progress.sent_at, self.now, outcome)
        };
        state.next_step += 1;
        self.history.calls.push(record);
        self.begin_step(caller);
    }

    /// Calls of a program that could not be created were refused with it.
    fn program_refused(&mut self, caller: usize, code: Option<RefusalCode>) {
        let state = &mut self.callers[caller];
        state.refused = code;
        let calls: Vec<CallEvent> = state
            .plan
            .steps
            .iter()
            .filter_map(|step| match step {
                ProgramStep::Call(call) => Some(call.clone()),
                _ => None,
            })
            .collect();
        let now = self.now;
        for call in calls {
            let outcome = match code {
                Some(code) => Outcome::Refused { code },
                None => Outcome::Unknown { code: None },
            };
            let record = CallRecord {
                sends: 0,
                ..CallRecord::of(&call, now, now, outcome)
            };
            self.history.calls.push(record);
        }
        self.finish_caller(caller);
    }

    fn leave(&mut self, caller: usize, departure: Departure) {
        self.callers[caller].left_at = Some((self.now, departure));
        self.finish_caller(caller);
    }

    fn finish_caller(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        state.doing = Doing::Done;
        state.generation += 1;
        let event = &state.plan.program;
        self.history.programs.push(ProgramRecord {
            name: event.program.clone(),
            parent: event.parent.clone(),
            class: event.class.clone(),
            tenant: event.tenant.clone(),
            id: state.id,
            budget: event.budget.clone(),
            created_at: state.created_at,
            tool_time: state.tool_time,
            end_sent_at: state.end_sent_at,
            left_at: state.left_at,
            refused: state.refused,
            final_view: None,
        });
    }
}

/// What comes back on a caller's connection.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// An answer of the daemon.
    Answer(Answer),
    /// The connection is gone. One that was never made leaves no doubt that nothing ran.
    Broken { connected: bool },
}

/// What is known of a caller's parent program.
enum ParentState {
    None,
    Created(ProgramId),
    Waiting,
    Refused,
}
