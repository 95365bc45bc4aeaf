//! Reads from and writes to the turn stores.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::{StoreName, StoreState, StoreView};
use luglink_net::RequestClient;
use luglink_turns::{
    Absence, Account, Chain, ChainWish, ProgramName, Replication, Spend, StoreRequest,
    StoreResponse, TurnId, TurnRecord,
};
use luglink_wire::{ClientRole, Hello, PROTOCOL_VERSION, decode_body, encode_body};
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait for one store.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// Pause before a write that too few stores took is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a turn waits for enough stores before its caller is told to come back.
const BEGIN_LIMIT: Duration = Duration::from_millis(700);

/// Pause between two tries to reserve.
const BEGIN_PAUSE: Duration = Duration::from_millis(30);

/// Times that the end of a turn is told to the stores before it is left at its reservation.
const SETTLE_TRIES: u32 = 8;

/// Weight of a new sample in a store's average answer time.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Too few stores answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{acknowledged} of {needed} turn stores answered"))]
pub(crate) struct StoresUnavailable {
    acknowledged: usize,
    needed: usize,
}

/// A link to one store.
#[derive(Debug)]
struct StoreLink {
    client: RequestClient,
    /// Average time to an answer, in milliseconds.
    answer_ms: Cell<f64>,
    is_lost: Cell<bool>,
}

/// Where a chain is.
#[derive(Clone, Debug)]
pub(crate) enum ChainAnswer {
    /// The turn, last, and its ancestors, oldest first.
    Found(Vec<Rc<TurnRecord>>),
    /// There is no such turn.
    Absent,
    /// Nobody can tell now.
    Unknown,
}

/// What the stores say at the beginning of a turn.
#[derive(Clone, Debug)]
pub(crate) struct Begun {
    pub(crate) account: Account,
    pub(crate) chain: Option<ChainAnswer>,
}

/// Talks to all stores of the view.
#[derive(Debug)]
pub(crate) struct TurnClient {
    replication: Replication,
    view: RefCell<StoreView>,
    links: RefCell<BTreeMap<StoreName, Rc<StoreLink>>>,
}

type Answered = (StoreName, Option<StoreResponse>);

impl TurnClient {
    pub(crate) fn new(replication: Replication) -> Self {
        Self {
            replication,
            view: RefCell::default(),
            links: RefCell::default(),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.view.borrow().epoch
    }

    /// Whether enough stores are known to take a write.
    pub(crate) fn has_quorum(&self) -> bool {
        self.view.borrow().writable().count() >= self.replication.quorum()
    }

    pub(crate) fn set_view(&self, view: StoreView) {
        if view.epoch <= self.epoch() {
            return;
        }
        let mut links = self.links.borrow_mut();
        links.retain(|name, link| {
            view.members
                .get(name)
                .is_some_and(|member| member.address == link.client.address())
        });
        for (name, member) in &view.members {
            links.entry(name.clone()).or_insert_with(|| {
                let hello = Hello {
                    version: PROTOCOL_VERSION,
                    role: ClientRole::Writer,
                    id: 0,
                };
                Rc::new(StoreLink {
                    client: RequestClient::open(member.address, hello),
                    answer_ms: Cell::new(0.0),
                    is_lost: Cell::new(false),
                })
            });
        }
        *self.view.borrow_mut() = view;
    }

    fn owners(&self, program: &ProgramName) -> Vec<StoreName> {
        self.replication.owners(&self.view.borrow(), &program.0)
    }

    /// Asks one store. The request is on its way once the future is polled first, and stays so
    /// when the future is dropped.
    fn ask(
        &self,
        name: &StoreName,
        request: &StoreRequest,
    ) -> impl Future<Output = Answered> + use<> {
        let link = self.links.borrow().get(name).cloned();
        let body = encode_body(request).ok();
        let name = name.clone();
        async move {
            let (Some(link), Some(body)) = (link, body) else {
                return (name, None);
            };
            let began = Instant::now();
            let answer = link.client.request(body, ANSWER_LIMIT).await.ok();
            let response = answer.and_then(|answer| decode_body(&answer).ok());
            link.note(&name, began.elapsed(), response.is_some());
            (name, response)
        }
    }

    /// Reserves tokens for a turn and looks its chain up, again while too few stores answer: a
    /// link that is just coming up, or a store that is just back, costs a moment and not the turn.
    pub(crate) async fn begin(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        ceiling: u64,
        retention_ms: u64,
        previous: Option<&TurnId>,
    ) -> Result<Begun, StoresUnavailable> {
        let deadline = Instant::now() + BEGIN_LIMIT;
        loop {
            let begun = self
                .begin_once(program, turn, ceiling, retention_ms, previous)
                .await;
            if begun.is_ok() || Instant::now() + BEGIN_PAUSE >= deadline {
                return begun;
            }
            actix_rt::time::sleep(BEGIN_PAUSE).await;
        }
    }

    /// Reserves tokens for a turn and looks its chain up. The chain is asked of the store that
    /// answers fastest; of the others only when it is not there.
    async fn begin_once(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        ceiling: u64,
        retention_ms: u64,
        previous: Option<&TurnId>,
    ) -> Result<Begun, StoresUnavailable> {
        let owners = self.owners(program);
        let nearest = self.nearest(&owners);
        let wish = previous.map(|turn| ChainWish { turn: turn.clone() });
        let mut asking = FuturesUnordered::new();
        for owner in &owners {
            let chain = wish.clone().filter(|_| Some(owner) == nearest.as_ref());
            let request = StoreRequest::Spend {
                epoch: self.epoch(),
                program: program.clone(),
                turn: turn.clone(),
                spend: Spend::Reserved(ceiling),
                retention_ms,
                chain,
            };
            asking.push(self.ask(owner, &request));
        }
        let mut search = ChainSearch::default();
        let mut account = Account::default();
        let mut acknowledged = 0;
        while let Some((name, response)) = asking.next().await {
            if let Some(StoreResponse::Spent {
                account: copy,
                chain,
            }) = response
            {
                acknowledged += 1;
                account.merge(&copy);
                if let Some(chain) = chain {
                    search.note(&self.view.borrow(), &name, chain);
                }
            }
            if acknowledged >= self.replication.quorum() {
                break;
            }
        }
        if acknowledged < self.replication.quorum() {
            return Err(StoresUnavailable {
                acknowledged,
                needed: self.replication.quorum(),
            });
        }
        let chain = match wish {
            None => None,
            Some(wish) => Some(self.search(wish, search, nearest, asking).await),
        };
        Ok(Begun { account, chain })
    }

    /// Looks for a chain on every store, beginning with the owners that are still to answer.
    async fn search(
        &self,
        wish: ChainWish,
        mut search: ChainSearch,
        asked: Option<StoreName>,
        mut owners_asking: FuturesUnordered<impl Future<Output = Answered>>,
    ) -> ChainAnswer {
        let view = self.view.borrow().clone();
        // The store that was asked first may be a moment behind the others.
        let grace = actix_rt::time::sleep(FIRST_STORE_GRACE);
        tokio::pin!(grace);
        while !search.is_complete() && !search.has_answer {
            tokio::select! {
                answered = owners_asking.next() => match answered {
                    Some((name, Some(StoreResponse::Spent { chain: Some(chain), .. }))) => {
                        search.note(&view, &name, chain);
                    }
                    Some(_) => {}
                    None => break,
                },
                () = &mut grace => break,
            }
        }
        if let Some(found) = search.take_complete() {
            return ChainAnswer::Found(found);
        }
        let mut asking = FuturesUnordered::new();
        let already = asked.filter(|_| search.has_answer);
        for name in view
            .members
            .keys()
            .filter(|name| Some(*name) != already.as_ref())
        {
            asking.push(self.ask(name, &StoreRequest::Lookup(wish.clone())));
        }
        while let Some((name, response)) = asking.next().await {
            if let Some(StoreResponse::Chain(chain)) = response {
                search.note(&view, &name, chain);
            }
            if let Some(found) = search.take_complete() {
                return ChainAnswer::Found(found);
            }
            if search.head.is_none() && search.absence.is_certain(&view, self.replication) {
                return ChainAnswer::Absent;
            }
        }
        ChainAnswer::Unknown
    }

    /// Reads a program's account from enough stores to see every reservation that counts.
    pub(crate) async fn account(&self, program: &ProgramName) -> Option<Account> {
        let request = StoreRequest::Account(program.clone());
        let owners = self.owners(program);
        let mut asking: FuturesUnordered<_> = owners
            .iter()
            .map(|owner| self.ask(owner, &request))
            .collect();
        let mut account = Account::default();
        let mut answers = 0;
        while let Some((_, response)) = asking.next().await {
            if let Some(StoreResponse::Account(copy)) = response {
                account.merge(&copy);
                answers += 1;
            }
            if answers >= self.replication.quorum() {
                return Some(account);
            }
        }
        None
    }

    /// Tells the stores what a turn took; again and again while too few take it.
    pub(crate) async fn settle(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        tokens: u64,
        retention_ms: u64,
    ) {
        for _ in 0..SETTLE_TRIES {
            let request = StoreRequest::Spend {
                epoch: self.epoch(),
                program: program.clone(),
                turn: turn.clone(),
                spend: Spend::Settled(tokens),
                retention_ms,
                chain: None,
            };
            if self.write(program, &request).await.is_ok() {
                return;
            }
            actix_rt::time::sleep(REPEAT_PAUSE).await;
        }
        tracing::warn!(turn = %turn, tokens, "a turn's end could not be noted; it counts at its most");
    }

    /// Keeps a turn. Returns once enough stores have it on disk.
    pub(crate) async fn keep(
        &self,
        turn: &TurnRecord,
        tokens: u64,
        carried: &[Rc<TurnRecord>],
        deadline: Instant,
    ) -> Result<(), StoresUnavailable> {
        loop {
            let request = StoreRequest::Keep {
                epoch: self.epoch(),
                turn: Box::new(turn.clone()),
                tokens,
                carried: carried.iter().map(|turn| (**turn).clone()).collect(),
            };
            let result = self.write(&turn.program, &request).await;
            if result.is_ok() || Instant::now() + REPEAT_PAUSE >= deadline {
                return result;
            }
            actix_rt::time::sleep(REPEAT_PAUSE).await;
        }
    }

    async fn write(
        &self,
        program: &ProgramName,
        request: &StoreRequest,
    ) -> Result<(), StoresUnavailable> {
        let owners = self.owners(program);
        let mut asking: FuturesUnordered<_> = owners
            .iter()
            .map(|owner| self.ask(owner, request))
            .collect();
        let needed = self.replication.quorum();
        let mut acknowledged = 0;
        while let Some((_, response)) = asking.next().await {
            if matches!(
                response,
                Some(StoreResponse::Done | StoreResponse::Spent { .. })
            ) {
                acknowledged += 1;
            }
            if acknowledged >= needed {
                return Ok(());
            }
        }
        Err(StoresUnavailable {
            acknowledged,
            needed,
        })
    }

    fn nearest(&self, owners: &[StoreName]) -> Option<StoreName> {
        let links = self.links.borrow();
        let view = self.view.borrow();
        let rank = |name: &&StoreName| {
            let link = links.get(*name);
            let filled = view
                .members
                .get(*name)
                .is_some_and(|member| member.state == StoreState::Active);
            let lost = link.is_none_or(|link| link.is_lost.get());
            let micros = link.map_or(0, |link| (link.answer_ms.get() * 1_000.0) as u64);
            (!filled, lost, micros)
        };
        owners.iter().min_by_key(rank).cloned()
    }
}

/// Time that the store that was asked for a chain gets beyond the quorum, before all are asked.
const FIRST_STORE_GRACE: Duration = Duration::from_millis(15);

impl StoreLink {
    fn note(&self, name: &StoreName, time: Duration, answered: bool) {
        if self.is_lost.replace(!answered) == answered {
            if answered {
                tracing::info!(store = %name, "turn store regained");
            } else {
                tracing::warn!(store = %name, "turn store lost");
            }
        }
        let sample = time.as_secs_f64() * 1_000.0;
        let average = self.answer_ms.get();
        self.answer_ms.set(if average > 0.0 {
            average + SAMPLE_WEIGHT * (sample - average)
        } else {
            sample
        });
    }
}

/// Puts a chain together from what several stores have of it.
#[derive(Default)]
struct ChainSearch {
    head: Option<Rc<TurnRecord>>,
    ancestors: BTreeMap<TurnId, Rc<TurnRecord>>,
    absence: Absence,
    /// Whether any store has answered.
    has_answer: bool,
}

impl ChainSearch {
    fn note(&mut self, view: &StoreView, store: &StoreName, chain: Chain) {
        self.has_answer = true;
        self.absence.note(view, store, &chain);
        if let Chain::Found { turn, ancestors } = chain {
            self.head = Some(Rc::new(*turn));
            for ancestor in ancestors {
                self.ancestors
                    .insert(ancestor.id.clone(), Rc::new(ancestor));
            }
        }
    }

    fn is_complete(&self) -> bool {
        self.head.as_ref().is_some_and(|head| {
            let mut ancestors = head.ancestors.iter();
            ancestors.all(|ancestor| self.ancestors.contains_key(ancestor))
        })
    }

    fn take_complete(&self) -> Option<Vec<Rc<TurnRecord>>> {
        if !self.is_complete() {
            return None;
        }
        let head = self.head.as_ref()?;
        let ancestors = head.ancestors.iter();
        let mut chain: Vec<Rc<TurnRecord>> = ancestors
            .filter_map(|ancestor| self.ancestors.get(ancestor).cloned())
            .collect();
        chain.push(Rc::clone(head));
        Some(chain)
    }
}
