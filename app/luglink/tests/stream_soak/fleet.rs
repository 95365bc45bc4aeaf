//! Fleet of `luglink` processes, each with a loopback address of its own.

use crate::builds;
use crate::replicas::{Faults, Replicas};
use awc::Client;
use luglink_edge::{Configuration, Engine, Limits, Route, RouteKind, Service, Target};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Timeout of every wait, far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Control members, each on a machine with a store.
pub const MEMBERS: usize = 3;

/// Replicas of each version at the start.
const REPLICAS_PER_VERSION: usize = 5;

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// Paths of the routes. Stalled streams of the second one move.
pub const PATHS: [&str; 2] = ["/resumable/x", "/movable/x"];

/// Path of a route whose stalled streams move.
pub const MOVABLE_PATH: &str = PATHS[1];

/// Path of the route of requests that may take long.
pub const LONG_PATH: &str = "/long/x";

/// Path of the route of turns whose history the stores keep.
pub const KEPT_PATH: &str = "/kept/x";

/// Path of the route of requests that are not streams.
pub const CALL_PATH: &str = "/calls/x";

/// Port of the gateways' readiness checks.
pub const READY_PORT: u16 = 7_401;

/// Port of the gateways' metrics.
pub const GATEWAY_METRICS_PORT: u16 = 7_402;

/// Port of the stores' metrics.
pub const STORE_METRICS_PORT: u16 = 7_403;

/// Port of the members' metrics.
pub const MEMBER_METRICS_PORT: u16 = 7_202;

/// Internal port of the members.
pub const MEMBER_PORT: u16 = 7_100;

/// Internal port of the stores.
pub const STORE_PORT: u16 = 7_101;

/// Port at which the members resolve gateways.
pub const RESOLUTION_PORT: u16 = 7_201;

const OPERATOR_PORT: u16 = 7_200;

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Size of a fleet and limits of its machines and callers.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub gateways: usize,
    /// Stores that do not run at the start.
    pub spares: usize,
    /// Memory of a process on a gateway's machine, in mebibytes.
    pub gateway_memory_mb: u64,
    /// Memory of a process on a machine with a disk, in mebibytes.
    pub storage_memory_mb: u64,
    /// Maximum number of open files of a process; `None` for that of the test.
    pub open_files: Option<u64>,
    /// Maximum size of a caller's body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            gateways: 2,
            spares: 0,
            gateway_memory_mb: 256,
            storage_memory_mb: 256,
            open_files: None,
            max_body_bytes: 1 << 20,
        }
    }
}

/// Process that can be signalled and started again.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Maximum number of its open files; `None` for that of the test.
    open_files: Option<u64>,
    /// Identifier of the process while it runs, also while its end is awaited.
    pid: Cell<Option<Pid>>,
    /// Time of the latest signal to the process, or of its latest start.
    pub disturbed_at: Cell<Instant>,
}

impl Process {
    fn start(role: &'static str, settings: PathBuf, open_files: Option<u64>) -> Self {
        let process = Self::prepare(role, settings, open_files);
        process.start_again();
        process
    }

    /// Creates a process that does not run yet.
    fn prepare(role: &'static str, settings: PathBuf, open_files: Option<u64>) -> Self {
        Self {
            role,
            open_files,
            log: settings.with_extension("log"),
            settings,
            child: RefCell::default(),
            pid: Cell::default(),
            disturbed_at: Cell::new(Instant::now()),
        }
    }

    /// Returns the name of the machine.
    pub fn name(&self) -> &str {
        let name = self.settings.file_stem().and_then(|name| name.to_str());
        name.expect("the settings are named after the machine")
    }

    /// Removes the records of a store that does not run.
    pub fn wipe_store(&self) {
        let folder = self
            .settings
            .with_file_name(format!("{}-store", self.name()));
        std::fs::remove_dir_all(folder).expect("the folder is removed");
    }

    /// Lets the next start of the process be one in a running deployment.
    pub fn end_first_start(&self) {
        let settings = std::fs::read_to_string(&self.settings).unwrap();
        let settings = settings.replace("first_start = true", "first_start = false");
        replace_file(&self.settings, &settings);
    }

    /// Restarts the process with another address of the platform's list.
    pub async fn read_list_at(&self, address: SocketAddr) {
        self.signal(Signal::KILL);
        self.wait_for_exit().await;
        let settings = std::fs::read_to_string(&self.settings).unwrap();
        let lines = settings.lines().map(|line| match line {
            line if line.starts_with("list_address") => format!("list_address = \"{address}\""),
            line => line.to_owned(),
        });
        let settings: Vec<String> = lines.collect();
        replace_file(&self.settings, &settings.join("\n"));
        self.start_again();
    }

    pub fn start_again(&self) {
        let binary = builds::binary(self.role, !self.log.exists());
        let mut log = File::options();
        let log = log.create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(binary);
        command
            .arg(self.role)
            .arg("--config")
            .arg(&self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        let child = with_open_files(self.open_files, || command.spawn());
        let child = child.expect("the binary starts");
        self.pid.set(Some(Pid::from_child(&child)));
        *self.child.borrow_mut() = Some(child);
        self.disturbed_at.set(Instant::now());
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        self.disturbed_at.set(Instant::now());
        if let Some(pid) = self.pid.get() {
            kill_process(pid, signal).expect("the signal is sent");
        }
    }

    /// Returns the role of the process and the name of its machine.
    pub fn label(&self) -> String {
        format!("{} of {}", self.role, self.name())
    }

    /// Returns the identifier of the process while it runs.
    pub fn id(&self) -> Option<i32> {
        self.pid.get().map(|pid| pid.as_raw_nonzero().get())
    }

    /// Returns true if the process has ended without being waited for.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let ended = child.as_mut().map(|child| child.try_wait().unwrap());
        ended.is_some_and(|status| status.is_some())
    }

    /// Returns true if the process runs or its end is awaited.
    pub fn is_running(&self) -> bool {
        self.pid.get().is_some()
    }

    /// Waits for the end of the process. Returns false if another task has done so.
    pub async fn wait_for_exit(&self) -> bool {
        let Some(mut child) = self.child.borrow_mut().take() else {
            return false;
        };
        let started = Instant::now();
        while child.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "a process did not stop");
            self.disturbed_at.set(Instant::now());
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.pid.set(None);
        true
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Spawns a process that may open at most this many files.
fn with_open_files<Spawned>(limit: Option<u64>, spawn: impl FnOnce() -> Spawned) -> Spawned {
    let Some(limit) = limit else {
        return spawn();
    };
    // A process inherits the limit of the test, which is lowered until it has started.
    let usual = getrlimit(Resource::Nofile);
    let lowered = Rlimit {
        current: Some(limit),
        maximum: usual.maximum,
    };
    setrlimit(Resource::Nofile, lowered).expect("the limit can be lowered");
    let spawned = spawn();
    setrlimit(Resource::Nofile, usual).expect("the limit can be restored");
    spawned
}

/// Running fleet with its replicas.
#[derive(Clone)]
pub struct Fleet {
    plan: FleetPlan,
    pub members: Rc<Vec<Process>>,
    pub stores: Rc<Vec<Process>>,
    /// Stores that do not run at the start.
    pub spare_stores: Rc<Vec<Process>>,
    pub gateways: Rc<Vec<Process>>,
    pub addresses: Rc<Vec<SocketAddr>>,
    pub replicas: Replicas,
    operator: SocketAddr,
    version: Rc<Cell<u64>>,
    folder: Rc<Folder>,
}

/// Folder of settings, data and logs. It is kept after a failure, or if `SOAK_KEEP_LOGS` is set.
struct Folder {
    folder: TempDir,
    is_kept: Cell<bool>,
}

impl Drop for Folder {
    fn drop(&mut self) {
        let is_kept = self.is_kept.get() || std::thread::panicking();
        if is_kept || std::env::var_os("SOAK_KEEP_LOGS").is_some() {
            self.folder.disable_cleanup(true);
            println!("logs are kept in {}", self.folder.path().display());
        }
    }
}

impl Fleet {
    /// Starts all processes and waits until all gateways serve.
    pub async fn start(seed: u64, gateways: usize, faults: Faults) -> Self {
        Self::start_with_spares(seed, gateways, faults, 0).await
    }

    /// Starts all processes but `spares` stores, and waits until all gateways serve.
    pub async fn start_with_spares(
        seed: u64,
        gateways: usize,
        faults: Faults,
        spares: usize,
    ) -> Self {
        let plan = FleetPlan {
            gateways,
            spares,
            ..FleetPlan::default()
        };
        Self::start_as(seed, plan, faults).await
    }

    /// Starts all processes of a plan but its spare stores, and waits until all gateways serve.
    pub async fn start_as(seed: u64, plan: FleetPlan, faults: Faults) -> Self {
        let FleetPlan {
            gateways, spares, ..
        } = plan;
        let folder = tempfile::tempdir().unwrap();
        let replicas = Replicas::start(seed, REPLICAS_PER_VERSION, faults).await;
        let list = replicas.serve_list().await;
        let block = NEXT_FLEET.fetch_add(1, Ordering::Relaxed) % 60;
        let process = std::process::id() % 250;
        let ip = |host: usize| format!("127.{}.{process}.{}", 100 + block, host + 1);
        let settings = |host: usize| write_settings(folder.path(), host, &ip, list, plan);
        let start = |role, host| Process::start(role, settings(host), plan.open_files);
        let members = (0..MEMBERS).map(|host| start("member", host));
        let members: Vec<Process> = members.collect();
        let stores = (0..MEMBERS).map(|host| start("store", host));
        let stores: Vec<Process> = stores.collect();
        let hosts = MEMBERS..MEMBERS + gateways;
        let started = hosts.clone().map(|host| start("gateway", host));
        let gateways: Vec<Process> = started.collect();
        let spare_hosts = (hosts.end..hosts.end + spares).map(|host| {
            let spare = Process::prepare("store", settings(host), plan.open_files);
            spare.end_first_start();
            spare
        });
        let spare_stores: Vec<Process> = spare_hosts.collect();
        let address = |host, port| format!("{}:{port}", ip(host)).parse().unwrap();
        let fleet = Self {
            plan,
            members: Rc::new(members),
            stores: Rc::new(stores),
            spare_stores: Rc::new(spare_stores),
            gateways: Rc::new(gateways),
            addresses: Rc::new(hosts.map(|host| address(host, 7400)).collect()),
            replicas,
            operator: address(0, OPERATOR_PORT),
            version: Rc::default(),
            folder: Rc::new(Folder {
                folder,
                is_kept: Cell::new(false),
            }),
        };
        let started = Instant::now();
        while !fleet.configure().await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no configuration");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        fleet.assert_all_gateways_serve().await;
        fleet
    }

    /// Returns the maximum size of a caller's body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.plan.max_body_bytes
    }

    /// Returns all processes that were started.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        let storage = self.members.iter().chain(&*self.stores);
        storage.chain(&*self.gateways)
    }

    /// Returns the address of a port at the first gateway.
    pub fn at_gateway(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.addresses[0].ip(), port)
    }

    /// Returns the address of a port at the first machine with a disk.
    pub fn at_storage(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.operator.ip(), port)
    }

    /// Returns the address for operators at the first member.
    pub fn operator(&self) -> SocketAddr {
        self.operator
    }

    /// Keeps settings, data and logs, because the run has failed.
    pub fn keep_logs(&self) {
        self.folder.is_kept.set(true);
    }

    /// Sends the next version of the configuration. Returns true if it is acknowledged.
    pub async fn configure(&self) -> bool {
        self.version.set(self.version.get() + 1);
        let body = configuration(self.version.get(), self.plan.max_body_bytes);
        let body = serde_json::to_value(&body).unwrap();
        self.order("/v1/configuration", body).await
    }

    /// Starts the retirement of a store. Returns true if it is accepted.
    pub async fn retire(&self, store: &str) -> bool {
        let path = format!("/v1/stores/{store}/retirement");
        self.order(&path, serde_json::json!({})).await
    }

    /// Sends an operator's request to the leader. Returns true if it is acknowledged.
    async fn order(&self, path: &str, body: serde_json::Value) -> bool {
        let client = Client::default();
        let mut address = self.operator.to_string();
        for _ in 0..2 {
            let url = format!("http://{address}{path}");
            let Ok(answer) = client.post(url).send_json(&body).await else {
                return false;
            };
            let location = answer.headers().get("location");
            let location = location.and_then(|value| value.to_str().ok());
            match location.and_then(|url| url.strip_prefix("http://")?.split('/').next()) {
                Some(leader) => address = leader.to_owned(),
                None => return answer.status().is_success(),
            }
        }
        false
    }

    /// Waits until every gateway serves a whole stream.
    pub async fn assert_all_gateways_serve(&self) {
        let started = Instant::now();
        for (number, address) in self.addresses.iter().enumerate() {
            while !serves(*address).await {
                let log = self.gateways[number].log.display();
                assert!(
                    started.elapsed() < WAIT_TIMEOUT,
                    "{address} does not serve: {log}"
                );
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

async fn serves(address: SocketAddr) -> bool {
    let request = Client::default()
        .get(format!("http://{address}{}", PATHS[0]))
        .insert_header(("host", HOST))
        .insert_header(("luglink-request-id", format!("check-{address}")))
        .insert_header(("luglink-deadline-ms", "3000"));
    match request.send().await {
        Ok(mut answer) => answer.status().is_success() && answer.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Replaces a file at once, since another process may be reading it.
fn replace_file(path: &Path, content: &str) {
    let complete = path.with_extension("new");
    std::fs::write(&complete, content).unwrap();
    std::fs::rename(&complete, path).unwrap();
}

/// Writes the settings of a machine. Returns the path of the file.
fn write_settings(
    folder: &Path,
    host: usize,
    ip: &impl Fn(usize) -> String,
    list: SocketAddr,
    plan: FleetPlan,
) -> PathBuf {
    let seeds: Vec<String> = (0..MEMBERS)
        .map(|member| format!("\"{}:{OPERATOR_PORT}\"", ip(member)))
        .collect();
    let (seeds, ip) = (seeds.join(", "), ip(host));
    let data = folder.join(format!("machine-{host}"));
    let data = data.display();
    let gateways = MEMBERS..MEMBERS + plan.gateways;
    let memory_mb = match gateways.contains(&host) {
        true => plan.gateway_memory_mb,
        false => plan.storage_memory_mb,
    };
    let text = format!(
        "[log]\nfilter = \"info\"\n\
         [fleet]\nname = \"machine-{host}\"\nzone = \"here\"\nip = \"{ip}\"\nports = [{MEMBER_PORT}, 7115]\n\
         seeds = [{seeds}]\nfirst_start = true\nlist_address = \"{list}\"\nstop_s = 4.0\n\
         memory_mb = {memory_mb}\n\
         [gateway]\nlisten = \"{ip}:7400\"\nready_listen = \"{ip}:{READY_PORT}\"\n\
         metrics_listen = \"{ip}:{GATEWAY_METRICS_PORT}\"\n\
         [store]\ndata_folder = \"{data}-store\"\n\
         metrics_listen = \"{ip}:{STORE_METRICS_PORT}\"\n\
         [member]\noperator_listen = \"{ip}:{OPERATOR_PORT}\"\n\
         resolution_listen = \"{ip}:{RESOLUTION_PORT}\"\n\
         metrics_listen = \"{ip}:{MEMBER_METRICS_PORT}\"\n\
         data_folder = \"{data}-member\"\nlist_interval_ms = 200\n"
    );
    let path = folder.join(format!("machine-{host}.toml"));
    replace_file(&path, &text);
    path
}

fn configuration(version: u64, max_body_bytes: usize) -> Configuration {
    let route = |path: &str, kind, gap_aim_ms| Route {
        name: path.trim_matches('/').replace('/', "-"),
        host: HOST.to_owned(),
        path_prefix: path.trim_end_matches('x').to_owned(),
        kind,
        // Changes with every version, so that each is a change in effect.
        timeout_ms: 4_000 + version % 2,
        target_latency_ms: 200,
        priority: 1,
        targets: vec![Target {
            service: "service".to_owned(),
            weight: 1,
        }],
        max_attempts: 3,
        keeps_history: false,
        retention_ms: 60_000,
        resumable: kind == RouteKind::Streaming,
        gap_aim_ms,
        public: false,
    };
    Configuration {
        version,
        routes: vec![
            route(PATHS[0], RouteKind::Streaming, None),
            route(PATHS[1], RouteKind::Streaming, Some(300)),
            Route {
                keeps_history: true,
                ..route(KEPT_PATH, RouteKind::Streaming, None)
            },
            route(CALL_PATH, RouteKind::Safe, None),
            Route {
                timeout_ms: 16_000,
                ..route(LONG_PATH, RouteKind::Streaming, None)
            },
        ],
        services: vec![Service {
            name: "service".to_owned(),
            health_path: "/health".to_owned(),
            connection_limit: 500,
            engine: Some(Engine {
                slots: 16,
                cache_tokens: 100_000,
                tokens_per_event: 1,
            }),
        }],
        limits: Limits {
            max_body_bytes,
            ..Limits::default()
        },
        tenants: Vec::new(),
    }
}
