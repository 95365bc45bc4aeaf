//! Callers of the plain service in the simulator.

use crate::caller_policy::{RESEND_PAUSE, ReadRefusal};
use crate::observe::{LookupRecord, Outcome};
use crate::sim::callers::{CALLER_PATIENCE, Reply};
use crate::sim::message::{Message, SimEvent};
use crate::sim::node::Node;
use crate::sim::services::LOOKUP_PATH;
use crate::sim::world::{Waiter, World};
use crate::trace::LookupEvent;
use luglink_daemon::{Answer, Event, LookupRequest, TicketId};
use luglink_types::{Timestamp, TokenUsage};
use std::time::Duration;

/// A lookup and how far it is.
#[derive(Debug)]
pub(crate) struct LookupCaller {
    pub(crate) event: LookupEvent,
    sent_at: Timestamp,
    sends: usize,
    ticket: Option<TicketId>,
    generation: u32,
    doubt: bool,
    done: bool,
}

impl LookupCaller {
    pub(crate) fn new(event: LookupEvent) -> Self {
        Self {
            event,
            sent_at: Timestamp::ZERO,
            sends: 0,
            ticket: None,
            generation: 0,
            doubt: false,
            done: false,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// When it is sent, from the start of the trace.
    pub(crate) fn begins_at(&self) -> Duration {
        Duration::from_millis(self.event.at_ms)
    }
}

impl World {
    pub(crate) fn lookup_waits(&mut self, lookup: usize, wait: Duration) {
        let state = &mut self.lookups[lookup];
        state.generation += 1;
        let generation = state.generation;
        self.schedule_in(wait, SimEvent::Lookup { lookup, generation });
    }

    pub(crate) fn lookup_wakes(&mut self, lookup: usize, generation: u32) {
        let state = &mut self.lookups[lookup];
        if state.generation != generation || state.done {
            return;
        }
        match state.ticket.take() {
            None => self.send_lookup(lookup),
            Some(ticket) => {
                self.tickets.remove(&ticket);
                self.lookup_unanswered(lookup, true);
            }
        }
    }

    fn send_lookup(&mut self, lookup: usize) {
        let event = &self.lookups[lookup].event;
        let zone = self.config.topology.zone_named(&event.zone).unwrap_or(0);
        let request = LookupRequest {
            service: event.service.as_str().into(),
            method: "GET".to_owned(),
            path: format!("{LOOKUP_PATH}{}", event.request),
            content_type: None,
            body: Vec::new(),
            repeatable: event.repeatable,
        };
        let daemons = self.daemons_for(zone);
        let ticket = self.new_ticket(Waiter::Lookup(lookup));
        let now = self.now;
        let state = &mut self.lookups[lookup];
        if state.sends == 0 {
            state.sent_at = now;
        }
        let daemon = daemons[state.sends % daemons.len()];
        state.sends += 1;
        state.ticket = Some(ticket);
        let message = Message::CallerRequest {
            event: Box::new(Event::Lookup { ticket, request }),
        };
        self.send(Node::Callers(zone), Node::Daemon(daemon), message);
        self.lookup_waits(lookup, CALLER_PATIENCE);
    }

    /// Only what may run twice can be asked elsewhere: the lookup may have run.
    fn lookup_unanswered(&mut self, lookup: usize, connected: bool) {
        let daemons = self.daemons.len();
        let state = &mut self.lookups[lookup];
        state.doubt |= connected;
        let may_ask_again = state.event.repeatable || !state.doubt;
        if may_ask_again && state.sends < daemons {
            return self.lookup_waits(lookup, RESEND_PAUSE);
        }
        self.end_lookup(lookup, Outcome::Unknown { code: None });
    }

    pub(crate) fn lookup_is_answered(&mut self, lookup: usize, reply: Reply) {
        self.lookups[lookup].ticket = None;
        match reply {
            Reply::Broken { connected } => self.lookup_unanswered(lookup, connected),
            Reply::Answer(Answer::Lookup { body, .. }) => {
                let outcome = Outcome::Completed {
                    text: String::from_utf8_lossy(&body).into_owned(),
                    usage: TokenUsage::default(),
                };
                self.end_lookup(lookup, outcome);
            }
            Reply::Answer(Answer::Refused(refusal)) => {
                let read = ReadRefusal::from(&refusal);
                let daemons = self.daemons.len();
                let state = &mut self.lookups[lookup];
                let again = read.is_worth_asking_again(state.event.repeatable);
                if again && state.sends < daemons {
                    state.doubt |= read.executed != luglink_types::Executed::No;
                    return self.lookup_waits(lookup, read.wait());
                }
                let outcome = read.outcome(state.doubt);
                self.end_lookup(lookup, outcome);
            }
            Reply::Answer(answer) => self
                .problems
                .push(format!("lookup {lookup} got a strange answer: {answer:?}")),
        }
    }

    fn end_lookup(&mut self, lookup: usize, outcome: Outcome) {
        let state = &mut self.lookups[lookup];
        state.done = true;
        self.history.lookups.push(LookupRecord {
            request: state.event.request.clone(),
            repeatable: state.event.repeatable,
            sent_at: state.sent_at,
            ended_at: self.now,
            outcome,
        });
    }
}
