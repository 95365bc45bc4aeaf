//! Client of the replicated turn stores.

use crate::chain_search::{ChainLookup, ChainSearch};
use crate::program_writes::{Keep, Target, WriteTask, repair_account};
use crate::store_link::StoreLink;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::{BackendId, StoreName, StoreView};
use luglink_quota::{QuotaOwner, QuotaRequest, QuotaResponse};
use luglink_turns::{
    Account, ChainQuery, ClientView, JointQuorum, OriginRecord, ProgramName, ProgramWrite,
    Replication, Spend, StoreRequest, StoreResponse, TurnId, TurnRecord,
};
use luglink_types::TenantName;
use snafu::Snafu;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Delay before a write that too few stores acknowledged is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time during which reserving tokens is retried, before the caller is told to retry later.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between two attempts to reserve tokens.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of attempts to settle a turn. If all fail, the turn continues to count with all
/// its reserved tokens.
const MAX_SETTLE_ATTEMPTS: u32 = 8;

/// Error: too few stores acknowledged a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "only {acknowledged} of the required {needed} turn stores acknowledged the request"
))]
pub(crate) struct StoresUnavailable {
    acknowledged: usize,
    needed: usize,
}

/// Combined response of the stores to the beginning of a turn.
#[derive(Clone, Debug)]
pub(crate) struct BeginResponse {
    pub(crate) account: Account,
    pub(crate) chain: Option<ChainLookup>,
    /// Replica that served the program's latest turn.
    pub(crate) served_by: Option<BackendId>,
}

/// Client of all stores in the current view.
#[derive(Debug)]
pub(crate) struct TurnClient {
    replication: Replication,
    view: RefCell<StoreView>,
    links: RefCell<BTreeMap<StoreName, Rc<StoreLink>>>,
    /// Wakes the task that follows the stores.
    pub(crate) view_changed: Notify,
}

type Reply = (StoreName, Option<StoreResponse>);

impl TurnClient {
    pub(crate) fn new(replication: Replication) -> Self {
        Self {
            replication,
            view: RefCell::default(),
            links: RefCell::default(),
            view_changed: Notify::new(),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.view.borrow().epoch
    }

    /// Returns true if enough writable stores are known to complete a write.
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
        self.view_changed.notify_one();
    }

    /// Returns the quorum of the stores that own the records of a key.
    pub(crate) fn joint_quorum(&self, key: &str) -> JointQuorum {
        self.replication.joint_quorum(&self.view.borrow(), key)
    }

    /// Returns the link to a store and the view under which it is asked.
    pub(crate) fn holder(&self, name: &StoreName) -> Option<(Rc<StoreLink>, ClientView)> {
        let link = self.links.borrow().get(name).cloned();
        link.zip(self.client_view(name))
    }

    /// Returns the links to all stores of the view.
    pub(crate) fn links(&self) -> Vec<(StoreName, Rc<StoreLink>)> {
        let links = self.links.borrow();
        let links = links.iter();
        links
            .map(|(name, link)| (name.clone(), Rc::clone(link)))
            .collect()
    }

    /// Returns true if `link` is the present link to a store.
    pub(crate) fn has_link(&self, name: &StoreName, link: &Rc<StoreLink>) -> bool {
        let links = self.links.borrow();
        let present = links.get(name);
        present.is_some_and(|present| Rc::ptr_eq(present, link))
    }

    /// Returns the links to the stores that own the records of a key.
    pub(crate) fn links_to(&self, key: &str) -> Vec<Rc<StoreLink>> {
        let owners = self.replication.owners(&self.view.borrow(), key);
        let links = self.links.borrow();
        let links = owners.iter().filter_map(|owner| links.get(owner));
        links.cloned().collect()
    }

    /// Returns the number of stores that must acknowledge a write.
    pub(crate) fn quorum(&self) -> usize {
        self.replication.quorum()
    }

    /// Returns true if the stores that are known include one of any quorum, both in the settled
    /// configuration and in the one that follows it. `is_known` tells whether a store with a disk is.
    pub(crate) fn is_certain(&self, is_known: impl Fn(&StoreName, u64) -> bool) -> bool {
        let view = self.view.borrow();
        let is_unknown = |name: &&StoreName| {
            let member = view.members.get(*name);
            member.is_none_or(|member| !is_known(name, member.incarnation))
        };
        // A disk that was lost may have been part of an earlier quorum.
        let is_missing = |name: &&StoreName| !view.is_settled(name) || is_unknown(name);
        let unknown_settled = view.settled_names().filter(is_missing).count();
        let writable = view.writable().map(|(name, _)| name);
        let unknown_writable = writable.filter(is_unknown).count();
        !view.is_empty() && unknown_settled.max(unknown_writable) < self.quorum()
    }

    /// Sends a request to one store.
    fn send(
        &self,
        name: &StoreName,
        request: &StoreRequest,
    ) -> impl Future<Output = Reply> + use<> {
        let sending = self
            .holder(name)
            .map(|(link, view)| link.send_under(view, request));
        let name = name.clone();
        async move {
            let response = match sending {
                Some(sending) => sending.await,
                None => None,
            };
            (name, response)
        }
    }

    fn client_view(&self, store: &StoreName) -> Option<ClientView> {
        let view = self.view.borrow();
        let member = view.members.get(store)?;
        Some(ClientView {
            epoch: view.epoch,
            incarnation: member.incarnation,
        })
    }

    /// Sends a request to the owners of a program and returns once `accept` has accepted the
    /// responses of a quorum.
    async fn send_to_quorum(
        &self,
        program: &ProgramName,
        request: &StoreRequest,
        mut accept: impl FnMut(StoreResponse) -> bool,
    ) -> Result<(), StoresUnavailable> {
        let mut quorum = self.joint_quorum(&program.0);
        let mut pending: FuturesUnordered<_> = quorum
            .stores()
            .iter()
            .map(|store| self.send(store, request))
            .collect();
        while let Some((name, response)) = pending.next().await {
            if response.is_some_and(&mut accept) {
                quorum.record(&name);
            }
            if quorum.is_complete() {
                return Ok(());
            }
        }
        Err(self.unavailable(quorum.acknowledged()))
    }

    fn unavailable(&self, acknowledged: usize) -> StoresUnavailable {
        StoresUnavailable {
            acknowledged,
            needed: self.replication.quorum(),
        }
    }

    /// Reserves tokens for a turn and looks up its chain. Retries while too few stores answer, so
    /// that a connection that is being established or a store that restarts only delays the turn.
    /// Fails at once if too few stores of the view have the program's records.
    pub(crate) async fn begin(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        ceiling: u64,
        retention_ms: u64,
        previous: Option<&TurnId>,
    ) -> Result<BeginResponse, StoresUnavailable> {
        let quorum = self.joint_quorum(&program.0);
        if self.epoch() > 0 && !quorum.is_possible() {
            tracing::warn!(
                program = %program,
                epoch = self.epoch(),
                "more stores were lost than tolerated: too few have the records of a program"
            );
            return Err(self.unavailable(quorum.acknowledged()));
        }
        let deadline = Instant::now() + BEGIN_TIMEOUT;
        let attempt = || self.begin_once(program, turn, ceiling, retention_ms, previous);
        retry_until(deadline, BEGIN_RETRY_DELAY, attempt).await
    }

    /// Reserves tokens for a turn and looks up its chain. Only the store that answers fastest is
    /// asked for the chain at first; the others are asked if it does not have it.
    async fn begin_once(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        ceiling: u64,
        retention_ms: u64,
        previous: Option<&TurnId>,
    ) -> Result<BeginResponse, StoresUnavailable> {
        let quorum = self.joint_quorum(&program.0);
        let mut write =
            ProgramWrite::new(quorum, program.clone(), retention_ms, Account::default());
        let owners = write.stores();
        let fastest = self.fastest(&owners);
        let wish = previous.map(|turn| ChainQuery { turn: turn.clone() });
        let mut pending = FuturesUnordered::new();
        for owner in &owners {
            let chain = wish.clone().filter(|_| Some(owner) == fastest.as_ref());
            let request = StoreRequest::Spend {
                epoch: self.epoch(),
                program: program.clone(),
                turn: turn.clone(),
                spend: Spend::Reserved(ceiling),
                retention_ms,
                chain,
                served_by: None,
            };
            pending.push(self.send(owner, &request));
        }
        let mut repairs = FuturesUnordered::new();
        let mut search = ChainSearch::default();
        let mut latest_replica = None;
        while !write.is_complete() {
            tokio::select! {
                Some((name, response)) = pending.next() => {
                    let Some(StoreResponse::Spent { account: copy, chain, served_by }) = response
                    else {
                        continue;
                    };
                    latest_replica = latest_replica.or(served_by);
                    if let Some(chain) = chain {
                        search.add_response(&self.view.borrow(), &name, chain);
                    }
                    for repair in write.on_written(&name, copy) {
                        let target = self.target(&repair.store);
                        repairs.extend(target.map(|target| repair_account(&target, &repair)));
                    }
                }
                Some(repaired) = repairs.next() => {
                    if let Some(name) = repaired {
                        write.on_repaired(&name);
                    }
                }
                else => return Err(self.unavailable(write.acknowledged())),
            }
        }
        let chain = match wish {
            None => None,
            Some(wish) => Some(self.search(wish, search, fastest, pending).await),
        };
        Ok(BeginResponse {
            account: write.account().clone(),
            chain,
            served_by: latest_replica,
        })
    }

    /// Searches for a chain on all stores, starting with the pending responses of the owners.
    async fn search(
        &self,
        wish: ChainQuery,
        mut search: ChainSearch,
        queried: Option<StoreName>,
        mut pending_owners: FuturesUnordered<impl Future<Output = Reply>>,
    ) -> ChainLookup {
        let view = self.view.borrow().clone();
        // The store that was asked for the chain may answer slightly later than the quorum.
        let grace = actix_rt::time::sleep(FASTEST_STORE_GRACE);
        tokio::pin!(grace);
        while !search.is_complete() && !search.has_answer {
            tokio::select! {
                reply = pending_owners.next() => match reply {
                    Some((name, Some(StoreResponse::Spent { chain: Some(chain), .. }))) => {
                        search.add_response(&view, &name, chain);
                    }
                    Some(_) => {}
                    None => break,
                },
                () = &mut grace => break,
            }
        }
        if let Some(found) = search.complete_chain() {
            return ChainLookup::Found(found);
        }
        let mut pending = FuturesUnordered::new();
        let already_queried = queried.filter(|_| search.has_answer);
        for name in view
            .members
            .keys()
            .filter(|name| Some(*name) != already_queried.as_ref())
        {
            pending.push(self.send(name, &StoreRequest::Lookup(wish.clone())));
        }
        while let Some((name, response)) = pending.next().await {
            if let Some(StoreResponse::Chain(chain)) = response {
                search.add_response(&view, &name, chain);
            }
            if let Some(found) = search.complete_chain() {
                return ChainLookup::Found(found);
            }
            if search.is_absent(&view, self.replication) {
                return ChainLookup::Absent;
            }
        }
        ChainLookup::Unknown
    }

    /// Reads a program's account from a quorum of its stores, which together know of every
    /// acknowledged reservation.
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
        let result = self.send_to_quorum(program, &request, merge).await;
        result.ok().map(|()| account)
    }

    /// Settles a turn at the number of tokens that it used. Retries while too few stores
    /// acknowledge.
    pub(crate) async fn settle(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        tokens: u64,
        retention_ms: u64,
        served_by: Option<BackendId>,
        known: &Account,
    ) {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let request = StoreRequest::Spend {
                epoch: self.epoch(),
                program: program.clone(),
                turn: turn.clone(),
                spend: Spend::Settled(tokens),
                retention_ms,
                chain: None,
                served_by: served_by.clone(),
            };
            let quorum = self.joint_quorum(&program.0);
            let write = ProgramWrite::new(quorum, program.clone(), retention_ms, known.clone());
            let targets = self.targets(&write);
            let (_, is_complete) = WriteTask::settle(write, targets, &request).complete().await;
            if is_complete {
                return;
            }
            actix_rt::time::sleep(WRITE_RETRY_DELAY).await;
        }
        tracing::warn!(turn = %turn, tokens, "cannot settle a turn: its reservation still counts");
    }

    /// Stores a turn after the turns of `chain`. Returns once a quorum of stores has all of them and the
    /// program's whole account on disk. `known` is the account as of the turn's reservation.
    pub(crate) async fn keep(
        &self,
        turn: &TurnRecord,
        tokens: u64,
        chain: &[Rc<TurnRecord>],
        known: &Account,
        deadline: Instant,
    ) -> Result<(), StoresUnavailable> {
        let attempt = || async {
            let keep = Keep::new(self.epoch(), turn, tokens, chain, known.clone());
            let quorum = self.joint_quorum(&turn.program.0);
            let program = turn.program.clone();
            let write = ProgramWrite::new(quorum, program, turn.retention_ms, keep.known().clone());
            let targets = self.targets(&write);
            let (write, is_complete) = WriteTask::keep(write, targets, keep).complete().await;
            match is_complete {
                true => Ok(()),
                false => Err(self.unavailable(write.acknowledged())),
            }
        };
        retry_until(deadline, WRITE_RETRY_DELAY, attempt).await
    }

    fn targets(&self, write: &ProgramWrite) -> Vec<Target> {
        let stores = write.stores();
        stores
            .iter()
            .filter_map(|store| self.target(store))
            .collect()
    }

    fn target(&self, store: &StoreName) -> Option<Target> {
        let (link, view) = self.holder(store)?;
        Some(Target {
            name: store.clone(),
            link,
            view,
            is_settled: self.view.borrow().is_settled(store),
        })
    }

    /// Sends the origin of a stream to its stores without waiting for them: a stream whose origin is
    /// not found is refused, so nothing depends on the record.
    pub(crate) fn record_origin(&self, record: OriginRecord) {
        let owners = self
            .replication
            .owners(&self.view.borrow(), &record.stream.0);
        let record = Rc::new(record);
        let links = self.links.borrow();
        for link in owners.iter().filter_map(|owner| links.get(owner)) {
            actix_rt::spawn(Rc::clone(link).record_origin(self.epoch(), Rc::clone(&record)));
        }
    }

    /// Returns the stores that own a tenant's quota, fastest first.
    pub(crate) fn quota_owners(&self, tenant: &TenantName) -> Vec<StoreName> {
        let count = self.replication.quota_owners();
        let mut owners = QuotaOwner::owners_of(&self.view.borrow(), tenant, count);
        owners.sort_by_cached_key(|name| self.response_rank(name));
        owners
    }

    /// Requests a quota token from a store; `None` if it does not answer.
    pub(crate) fn request_quota(
        &self,
        owner: &StoreName,
        request: &QuotaRequest,
    ) -> impl Future<Output = Option<QuotaResponse>> + use<> {
        let sending = self.send(owner, &StoreRequest::Quota(request.clone()));
        async move {
            match sending.await {
                (_, Some(StoreResponse::Quota(answer))) => Some(answer),
                _ => None,
            }
        }
    }

    /// Returns the fastest of the owners, preferring those in the settled configuration, which hold all
    /// data that they should.
    fn fastest(&self, owners: &[StoreName]) -> Option<StoreName> {
        let view = self.view.borrow();
        let rank = |name: &&StoreName| (!view.is_settled(name), self.response_rank(name));
        owners.iter().min_by_key(rank).cloned()
    }

    /// Returns a key that orders stores by response time; stores that did not answer the latest
    /// request come last.
    fn response_rank(&self, name: &StoreName) -> (bool, u64) {
        let links = self.links.borrow();
        let link = links.get(name);
        let is_unresponsive = link.is_none_or(|link| link.is_unresponsive());
        (
            is_unresponsive,
            link.map_or(0, |link| link.response_micros()),
        )
    }
}

/// Extra time after the quorum for the store that was asked for a chain, before all stores are
/// asked.
const FASTEST_STORE_GRACE: Duration = Duration::from_millis(15);

/// Repeats `attempt` until it succeeds, or until the next attempt would start after `deadline`.
async fn retry_until<Value, Attempt>(
    deadline: Instant,
    delay: Duration,
    attempt: impl Fn() -> Attempt,
) -> Result<Value, StoresUnavailable>
where
    Attempt: Future<Output = Result<Value, StoresUnavailable>>,
{
    loop {
        let result = attempt().await;
        if result.is_ok() || Instant::now() + delay >= deadline {
            return result;
        }
        actix_rt::time::sleep(delay).await;
    }
}
