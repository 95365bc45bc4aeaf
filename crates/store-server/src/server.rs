//! Turn store server.

use crate::clock::now;
use crate::errors::{ListenSnafu, StoreServerError};
use crate::followers::Followers;
use crate::metrics::{StoreMetrics, origin_request_kind, request_kind};
use crate::peers::Peers;
use crate::reports::{UnsyncedReply, answer_followers_in_rounds};
use luglink_fleet::{KnownVersions, ObserverUpdate, Presence, Role, StoreName, StorePresence};
use luglink_fleet_client::{ListSource, Observer, ObserverConfig, ObserverDelegate};
use luglink_limits::{ListenerKind, Machine};
use luglink_metrics_server::MetricsLimits;
use luglink_net::{FrameSender, ListenerEvent, ListenerLimits};
use luglink_quota::Tolerance;
use luglink_storage::{FileDisk, WalConfig};
use luglink_turns::{
    Chain, ClientView, CrashRequest, FollowerLeases, KeepCheck, KeepReport, LogPosition,
    OriginRequest, OriginResponse, Output, OutputResponse, Refusal, Replication, ReportBatch,
    RequestToken, StoreConfig, StoreNode, StoreRequest, StoreResponse,
};
use luglink_wire::{Frame, Parts, WireError, decode_with_parts, encode_body, encode_with_parts};
use rand::RngCore;
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Time between checks of the store's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between attempts to open the store on a disk that fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Number of requests in a batch after which the disk is synced.
const MAX_BATCH_REQUESTS: u32 = 256;

/// Configuration of a store server.
#[derive(Clone, Debug)]
pub struct StoreServerConfig {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Internal address.
    pub listen: SocketAddr,
    /// Address at which gateways and other stores reach it; `None` for `listen`.
    pub advertised: Option<SocketAddr>,
    /// Folder of the journal and of the store's incarnation.
    pub data_folder: PathBuf,
    /// True if the whole deployment starts for the first time.
    pub first_start: bool,
    /// Number of copies of each record.
    pub replication: Replication,
    /// Maximum size of a journal segment in bytes.
    pub segment_bytes: u64,
    /// Amount by which the requests of tenants may exceed their quotas.
    pub quota_tolerance: Tolerance,
    /// Configuration of the connection to the control members.
    pub observer: ObserverConfig,
    /// Address at which metrics are served, if any.
    pub metrics_listen: Option<SocketAddr>,
    /// Memory and open files of the process.
    pub machine: Machine,
}

/// State that the tasks of the server share.
pub(crate) struct Shared {
    config: StoreServerConfig,
    pub(crate) node: RefCell<StoreNode<FileDisk>>,
    /// Identifies the store's disk.
    incarnation: u64,
    clients: RefCell<BTreeMap<u64, FrameSender>>,
    peers: Peers,
    /// Gateways that wait for crash reports.
    pub(crate) followers: RefCell<Followers>,
    pub(crate) leases: RefCell<FollowerLeases>,
    /// Wakes the task that answers followers.
    pub(crate) reports_changed: Notify,
    /// Position of the reports up to which followers were told.
    pub(crate) told_position: Cell<LogPosition>,
    /// Time from which on they may be told of further ones.
    pub(crate) next_round: Cell<Instant>,
    pub(crate) unsynced_replies: RefCell<Vec<UnsyncedReply>>,
    /// Clients that the latest update of each gateway's session came from.
    pub(crate) sessions: RefCell<BTreeMap<u64, u64>>,
    /// Requests handled since the last flush.
    unflushed_requests: Cell<u32>,
    /// Wakes the task that flushes.
    pub(crate) flush_needed: Notify,
    pub(crate) metrics: StoreMetrics,
}

/// Running store server. It runs until the process exits; dropping this value does not stop it.
pub struct StoreServer {
    /// Internal address.
    pub address: SocketAddr,
    /// Address at which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
    shared: Rc<Shared>,
    observer: Rc<Observer<Shared>>,
}

/// Starts a store server on the current actix thread.
///
/// # Errors
/// Fails if the address cannot be bound or the metrics cannot be registered.
pub async fn start(config: StoreServerConfig) -> Result<StoreServer, StoreServerError> {
    let listener = TcpListener::bind(config.listen)
        .await
        .context(ListenSnafu {
            address: config.listen,
        })?;
    let address = listener.local_addr().context(ListenSnafu {
        address: config.listen,
    })?;
    let metrics = StoreMetrics::new()?;
    let machine = config.machine;
    let held = metrics.peers.account(machine.held_bytes());
    let limits = ListenerLimits::internal(machine, held, &metrics.peers, &metrics.connections);
    let collectors = MetricsLimits {
        max_connections: machine.connections(ListenerKind::Metrics),
        connections: metrics.connections.clone(),
    };
    let metrics_address =
        luglink_metrics_server::start(config.metrics_listen, &metrics.registry, collectors).await;
    let node = open_node(&config).await;
    let (turns, accounts) = node.counts();
    tracing::info!(
        name = config.name,
        %address,
        incarnation = node.incarnation(),
        turns,
        accounts,
        "turn store started"
    );
    let shared = Rc::new(Shared {
        incarnation: node.incarnation(),
        node: RefCell::new(node),
        clients: RefCell::default(),
        peers: Peers::default(),
        followers: RefCell::default(),
        leases: RefCell::new(FollowerLeases::after_start(now())),
        reports_changed: Notify::new(),
        told_position: Cell::default(),
        next_round: Cell::new(Instant::now()),
        unsynced_replies: RefCell::default(),
        sessions: RefCell::default(),
        unflushed_requests: Cell::new(0),
        flush_needed: Notify::new(),
        metrics,
        config,
    });
    actix_rt::spawn(luglink_net::serve(listener, limits, {
        let shared = Rc::clone(&shared);
        move |event| shared.on_socket(event)
    }));
    actix_rt::spawn(flush_when_woken(Rc::clone(&shared)));
    actix_rt::spawn(tick(Rc::clone(&shared)));
    actix_rt::spawn(answer_followers_in_rounds(Rc::clone(&shared)));
    let observer = Observer::start(Rc::clone(&shared), shared.config.observer.clone());
    Ok(StoreServer {
        address,
        metrics_address,
        shared,
        observer,
    })
}

/// Opens the store in its data folder and retries until that succeeds. If the process exited
/// instead, it would only be restarted.
async fn open_node(config: &StoreServerConfig) -> StoreNode<FileDisk> {
    loop {
        match try_open_node(config) {
            Ok(node) => return node,
            Err(error) => tracing::warn!(%error, "cannot open the turn store; retrying"),
        }
        actix_rt::time::sleep(REOPEN_INTERVAL).await;
    }
}

fn try_open_node(config: &StoreServerConfig) -> Result<StoreNode<FileDisk>, StoreServerError> {
    let disk = FileDisk::open(&config.data_folder)?;
    let node_config = StoreConfig {
        name: StoreName(config.name.clone()),
        replication: config.replication,
        quota_tolerance: config.quota_tolerance,
        wal: WalConfig {
            segment_bytes: config.segment_bytes,
        },
    };
    let new_incarnation = rand::rng().next_u64();
    Ok(StoreNode::start(node_config, disk, new_incarnation, now())?)
}

impl StoreServer {
    /// Adds control members to observe, for example after a change of the settings.
    pub fn add_members(&self, members: &[SocketAddr]) {
        self.observer.add(members);
    }

    /// Numbers of stored turns and accounts.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.shared.node.borrow().counts()
    }
}

/// Request of a client by the part that it carries.
enum ClientRequest {
    Store(Option<ClientView>, Option<KeepCheck>, StoreRequest),
    Origin(OriginRequest),
    Crash(Option<ClientView>, CrashRequest),
}

fn decode_request(body: &[u8]) -> Result<ClientRequest, WireError> {
    let (request, parts) = decode_with_parts(body)?;
    if let Some(request) = OriginRequest::decode(&parts)? {
        return Ok(ClientRequest::Origin(request));
    }
    let client_view = ClientView::decode(&parts)?;
    Ok(match CrashRequest::decode(&parts)? {
        Some(request) => ClientRequest::Crash(client_view, request),
        None => ClientRequest::Store(client_view, KeepCheck::decode(&parts)?, request),
    })
}

fn encode_origin(
    origin: &OriginResponse,
    output: Option<&OutputResponse>,
) -> Result<Parts, WireError> {
    let mut parts = origin.encode()?;
    if let Some(output) = output {
        output.put(&mut parts)?;
    }
    Ok(parts)
}

/// Flushes on request. It first yields to all tasks that are ready, so that requests that arrive
/// together are written with one sync.
async fn flush_when_woken(shared: Rc<Shared>) {
    loop {
        shared.flush_needed.notified().await;
        tokio::task::yield_now().await;
        shared.flush();
    }
}

async fn tick(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        shared.node.borrow_mut().tick(now());
        shared.update_gauges();
        shared.answer_followers();
        shared.flush_needed.notify_one();
    }
}

impl Shared {
    fn update_gauges(&self) {
        let node = self.node.borrow();
        let (turns, accounts) = node.counts();
        self.metrics.turns.set(turns as f64);
        self.metrics.accounts.set(accounts as f64);
        self.metrics.epoch.set(node.epoch() as f64);
        self.metrics.origins.set(node.origin_count() as f64);
        self.metrics.output_bytes.set(node.output_bytes() as f64);
        let crash_reports = node.crash_report_count();
        self.metrics.crash_reports.set(crash_reports as f64);
        self.metrics.runs_under_way.set(node.run_count() as f64);
    }

    fn on_socket(self: &Rc<Self>, event: ListenerEvent) {
        match event {
            ListenerEvent::Opened {
                connection, sender, ..
            } => {
                self.clients.borrow_mut().insert(connection, sender);
            }
            ListenerEvent::Frame {
                connection,
                frame: Frame::Request {
                    correlation, body, ..
                },
            } => self.on_request(connection, correlation, &body),
            ListenerEvent::Frame { connection, .. } => {
                tracing::warn!(connection, "unexpected frame from client");
            }
            ListenerEvent::Closed { connection } => {
                self.clients.borrow_mut().remove(&connection);
                self.followers.borrow_mut().remove(connection);
                self.leases.borrow_mut().end(connection);
                self.end_session_of(connection);
                self.acknowledge_reports();
            }
        }
    }

    fn on_request(self: &Rc<Self>, client: u64, request: u64, body: &[u8]) {
        let token = RequestToken { client, request };
        match decode_request(body) {
            Ok(ClientRequest::Origin(request)) => self.on_origin_request(token, &request),
            Ok(ClientRequest::Crash(client_view, request)) => {
                self.on_crash_request(token, client_view, &request);
            }
            Ok(ClientRequest::Store(client_view, check, request)) => {
                let requests = &self.metrics.requests;
                requests.with_label_values(&[request_kind(&request)]).inc();
                self.handle(client_view, check, token, request);
                self.unflushed_requests
                    .set(self.unflushed_requests.get() + 1);
                if self.unflushed_requests.get() >= MAX_BATCH_REQUESTS {
                    self.flush();
                } else {
                    self.flush_needed.notify_one();
                }
            }
            Err(error) => {
                tracing::warn!(%error, "cannot decode request from client");
                self.metrics.failures.inc();
                let reason = error.to_string();
                self.reply(token, &StoreResponse::Failed { reason });
            }
        }
    }

    fn handle(
        &self,
        client_view: Option<ClientView>,
        check: Option<KeepCheck>,
        token: RequestToken,
        request: StoreRequest,
    ) {
        let mut node = self.node.borrow_mut();
        let refusal = node.handle_checked(client_view, check, token, request, now());
        let epoch = node.epoch();
        drop(node);
        if let Some(refusal) = refusal {
            self.refuse(token, refusal, client_view, epoch);
        }
    }

    pub(crate) fn refuse(
        &self,
        token: RequestToken,
        refusal: Refusal,
        client_view: Option<ClientView>,
        epoch: u64,
    ) {
        let reason = refusal.label();
        tracing::info!(
            reason,
            client_epoch = client_view.map(|view| view.epoch),
            epoch,
            "refused a request whose response could not count"
        );
        self.metrics.refusals.with_label_values(&[reason]).inc();
        let reason = refusal.to_string();
        self.reply(token, &StoreResponse::Failed { reason });
    }

    /// Replies that a request failed.
    pub(crate) fn fail(&self, token: RequestToken, reason: String) {
        self.reply(token, &StoreResponse::Failed { reason });
    }

    fn on_origin_request(&self, token: RequestToken, request: &OriginRequest) {
        let requests = &self.metrics.requests;
        requests
            .with_label_values(&[origin_request_kind(request)])
            .inc();
        let mut node = self.node.borrow_mut();
        let (origin, output) = node.handle_origin(request, now());
        drop(node);
        self.reply_with_parts(token, encode_origin(&origin, output.as_ref()));
    }

    /// Puts the runs of a gateway in doubt whose connection has ended, unless it has another one.
    fn end_session_of(&self, client: u64) {
        let mut sessions = self.sessions.borrow_mut();
        let ended = sessions.iter().find(|(_, latest)| **latest == client);
        let Some(session) = ended.map(|(session, _)| *session) else {
            return;
        };
        sessions.remove(&session);
        drop(sessions);
        self.node.borrow_mut().end_session(session, now());
        self.flush_needed.notify_one();
        // Other gateways are about to get the requests of its callers.
        self.answer_followers();
    }

    pub(crate) fn note_run_events(&self) {
        let mut node = self.node.borrow_mut();
        let events = node.take_run_events();
        if events.lost_runs > 0 {
            self.metrics.lost_runs.inc_by(events.lost_runs as u64);
            tracing::info!(
                runs = events.lost_runs,
                under_way = node.run_count(),
                "runs of a lost gateway are in doubt"
            );
        }
        if let Some(error) = events.write_failure {
            self.metrics.failures.inc();
            tracing::error!(error, "cannot write reports of runs");
        }
    }

    /// Responds to a request that carried a part.
    pub(crate) fn reply_with_parts(&self, token: RequestToken, parts: Result<Parts, WireError>) {
        let incarnation = self.incarnation;
        let response = StoreResponse::Chain(Chain::Absent { incarnation });
        let body = parts.and_then(|parts| encode_with_parts(&response, &parts));
        self.send(token, body);
    }

    /// Sends the crash reports that other stores own and may lack.
    fn hand_over_reports(self: &Rc<Self>) {
        for batch in self.node.borrow_mut().due_reports(now()) {
            actix_rt::spawn(Rc::clone(self).hand_over_batch(batch));
        }
    }

    async fn hand_over_batch(self: Rc<Self>, batch: ReportBatch) {
        let ReportBatch {
            to,
            number,
            reports,
        } = batch;
        let count = reports.len();
        let taken = self.peers.hand_over_reports(&to, reports).await;
        tracing::info!(store = %to, reports = count, taken, "hand-over of crash reports finished");
        if taken {
            let mut node = self.node.borrow_mut();
            node.on_reports_acknowledged(&to, number);
            self.flush_needed.notify_one();
        }
    }

    fn flush(self: &Rc<Self>) {
        let started = Instant::now();
        let outputs = self.node.borrow_mut().flush();
        if self.unflushed_requests.replace(0) > 0 {
            let seconds = started.elapsed().as_secs_f64();
            self.metrics.flush_seconds.observe(seconds);
        }
        for output in outputs {
            match output {
                Output::Reply {
                    token,
                    response,
                    report,
                } => self.reply_with_report(token, &response, report.as_deref()),
                Output::HandOver {
                    to,
                    number,
                    request,
                } => self.hand_over(to, number, *request),
            }
        }
        self.sync_reports();
        self.hand_over_reports();
    }

    fn reply_with_report(
        &self,
        token: RequestToken,
        response: &StoreResponse,
        report: Option<&KeepReport>,
    ) {
        let missing = report.map_or(0, |report| report.missing.len());
        if let StoreResponse::Failed { reason } = response {
            if missing > 0 {
                tracing::info!(
                    reason,
                    missing,
                    "did not store a turn without its ancestors"
                );
                self.metrics.incomplete_chains.inc();
            } else {
                tracing::error!(reason, "cannot make the records of a request durable");
                self.metrics.failures.inc();
            }
        }
        match report.map(KeepReport::encode) {
            None => self.reply(token, response),
            Some(parts) => {
                let body = parts.and_then(|parts| encode_with_parts(response, &parts));
                self.send(token, body);
            }
        }
    }

    fn reply(&self, token: RequestToken, response: &StoreResponse) {
        self.send(token, encode_body(response));
    }

    fn send(&self, token: RequestToken, body: Result<Vec<u8>, WireError>) {
        let clients = self.clients.borrow();
        let Some(client) = clients.get(&token.client) else {
            return;
        };
        match body {
            Ok(body) => {
                client.send(Frame::response(token.request, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode response to client"),
        }
    }

    fn hand_over(self: &Rc<Self>, to: StoreName, number: u64, request: StoreRequest) {
        let shared = Rc::clone(self);
        actix_rt::spawn(async move {
            let acknowledged = shared.peers.hand_over(&to, &request).await;
            tracing::info!(store = %to, taken = acknowledged, "hand-over request finished");
            if acknowledged {
                let mut node = shared.node.borrow_mut();
                node.on_hand_over_acknowledged(&to, number, now());
                shared.flush_needed.notify_one();
            }
        });
    }
}

impl ObserverDelegate for Shared {
    fn presence(&self) -> Presence {
        let node = self.node.borrow();
        Presence {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            role: Role::Store(StorePresence {
                address: self.config.advertised.unwrap_or(self.config.listen),
                incarnation: node.incarnation(),
                founding: self.config.first_start,
                handed_over_epoch: node.handed_over_epoch(),
            }),
        }
    }

    fn known(&self, _: ListSource) -> KnownVersions {
        KnownVersions {
            document_version: u64::MAX,
            is_current: true,
            store_epoch: self.node.borrow().known_epoch(),
            ..KnownVersions::default()
        }
    }

    fn on_update(&self, member: SocketAddr, update: ObserverUpdate) {
        if update.fresh {
            self.node.borrow_mut().note_leader_contact(now());
        }
        let Some(view) = update.stores else { return };
        if view.epoch <= self.node.borrow().known_epoch() {
            return;
        }
        tracing::info!(%member, epoch = view.epoch, stores = view.len(), "new view of the stores");
        self.peers.set_view(&view);
        self.node.borrow_mut().set_view(view, now());
        self.flush_needed.notify_one();
    }
}
