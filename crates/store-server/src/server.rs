//! A running store.

use crate::clock::now;
use crate::errors::{ListenSnafu, StoreServerError};
use crate::metrics::{StoreMetrics, kind};
use crate::peers::Peers;
use luglink_fleet::{KnownVersions, ObserverUpdate, Presence, Role, StoreName, StorePresence};
use luglink_fleet_client::{ListSource, Observer, ObserverConfig, ObserverDelegate};
use luglink_net::{FrameSender, ListenerEvent};
use luglink_quota::Tolerance;
use luglink_storage::{FileDisk, WalConfig};
use luglink_turns::{
    Output, Replication, RequestToken, StoreConfig, StoreNode, StoreRequest, StoreResponse,
};
use luglink_wire::{Frame, decode_body, encode_body};
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

/// Time between looks at timers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between tries to read a disk that fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(250);

/// Requests that are taken together before the disk is asked to sync.
const BATCH_REQUESTS: u32 = 256;

/// How a store runs.
#[derive(Clone, Debug)]
pub struct StoreServerConfig {
    /// Name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Internal address.
    pub listen: SocketAddr,
    /// Folder of everything durable.
    pub data_folder: PathBuf,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// How many copies there are.
    pub replication: Replication,
    /// Longest segment of the journal, in bytes.
    pub segment_bytes: u64,
    /// How far beyond their limits the requests of tenants may come.
    pub quota_tolerance: Tolerance,
    /// Control members.
    pub observer: ObserverConfig,
    /// Address of the metrics, when they are wanted.
    pub metrics_listen: Option<SocketAddr>,
}

/// The store and what hangs on it.
struct Shared {
    config: StoreServerConfig,
    node: RefCell<StoreNode<FileDisk>>,
    clients: RefCell<BTreeMap<u64, FrameSender>>,
    peers: Peers,
    taken: Cell<u32>,
    wake: Notify,
    metrics: StoreMetrics,
}

/// A running store. Dropping it does not stop it; the process ends it.
pub struct StoreServer {
    /// Internal address.
    pub address: SocketAddr,
    /// Address of the metrics, when they are served.
    pub metrics_address: Option<SocketAddr>,
    shared: Rc<Shared>,
    observer: Rc<Observer<Shared>>,
}

/// Starts a store on the current actix thread.
///
/// # Errors
/// The address is taken.
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
    let metrics_address =
        luglink_metrics_server::start(config.metrics_listen, &metrics.registry).await;
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
        node: RefCell::new(node),
        clients: RefCell::default(),
        peers: Peers::default(),
        taken: Cell::new(0),
        wake: Notify::new(),
        metrics,
        config,
    });
    actix_rt::spawn(luglink_net::serve(listener, {
        let shared = Rc::clone(&shared);
        move |event| shared.on_socket(event)
    }));
    actix_rt::spawn(flush_when_woken(Rc::clone(&shared)));
    actix_rt::spawn(tick(Rc::clone(&shared)));
    let observer = Observer::start(Rc::clone(&shared), shared.config.observer.clone());
    Ok(StoreServer {
        address,
        metrics_address,
        shared,
        observer,
    })
}

/// Reads the store from its data folder. While the disk takes nothing it is tried again: a store
/// that ended would only be started again.
async fn open_node(config: &StoreServerConfig) -> StoreNode<FileDisk> {
    loop {
        match try_open_node(config) {
            Ok(node) => return node,
            Err(error) => tracing::warn!(%error, "the turn store cannot use its disk"),
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
    let fresh = rand::rng().next_u64();
    Ok(StoreNode::start(node_config, disk, fresh, now())?)
}

impl StoreServer {
    /// Observes these control members too, as when the settings have come to name others.
    pub fn add_members(&self, members: &[SocketAddr]) {
        self.observer.add(members);
    }

    /// Turns and accounts that the store holds.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        self.shared.node.borrow().counts()
    }
}

/// Lets what arrived together go to disk together: it runs behind everything that is ready.
async fn flush_when_woken(shared: Rc<Shared>) {
    loop {
        shared.wake.notified().await;
        tokio::task::yield_now().await;
        shared.flush();
    }
}

async fn tick(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        shared.node.borrow_mut().tick(now());
        shared.show_state();
        shared.wake.notify_one();
    }
}

impl Shared {
    fn show_state(&self) {
        let node = self.node.borrow();
        let (turns, accounts) = node.counts();
        self.metrics.turns.set(turns as f64);
        self.metrics.accounts.set(accounts as f64);
        self.metrics.epoch.set(node.epoch() as f64);
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
                tracing::warn!(connection, "unexpected frame");
            }
            ListenerEvent::Closed { connection } => {
                self.clients.borrow_mut().remove(&connection);
            }
        }
    }

    fn on_request(self: &Rc<Self>, client: u64, request: u64, body: &[u8]) {
        let token = RequestToken { client, request };
        match decode_body::<StoreRequest>(body) {
            Ok(request) => {
                let requests = &self.metrics.requests;
                requests.with_label_values(&[kind(&request)]).inc();
                self.node.borrow_mut().handle(token, request, now());
                self.taken.set(self.taken.get() + 1);
                if self.taken.get() >= BATCH_REQUESTS {
                    self.flush();
                } else {
                    self.wake.notify_one();
                }
            }
            Err(error) => {
                tracing::warn!(%error, "malformed request");
                self.metrics.failures.inc();
                let reason = error.to_string();
                self.reply(token, &StoreResponse::Failed { reason });
            }
        }
    }

    fn flush(self: &Rc<Self>) {
        let began = Instant::now();
        let outputs = self.node.borrow_mut().flush();
        if self.taken.replace(0) > 0 {
            let seconds = began.elapsed().as_secs_f64();
            self.metrics.flush_seconds.observe(seconds);
        }
        for output in outputs {
            match output {
                Output::Reply { token, response } => {
                    if let StoreResponse::Failed { reason } = &*response {
                        tracing::error!(reason, "a write failed");
                        self.metrics.failures.inc();
                    }
                    self.reply(token, &response);
                }
                Output::HandOver {
                    to,
                    number,
                    request,
                } => self.hand_over(to, number, *request),
            }
        }
    }

    fn reply(&self, token: RequestToken, response: &StoreResponse) {
        let clients = self.clients.borrow();
        let Some(client) = clients.get(&token.client) else {
            return;
        };
        match encode_body(response) {
            Ok(body) => {
                client.send(Frame::response(token.request, body));
            }
            Err(error) => tracing::error!(%error, "cannot encode a response"),
        }
    }

    fn hand_over(self: &Rc<Self>, to: StoreName, number: u64, request: StoreRequest) {
        let shared = Rc::clone(self);
        actix_rt::spawn(async move {
            let taken = shared.peers.hand_over(&to, &request).await;
            tracing::info!(store = %to, taken, "handed over");
            if taken {
                let mut node = shared.node.borrow_mut();
                node.on_hand_over_taken(&to, number, now());
                shared.wake.notify_one();
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
                address: self.config.listen,
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
            store_epoch: self.node.borrow().epoch(),
            ..KnownVersions::default()
        }
    }

    fn on_update(&self, member: SocketAddr, news: ObserverUpdate) {
        if news.fresh {
            self.node.borrow_mut().note_leader_contact(now());
        }
        let Some(view) = news.stores else { return };
        if view.epoch <= self.node.borrow().epoch() {
            return;
        }
        tracing::info!(%member, epoch = view.epoch, stores = view.len(), "new view of the stores");
        self.peers.set_view(&view);
        self.node.borrow_mut().set_view(view, now());
        self.wake.notify_one();
    }
}
