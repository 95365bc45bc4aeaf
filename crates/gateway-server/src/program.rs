//! Preparation of a turn: reserves its budget, admits and places new programs, and loads the turns
//! it continues.

use crate::admission::TurnGuard;
use crate::chain_search::ChainLookup;
use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, ProgramFields};
use crate::refusal::Refusal;
use crate::request_steps::RequestStep;
use crate::{admission, placement, quota};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use luglink_fleet::BackendId;
use luglink_quota::Purpose;
use luglink_scheduling::ShedDecision;
use luglink_turns::{Account, BudgetDecision, ProgramName, TurnId, TurnRecord};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash that ranks programs for admission. It makes this hash independent of the one
/// that chooses the service and the replica. Otherwise, all programs of some services and replicas
/// would be refused before any of the others.
const ADMISSION_SEED: u64 = 1;

/// A turn that has been admitted and may be sent.
#[derive(Debug)]
pub(crate) struct PreparedTurn {
    /// Tokens reserved from the program's budget; `None` if the turn stores were not involved.
    pub(crate) reservation: Option<Reservation>,
    /// Ancestors of the turn, oldest first.
    pub(crate) chain: Vec<Rc<TurnRecord>>,
    /// Replica that holds the prompt's prefix in cache, or at which the program starts.
    pub(crate) preferred_replica: Option<BackendId>,
    /// True if the turn is not the first of its program.
    pub(crate) is_continuation: bool,
    /// The whole prompt, if it differs from what the caller sent.
    pub(crate) prompt: Option<Bytes>,
    /// Counts the program as running, where programs are admitted by working set.
    pub(crate) _guard: Option<TurnGuard>,
}

/// Tokens reserved for a turn from its program's budget. Dropping the reservation settles the
/// turn, which releases the tokens that were not delivered to the caller.
pub(crate) struct Reservation {
    gateway: Rc<Gateway>,
    program: ProgramName,
    turn: TurnId,
    retention_ms: u64,
    /// Account of the program as of the reservation, which it includes.
    account: Account,
    delivered: Cell<u64>,
    is_settled: Cell<bool>,
    served_by: RefCell<Option<BackendId>>,
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reservation")
            .field("turn", &self.turn)
            .field("delivered", &self.delivered)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Adds tokens that are delivered to the caller.
    pub(crate) fn add_delivered(&self, tokens: u64) {
        self.delivered.set(self.delivered.get() + tokens);
    }

    /// Returns the number of tokens delivered to the caller.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivered.get()
    }

    /// Records the replica that serves the turn. It is sent to the stores when the turn is settled,
    /// so that any gateway sends the program's next turn to the same replica.
    pub(crate) fn record_replica(&self, replica: &BackendId) {
        *self.served_by.borrow_mut() = Some(replica.clone());
    }

    /// Returns the program's account as of the reservation.
    pub(crate) fn account(&self) -> &Account {
        &self.account
    }

    /// Marks the turn as already settled in the stores.
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
        let (delivered, retention_ms) = (self.delivered.get(), self.retention_ms);
        let served_by = self.served_by.take();
        let account = std::mem::take(&mut self.account);
        actix_rt::spawn(async move {
            let turns = &gateway.turns;
            let settling = turns.settle(
                &program,
                &turn,
                delivered,
                retention_ms,
                served_by,
                &account,
            );
            settling.await;
        });
    }
}

/// State of a turn after the turn stores were consulted.
struct ReservedTurn {
    reservation: Option<Reservation>,
    chain: Option<ChainLookup>,
    /// Replica that served the program's latest turn.
    served_by: Option<BackendId>,
    purpose: Purpose,
}

impl ReservedTurn {
    /// Returns the state of a turn that does not involve the stores.
    fn without_stores(program: &ProgramFields) -> Self {
        Self {
            reservation: None,
            chain: None,
            served_by: None,
            purpose: purpose_of(program.previous.is_none()),
        }
    }
}

fn purpose_of(is_first_turn: bool) -> Purpose {
    if is_first_turn {
        Purpose::Begins
    } else {
        Purpose::Continues
    }
}

/// Prepares a turn: reserves its tokens, loads its ancestors, chooses a replica, and takes a token
/// from its tenant's quota.
///
/// A turn that resumes a stream stays at the software version of the stream, so no replica is
/// chosen for it here.
pub(crate) async fn prepare_turn(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    resumes_stream: bool,
) -> Result<PreparedTurn, Refusal> {
    let Some(program) = &inbound.program else {
        quota::take_token(gateway, inbound, Purpose::Continues).await?;
        return Ok(PreparedTurn {
            reservation: None,
            chain: Vec::new(),
            preferred_replica: None,
            is_continuation: false,
            prompt: None,
            _guard: None,
        });
    };
    let previous = program
        .previous
        .as_ref()
        .filter(|_| inbound.route.keeps_history);
    let cached_chain = previous.and_then(|previous| gateway.turn_cache.borrow().chain(previous));
    let missing = previous.filter(|_| cached_chain.is_none());
    let reserved = if program.budget.is_some() || missing.is_some() {
        reserve(gateway, inbound, program, missing).await?
    } else {
        ReservedTurn::without_stores(program)
    };
    let chain = match (cached_chain, reserved.chain) {
        (Some(chain), _) => chain,
        (None, Some(lookup)) => resolve_chain(gateway, inbound, lookup)?,
        (None, None) => Vec::new(),
    };
    let preferred_replica = match (chain.last(), reserved.purpose) {
        (Some(turn), _) => turn.served_by.clone(),
        (None, Purpose::Begins) if resumes_stream => None,
        (None, Purpose::Begins) => {
            inbound.watch.steps.enter(RequestStep::Placement);
            placement::choose_first_replica(gateway, inbound).await?
        }
        (None, Purpose::Continues) => reserved.served_by,
    };
    // Taken after the checks above, so that a turn with an unknown ancestor or without budget takes
    // no token.
    quota::take_token(gateway, inbound, reserved.purpose).await?;
    let prompt = match chain.is_empty() {
        true => None,
        false => Some(build_prompt(&chain, inbound)?),
    };
    Ok(PreparedTurn {
        reservation: reserved.reservation,
        preferred_replica,
        is_continuation: reserved.purpose == Purpose::Continues,
        chain,
        prompt,
        _guard: admission::track_turn(gateway, inbound, reserved.purpose),
    })
}

async fn reserve(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    program: &ProgramFields,
    missing: Option<&TurnId>,
) -> Result<ReservedTurn, Refusal> {
    inbound.watch.steps.enter(RequestStep::Reservation);
    let turn = inbound.turn();
    let retention_ms = inbound.record_retention_ms();
    let mut reservation = Reservation {
        gateway: Rc::clone(gateway),
        program: program.name.clone(),
        turn: turn.clone(),
        retention_ms,
        account: Account::default(),
        delivered: Cell::new(0),
        is_settled: Cell::new(false),
        served_by: RefCell::default(),
    };
    let started_at = Instant::now();
    let reserving =
        gateway
            .turns
            .begin(&program.name, &turn, program.ceiling, retention_ms, missing);
    let response = match actix_rt::time::timeout(inbound.remaining(), reserving).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            tracing::warn!(id = inbound.id, %error, "cannot reserve tokens for a turn");
            return Err(Refusal::recovering("the turn stores do not answer"));
        }
        Err(_) => {
            return Err(Refusal::recovering(
                "the turn stores did not answer in time",
            ));
        }
    };
    reservation.account = response.account.clone();
    let seconds = started_at.elapsed().as_secs_f64();
    gateway.metrics.reserve_seconds.observe(seconds);
    let is_first_turn = program.previous.is_none() && response.account.is_first_turn(&turn);
    if is_first_turn {
        admit(gateway, inbound, program)?;
    }
    let reserved = ReservedTurn {
        reservation: Some(reservation),
        chain: response.chain,
        served_by: response.served_by,
        purpose: purpose_of(is_first_turn),
    };
    let Some(budget) = program.budget else {
        return Ok(reserved);
    };
    let mut spent = response.account.total();
    let mut admission = BudgetDecision::after_first_read(spent, program.ceiling, budget);
    if admission == BudgetDecision::ReadAgain {
        let account = gateway.turns.account(&program.name).await;
        let account = account.ok_or(Refusal::recovering("the turn stores do not answer"))?;
        spent = spent.max(account.total());
        admission = BudgetDecision::after_second_read(spent, budget);
    }
    if admission == BudgetDecision::Refuse {
        tracing::info!(
            id = inbound.id,
            program = %program.name,
            spent,
            budget,
            ceiling = program.ceiling,
            "turn refused: the program's token budget is spent"
        );
        return Err(Refusal::new(
            StatusCode::PAYMENT_REQUIRED,
            "the program's token budget is spent",
        ));
    }
    Ok(reserved)
}

/// Refuses a new program if the engines are overloaded.
fn admit(
    gateway: &Gateway,
    inbound: &InboundRequest,
    program: &ProgramFields,
) -> Result<(), Refusal> {
    let admission_hash = xxh3_64_with_seed(program.name.0.as_bytes(), ADMISSION_SEED);
    if admission::uses_working_set(gateway, inbound) {
        return admission::admit(gateway, inbound, program, admission_hash);
    }
    let mut shedder = gateway.shedder.borrow_mut();
    let decision = shedder.admit(&inbound.route, admission_hash, gateway.now());
    let ShedDecision::Refuse {
        retry_delay,
        share,
        late,
    } = decision
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
        "program refused: too many first events on its route are late"
    );
    Err(Refusal::not_run_retry_after(
        "the engines are overloaded",
        retry_delay,
    ))
}

fn resolve_chain(
    gateway: &Gateway,
    inbound: &InboundRequest,
    lookup: ChainLookup,
) -> Result<Vec<Rc<TurnRecord>>, Refusal> {
    match lookup {
        ChainLookup::Found(chain) => {
            let mut cache = gateway.turn_cache.borrow_mut();
            for turn in &chain {
                cache.insert(Rc::clone(turn));
            }
            Ok(chain)
        }
        ChainLookup::Absent => {
            tracing::info!(
                id = inbound.id,
                "turn refused: the previous turn does not exist"
            );
            Err(Refusal::new(StatusCode::NOT_FOUND, "no such turn"))
        }
        ChainLookup::Unknown => {
            tracing::warn!(
                id = inbound.id,
                "turn refused: cannot determine whether the previous turn exists"
            );
            Err(Refusal::recovering(
                "the previous turn cannot be looked up at the moment",
            ))
        }
    }
}

/// Builds the prompt of a turn: the inputs and outputs of its ancestors followed by the new input.
fn build_prompt(chain: &[Rc<TurnRecord>], inbound: &InboundRequest) -> Result<Bytes, Refusal> {
    let history: usize = chain
        .iter()
        .map(|turn| turn.input.len() + turn.output.len())
        .sum();
    let length = history + inbound.body.len();
    let added = inbound.held.add_prompt(length as u64);
    added.map_err(|_| Refusal::memory_exhausted())?;
    let mut prompt = BytesMut::with_capacity(length);
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(&inbound.body);
    Ok(prompt.freeze())
}
