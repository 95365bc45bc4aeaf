//! Reads from and writes to the turn stores.

use crate::chain_search::{ChainAnswer, ChainSearch};
use crate::store_link::StoreLink;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::{BackendId, StoreName, StoreState, StoreView};
use luglink_quota::{QuotaOwner, QuotaRequest, QuotaResponse};
use luglink_turns::{
    Account, ChainQuery, ProgramName, Replication, Spend, StoreRequest, StoreResponse, TurnId,
    TurnRecord,
};
use luglink_types::TenantName;
use snafu::Snafu;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause before a write that too few stores took is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Longest time that a turn waits for enough stores before its caller is told to come back.
const BEGIN_LIMIT: Duration = Duration::from_millis(700);

/// Pause between two tries to reserve.
const BEGIN_PAUSE: Duration = Duration::from_millis(30);

/// Times that the end of a turn is told to the stores before it is left at its reservation.
const SETTLE_TRIES: u32 = 8;

/// Too few stores answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{acknowledged} of {needed} turn stores answered"))]
pub(crate) struct StoresUnavailable {
    acknowledged: usize,
    needed: usize,
}

/// What the stores say at the beginning of a turn.
#[derive(Clone, Debug)]
pub(crate) struct Begun {
    pub(crate) account: Account,
    pub(crate) chain: Option<ChainAnswer>,
    /// The replica that served the program's last turn.
    pub(crate) served_by: Option<BackendId>,
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
                .is_some_and(|member| member.address == link.address())
        });
        for (name, member) in &view.members {
            links
                .entry(name.clone())
                .or_insert_with(|| Rc::new(StoreLink::open(name.clone(), member.address)));
        }
        *self.view.borrow_mut() = view;
    }

    fn owners(&self, program: &ProgramName) -> Vec<StoreName> {
        self.replication.owners(&self.view.borrow(), &program.0)
    }

    /// Asks one store.
    fn ask(
        &self,
        name: &StoreName,
        request: &StoreRequest,
    ) -> impl Future<Output = Answered> + use<> {
        let link = self.links.borrow().get(name).cloned();
        let asking = link.map(|link| link.ask(request));
        let name = name.clone();
        async move {
            let response = match asking {
                Some(asking) => asking.await,
                None => None,
            };
            (name, response)
        }
    }

    /// Asks the owners of a program until a quorum of them has given an answer that `accept`
    /// takes.
    async fn ask_quorum(
        &self,
        program: &ProgramName,
        request: &StoreRequest,
        mut accept: impl FnMut(StoreResponse) -> bool,
    ) -> Result<(), StoresUnavailable> {
        let owners = self.owners(program);
        let mut asking: FuturesUnordered<_> = owners
            .iter()
            .map(|owner| self.ask(owner, request))
            .collect();
        let needed = self.replication.quorum();
        let mut acknowledged = 0;
        while let Some((_, response)) = asking.next().await {
            if response.is_some_and(&mut accept) {
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
        let try_once = || self.begin_once(program, turn, ceiling, retention_ms, previous);
        again_until(deadline, BEGIN_PAUSE, try_once).await
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
        let wish = previous.map(|turn| ChainQuery { turn: turn.clone() });
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
                served_by: None,
            };
            asking.push(self.ask(owner, &request));
        }
        let mut search = ChainSearch::default();
        let mut account = Account::default();
        let mut acknowledged = 0;
        let mut last_replica = None;
        while let Some((name, response)) = asking.next().await {
            if let Some(StoreResponse::Spent {
                account: copy,
                chain,
                served_by,
            }) = response
            {
                acknowledged += 1;
                last_replica = last_replica.or(served_by);
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
        Ok(Begun {
            account,
            chain,
            served_by: last_replica,
        })
    }

    /// Looks for a chain on every store, beginning with the owners that are still to answer.
    async fn search(
        &self,
        wish: ChainQuery,
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
        if let Some(found) = search.complete() {
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
            if let Some(found) = search.complete() {
                return ChainAnswer::Found(found);
            }
            if search.is_absent(&view, self.replication) {
                return ChainAnswer::Absent;
            }
        }
        ChainAnswer::Unknown
    }

    /// Reads a program's account from enough stores to see every reservation that counts.
    pub(crate) async fn account(&self, program: &ProgramName) -> Option<Account> {
        let request = StoreRequest::Account(program.clone());
        let mut account = Account::default();
        let merge = |response| match response {
            StoreResponse::Account(copy) => {
                account.merge(&copy);
                true
            }
            _ => false,
        };
        let asked = self.ask_quorum(program, &request, merge).await;
        asked.ok().map(|()| account)
    }

    /// Tells the stores what a turn took; again and again while too few take it.
    pub(crate) async fn settle(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        tokens: u64,
        retention_ms: u64,
        served_by: Option<BackendId>,
    ) {
        for _ in 0..SETTLE_TRIES {
            let request = StoreRequest::Spend {
                epoch: self.epoch(),
                program: program.clone(),
                turn: turn.clone(),
                spend: Spend::Settled(tokens),
                retention_ms,
                chain: None,
                served_by: served_by.clone(),
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
        let try_once = || async {
            let request = StoreRequest::Keep {
                epoch: self.epoch(),
                turn: Box::new(turn.clone()),
                tokens,
                carried: carried.iter().map(|turn| (**turn).clone()).collect(),
            };
            self.write(&turn.program, &request).await
        };
        again_until(deadline, REPEAT_PAUSE, try_once).await
    }

    async fn write(
        &self,
        program: &ProgramName,
        request: &StoreRequest,
    ) -> Result<(), StoresUnavailable> {
        let is_written =
            |response| matches!(response, StoreResponse::Done | StoreResponse::Spent { .. });
        self.ask_quorum(program, request, is_written).await
    }

    /// The stores that give out a tenant's quota, the nearest first.
    pub(crate) fn quota_owners(&self, tenant: &TenantName) -> Vec<StoreName> {
        let count = self.replication.quota_owners();
        let mut owners = QuotaOwner::owners_of(&self.view.borrow(), tenant, count);
        owners.sort_by_cached_key(|name| self.distance(name));
        owners
    }

    /// Asks a store for a token; `None` when it does not answer.
    pub(crate) fn ask_quota(
        &self,
        owner: &StoreName,
        ask: &QuotaRequest,
    ) -> impl Future<Output = Option<QuotaResponse>> + use<> {
        let asking = self.ask(owner, &StoreRequest::Quota(ask.clone()));
        async move {
            match asking.await {
                (_, Some(StoreResponse::Quota(answer))) => Some(answer),
                _ => None,
            }
        }
    }

    fn nearest(&self, owners: &[StoreName]) -> Option<StoreName> {
        let view = self.view.borrow();
        let rank = |name: &&StoreName| {
            let filled = view
                .members
                .get(*name)
                .is_some_and(|member| member.state == StoreState::Active);
            (!filled, self.distance(name))
        };
        owners.iter().min_by_key(rank).cloned()
    }

    /// Orders stores by how soon they answer; those that did not answer last time come last.
    fn distance(&self, name: &StoreName) -> (bool, u64) {
        let links = self.links.borrow();
        let link = links.get(name);
        let lost = link.is_none_or(|link| link.is_lost());
        (lost, link.map_or(0, |link| link.answer_micros()))
    }
}

/// Time that the store that was asked for a chain gets beyond the quorum, before all are asked.
const FIRST_STORE_GRACE: Duration = Duration::from_millis(15);

/// Tries until it succeeds, or until another try would begin after `deadline`.
async fn again_until<Value, Trying>(
    deadline: Instant,
    pause: Duration,
    try_once: impl Fn() -> Trying,
) -> Result<Value, StoresUnavailable>
where
    Trying: Future<Output = Result<Value, StoresUnavailable>>,
{
    loop {
        let result = try_once().await;
        if result.is_ok() || Instant::now() + pause >= deadline {
            return result;
        }
        actix_rt::time::sleep(pause).await;
    }
}
