//! The program side of a turn: its budget and the turns that it goes on from.

use crate::admission::UnderWay;
use crate::chain_search::ChainAnswer;
use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, ProgramFields};
use crate::refusal::Refusal;
use crate::{admission, placement, quota};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use luglink_fleet::BackendId;
use luglink_quota::Purpose;
use luglink_scheduling::ShedDecision;
use luglink_turns::{BudgetDecision, ProgramName, TurnId, TurnRecord};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Keeps a program's place among those that are let in apart from the service and the replica
/// that its name chooses: otherwise some of these would lose all their programs first.
const INTAKE_SEED: u64 = 1;

/// A turn that may be sent.
#[derive(Debug)]
pub(crate) struct PreparedTurn {
    /// What it holds of its program's budget, when it has one.
    pub(crate) reservation: Option<Reservation>,
    /// The turns that it goes on from, oldest first.
    pub(crate) chain: Vec<Rc<TurnRecord>>,
    /// The replica that holds the prompt's beginning, or at which the program begins.
    pub(crate) preferred_replica: Option<BackendId>,
    /// Whether it is not its program's first.
    pub(crate) goes_on: bool,
    /// The whole prompt, when it differs from what the caller sent.
    pub(crate) prompt: Option<Bytes>,
    /// Counts its program as under way, where programs are let in by their working set.
    pub(crate) _under_way: Option<UnderWay>,
}

/// Tokens that a turn holds of its program's budget. Dropping it gives back what was not given
/// to the caller.
pub(crate) struct Reservation {
    gateway: Rc<Gateway>,
    program: ProgramName,
    turn: TurnId,
    retention_ms: u64,
    given: Cell<u64>,
    is_settled: Cell<bool>,
    served_by: RefCell<Option<BackendId>>,
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reservation")
            .field("turn", &self.turn)
            .field("given", &self.given)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Notes tokens that go to the caller.
    pub(crate) fn add_delivered(&self, tokens: u64) {
        self.given.set(self.given.get() + tokens);
    }

    /// Tokens that went to the caller.
    pub(crate) fn delivered(&self) -> u64 {
        self.given.get()
    }

    /// Notes the replica that serves the turn. The stores are told with the turn's end, so that
    /// the program's next turn goes there from whichever gateway it reaches.
    pub(crate) fn record_replica(&self, replica: &BackendId) {
        *self.served_by.borrow_mut() = Some(replica.clone());
    }

    /// The stores have the turn's end already.
    pub(crate) fn mark_settled(&self) {
        self.is_settled.set(true);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.is_settled.get() {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        let turn = self.turn.clone();
        let (given, retention_ms) = (self.given.get(), self.retention_ms);
        let served_by = self.served_by.take();
        actix_rt::spawn(async move {
            let settling = gateway
                .turns
                .settle(&program, &turn, given, retention_ms, served_by);
            settling.await;
        });
    }
}

/// What the stores say of a turn.
struct Reserved {
    reservation: Option<Reservation>,
    chain: Option<ChainAnswer>,
    /// The replica that served the program's last turn.
    served_by: Option<BackendId>,
    purpose: Purpose,
}

impl Reserved {
    /// Of a turn that needs nothing of the stores.
    fn nothing(program: &ProgramFields) -> Self {
        Self {
            reservation: None,
            chain: None,
            served_by: None,
            purpose: purpose(program.previous.is_none()),
        }
    }
}

fn purpose(begins: bool) -> Purpose {
    if begins {
        Purpose::Begins
    } else {
        Purpose::Continues
    }
}

/// Reserves a turn's tokens, takes one of its tenant's quota, and finds the turns that it goes on
/// from.
pub(crate) async fn prepare_turn(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<PreparedTurn, Refusal> {
    let Some(program) = &inbound.program else {
        quota::take_token(gateway, inbound, Purpose::Continues).await?;
        return Ok(PreparedTurn {
            reservation: None,
            chain: Vec::new(),
            preferred_replica: None,
            goes_on: false,
            prompt: None,
            _under_way: None,
        });
    };
    let previous = program
        .previous
        .as_ref()
        .filter(|_| inbound.route.keeps_history);
    let known = previous.and_then(|previous| gateway.turn_cache.borrow().chain(previous));
    let wanted = previous.filter(|_| known.is_none());
    let reserved = if program.budget.is_some() || wanted.is_some() {
        reserve(gateway, inbound, program, wanted).await?
    } else {
        Reserved::nothing(program)
    };
    let chain = match (known, reserved.chain) {
        (Some(chain), _) => chain,
        (None, Some(answer)) => take_chain(gateway, inbound, answer)?,
        (None, None) => Vec::new(),
    };
    let place = match (chain.last(), reserved.purpose) {
        (Some(turn), _) => turn.served_by.clone(),
        (None, Purpose::Begins) => placement::first_place(gateway, inbound).await?,
        (None, Purpose::Continues) => reserved.served_by,
    };
    // Only for a turn that will be sent: one that names no turn or is over its budget takes none.
    quota::take_token(gateway, inbound, reserved.purpose).await?;
    let prompt = match chain.is_empty() {
        true => None,
        false => Some(prompt(&chain, inbound)?),
    };
    Ok(PreparedTurn {
        reservation: reserved.reservation,
        preferred_replica: place,
        goes_on: reserved.purpose == Purpose::Continues,
        chain,
        prompt,
        _under_way: admission::note_turn(gateway, inbound, reserved.purpose),
    })
}

async fn reserve(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    program: &ProgramFields,
    wanted: Option<&TurnId>,
) -> Result<Reserved, Refusal> {
    let turn = inbound.turn();
    let retention_ms = inbound.route.retention_ms;
    let reservation = Reservation {
        gateway: Rc::clone(gateway),
        program: program.name.clone(),
        turn: turn.clone(),
        retention_ms,
        given: Cell::new(0),
        is_settled: Cell::new(false),
        served_by: RefCell::default(),
    };
    let began = Instant::now();
    let beginning =
        gateway
            .turns
            .begin(&program.name, &turn, program.ceiling, retention_ms, wanted);
    let begun = match actix_rt::time::timeout(inbound.remaining(), beginning).await {
        Ok(Ok(begun)) => begun,
        Ok(Err(error)) => {
            tracing::warn!(id = inbound.id, %error, "a turn could not be noted");
            return Err(Refusal::recovering("the turn stores do not answer"));
        }
        Err(_) => {
            return Err(Refusal::recovering(
                "the turn stores did not answer in time",
            ));
        }
    };
    let seconds = began.elapsed().as_secs_f64();
    gateway.metrics.reserve_seconds.observe(seconds);
    let begins = program.previous.is_none() && begun.account.is_begun_by(&turn);
    if begins {
        let_in(gateway, inbound, program)?;
    }
    let reserved = Reserved {
        reservation: Some(reservation),
        chain: begun.chain,
        served_by: begun.served_by,
        purpose: purpose(begins),
    };
    let Some(budget) = program.budget else {
        return Ok(reserved);
    };
    let mut spent = begun.account.total();
    let mut admission = BudgetDecision::after_first_read(spent, program.ceiling, budget);
    if admission == BudgetDecision::ReadAgain {
        let again = gateway.turns.account(&program.name).await;
        let again = again.ok_or(Refusal::recovering("the turn stores do not answer"))?;
        spent = spent.max(again.total());
        admission = BudgetDecision::after_second_read(spent, budget);
    }
    if admission == BudgetDecision::Refuse {
        tracing::info!(
            id = inbound.id,
            program = %program.name,
            spent,
            budget,
            ceiling = program.ceiling,
            "the budget is spent"
        );
        return Err(Refusal::new(
            StatusCode::PAYMENT_REQUIRED,
            "the program's token budget is spent",
        ));
    }
    Ok(reserved)
}

/// Refuses a program that has not begun when the engines have too much to do already.
fn let_in(
    gateway: &Gateway,
    inbound: &InboundRequest,
    program: &ProgramFields,
) -> Result<(), Refusal> {
    let place = xxh3_64_with_seed(program.name.0.as_bytes(), INTAKE_SEED);
    if admission::decides(gateway, inbound) {
        return admission::let_in(gateway, inbound, program, place);
    }
    let mut shedder = gateway.shedder.borrow_mut();
    let intake = shedder.admit(&inbound.route, place, gateway.now());
    let ShedDecision::Refuse {
        retry_delay,
        share,
        late,
    } = intake
    else {
        return Ok(());
    };
    tracing::info!(
        id = inbound.id,
        program = %program.name,
        route = inbound.route.name,
        share,
        late,
        aim_ms = inbound.route.target_latency_ms,
        "a program is not let in"
    );
    Err(Refusal::not_run_retry_after(
        "the engines have too much to do",
        retry_delay,
    ))
}

fn take_chain(
    gateway: &Gateway,
    inbound: &InboundRequest,
    answer: ChainAnswer,
) -> Result<Vec<Rc<TurnRecord>>, Refusal> {
    match answer {
        ChainAnswer::Found(chain) => {
            let mut cache = gateway.turn_cache.borrow_mut();
            for turn in &chain {
                cache.insert(Rc::clone(turn));
            }
            Ok(chain)
        }
        ChainAnswer::Absent => {
            tracing::info!(id = inbound.id, "no store has the previous turn");
            Err(Refusal::new(StatusCode::NOT_FOUND, "no such turn"))
        }
        ChainAnswer::Unknown => {
            tracing::warn!(id = inbound.id, "the previous turn cannot be found now");
            Err(Refusal::recovering("the previous turn cannot be found now"))
        }
    }
}

/// The prompt of a turn: everything before it in its line, then what is new.
fn prompt(chain: &[Rc<TurnRecord>], inbound: &InboundRequest) -> Result<Bytes, Refusal> {
    let history: usize = chain
        .iter()
        .map(|turn| turn.input.len() + turn.output.len())
        .sum();
    let length = history + inbound.body.len();
    let room = inbound.held.add_prompt(length as u64);
    room.map_err(|_| Refusal::memory_exhausted())?;
    let mut prompt = BytesMut::with_capacity(length);
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(&inbound.body);
    Ok(prompt.freeze())
}
