//! Fleet of real servers in one process, on its own loopback addresses, with scripted replicas.

pub mod caller;
pub mod cut;
pub mod ending;
pub mod endless;
pub mod proxy;
pub mod received;
pub mod replica;
pub mod storage;

use luglink_control_server::ManagedServerConfig;
use luglink_edge::{
    Configuration, Dialect, Engine, Limits, LuglinkDialect, Route, RouteKind, Service, Target,
};
use luglink_fleet_client::ObserverConfig;
use luglink_gateway_server::{GatewayConfig, GatewayServer, start};
use luglink_quota::Tolerance;
use luglink_scheduling::Features;
use luglink_settings::{FleetSettings, ManagedMemberSettings};
use luglink_store_server::StoreServerConfig;
use luglink_turns::Replication;
use proxy::Proxy;
use replica::Replica;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use storage::Storage;
use tempfile::TempDir;

pub const HOST: &str = "desk.example";

/// Time without an update from the members after which the gateway accepts no key.
pub const KEYS_EXPIRE_AFTER: Duration = Duration::from_millis(2_500);

/// Limit of the bytes that the gateway holds for callers and replicas.
pub const HELD_BYTES_LIMIT: u64 = 4 << 20;

/// Third octet of the next fleet's loopback addresses. Each fleet has its own, so that all its
/// members can use the same ports.
static NEXT_BLOCK: AtomicU8 = AtomicU8::new(1);

/// Returns the first and the last port of a range, probably free, that a fleet uses on all its
/// addresses.
fn free_ports() -> Vec<u16> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port().min(65_000);
    vec![port, port + 15]
}

/// Fleet of three members, three stores and one gateway, with scripted replicas and their list.
pub struct Fleet {
    pub gateway: Rc<GatewayServer>,
    /// Replicas in the platform's list.
    pub replicas: Rc<RefCell<Vec<Replica>>>,
    pub gateway_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub resolution_address: SocketAddr,
    /// Settings of a second gateway, which [`Fleet::start_second_gateway`] starts.
    second: FleetSettings,
    /// Internal addresses of the members.
    pub member_addresses: Vec<SocketAddr>,
    /// Members and stores. They end before their data folder is removed.
    pub storage: Storage,
    _data_folder: TempDir,
    /// Proxies through which the stores are reached, if any.
    pub store_proxies: Vec<Proxy>,
}

fn ip(block: u8, host: u8) -> Ipv4Addr {
    let process = std::process::id() % 200;
    Ipv4Addr::new(127, 20 + u8::try_from(process).unwrap_or(1), block, host)
}

fn fleet_settings(block: u8, host: u8, ports: &[u16], list: SocketAddr) -> FleetSettings {
    FleetSettings {
        name: format!("machine-{host}"),
        zone: "here".to_owned(),
        ip: ip(block, host),
        ports: ports.to_vec(),
        seeds: (1..=3).map(|seed| (ip(block, seed), 1).into()).collect(),
        first_start: true,
        tolerated_losses: 1,
        list_address: list,
        list_calls_per_s: 40.0,
        drain_ms: 3_000,
        change_ms: 2_000,
        stop_s: 8.0,
        resolution_s: 5.0,
        memory_mb: 256,
        open_files: 4_096,
        quota_window_s: 5.0,
        quota_overage: 0.1,
        quota_slack: 20.0,
        fail_closed: false,
        revoke_ms: 5_000,
        conditions: Vec::new(),
    }
}

impl Fleet {
    pub async fn start(replicas: Vec<Replica>) -> Self {
        Self::start_in(tempfile::tempdir().unwrap(), replicas).await
    }

    /// Starts a fleet whose gateway has an unreachable address as its only seed.
    pub async fn start_with_unreachable_seeds(replicas: Vec<Replica>) -> Self {
        Self::start_with(tempfile::tempdir().unwrap(), replicas, true).await
    }

    /// Starts a fleet whose gateway has these features.
    pub async fn start_with_features(replicas: Vec<Replica>, features: Features) -> Self {
        let folder = tempfile::tempdir().unwrap();
        Self::start_with_options(folder, replicas, false, features, false).await
    }

    /// Starts a fleet whose stores are reached through proxies.
    pub async fn start_behind_proxies(replicas: Vec<Replica>) -> Self {
        let folder = tempfile::tempdir().unwrap();
        Self::start_with_options(folder, replicas, false, Features::default(), true).await
    }

    pub async fn start_in(folder: TempDir, replicas: Vec<Replica>) -> Self {
        Self::start_with(folder, replicas, false).await
    }

    async fn start_with(
        folder: TempDir,
        replicas: Vec<Replica>,
        has_unreachable_seeds: bool,
    ) -> Self {
        let features = Features::default();
        Self::start_with_options(folder, replicas, has_unreachable_seeds, features, false).await
    }

    async fn start_with_options(
        folder: TempDir,
        replicas: Vec<Replica>,
        has_unreachable_seeds: bool,
        features: Features,
        has_store_proxies: bool,
    ) -> Self {
        let block = NEXT_BLOCK.fetch_add(1, Ordering::Relaxed);
        let ports = free_ports();
        let replicas = Rc::new(RefCell::new(replicas));
        let list = replica::serve_list(Rc::clone(&replicas)).await;
        let dialect: Rc<dyn Dialect> = Rc::new(LuglinkDialect::default());
        let (operator_port, resolution_port) = (ports[0] + 4, ports[0] + 5);
        let mut members = Vec::new();
        let mut stores = Vec::new();
        let mut store_proxies = Vec::new();
        for host in 1..=3 {
            let fleet = fleet_settings(block, host, &ports, list);
            let config = ManagedServerConfig {
                member: ManagedMemberSettings {
                    operator_listen: (fleet.ip, operator_port).into(),
                    resolution_listen: (fleet.ip, resolution_port).into(),
                    data_folder: folder.path().join(format!("member-{host}")),
                    list_interval_ms: 100,
                    heartbeat_ms: 50,
                    election_timeout_ms: 300,
                    snapshot_entries: 50,
                    metrics_listen: Some((fleet.ip, 0).into()),
                },
                fleet: fleet.clone(),
            };
            members.push(config);
            let mut store = store_config(&fleet, folder.path().join(format!("store-{host}")));
            if has_store_proxies {
                let proxy = Proxy::start(fleet.ip.into(), store.listen).await;
                store.advertised = Some(proxy.address);
                store_proxies.push(proxy);
            }
            stores.push(store);
        }
        let storage = Storage::start(members, stores).await;
        let mut fleet = fleet_settings(block, 9, &ports, list);
        let second = fleet_settings(block, 10, &ports, list);
        let member_addresses = fleet.member_seeds();
        if has_unreachable_seeds {
            fleet.seeds = vec![(ip(block, 200), 1).into()];
        }
        let gateway_address: SocketAddr = (fleet.ip, ports[0] + 6).into();
        let ready_address: SocketAddr = (fleet.ip, ports[0] + 7).into();
        let config = GatewayConfig {
            features,
            ..gateway_config(&fleet, gateway_address, ready_address)
        };
        let gateway = start(config, dialect);
        Self {
            gateway: Rc::new(gateway.await.unwrap()),
            replicas,
            second,
            gateway_address,
            ready_address,
            operator_address: (ip(block, 1), operator_port).into(),
            resolution_address: (ip(block, 1), resolution_port).into(),
            member_addresses,
            storage,
            _data_folder: folder,
            store_proxies,
        }
    }

    /// Starts a second gateway in the same zone. Returns it with its address for callers.
    pub async fn start_second_gateway(&self) -> (GatewayServer, SocketAddr) {
        self.start_second_gateway_of(observer(&self.second)).await
    }

    async fn start_second_gateway_of(
        &self,
        observer: ObserverConfig,
    ) -> (GatewayServer, SocketAddr) {
        let port = self.gateway_address.port();
        let listen: SocketAddr = (self.second.ip, port).into();
        let ready_listen = (self.second.ip, port + 1).into();
        let config = GatewayConfig {
            observer,
            ..gateway_config(&self.second, listen, ready_listen)
        };
        let dialect: Rc<dyn Dialect> = Rc::new(LuglinkDialect::default());
        (start(config, dialect).await.unwrap(), listen)
    }

    /// Starts a second gateway in the same zone and waits until it is ready.
    pub async fn start_ready_second_gateway(&self) -> (GatewayServer, SocketAddr) {
        let (gateway, address) = self.start_second_gateway().await;
        wait_until_ready(address).await;
        (gateway, address)
    }

    /// The same, but the second gateway reaches the members through proxies.
    pub async fn start_second_gateway_behind_proxies(
        &self,
    ) -> (GatewayServer, SocketAddr, Vec<Proxy>) {
        let member_port = self.gateway_address.port() + 5;
        let mut proxies = Vec::new();
        for member in &self.member_addresses {
            let address = (member.ip(), member_port).into();
            proxies.push(Proxy::start_at(address, *member).await);
        }
        let observer = ObserverConfig {
            seeds: proxies.iter().map(|proxy| proxy.address).collect(),
            member_port,
        };
        let (gateway, address) = self.start_second_gateway_of(observer).await;
        wait_until_ready(address).await;
        (gateway, address, proxies)
    }

    /// Applies a configuration and waits until the gateway is ready.
    pub async fn configure(&self, configuration: &Configuration) {
        let body = serde_json::to_vec(configuration).unwrap();
        let put = || caller::put(self.operator_address, "/v1/configuration", body.clone());
        wait_until("the configuration is accepted", || async {
            put().await.status == 200
        })
        .await;
        let ready = || caller::get(self.ready_address, "/v1/ready");
        wait_until("the gateway is ready", || async {
            ready().await.status == 200
        })
        .await;
    }
}

async fn wait_until_ready(gateway: SocketAddr) {
    let ready = SocketAddr::new(gateway.ip(), gateway.port() + 1);
    wait_until("the second gateway is ready", || async {
        caller::get(ready, "/v1/ready").await.status == 200
    })
    .await;
}

fn observer(fleet: &FleetSettings) -> ObserverConfig {
    ObserverConfig {
        seeds: fleet.member_seeds(),
        member_port: fleet.member_port(),
    }
}

fn store_config(fleet: &FleetSettings, data_folder: PathBuf) -> StoreServerConfig {
    StoreServerConfig {
        name: fleet.name.clone(),
        zone: fleet.zone.clone(),
        listen: (fleet.ip, fleet.store_port()).into(),
        advertised: None,
        data_folder,
        first_start: true,
        replication: Replication::surviving(1),
        segment_bytes: 1 << 20,
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
        observer: observer(fleet),
        metrics_listen: Some((fleet.ip, 0).into()),
        machine: fleet.machine(),
    }
}

fn gateway_config(
    fleet: &FleetSettings,
    listen: SocketAddr,
    ready_listen: SocketAddr,
) -> GatewayConfig {
    GatewayConfig {
        name: fleet.name.clone(),
        zone: fleet.zone.clone(),
        listen,
        ready_listen,
        metrics_listen: Some((fleet.ip, 0).into()),
        observer: observer(fleet),
        list_address: fleet.list_address,
        list_calls_per_s: fleet.list_calls_per_s,
        list_stale_after: Duration::from_millis(500),
        draining_continuation: Duration::from_secs(60),
        replication: Replication::surviving(1),
        full_at: 0.75,
        features: Features::default(),
        keys_expire_after: Some(KEYS_EXPIRE_AFTER),
        stop_timeout: Duration::from_secs(5),
        machine: fleet.machine(),
        held_bytes_limit: HELD_BYTES_LIMIT,
        turn_cache_bytes: 1 << 20,
    }
}

/// Polls a condition until it holds. The limit of 30 s only ends a test that would hang.
pub async fn wait_until<Check>(what: &str, mut holds: impl FnMut() -> Check)
where
    Check: Future<Output = bool>,
{
    for _ in 0..600 {
        if holds().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what}: not within 30 s");
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: 4_000,
        target_latency_ms: 200,
        priority: 1,
        targets: vec![Target {
            service: "service".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        keeps_history: false,
        retention_ms: 60_000,
        resumable: false,
        gap_aim_ms: None,
        public: false,
    }
}

pub fn configuration(version: u64) -> Configuration {
    let mut resumable = route("/resumable/", RouteKind::Streaming);
    resumable.resumable = true;
    resumable.max_attempts = 1;
    let mut kept = route("/kept/", RouteKind::Streaming);
    kept.keeps_history = true;
    kept.max_attempts = 1;
    Configuration {
        version,
        routes: vec![
            route("/safe/", RouteKind::Safe),
            route("/unsafe/", RouteKind::Unsafe),
            resumable,
            kept,
        ],
        services: vec![Service {
            name: "service".to_owned(),
            health_path: "/health".to_owned(),
            connection_limit: 100,
            engine: Some(Engine {
                slots: 4,
                cache_tokens: 1_000,
                tokens_per_event: 10,
            }),
        }],
        limits: Limits {
            max_body_bytes: 1 << 20,
            ..Limits::default()
        },
        tenants: Vec::new(),
    }
}
