//! Stand-ins and process control for the cases of this folder. Only the standard library is used.
//!
//! A deployment of the project's own programs is started as separate processes on loopback addresses,
//! with the commands of the deploy file. Platform, replicas, operator and clients are stand-ins.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub const HOST: &str = "desk.example";
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Record of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
            path: folder.join("record.txt"),
        }
    }

    /// Returns the record in the folder that the command line names.
    pub fn from_arguments() -> Self {
        let folder = std::env::args().nth(1).expect("usage: CASE FOLDER");
        Self::new(Path::new(&folder))
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.seconds(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self) {
        let lines = self.lines.lock().unwrap();
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
    }
}

/// Ends the script: writes the record and returns the exit code.
pub fn finish(record: &Record, verdict: Result<bool, String>) -> i32 {
    let code = match &verdict {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    match verdict {
        Ok(true) => record.note("verdict: the rule held"),
        Ok(false) => record.note("verdict: the rule was broken"),
        Err(reason) => record.note(format!("verdict: the case could not run: {reason}")),
    }
    record.write();
    code
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Process of the project.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/luglink")
            .args([self.role, "--dialect", "platform"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("LUGLINK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        RUNNING.lock().unwrap().insert(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            RUNNING.lock().unwrap().remove(&child.id());
            let _ = child.wait();
        }
    }

    /// Lets the next start be one in a running deployment.
    pub fn end_first_start(&self) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("first_start = true", "first_start = false");
        fs::write(&self.settings, text).unwrap();
    }
}

/// Deployment: `storage` machines with a member and a store each, and `front` machines with a gateway.
pub struct Deployment {
    pub members: Vec<Process>,
    pub stores: Vec<Process>,
    pub gateways: Vec<Process>,
    pub fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.all() {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a block 127.A.B of loopback addresses of which none is used.
fn free_block() -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut draw = time.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
    loop {
        draw = draw
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let block = format!("127.{}.{}", 20 + (draw >> 33) % 200, (draw >> 45) % 250);
        let is_free = (1..=12).all(|host| {
            [7380, 7381, 8141, 8143, 8144, 8149]
                .iter()
                .all(|port| TcpListener::bind(format!("{block}.{host}:{port}")).is_ok())
        });
        if is_free {
            return block;
        }
    }
}

impl Deployment {
    /// Starts all processes; the configuration must be sent then.
    pub fn start(storages: usize, fronts: usize, list: SocketAddr) -> Self {
        let block = free_block();
        let folder = std::env::temp_dir().join(format!("luglink-review-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let ip = |host: usize| format!("{block}.{}", host + 1);
        let seeds: Vec<String> = (0..storages.min(3))
            .map(|host| format!("\"{}:8144\"", ip(host)))
            .collect();
        let process = |role: &'static str, host: usize, name: String, memory: u32, tail: String| {
            // The content that the templates of the deploy file give.
            let text = format!(
                "[fleet]\nname = \"{name}\"\nzone = \"zone-a\"\nip = \"{ip}\"\nports = [7380,7395]\n\
                 seeds = [{seeds}]\nfirst_start = true\ntolerated_losses = 1\nlist_address = \"{list}\"\n\
                 list_calls_per_s = 44.0\ndrain_ms = 3000\nchange_ms = 2000\nstop_s = 8\nresolution_s = 5\n\
                 memory_mb = {memory}\nconditions = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\
                 \"agent\",\"stream\",\"engine\"]\n{tail}",
                ip = ip(host),
                seeds = seeds.join(","),
            );
            let settings = folder.join(format!("{role}-{name}.toml"));
            fs::write(&settings, text).unwrap();
            Process {
                log: folder.join(format!("{role}-{name}.log")),
                name,
                role,
                settings,
                child: Mutex::default(),
            }
        };
        let data = |host: usize, role: &str| {
            folder
                .join(format!("data-{host}-{role}"))
                .display()
                .to_string()
        };
        let members = (0..storages).map(|host| {
            let ip = ip(host);
            let tail = format!(
                "[member]\noperator_listen = \"{ip}:8144\"\nresolution_listen = \"{ip}:8143\"\n\
                 data_folder = \"{}\"\nmetrics_listen = \"{ip}:19465\"\n",
                data(host, "member")
            );
            process(
                "member",
                host,
                format!("storage-zone-a-{}", host + 1),
                230,
                tail,
            )
        });
        let members: Vec<Process> = members.collect();
        let stores = (0..storages).map(|host| {
            let tail = format!(
                "[store]\ndata_folder = \"{}\"\nmetrics_listen = \"{}:19464\"\n",
                data(host, "store"),
                ip(host)
            );
            process(
                "store",
                host,
                format!("storage-zone-a-{}", host + 1),
                230,
                tail,
            )
        });
        let stores: Vec<Process> = stores.collect();
        let hosts = storages..storages + fronts;
        let gateways = hosts.clone().map(|host| {
            let ip = ip(host);
            let tail = format!(
                "[gateway]\nlisten = \"{ip}:8149\"\nready_listen = \"{ip}:8141\"\nmetrics_listen = \"{ip}:19464\"\n"
            );
            process("gateway", host, format!("front-zone-a-{}", host - storages + 1), 220, tail)
        });
        let gateways: Vec<Process> = gateways.collect();
        let address = |host: usize, port: u16| format!("{}:{port}", ip(host)).parse().unwrap();
        let deployment = Self {
            members,
            stores,
            gateways,
            fronts: hosts.clone().map(|host| address(host, 8149)).collect(),
            readies: hosts.map(|host| address(host, 8141)).collect(),
            operators: (0..storages).map(|host| address(host, 8144)).collect(),
            folder: folder.clone(),
        };
        for process in deployment.all() {
            process.start();
        }
        deployment
    }

    fn all(&self) -> impl Iterator<Item = &Process> {
        self.members
            .iter()
            .chain(&self.stores)
            .chain(&self.gateways)
    }

    /// Sends a configuration until it is acknowledged, to one member after the other. Follows two
    /// redirects.
    pub fn configure(&self, body: &str, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < limit {
            for operator in &self.operators {
                let mut address = *operator;
                for _ in 0..3 {
                    let headers = [("Host", address.to_string())];
                    let answer = request(
                        address,
                        "POST",
                        "/luglink/Configuration.Put",
                        &headers,
                        body.as_bytes(),
                        Duration::from_secs(1),
                    );
                    let Some(location) = answer.header("location") else {
                        if answer.status == 200 {
                            return Ok(());
                        }
                        break;
                    };
                    let Some(next) = location
                        .strip_prefix("http://")
                        .and_then(|rest| rest.split('/').next())
                    else {
                        break;
                    };
                    address = next
                        .parse()
                        .map_err(|_| "a redirect leads nowhere".to_owned())?;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no member acknowledged the configuration".to_owned())
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_until_ready(&self, gateway: usize, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < limit {
            let ready = self.readies[gateway];
            let headers = [("Host", ready.to_string())];
            if request(
                ready,
                "GET",
                "/luglink/readiness",
                &headers,
                b"",
                Duration::from_secs(1),
            )
            .status
                == 200
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("gateway {gateway} is not ready"))
    }

    pub fn wait_until_all_ready(&self) -> Result<(), String> {
        (0..self.gateways.len())
            .try_for_each(|gateway| self.wait_until_ready(gateway, Duration::from_secs(20)))
    }
}

/// Head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reader of messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start_line = lines.next()?.to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| {
                    (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                });
                return Some(Head {
                    start_line,
                    headers: headers.collect(),
                });
            }
            if !matches!(self.fill(), Ok(count) if count > 0) {
                return None;
            }
        }
    }

    pub fn exact(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(count) if count > 0) {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !matches!(self.fill(), Ok(count) if count > 0) {
                return None;
            }
        }
    }

    /// Reads the next chunk of a chunked body; an empty one is the last.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
        let chunk = self.exact(size)?;
        self.line()?;
        Some(chunk)
    }
}

/// Answer as a client saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// True if the body came to its end.
    pub is_whole: bool,
    /// Time at which the end of the body had been read.
    pub ended_at: Option<Instant>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.get(name)
    }

    /// Returns the id and the data of each whole event.
    pub fn events(&self) -> Vec<(String, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        let events = whole.split("\n\n").filter(|event| !event.is_empty());
        let field = |event: &str, name: &str| {
            let line = event
                .lines()
                .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
            line.unwrap_or_default().to_owned()
        };
        events
            .map(|event| (field(event, "id"), field(event, "data")))
            .collect()
    }
}

/// Sends a request on a new connection and reads the answer. `on_chunk` is told the body after each part.
pub fn request_with(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
    mut on_chunk: impl FnMut(&Answer),
) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    if stream
        .write_all(text.as_bytes())
        .and_then(|()| stream.write_all(body))
        .is_err()
    {
        return answer;
    }
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head() else {
        return answer;
    };
    answer.status = head
        .start_line
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    let length = head
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"));
    answer.head = head;
    if is_chunked {
        while let Some(chunk) = reader.chunk() {
            answer.is_whole = chunk.is_empty();
            if answer.is_whole {
                break;
            }
            answer.body.extend(chunk);
            on_chunk(&answer);
        }
    } else if let Some(length) = length {
        if let Some(bytes) = reader.exact(length) {
            answer.body = bytes;
            answer.is_whole = true;
        }
    }
    answer.ended_at = Some(Instant::now());
    answer
}

pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    request_with(address, method, path, headers, body, limit, |_| {})
}

/// Request as a replica got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub replica: usize,
    pub at: Instant,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Arrival {
    pub fn id(&self) -> &str {
        self.head.get("x-attempt-id").unwrap_or_default()
    }
}

/// Entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub is_draining: bool,
}

/// The platform's list and the replicas on it.
#[derive(Clone, Default)]
pub struct Platform {
    pub entries: Arc<Mutex<Vec<Entry>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

type Handler = dyn Fn(&Arrival, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

impl Platform {
    /// Serves the list. Returns its address.
    pub fn serve_list(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || platform.answer_list(stream));
            }
        });
        address
    }

    fn answer_list(&self, mut stream: TcpStream) {
        let mut reader = Reader::new(stream.try_clone().unwrap());
        while let Some(head) = reader.head() {
            let is_list = head.start_line.starts_with("GET /instances");
            let entries = self.entries.lock().unwrap().clone();
            let entries: Vec<String> = entries.iter().map(|entry| format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"{}\",\"cold-remaining-ms\":0,\"stage\":\"both\",\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"id\":\"{}\"}}",
                entry.service, entry.address, entry.slots,
                if entry.is_draining { "draining" } else { "ready" }, entry.id,
            )).collect();
            let body = format!(
                "{{\"instances\":[{}],\"next-page-token\":null}}",
                entries.join(",")
            );
            let status = if is_list { "200 OK" } else { "404 Not Found" };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Starts a replica and lists it. `handler` answers a request and returns true if the connection may
    /// be used again.
    pub fn add_replica(
        &self,
        service: &'static str,
        slots: u32,
        handler: impl Fn(&Arrival, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
    ) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut entries = self.entries.lock().unwrap();
        let number = entries.len();
        let id = format!("i-{number:08x}");
        entries.push(Entry {
            id: id.clone(),
            service,
            address,
            slots,
            is_draining: false,
        });
        drop(entries);
        let handler: Arc<Handler> = Arc::new(handler);
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, id, handler) = (platform.clone(), id.clone(), Arc::clone(&handler));
                thread::spawn(move || {
                    platform.serve_replica(number, &id, slots, &*handler, stream)
                });
            }
        });
        number
    }

    fn serve_replica(
        &self,
        replica: usize,
        id: &str,
        slots: u32,
        handler: &Handler,
        mut stream: TcpStream,
    ) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().unwrap());
        while let Some(head) = reader.head() {
            let length = head
                .get("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let Some(body) = reader.exact(length) else {
                return;
            };
            let at = Instant::now();
            let is_report = head.start_line.starts_with("GET /luglink/report");
            let is_health = head.start_line.starts_with("GET /health");
            let written = if is_report {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"sequence\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":{},\"handles\":0}}",
                    slots * 10_000
                );
                answer(
                    &mut stream,
                    "200 OK",
                    &[("Content-Type", "application/json".to_owned())],
                    body.as_bytes(),
                )
            } else if is_health {
                answer(
                    &mut stream,
                    "200 OK",
                    &[("X-Instance-Id", id.to_owned())],
                    b"",
                )
            } else if head
                .get("x-expect-instance")
                .is_some_and(|expected| expected != id)
            {
                let echo = head.get("x-attempt-id").unwrap_or_default().to_owned();
                answer(
                    &mut stream,
                    "421 Misdirected Request",
                    &[("X-Attempt-Id", echo), ("X-Not-Executed", "1".to_owned())],
                    b"",
                )
            } else {
                let arrival = Arrival {
                    replica,
                    at,
                    head,
                    body,
                };
                self.arrivals.lock().unwrap().push(arrival.clone());
                handler(&arrival, &mut stream)
            };
            if !matches!(written, Ok(true)) {
                return;
            }
        }
    }
}

/// Writes a whole answer. Returns true.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    Ok(true)
}

/// Writes the head of a stream.
pub fn begin_stream(arrival: &Arrival, stream: &mut TcpStream) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {}\r\nX-Response-Seal: {SEAL}\r\n\
         X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        arrival.id()
    );
    stream.write_all(text.as_bytes())
}

pub fn send_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut text = format!("{:x}\r\n", bytes.len()).into_bytes();
    text.extend_from_slice(bytes);
    text.extend_from_slice(b"\r\n");
    stream.write_all(&text)
}

pub fn event(number: usize, data: &str) -> String {
    format!("id: {number}\ndata: {data}\n\n")
}

/// Returns the number of the event after which a request continues.
pub fn continues_after(arrival: &Arrival) -> usize {
    arrival
        .head
        .get("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns an identifier that no other request has.
pub fn attempt_id() -> String {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    format!(
        "{:016x}",
        time.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// Processes that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends the whole script if it takes longer than `limit`.
pub fn limit_run(record: &Record, limit: Duration, is_over: Arc<AtomicBool>) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        if !is_over.load(Ordering::SeqCst) {
            for pid in &*RUNNING.lock().unwrap() {
                // SAFETY: the processes are children of this one that have not been waited for.
                unsafe { kill(*pid as i32, SIGKILL) };
            }
            std::process::exit(finish(&record, Err("it took too long".to_owned())));
        }
    });
}

impl Deployment {
    /// Signals both processes of a storage machine.
    pub fn signal_machine(&self, host: usize, signal: i32) {
        self.members[host].signal(signal);
        self.stores[host].signal(signal);
    }

    /// Kills both processes of a storage machine.
    pub fn kill_machine(&self, host: usize) {
        self.signal_machine(host, SIGKILL);
        self.members[host].kill();
        self.stores[host].kill();
    }

    pub fn start_member(&self, host: usize) {
        self.members[host].end_first_start();
        self.members[host].start();
    }

    pub fn start_store(&self, host: usize) {
        self.stores[host].end_first_start();
        self.stores[host].start();
    }

    /// Starts both processes of a storage machine in a running deployment.
    pub fn start_machine(&self, host: usize) {
        self.start_member(host);
        self.start_store(host);
    }

    /// Empties the disk of a storage machine whose processes do not run.
    pub fn wipe_machine(&self, host: usize) {
        for role in ["member", "store"] {
            let _ = fs::remove_dir_all(self.folder.join(format!("data-{host}-{role}")));
        }
    }

    /// Returns the storage machine whose member leads.
    pub fn leader(&self) -> Option<usize> {
        for _ in 0..50 {
            for (host, operator) in self.operators.iter().enumerate() {
                let headers = [("Host", operator.to_string())];
                let answer = request(
                    *operator,
                    "GET",
                    "/luglink/Configuration.Get",
                    &headers,
                    b"",
                    Duration::from_secs(1),
                );
                if let Some(location) = answer.header("location") {
                    let leader = location
                        .strip_prefix("http://")
                        .and_then(|rest| rest.split('/').next());
                    return self
                        .operators
                        .iter()
                        .position(|operator| Some(operator.to_string().as_str()) == leader);
                }
                if answer.status == 200 && host > 0 {
                    return Some(host);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}
