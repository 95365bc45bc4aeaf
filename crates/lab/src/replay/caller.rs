//! Callers: each program's caller does its steps one after the other, and asks again at another
//! daemon when its own is gone.

use crate::caller_policy::{MAX_SENDS, RESEND_PAUSE, ReadRefusal};
use crate::engine::prompt_text;
use crate::observe::{
    CallRecord, Departure, History, LookupRecord, Observer, Outcome, ProgramRecord,
};
use crate::replay::http_client::{self, CallToSend, Sent, StreamedAnswer, code_of};
use crate::replay::plan::{ProgramPlan, ProgramStep};
use crate::trace::{CallEvent, LookupEvent};
use awc::Client;
use luglink_engine_api::Problem;
use luglink_types::{Executed, ProgramId, RefusalCode, Timestamp, TokenUsage};
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time in which a parent must have been created.
const PARENT_LIMIT: Duration = Duration::from_secs(60);

/// What all callers share.
pub(crate) struct CallerContext {
    pub(crate) client: Client,
    pub(crate) observer: Observer,
    pub(crate) started: Instant,
    pub(crate) tools: SocketAddr,
    pub(crate) daemons: BTreeMap<String, Vec<SocketAddr>>,
    pub(crate) created: RefCell<BTreeMap<String, Result<String, ()>>>,
    /// Daemons that are being stopped as planned.
    pub(crate) stopping: RefCell<BTreeSet<SocketAddr>>,
    /// Tells this run's keys from those of other runs.
    pub(crate) run: String,
}

impl CallerContext {
    pub(crate) fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    fn at(&self, instant: Instant) -> Timestamp {
        Timestamp::ZERO.plus(instant.saturating_duration_since(self.started))
    }

    fn daemons_of(&self, zone: &str) -> Vec<SocketAddr> {
        let known = self.daemons.get(zone);
        let any = self.daemons.values().next();
        known.or(any).cloned().unwrap_or_default()
    }

    pub(crate) async fn wait_until(&self, at_ms: u64) {
        let due = self.started + Duration::from_millis(at_ms);
        actix_rt::time::sleep_until(due.into()).await;
    }
}

/// A problem as the caller's rules read it.
fn read(problem: &Problem) -> ReadRefusal {
    ReadRefusal {
        code: code_of(problem),
        executed: problem.executed,
        retry_after: problem.retry_after_ms.map(Duration::from_millis),
    }
}

/// Does everything that one program's caller does.
pub(crate) async fn run_program(context: Rc<CallerContext>, plan: ProgramPlan) {
    let event = &plan.program;
    context.wait_until(event.at_ms).await;
    let mut record = ProgramRecord {
        name: event.program.clone(),
        parent: event.parent.clone(),
        class: event.class.clone(),
        tenant: event.tenant.clone(),
        id: None,
        budget: event.budget.clone(),
        created_at: context.now(),
        tool_time: Duration::ZERO,
        end_sent_at: None,
        left_at: None,
        refused: None,
        final_view: None,
    };
    let created = create(&context, &plan).await;
    let id = match created {
        Ok(id) => id,
        Err(code) => {
            context
                .created
                .borrow_mut()
                .insert(event.program.clone(), Err(()));
            record.refused = code;
            refuse_all_calls(&context, &plan, code);
            context
                .observer
                .note(|history| history.programs.push(record));
            return;
        }
    };
    context
        .created
        .borrow_mut()
        .insert(event.program.clone(), Ok(id.clone()));
    record.id = id.parse::<ProgramId>().ok();
    for step in &plan.steps {
        match step {
            ProgramStep::Call(call) => {
                pause(&context, &mut record, call.after_ms).await;
                run_call(&context, &plan, &id, call).await;
            }
            ProgramStep::End(after_ms) => {
                pause(&context, &mut record, *after_ms).await;
                record.end_sent_at = Some(context.now());
                end(&context, &plan, &id).await;
                record.left_at = Some((context.now(), Departure::Ended));
            }
            ProgramStep::Abandon(after_ms) => {
                pause(&context, &mut record, *after_ms).await;
                record.left_at = Some((context.now(), Departure::Abandoned));
                break;
            }
        }
    }
    record
        .left_at
        .get_or_insert((context.now(), Departure::Abandoned));
    context
        .observer
        .note(|history| history.programs.push(record));
}

async fn pause(context: &CallerContext, record: &mut ProgramRecord, milliseconds: u64) {
    if milliseconds == 0 {
        return;
    }
    let before = Instant::now();
    http_client::run_tool(&context.client, context.tools, milliseconds).await;
    record.tool_time += before.elapsed();
}

async fn create(
    context: &CallerContext,
    plan: &ProgramPlan,
) -> Result<String, Option<RefusalCode>> {
    let event = &plan.program;
    let parent = match &event.parent {
        Some(parent) => Some(wait_for_parent(context, parent).await?),
        None => None,
    };
    let body = json!({
        "tenant": event.tenant,
        "class": event.class,
        "model": event.model,
        "priority": event.priority,
        "budget": event.budget,
        "parent": parent,
    });
    let key = format!("{}-{}", context.run, event.program);
    let daemons = context.daemons_of(&event.zone);
    let mut last = None;
    for daemon in daemons.iter().cycle().take(MAX_SENDS) {
        match http_client::create_program(&context.client, *daemon, &key, &body).await {
            Sent::Answered(id) => return Ok(id),
            Sent::Refused(problem) => {
                last = code_of(&problem);
                let read = read(&problem);
                if !read.is_worth_asking_again(true) {
                    return Err(last);
                }
                actix_rt::time::sleep(read.wait()).await;
            }
            Sent::Broken | Sent::NotConnected => actix_rt::time::sleep(RESEND_PAUSE).await,
        }
    }
    Err(last)
}

async fn wait_for_parent(
    context: &CallerContext,
    parent: &str,
) -> Result<String, Option<RefusalCode>> {
    let since = Instant::now();
    while since.elapsed() < PARENT_LIMIT {
        let known = context.created.borrow().get(parent).cloned();
        match known {
            Some(Ok(id)) => return Ok(id),
            Some(Err(())) => return Err(Some(RefusalCode::UnknownProgram)),
            None => actix_rt::time::sleep(Duration::from_millis(20)).await,
        }
    }
    Err(None)
}

/// Calls of a program that could not be created were refused with it.
fn refuse_all_calls(context: &CallerContext, plan: &ProgramPlan, code: Option<RefusalCode>) {
    let now = context.now();
    for step in &plan.steps {
        let ProgramStep::Call(call) = step else {
            continue;
        };
        let outcome = code.map_or(Outcome::Unknown { code: None }, |code| Outcome::Refused {
            code,
        });
        context
            .observer
            .note(|history| history.calls.push(CallRecord::of(call, now, now, outcome)));
    }
}

async fn run_call(context: &CallerContext, plan: &ProgramPlan, id: &str, call: &CallEvent) {
    let sent_at = context.now();
    let text = prompt_text(&call.request, call.input_tokens, call.output_tokens);
    let to_send = CallToSend {
        program: id,
        key: &call.request,
        text: &text,
        max_tokens: call.output_tokens,
        repeatable: call.repeatable,
    };
    let mut last = Outcome::Unknown { code: None };
    let mut answer: Option<StreamedAnswer> = None;
    let mut during_planned_stop = false;
    let mut doubt = false;
    let daemons = context.daemons_of(&plan.program.zone);
    let mut sends = 0;
    for daemon in daemons.iter().cycle().take(MAX_SENDS) {
        sends += 1;
        let sent = http_client::call(&context.client, *daemon, &to_send).await;
        during_planned_stop |= context.stopping.borrow().contains(daemon);
        match sent {
            Sent::Answered(answered) => {
                last = Outcome::Completed {
                    text: answered.text.clone(),
                    usage: answered.usage,
                };
                answer = Some(answered);
                break;
            }
            Sent::Refused(problem) => {
                let read = read(&problem);
                last = read.outcome(doubt);
                if !read.is_worth_asking_again(call.repeatable) {
                    break;
                }
                doubt |= read.executed != Executed::No;
                actix_rt::time::sleep(read.wait()).await;
            }
            Sent::NotConnected => {
                last = Outcome::Unknown { code: None };
                actix_rt::time::sleep(RESEND_PAUSE).await;
            }
            Sent::Broken => {
                if context.stopping.borrow().contains(daemon) {
                    let request = call.request.clone();
                    let note = |history: &mut History| history.cut_by_stop.push(request);
                    context.observer.note(note);
                }
                doubt = true;
                last = Outcome::Unknown { code: None };
                actix_rt::time::sleep(RESEND_PAUSE).await;
            }
        }
    }
    let mut record = CallRecord::of(call, sent_at, context.now(), last);
    record.sends = sends;
    record.during_planned_stop = during_planned_stop;
    if let Some(answer) = answer {
        record.first_token_at = answer.first_part_at.map(|at| context.at(at));
        record.token_gaps = answer.gaps;
    }
    context.observer.note(|history| history.calls.push(record));
}

async fn end(context: &CallerContext, plan: &ProgramPlan, id: &str) {
    let daemons = context.daemons_of(&plan.program.zone);
    for daemon in daemons.iter().cycle().take(MAX_SENDS) {
        match http_client::end_program(&context.client, *daemon, id).await {
            Sent::Answered(()) => return,
            Sent::Refused(problem) => {
                let read = read(&problem);
                if !read.is_worth_asking_again(true) {
                    return;
                }
                actix_rt::time::sleep(read.wait()).await;
            }
            Sent::Broken | Sent::NotConnected => actix_rt::time::sleep(RESEND_PAUSE).await,
        }
    }
}

/// Sends one plain lookup.
pub(crate) async fn run_lookup(context: Rc<CallerContext>, event: LookupEvent) {
    context.wait_until(event.at_ms).await;
    let sent_at = context.now();
    let mut outcome = Outcome::Unknown { code: None };
    let mut doubt = false;
    for daemon in context.daemons_of(&event.zone) {
        let sent = http_client::lookup(
            &context.client,
            daemon,
            &event.service,
            &event.request,
            event.repeatable,
        );
        match sent.await {
            Sent::Answered(text) => {
                outcome = Outcome::Completed {
                    text,
                    usage: TokenUsage::default(),
                };
                break;
            }
            Sent::Refused(problem) => {
                let read = read(&problem);
                outcome = read.outcome(doubt);
                if !read.is_worth_asking_again(event.repeatable) {
                    break;
                }
                doubt |= read.executed != Executed::No;
            }
            // Only what may run twice can be asked elsewhere: the lookup may have run.
            Sent::Broken if !event.repeatable => break,
            Sent::Broken => doubt = true,
            Sent::NotConnected => {}
        }
    }
    let record = LookupRecord {
        request: event.request,
        repeatable: event.repeatable,
        sent_at,
        ended_at: context.now(),
        outcome,
    };
    context
        .observer
        .note(|history| history.lookups.push(record));
}
