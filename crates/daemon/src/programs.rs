//! Creation, ownership, views and ends of programs.

use crate::action::Answer;
use crate::call::{CallId, Phase};
use crate::caller::{CreateRequest, TicketId};
use crate::control_client::OperationResult;
use crate::daemon::{Daemon, Purpose, control_unavailable};
use crate::program::{HeldProgram, Ownership, ServedProgram};
use luglink_control::{Request, Response};
use luglink_program::{Claim, Command, CreateProgram, EndProgram, EndReason, Reply, TakeOver};
use luglink_types::{ModelName, ProgramId, Refusal, RefusalCode, Timestamp};
use std::time::Duration;

impl Daemon {
    pub(crate) fn on_create(&mut self, ticket: TicketId, request: CreateRequest) {
        if self.refuse_when_not_ready(ticket) {
            return;
        }
        let spec = match self.resolve_spec(&request.program, request.parent) {
            Ok(spec) => spec,
            Err(refusal) => return self.refuse(ticket, refusal),
        };
        // A sub-program belongs to a program that has been admitted already.
        if request.parent.is_none()
            && let Some(refusal) = self.admission_refusal(&spec.model)
        {
            return self.refuse(ticket, refusal);
        }
        let program = self.new_program_id(&request);
        let command = Command::Create(CreateProgram {
            program,
            spec,
            owner: self.config.daemon,
            claim: self.new_claim(),
        });
        self.submit_command(program, command, Purpose::Create { ticket });
    }

    /// Returns a refusal if the pool's oldest queued call has waited longer than
    /// `admission_wait_limit`: another program would only delay all of them. The refusal comes
    /// before anything runs and carries a retry delay. Active programs continue.
    pub(crate) fn admission_refusal(&self, pool: &ModelName) -> Option<Refusal> {
        let since = self.queue.oldest_queued_at(pool)?;
        (self.now.since(since) > self.config.admission_wait_limit).then(|| {
            let detail = format!("calls of model `{pool}` wait too long to admit new programs");
            Refusal::not_run(RefusalCode::Overloaded, detail).retry_after(ADMISSION_RETRY_AFTER)
        })
    }

    /// Returns the identifier of a new program. A key yields the same identifier at every daemon; a
    /// sub-program belongs to the family of its root.
    fn new_program_id(&mut self, request: &CreateRequest) -> ProgramId {
        let tenant = request.program.tenant.as_str();
        let mut program = match &request.key {
            Some(key) => ProgramId::derived(tenant, key.as_str()),
            None => ProgramId {
                family: self.random_number(),
                member: self.random_number(),
            },
        };
        if let Some(parent) = request.parent {
            program.family = parent.family;
        }
        program
    }

    pub(crate) fn on_created(&mut self, ticket: TicketId, result: OperationResult) {
        match program_reply(result) {
            Ok(Reply::Owned(owned)) => {
                let program = owned.program;
                let served = self
                    .programs
                    .entry(program)
                    .or_insert_with(|| ServedProgram::acquiring(self.now));
                if served.held().is_none_or(|held| held.epoch != owned.epoch) {
                    served.ownership =
                        Ownership::Held(Box::new(HeldProgram::new((*owned).clone())));
                }
                self.answer(ticket, Answer::Created(owned));
                self.start_next_call(program);
            }
            Ok(_) => self.refuse(ticket, control_unavailable()),
            Err(refusal) => self.refuse(ticket, refusal),
        }
    }

    pub(crate) fn new_claim(&mut self) -> Claim {
        Claim(self.random_number())
    }

    /// Sends a claim to take the ownership of a program.
    pub(crate) fn acquire(&mut self, program: ProgramId) {
        let served = self
            .programs
            .entry(program)
            .or_insert_with(|| ServedProgram::acquiring(self.now));
        served.ownership = Ownership::Acquiring;
        let command = Command::TakeOver(TakeOver {
            program,
            daemon: self.config.daemon,
            claim: self.new_claim(),
        });
        self.counters.acquired += 1;
        self.submit_command(program, command, Purpose::Acquire { program });
    }

    pub(crate) fn on_acquired(&mut self, program: ProgramId, result: OperationResult) {
        match program_reply(result) {
            Ok(Reply::Owned(owned)) => {
                if let Some(served) = self.programs.get_mut(&program) {
                    served.ownership = Ownership::Held(Box::new(HeldProgram::new(*owned)));
                    served.last_used_at = self.now;
                    served.refused_claims = 0;
                }
                self.start_next_call(program);
            }
            Ok(_) => self.drop_program(program, &control_unavailable()),
            Err(refusal) => {
                // An ended program may still have stored answers for repeated keys. The program
                // group decides this for each call.
                match refusal.code {
                    RefusalCode::ProgramEnded => self.resolve_calls_of_ended(program, &refusal),
                    RefusalCode::StaleOwner if self.may_claim_again(program) => {
                        self.acquire(program);
                    }
                    _ => self.drop_program(program, &refusal),
                }
            }
        }
    }

    /// Returns true if a refused claim may be repeated. Another daemon's claim came between this
    /// claim and its reply, but the calls that wait here are newer. [`MAX_REFUSED_CLAIMS`] limits
    /// the repetitions.
    fn may_claim_again(&mut self, program: ProgramId) -> bool {
        let Some(served) = self.programs.get_mut(&program) else {
            return false;
        };
        served.refused_claims += 1;
        !served.waiting.is_empty() && served.refused_claims <= MAX_REFUSED_CLAIMS
    }

    /// Removes a program and refuses its current and waiting calls.
    pub(crate) fn drop_program(&mut self, program: ProgramId, refusal: &Refusal) {
        let Some(served) = self.programs.remove(&program) else {
            return;
        };
        let calls: Vec<CallId> = served.current.into_iter().chain(served.waiting).collect();
        for call in calls {
            self.cancel_call(call, refusal);
        }
    }

    /// Cancels a call without recording an outcome. Later events of its attempt are ignored.
    fn cancel_call(&mut self, id: CallId, refusal: &Refusal) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let dispatched = matches!(
            call.phase,
            Phase::Running | Phase::Retrying | Phase::Finishing
        );
        let refusal = if dispatched {
            Refusal::uncertain(refusal.code, refusal.detail.clone())
        } else {
            refusal.clone()
        };
        self.cancel_attempt(id);
        self.close_refused(id, refusal);
    }

    pub(crate) fn on_view(&mut self, ticket: TicketId, program: ProgramId) {
        let group = program.group(self.config.program_groups);
        let timeout = self.config.control_timeout;
        let purpose = Purpose::View { ticket };
        self.submit(group, Request::View(program), timeout, purpose);
    }

    pub(crate) fn on_viewed(&mut self, ticket: TicketId, result: OperationResult) {
        let OperationResult::Answered(response) = result else {
            return self.refuse(ticket, control_unavailable());
        };
        match *response {
            Response::View(Some(view)) => self.answer(ticket, Answer::View(view)),
            Response::View(None) => {
                let refusal = Refusal::not_run(
                    RefusalCode::UnknownProgram,
                    "the program does not exist or is past its retention",
                );
                self.refuse(ticket, refusal);
            }
            _ => self.refuse(ticket, control_unavailable()),
        }
    }

    pub(crate) fn on_end(&mut self, ticket: TicketId, program: ProgramId, abandoned: bool) {
        let reason = if abandoned {
            EndReason::Abandoned
        } else {
            EndReason::Finished
        };
        self.submit_end(program, reason, Some(ticket));
    }

    pub(crate) fn submit_end(
        &mut self,
        program: ProgramId,
        reason: EndReason,
        ticket: Option<TicketId>,
    ) {
        let command = Command::End(EndProgram { program, reason });
        self.submit_command(program, command, Purpose::End { ticket, program });
    }

    pub(crate) fn on_ended(
        &mut self,
        ticket: Option<TicketId>,
        program: ProgramId,
        result: OperationResult,
    ) {
        match program_reply(result) {
            Ok(Reply::Done) => {
                let refusal =
                    Refusal::not_run(RefusalCode::ProgramEnded, "the program has been ended");
                self.drop_program(program, &refusal);
                if let Some(ticket) = ticket {
                    self.answer(ticket, Answer::Ended);
                }
            }
            Ok(_) => {
                if let Some(ticket) = ticket {
                    self.refuse(ticket, control_unavailable());
                }
            }
            Err(refusal) => {
                if let Some(ticket) = ticket {
                    self.refuse(ticket, refusal);
                }
            }
        }
    }

    /// Removes the least recently used idle programs until the history cache is within its limits.
    /// The next call of such a program takes it over again under a new epoch, which returns the
    /// history.
    pub(crate) fn trim_history_cache(&mut self) {
        let mut idle: Vec<(Timestamp, ProgramId, usize)> = self
            .programs
            .iter()
            .filter(|(_, served)| served.is_idle())
            .filter_map(|(id, served)| {
                let held = served.held()?;
                Some((served.last_used_at, *id, held.history_bytes))
            })
            .collect();
        let mut bytes: usize = idle.iter().map(|(_, _, size)| size).sum();
        let mut excess = idle.len().saturating_sub(MAX_IDLE_PROGRAMS);
        idle.sort_unstable();
        for (_, program, size) in idle {
            if bytes <= self.config.history_cache_bytes && excess == 0 {
                break;
            }
            bytes -= size;
            excess = excess.saturating_sub(1);
            self.programs.remove(&program);
        }
    }
}

/// Retry delay suggested to callers whose program is not admitted.
const ADMISSION_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of refused claims to one program that are repeated.
const MAX_REFUSED_CLAIMS: u32 = 3;

/// Maximum number of idle programs that are kept, whatever the size of their history.
const MAX_IDLE_PROGRAMS: usize = 20_000;

/// Returns the reply of a program group, or the refusal for the caller.
pub(crate) fn program_reply(result: OperationResult) -> Result<Reply, Refusal> {
    let OperationResult::Answered(response) = result else {
        return Err(control_unavailable());
    };
    match *response {
        Response::Program(Reply::Refused(refusal)) => Err(refusal),
        Response::Program(reply) => Ok(reply),
        _ => Err(control_unavailable()),
    }
}
