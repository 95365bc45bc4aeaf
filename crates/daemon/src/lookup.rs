//! Lookups: plain requests to services, without program or history. After a failure, a lookup is
//! retried at another replica if it may run twice or has certainly not run.

use crate::action::{Action, Answer, Dispatch, DispatchBody, LookupDispatch};
use crate::caller::{LookupRequest, TicketId};
use crate::daemon::{AttemptOwner, Daemon};
use crate::event::EngineEvent;
use crate::pools::PoolName;
use luglink_routing::{AttemptId, RouteRequest};
use luglink_types::{EngineId, Refusal, RefusalCode, Timestamp};
use std::time::Duration;

/// Number of a lookup, unique in its daemon's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LookupId(pub(crate) u64);

/// State of a lookup that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct ActiveLookup {
    ticket: TicketId,
    request: LookupRequest,
    attempt: AttemptId,
    engine: EngineId,
    attempts: u32,
    excluded: Vec<EngineId>,
    deadline: Timestamp,
}

impl ActiveLookup {
    /// Postpones the deadline by `extension`.
    pub(crate) fn extend_deadline(&mut self, extension: Duration) {
        self.deadline = self.deadline.plus(extension);
    }
}

/// Time after which a lookup counts as failed.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of lookups in flight at one daemon.
const MAX_LOOKUPS: usize = 4_096;

impl Daemon {
    pub(crate) fn on_lookup(&mut self, ticket: TicketId, request: LookupRequest) {
        if self.refuse_when_not_ready(ticket) {
            return;
        }
        if self.lookups.len() >= MAX_LOOKUPS {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, "too many lookups in flight")
                .retry_after(Duration::from_secs(1));
            return self.refuse(ticket, refusal);
        }
        if self.configuration.service(&request.service).is_none() {
            let refusal = Refusal::not_run(
                RefusalCode::UnknownResource,
                format!("no service `{}` is configured", request.service),
            );
            return self.refuse(ticket, refusal);
        }
        self.counters.lookups += 1;
        self.retry_budget.on_request();
        let lookup = ActiveLookup {
            ticket,
            request,
            attempt: AttemptId::default(),
            engine: EngineId::default(),
            attempts: 0,
            excluded: Vec::new(),
            deadline: self.now.plus(LOOKUP_TIMEOUT),
        };
        self.send_lookup(lookup);
    }

    fn send_lookup(&mut self, mut lookup: ActiveLookup) {
        let name = PoolName::Service(lookup.request.service.clone());
        let random = self.random_number();
        let now = self.now;
        let attempt = self.next_attempt_id();
        let request = RouteRequest {
            blocks: &[],
            prompt_tokens: 0,
            previous: None,
            excluded: &lookup.excluded,
        };
        let router = self.pools.router(&name);
        let choice = router.and_then(|router| {
            let choice = router.choose(&request, random, now)?;
            router.on_dispatch(choice.engine, attempt, &request, now);
            let address = router.address(choice.engine)?.to_owned();
            Some((choice.engine, address))
        });
        let Some((engine, address)) = choice else {
            let refusal = Refusal::not_run(
                RefusalCode::NoEngine,
                format!(
                    "no replica of service `{}` is usable",
                    lookup.request.service
                ),
            )
            .retry_after(Duration::from_secs(1));
            return self.refuse(lookup.ticket, refusal);
        };
        lookup.attempt = attempt;
        lookup.engine = engine;
        lookup.attempts += 1;
        let id = self.next_lookup_id();
        self.attempts.insert(attempt, AttemptOwner::Lookup(id));
        self.counters.dispatched += 1;
        self.actions.push(Action::Dispatch(Box::new(Dispatch {
            attempt,
            engine,
            address,
            body: DispatchBody::Lookup(LookupDispatch {
                method: lookup.request.method.clone(),
                path: lookup.request.path.clone(),
                content_type: lookup.request.content_type.clone(),
                body: lookup.request.body.clone(),
            }),
        })));
        self.lookups.insert(id, lookup);
    }

    pub(crate) fn on_lookup_event(&mut self, id: LookupId, attempt: AttemptId, event: EngineEvent) {
        if matches!(event, EngineEvent::Part(_)) {
            return;
        }
        self.attempts.remove(&attempt);
        let Some(lookup) = self.lookups.remove(&id) else {
            return;
        };
        let now = self.now;
        if let EngineEvent::LookupDone {
            status,
            content_type,
            body,
        } = event
        {
            if let Some(router) = self.pools.router_of(lookup.engine) {
                router.on_success(lookup.engine, attempt);
            }
            let answer = Answer::Lookup {
                status,
                content_type,
                body,
            };
            return self.answer(lookup.ticket, answer);
        }
        if let Some(router) = self.pools.router_of(lookup.engine) {
            router.on_failure(lookup.engine, attempt, now);
        }
        let certainly_not_run = matches!(event, EngineEvent::NotSent | EngineEvent::Rejected);
        self.on_lookup_failed(lookup, certainly_not_run);
    }

    fn on_lookup_failed(&mut self, mut lookup: ActiveLookup, certainly_not_run: bool) {
        let may_retry = (certainly_not_run || lookup.request.repeatable)
            && lookup.attempts < self.config.max_attempts;
        if may_retry && self.retry_budget.try_withdraw() {
            self.counters.retries += 1;
            lookup.excluded.push(lookup.engine);
            return self.send_lookup(lookup);
        }
        let detail = format!("request to service `{}` failed", lookup.request.service);
        let refusal = if certainly_not_run {
            Refusal::not_run(RefusalCode::EngineFailed, detail)
        } else {
            Refusal::uncertain(RefusalCode::OutcomeUnknown, detail)
        };
        self.refuse(lookup.ticket, refusal);
    }

    pub(crate) fn expire_lookups(&mut self) {
        let now = self.now;
        let overdue: Vec<LookupId> = self
            .lookups
            .iter()
            .filter(|(_, lookup)| now > lookup.deadline)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(attempt) = self.lookups.get(&id).map(|lookup| lookup.attempt) else {
                continue;
            };
            self.actions.push(Action::Cancel { attempt });
            self.on_lookup_event(id, attempt, EngineEvent::Broken);
        }
    }
}
