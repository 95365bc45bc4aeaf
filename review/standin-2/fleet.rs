//! A small deployment of real `luglink` processes on loopback addresses, started with the commands
//! and templates of the deploy file.
use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Figures of a site's sheet that the settings carry.
pub struct Site {
    pub zones: &'static [&'static str],
    pub region: &'static str,
    pub front_memory_mb: u64,
    pub storage_memory_mb: u64,
    pub rate_per_s: f64,
}

/// A process of the system.
pub struct Process {
    pub name: String,
    pub ip: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    pub data: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    fn start(&self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/luglink")
            .args([self.role, "--dialect", "platform"])
            .env("LUGLINK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/luglink starts");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // SAFETY: plain system call on a process that this program started.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(CONT);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process, perhaps again, in a deployment that runs already.
    pub fn restart(&self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("first_start = true", "first_start = false");
        fs::write(&self.settings, text).unwrap();
        self.start();
    }

    /// Returns the resident memory of the process, now and at its peak, in mebibytes.
    pub fn memory_mb(&self) -> (u64, u64) {
        let child = self.child.lock().unwrap();
        let Some(child) = child.as_ref() else {
            return (0, 0);
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
            kilobytes.unwrap_or(0_u64) / 1024
        };
        (figure("VmRSS:"), figure("VmHWM:"))
    }

    pub fn has_ended(&self) -> bool {
        match self.child.lock().unwrap().as_mut() {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => false,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Fleet {
    pub gateways: Vec<Process>,
    pub members: Vec<Process>,
    pub stores: Vec<Process>,
    pub folder: PathBuf,
    pub record: Record,
}

const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const CONTROL_PORT: u16 = 8144;
const DIRECTORY_PORT: u16 = 8143;

/// Returns the first three numbers of loopback addresses that nothing uses.
pub fn free_prefix() -> String {
    let pid = std::process::id();
    for attempt in 0..200 {
        let prefix = format!("127.{}.{}", 64 + (pid / 250 + attempt) % 100, 1 + pid % 250);
        let is_free = (1..=40).all(|host| {
            let ports = [
                FRONT_PORT,
                READY_PORT,
                CONTROL_PORT,
                DIRECTORY_PORT,
                7380,
                7381,
                9000,
            ];
            let free = |port: &u16| TcpListener::bind(format!("{prefix}.{host}:{port}")).is_ok();
            ports.iter().all(free)
        });
        if is_free {
            return prefix;
        }
    }
    panic!("no free loopback addresses");
}

impl Fleet {
    /// Starts `fronts` gateways and `storage` machines with a member and a store each.
    pub fn start(
        site: &Site,
        prefix: &str,
        fronts: usize,
        storage: usize,
        list: SocketAddr,
        record: Record,
    ) -> Self {
        Self::start_with_spares(site, prefix, fronts, (storage, 0), list, record)
    }

    /// Starts a deployment in which `spares` further storage machines may be started later.
    pub fn start_with_spares(
        site: &Site,
        prefix: &str,
        fronts: usize,
        (storage, spares): (usize, usize),
        list: SocketAddr,
        record: Record,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("luglink-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let storage_ip = |host: usize| format!("{prefix}.{}", 10 + host);
        let seeds: Vec<String> = (0..storage.min(3))
            .map(|host| format!("\"{}:{CONTROL_PORT}\"", storage_ip(host)))
            .collect();
        let process = |role: &'static str, class: &str, host: usize, ip: String| {
            let zone = site.zones[host % site.zones.len()];
            let name = format!("{class}-{zone}-{}", 1 + host / site.zones.len());
            let data = folder.join(&name);
            let memory = if class == "front" {
                site.front_memory_mb
            } else {
                site.storage_memory_mb
            };
            let template = fs::read_to_string(format!("deploy/{role}.toml")).unwrap();
            let values: BTreeMap<&str, String> = [
                ("node-name", name.clone()),
                ("zone", zone.to_owned()),
                ("region", site.region.to_owned()),
                ("ip-address", ip.clone()),
                ("internal-port-range", "7380,7395".to_owned()),
                (
                    "first-start",
                    (class == "front" || host < storage).to_string(),
                ),
                ("fault-tolerance.machines", "1".to_owned()),
                ("cloud.address", list.to_string()),
                ("cloud.rate-per-s", site.rate_per_s.to_string()),
                ("bounds.drain-ms", "3000".to_owned()),
                ("bounds.config-apply-ms", "2000".to_owned()),
                ("bounds.grace-s", "8".to_owned()),
                ("bounds.ttl_max_s", "5".to_owned()),
                ("limits.memory-mb", memory.to_string()),
                ("listen-addresses.front", format!("{ip}:{FRONT_PORT}")),
                ("listen-addresses.ready", format!("{ip}:{READY_PORT}")),
                ("listen-addresses.control", format!("{ip}:{CONTROL_PORT}")),
                (
                    "listen-addresses.directory",
                    format!("{ip}:{DIRECTORY_PORT}"),
                ),
                ("data-directory", data.display().to_string()),
            ]
            .into();
            let text = fill(&template, &values, &seeds);
            let settings = folder.join(format!("{name}-{role}.toml"));
            fs::write(&settings, text).unwrap();
            let process = Process {
                name,
                ip,
                role,
                log: settings.with_extension("log"),
                settings,
                data,
                child: Mutex::default(),
            };
            if class == "front" || host < storage {
                process.start();
            }
            process
        };
        let storage_hosts = storage + spares;
        let members =
            (0..storage_hosts).map(|host| process("member", "storage", host, storage_ip(host)));
        let members: Vec<Process> = members.collect();
        let stores =
            (0..storage_hosts).map(|host| process("store", "storage", host, storage_ip(host)));
        let stores: Vec<Process> = stores.collect();
        let gateways = (0..fronts)
            .map(|host| process("gateway", "front", host, format!("{prefix}.{}", 20 + host)));
        let gateways: Vec<Process> = gateways.collect();
        Self {
            gateways,
            members,
            stores,
            folder,
            record,
        }
    }

    pub fn front(&self, gateway: usize) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.gateways[gateway].ip)
            .parse()
            .unwrap()
    }

    pub fn control(&self, member: usize) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.members[member].ip)
            .parse()
            .unwrap()
    }

    /// Calls the operator's API at one member after the other, and follows redirects. Returns the
    /// status and body of the first answer that is neither a redirect nor a 5xx.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        for member in 0..self.members.len() {
            let mut address = self.control(member);
            for _ in 0..3 {
                let headers = [("Content-Type", "application/json".to_owned())];
                let limit = Duration::from_secs(2);
                let Ok(answer) =
                    http::call(address, method, path, &headers, body.as_bytes(), limit)
                else {
                    break;
                };
                if answer.status == 307 {
                    let location = answer.header("location").unwrap_or_default().to_owned();
                    let host = location.trim_start_matches("http://").split('/').next();
                    let Some(next) = host.and_then(|host| host.parse().ok()) else {
                        break;
                    };
                    address = next;
                    continue;
                }
                if answer.status < 500 {
                    return Some((
                        answer.status,
                        String::from_utf8_lossy(&answer.body).into_owned(),
                    ));
                }
                break;
            }
        }
        None
    }

    /// Puts a configuration until it is acknowledged, then waits until all gateways are ready.
    pub fn configure(&self, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            let answer = self.operate("POST", "/luglink/Configuration.Put", body);
            if let Some((200, _)) = answer {
                break;
            }
            if Instant::now() > until {
                self.record
                    .line(&format!("configuration not acknowledged: {answer:?}"));
                return false;
            }
            sleep(Duration::from_millis(200));
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !(0..self.gateways.len()).all(|gateway| self.is_ready(gateway)) {
            if Instant::now() > until {
                self.record.line("not all gateways are ready");
                return false;
            }
            sleep(Duration::from_millis(100));
        }
        self.record
            .line("configuration acknowledged, all gateways ready");
        true
    }

    pub fn is_ready(&self, gateway: usize) -> bool {
        let address = format!("{}:{READY_PORT}", self.gateways[gateway].ip)
            .parse()
            .unwrap();
        let limit = Duration::from_millis(800);
        http::call(address, "GET", "/luglink/readiness", &[], b"", limit)
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Ends all processes. Keeps the folder of settings and logs only if `REVIEW_KEEP` is set.
    pub fn end(self) {
        for process in self
            .gateways
            .iter()
            .chain(&self.members)
            .chain(&self.stores)
        {
            if process.has_ended() {
                self.record.line(&format!(
                    "{} ({}) had ended by itself",
                    process.name, process.role
                ));
            }
            process.kill();
        }
        if std::env::var_os("REVIEW_KEEP").is_some() {
            println!("kept {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Fills a settings template of `deploy/`, as far as these templates go.
fn fill(template: &str, values: &BTreeMap<&str, String>, seeds: &[String]) -> String {
    let contracts = [
        "base", "drain", "config", "cost", "recover", "agent", "stream", "engine",
    ];
    let contracts: Vec<String> = contracts.iter().map(|name| format!("\"{name}\"")).collect();
    let mut text = template.to_owned();
    for (section, list) in [("seed-nodes", seeds), ("contracts", &contracts[..])] {
        replace_section(&mut text, section, &list.join(","));
    }
    for section in ["bounds.quota-window-s", "bounds.revoke-ms"] {
        replace_section(&mut text, section, "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "a gap of the template is not filled: {text}"
    );
    text
}

fn replace_section(text: &mut String, section: &str, content: &str) {
    let (begin, end) = (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"));
    while let (Some(from), Some(to)) = (text.find(&begin), text.find(&end)) {
        text.replace_range(from..to + end.len(), content);
    }
}
