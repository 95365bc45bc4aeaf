//! A small deployment of luglink processes, started with the commands of the deploy file. Every
//! machine has a loopback address of its own; a storage machine runs a member and a store.

use crate::http::call;
use crate::record::Record;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Delay before the platform starts processes again that have ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Zones of the site `kopano-luglink`.
pub const ZONES: [&str; 4] = ["midrand-a", "midrand-b", "isando-a", "isando-b"];

/// A machine with its processes.
pub struct Machine {
    pub name: String,
    pub ip: String,
    zone: &'static str,
    roles: &'static [&'static str],
    folder: PathBuf,
    running: Mutex<Vec<Child>>,
}

impl Machine {
    fn data(&self) -> PathBuf {
        self.folder.join(format!("{}-data", self.name))
    }

    pub fn signal(&self, signal: i32) {
        for child in self.running.lock().unwrap().iter() {
            // SAFETY: sends a signal to a child of this process that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the processes with SIGKILL.
    pub fn kill(&self) {
        for mut child in self.running.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits until the processes have ended.
    pub fn stop(&self) {
        self.signal(SIGTERM);
        for mut child in self.running.lock().unwrap().drain(..) {
            let _ = child.wait();
        }
    }

    /// Empties the disk, which must not be in use.
    pub fn wipe(&self) {
        let _ = std::fs::remove_dir_all(self.data());
        std::fs::create_dir_all(self.data()).expect("a folder can be made");
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

pub struct Fleet {
    /// Storage machines, a running and a spare one for each zone.
    pub storage: Vec<Machine>,
    pub gateways: Vec<Machine>,
    list: SocketAddr,
    /// Storage machines that the settings written from now on name as seeds.
    seeds: Mutex<Vec<usize>>,
    folder: PathBuf,
    repository: PathBuf,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.storage.iter().chain(&self.gateways) {
            machine.signal(SIGCONT);
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }
}

/// Returns the first three numbers of loopback addresses that no other run uses.
pub fn free_block() -> String {
    let pid = std::process::id();
    for step in 0..200 {
        let block = format!("127.{}.{}", 20 + (pid / 200 + step) % 200, 1 + pid % 200);
        let is_free = (1..=24).all(|host| {
            let at =
                |port: u16| std::net::TcpListener::bind((format!("{block}.{host}"), port)).is_ok();
            at(7380) && at(7381) && at(8149)
        });
        if is_free {
            return block;
        }
    }
    println!("no free addresses");
    std::process::exit(2);
}

impl Fleet {
    /// Starts all processes. `seeds` are the storage machines that the first settings name.
    pub fn start(
        block: &str,
        seeds: &[usize],
        gateways: usize,
        list: SocketAddr,
        repository: &Path,
        record: &Record,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("luglink-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        let machine = |class: &str, number: usize, host: usize, roles| Machine {
            name: format!(
                "{class}-{}-{}",
                ZONES[number % ZONES.len()],
                1 + number / ZONES.len()
            ),
            ip: format!("{block}.{host}"),
            zone: ZONES[number % ZONES.len()],
            roles,
            folder: folder.clone(),
            running: Mutex::default(),
        };
        let storage = (0..2 * ZONES.len())
            .map(|number| machine("storage", number, 1 + number, &["member", "store"][..]))
            .collect();
        let fronts =
            (0..gateways).map(|number| machine("front", number, 13 + number, &["gateway"][..]));
        let fleet = Self {
            storage,
            gateways: fronts.collect(),
            list,
            seeds: Mutex::new(seeds.to_vec()),
            folder,
            repository: repository.to_path_buf(),
            record: record.clone(),
        };
        for machine in fleet.first_storage().iter().chain(&fleet.gateways) {
            fleet.run(machine, true);
        }
        fleet
    }

    /// The storage machines that run from the start, one in each zone. The others are spare.
    pub fn first_storage(&self) -> &[Machine] {
        &self.storage[..ZONES.len()]
    }

    /// Sets the storage machines that settings written from now on name as seeds.
    pub fn set_seeds(&self, seeds: &[usize]) {
        *self.seeds.lock().unwrap() = seeds.to_vec();
    }

    /// Starts the processes of a machine.
    pub fn run(&self, machine: &Machine, first_start: bool) {
        let mut running = machine.running.lock().unwrap();
        for role in machine.roles {
            let settings = self.folder.join(format!("{}-{role}.toml", machine.name));
            std::fs::write(&settings, self.settings(machine, role, first_start)).expect("settings");
            let log = self.folder.join(format!("{}-{role}.log", machine.name));
            let log = File::options()
                .create(true)
                .append(true)
                .open(log)
                .expect("a log");
            let mut command = Command::new("target/release/luglink");
            // SAFETY: only makes a system call. No process outlives a case that is cut off.
            unsafe {
                command.pre_exec(|| {
                    prctl(PR_SET_PDEATHSIG, 9, 0, 0, 0);
                    Ok(())
                });
            }
            let child = command
                .args([*role, "--dialect", "platform"])
                .current_dir(&self.repository)
                .env("LUGLINK_SETTINGS", &settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("a log"))
                .stderr(log)
                .spawn();
            match child {
                Ok(child) => running.push(child),
                Err(error) => {
                    println!("cannot start luglink: {error}");
                    std::process::exit(2);
                }
            }
        }
    }

    /// Stops a machine as planned, with SIGTERM, and starts it again shortly after its end.
    pub fn restart(&self, machine: &Machine) {
        self.record.say(&format!("{} gets SIGTERM", machine.name));
        machine.stop();
        std::thread::sleep(RESTART_DELAY);
        self.run(machine, false);
        self.record.say(&format!("{} is back", machine.name));
    }

    /// What the templates in `deploy/` make of the settings of the site.
    fn settings(&self, machine: &Machine, role: &str, first_start: bool) -> String {
        let seeds = self.seeds.lock().unwrap();
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{}:8144\"", self.storage[*seed].ip));
        let seeds: Vec<String> = seeds.collect();
        let (ip, data) = (&machine.ip, machine.data());
        let (memory, own) = match role {
            "gateway" => (
                220,
                format!(
                    "[gateway]\nlisten = \"{ip}:8149\"\nready_listen = \"{ip}:8141\"\n\
                     metrics_listen = \"{ip}:19464\"\n"
                ),
            ),
            "member" => (
                230,
                format!(
                    "[member]\noperator_listen = \"{ip}:8144\"\nresolution_listen = \"{ip}:8143\"\n\
                     data_folder = \"{}/member\"\nmetrics_listen = \"{ip}:19465\"\n",
                    data.display()
                ),
            ),
            _ => (
                230,
                format!(
                    "[store]\ndata_folder = \"{}/store\"\nmetrics_listen = \"{ip}:19464\"\n",
                    data.display()
                ),
            ),
        };
        format!(
            "[fleet]\nname = \"{}\"\nzone = \"{}\"\nip = \"{ip}\"\nports = [7380,7395]\n\
             seeds = [{}]\nfirst_start = {first_start}\ntolerated_losses = 1\n\
             list_address = \"{}\"\nlist_calls_per_s = 44.0\ndrain_ms = 3000\nchange_ms = 2000\n\
             stop_s = 8\nresolution_s = 5\nmemory_mb = {memory}\n\
             conditions = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n{own}",
            machine.name,
            machine.zone,
            seeds.join(", "),
            self.list,
        )
    }

    /// Sends an order of the operator to the members until one takes it.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            let mut address = self.operator(number % self.storage.len());
            number += 1;
            for _ in 0..3 {
                let headers = [("Content-Type", "application/json".to_owned())];
                let second = Duration::from_secs(1);
                let reply = call(address, method, path, &headers, body.as_bytes(), second);
                self.record.note(&format!(
                    "operator {method} {path} at {address}: {}",
                    reply.status
                ));
                if reply.status == 307 {
                    let location = reply.head.get("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://").split('/').next();
                    match host.and_then(|host| host.parse().ok()) {
                        Some(other) => address = other,
                        None => break,
                    }
                    continue;
                }
                if reply.status != 0 && reply.status < 500 {
                    return Some((reply.status, reply.body));
                }
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    fn operator(&self, machine: usize) -> SocketAddr {
        format!("{}:8144", self.storage[machine].ip)
            .parse()
            .expect("an address")
    }

    pub fn front(&self, gateway: usize) -> SocketAddr {
        format!("{}:8149", self.gateways[gateway].ip)
            .parse()
            .expect("an address")
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |machine: &Machine| {
            let address = format!("{}:8141", machine.ip).parse().expect("an address");
            let second = Duration::from_secs(1);
            call(address, "GET", "/luglink/readiness", &[], b"", second).status == 200
        };
        while Instant::now() < until {
            if self.gateways.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}
