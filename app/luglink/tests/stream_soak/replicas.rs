//! Stand-in replicas of several software versions, and the platform's list of them.

use crate::crash_plan::{ComeBack, CrashPlan, End, Moment};
use crate::fleet::KEPT_PATH;
use crate::random::Random;
use crate::runs::{Runs, UnderWay};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Number of events of each stream.
pub const EVENTS: usize = 12;

const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Probability that a replica breaks a stream at an event, in percent.
const BREAK_PERCENT: usize = 1;

/// Probability that a replica stops sending at an event without closing the connection, in percent.
const STALL_PERCENT: usize = 1;

const STALL_DURATION: Duration = Duration::from_secs(3);

/// Time for which a crashed replica stays in the list.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Time after which the platform replaces a replica that hangs.
const HANG_DURATION: Duration = Duration::from_secs(3);

/// Time after which a replica that never comes back is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);

/// Start time of replicas that have not restarted.
const FIRST_START_MS: u64 = 1;

const BIND_ATTEMPTS: usize = 200;

const BIND_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Key of the request target among the headers.
const TARGET: &str = ":target";

/// Key of the request body among the headers.
const BODY: &str = ":body";

/// Factor of the version in the data of a turn's events, beside their numbers.
pub const TURN_VERSION_FACTOR: usize = 100;

/// Time for which a draining replica goes on serving, longer than the fleet's `drain_ms`.
const DRAIN_DURATION: Duration = Duration::from_millis(3_400);

/// Whether replicas break and stall streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    None,
    Random,
    /// None, and no replica tells its incarnation.
    Unidentified,
}

/// Stand-in replica.
#[derive(Clone)]
pub struct Replica {
    id: String,
    /// Start time in its list entry.
    started_ms: u64,
    version: usize,
    address: SocketAddr,
    is_draining: Rc<Cell<bool>>,
    end: CancellationToken,
    /// Set once the replica does nothing more, although its connections stay open.
    dark: CancellationToken,
    /// Set once the replica accepts no connections.
    deaf: CancellationToken,
    /// True if its end resets its connections.
    resets: Rc<Cell<bool>>,
    /// Requests that it is running.
    under_way: UnderWay,
    replicas: Replicas,
    random: Rc<RefCell<Random>>,
    faults: Faults,
}

/// Replicas of the platform's list.
#[derive(Clone)]
pub struct Replicas {
    listed: Rc<RefCell<Vec<Replica>>>,
    started: Rc<Cell<usize>>,
    seed: u64,
    faults: Faults,
    /// What all replicas have run.
    pub runs: Runs,
    /// Prompts of the turns that replicas got, by the identifiers of their requests.
    pub prompts: Rc<RefCell<BTreeMap<String, Vec<String>>>>,
}

impl Replicas {
    /// Starts `count` replicas of each of two versions.
    pub async fn start(seed: u64, count: usize, faults: Faults) -> Self {
        let replicas = Self {
            listed: Rc::default(),
            started: Rc::default(),
            seed,
            faults,
            runs: Runs::default(),
            prompts: Rc::default(),
        };
        for version in [1, 2] {
            for _ in 0..count {
                replicas.add(version).await;
            }
        }
        replicas
    }

    async fn add(&self, version: usize) {
        let number = self.started.get();
        self.started.set(number + 1);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        self.add_at(listener, format!("r{number}"), FIRST_START_MS, version);
    }

    fn add_at(&self, listener: TcpListener, id: String, started_ms: u64, version: usize) {
        let number = self.started.get();
        let replica = Replica {
            id,
            started_ms,
            version,
            address: listener.local_addr().unwrap(),
            is_draining: Rc::default(),
            end: CancellationToken::new(),
            dark: CancellationToken::new(),
            deaf: CancellationToken::new(),
            resets: Rc::default(),
            under_way: UnderWay::default(),
            replicas: self.clone(),
            faults: self.faults,
            random: Rc::new(RefCell::new(Random::new(self.seed ^ (number as u64) << 32))),
        };
        self.listed.borrow_mut().push(replica.clone());
        actix_rt::spawn(replica.serve(listener));
    }

    fn remove(&self, id: &str) {
        self.listed.borrow_mut().retain(|listed| listed.id != id);
    }

    /// Ends all replicas but one. Nothing replaces them.
    pub fn keep_one(&self) {
        let surplus = self.listed.borrow_mut().split_off(1);
        for replica in surplus {
            replica.finish();
        }
    }

    /// Ends all replicas of other versions. Nothing replaces them.
    pub fn keep_version(&self, version: usize) {
        let mut listed = self.listed.borrow_mut();
        let others = listed.extract_if(.., |replica| replica.version != version);
        for replica in others {
            replica.finish();
        }
    }

    /// Starts `count` more replicas of a version.
    pub async fn join(&self, version: usize, count: usize) {
        for _ in 0..count {
            self.add(version).await;
        }
    }

    /// Returns the number of replicas of a version that take new streams.
    pub fn serving(&self, version: usize) -> usize {
        let listed = self.listed.borrow();
        let serving = listed
            .iter()
            .filter(|replica| replica.is_up() && replica.version == version);
        serving.count()
    }

    fn pick(&self, random: &mut Random) -> Option<Replica> {
        let listed = self.listed.borrow();
        let up = listed
            .iter()
            .filter(|replica| replica.is_up() && self.serving(replica.version) > 1);
        let up: Vec<&Replica> = up.collect();
        (!up.is_empty()).then(|| up[random.below(up.len())].clone())
    }

    /// Crashes a replica. One of the same version replaces it.
    pub async fn crash(&self, random: &mut Random) {
        let Some(replica) = self.pick(random) else {
            return;
        };
        replica.finish();
        let replicas = self.clone();
        let delay = random.millis(50..400);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            replicas.add(replica.version).await;
            actix_rt::time::sleep(LIST_LAG).await;
            replicas.remove(&replica.id);
        });
    }

    /// Ends a replica that runs a request with a crash plan.
    fn crash_as_planned(&self, replica: Replica, plan: CrashPlan) {
        replica.finish_by(plan.end);
        let replicas = self.clone();
        actix_rt::spawn(async move {
            if plan.end == End::Hang {
                actix_rt::time::sleep(HANG_DURATION).await;
            }
            match plan.come_back {
                ComeBack::SameId => replicas.restart(&replica).await,
                ComeBack::OtherId => {
                    actix_rt::time::sleep(LIST_LAG).await;
                    replicas.add(replica.version).await;
                    replicas.remove(&replica.id);
                }
                ComeBack::Never => {
                    actix_rt::time::sleep(LIST_LAG).await;
                    replicas.remove(&replica.id);
                    actix_rt::time::sleep(REPLACEMENT_DELAY).await;
                    replicas.add(replica.version).await;
                }
            }
            replica.end.cancel();
        });
    }

    /// Starts a replica again under the same identifier and address.
    async fn restart(&self, replica: &Replica) {
        if replica.dark.is_cancelled() {
            actix_rt::time::sleep(LIST_LAG).await;
        }
        replica.end.cancel();
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(listener) = TcpListener::bind(replica.address).await {
                self.remove(&replica.id);
                let started_ms = replica.started_ms + 1;
                self.add_at(listener, replica.id.clone(), started_ms, replica.version);
                return;
            }
            actix_rt::time::sleep(BIND_RETRY_DELAY).await;
        }
        panic!("the address of a replica is in use");
    }

    /// Ends a replica at once. One of the same version replaces it.
    pub async fn replace(&self, id: &str) {
        let listed = self.listed.borrow().clone();
        let replica = listed.iter().find(|listed| listed.id == id).unwrap();
        replica.finish();
        self.remove(id);
        self.add(replica.version).await;
    }

    /// Replaces a replica by one of another version.
    pub async fn release(&self, random: &mut Random) {
        let Some(replica) = self.pick(random) else {
            return;
        };
        let versions = [1, 2, 3];
        self.add(versions[random.below(versions.len())]).await;
        replica.is_draining.set(true);
        let replicas = self.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(DRAIN_DURATION).await;
            replicas.remove(&replica.id);
            replica.finish();
        });
    }

    fn list(&self) -> String {
        let listed = self.listed.borrow();
        let entries = listed.iter().map(|replica| {
            json!({
                "id": replica.id, "service": "service", "address": replica.address,
                "zone": "here", "slots": 16, "draining": replica.is_draining.get(),
                "version": format!("v{}", replica.version), "started_ms": replica.told_start(),
            })
        });
        json!({"replicas": entries.collect::<Vec<_>>(), "next": null}).to_string()
    }

    /// Serves the list. Returns its address.
    pub async fn serve_list(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let replicas = self.clone();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let replicas = replicas.clone();
                actix_rt::spawn(async move {
                    let mut buffer = Vec::new();
                    while read_head(&mut stream, &mut buffer).await.is_some() {
                        let body = replicas.list();
                        let length = body.len();
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                        if stream.write_all((head + &body).as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
}

impl Replica {
    fn is_up(&self) -> bool {
        let has_ended = self.end.is_cancelled() || self.dark.is_cancelled();
        !has_ended && !self.is_draining.get()
    }

    /// Returns the start time in the list entry and in reports; 0 for none.
    fn told_start(&self) -> u64 {
        match self.faults {
            Faults::Unidentified => 0,
            Faults::None | Faults::Random => self.started_ms,
        }
    }

    fn note_end(&self) {
        let replica = (self.id.as_str(), self.started_ms);
        self.replicas.runs.note_end(replica, &self.under_way);
    }

    /// Ends the process, under all requests that it is running.
    fn finish(&self) {
        self.note_end();
        self.end.cancel();
    }

    fn finish_by(&self, end: End) {
        if end.is_silent() {
            self.note_end();
            if end == End::Deaf {
                self.deaf.cancel();
            }
            self.dark.cancel();
            return;
        }
        self.resets.set(end == End::Reset);
        self.finish();
    }

    async fn serve(self, listener: TcpListener) {
        let (end, deaf) = (self.end.clone(), self.deaf.clone());
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = self.clone();
                actix_rt::spawn(replica.serve_until_end(stream));
            }
        };
        end.run_until_cancelled(deaf.run_until_cancelled(accepting))
            .await;
    }

    async fn serve_until_end(self, mut stream: TcpStream) {
        let (end, dark) = (self.end.clone(), self.dark.clone());
        let serving = async {
            let serving = self.serve_connection(&mut stream);
            if dark.run_until_cancelled(serving).await.is_none() {
                self.leave_unanswered(&mut stream).await;
            }
        };
        let has_ended = end.run_until_cancelled(serving).await.is_none();
        if has_ended && self.resets.get() {
            stream.set_zero_linger().unwrap();
        }
    }

    /// Counts the requests that are sent to a replica that has ended silently.
    async fn leave_unanswered(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        while let Some(headers) = read_head(stream, &mut buffer).await {
            let run = self.replicas.runs.begin(name_of(&headers), &self.under_way);
            self.note_end();
            drop(run);
        }
        self.end.cancelled().await;
    }

    async fn serve_connection(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        while let Some(headers) = read_head(stream, &mut buffer).await {
            if headers[TARGET] == "/v1/report" {
                if !self.report(stream).await {
                    return;
                }
                continue;
            }
            if !self.respond(&headers, stream).await {
                return;
            }
        }
    }

    async fn report(&self, stream: &mut TcpStream) -> bool {
        let body = json!({
            "running": 0, "waiting": 0, "memory_used": 0, "memory_total": 1_000,
            "started_ms": self.told_start(),
        });
        let body = body.to_string();
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + &body).as_bytes()).await.is_ok()
    }

    /// Ends the replica if the plan says so at this moment. Returns true if it did. After a silent
    /// end, does not return.
    async fn crashes_at(&self, name: &str, plan: Option<CrashPlan>, moment: Moment) -> bool {
        let Some(plan) = plan.filter(|plan| plan.moment == moment) else {
            return false;
        };
        if self.is_up() || self.is_draining.get() {
            self.crash_after(plan, name.to_owned());
        }
        if plan.end.is_unanswered() {
            std::future::pending::<()>().await;
        }
        true
    }

    /// Ends the replica under a request, after the delay of its plan.
    fn crash_after(&self, plan: CrashPlan, name: String) {
        let replica = self.clone();
        let delay = plan.end.delay();
        if delay.is_zero() {
            self.replicas.crash_as_planned(replica, plan);
            return;
        }
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            if replica.end.is_cancelled() || replica.dark.is_cancelled() {
                return;
            }
            let identity = (replica.id.as_str(), replica.started_ms);
            replica.replicas.runs.note_end_under(&name, identity);
            let replicas = replica.replicas.clone();
            replicas.crash_as_planned(replica, plan);
        });
    }

    /// Sends what the gateway receives before the end of the replica. Returns true if the connection
    /// stays open.
    async fn send_last(&self, id: &str, plan: Option<CrashPlan>, stream: &mut TcpStream) -> bool {
        let Some(end) = plan.map(|plan| plan.end) else {
            return false;
        };
        if end == End::Drop {
            stream.set_zero_linger().unwrap();
        }
        let head = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: by-{}\r\n\
                 Content-Length: 4\r\n\r\nlast",
                self.id
            )
        };
        let text = match end {
            End::Error => head("500 Internal Server Error"),
            End::Surplus => head("200 OK") + "surplus",
            End::Noise => "no response\r\n\r\n".to_owned(),
            _ => return false,
        };
        stream.write_all(text.as_bytes()).await.is_ok() && end.keeps_connection()
    }

    /// Returns true if a fault of this probability happens now.
    fn has_fault(&self, percent: usize) -> bool {
        self.faults == Faults::Random && self.random.borrow_mut().percent(percent)
    }

    /// Responds to a request. Returns true if the connection stays open.
    async fn respond(&self, headers: &BTreeMap<String, String>, stream: &mut TcpStream) -> bool {
        let id = headers
            .get("luglink-request-id")
            .cloned()
            .unwrap_or_default();
        if headers.get("luglink-expected-replica") != Some(&self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nLuglink-Request-Id: {id}\r\n\
                 Luglink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let target = headers.get(TARGET).map_or("", String::as_str);
        let is_turn = target == KEPT_PATH;
        if is_turn {
            let prompt = headers.get(BODY).cloned().unwrap_or_default();
            let mut prompts = self.replicas.prompts.borrow_mut();
            prompts.entry(id.clone()).or_default().push(prompt);
        }
        let name = name_of(headers);
        let plan = CrashPlan::parse(name);
        let _run = self.replicas.runs.begin(name, &self.under_way);
        actix_rt::time::sleep(EVENT_INTERVAL).await;
        if self.crashes_at(name, plan, Moment::BeforeHead).await {
            return self.send_last(&id, plan, stream).await;
        }
        if target.starts_with("/calls/") {
            return self.respond_to_call(&id, name, plan, stream).await;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: by-{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let last = headers.get("last-event-id");
        let from = last.map_or(0, |last| last.parse::<usize>().unwrap() + 1);
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for number in from..EVENTS {
            actix_rt::time::sleep(EVENT_INTERVAL).await;
            let moment = if number < EVENTS / 2 {
                Moment::BeforeEvents
            } else {
                Moment::MidStream
            };
            if self.crashes_at(name, plan, moment).await {
                return false;
            }
            if self.has_fault(BREAK_PERCENT) {
                return false;
            }
            if self.has_fault(STALL_PERCENT) {
                actix_rt::time::sleep(STALL_DURATION).await;
            }
            let data = match is_turn {
                true => self.version * TURN_VERSION_FACTOR + number,
                false => self.version,
            };
            let event = format!("id: {number}\ndata: {data}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

impl Replica {
    /// Responds to a request that is not a stream. Returns true if the connection stays open.
    async fn respond_to_call(
        &self,
        id: &str,
        name: &str,
        plan: Option<CrashPlan>,
        stream: &mut TcpStream,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: by-{}\r\n\
             Content-Length: 8\r\n\r\nhalf",
            self.id
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for moment in [Moment::BeforeEvents, Moment::MidStream] {
            if self.crashes_at(name, plan, moment).await {
                return false;
            }
        }
        if self.has_fault(BREAK_PERCENT) {
            return false;
        }
        stream.write_all(b"half").await.is_ok()
    }
}

/// Returns the name of a request, which is the query of its target.
fn name_of(headers: &BTreeMap<String, String>) -> &str {
    let target = headers.get(TARGET).map_or("", String::as_str);
    target.split_once('?').map_or("", |(_, name)| name)
}

/// Reads a request. Returns its headers in lower case, with its target and its body.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<BTreeMap<String, String>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
        let mut part = [0; 2_048];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).unwrap();
    let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()));
    let target = (TARGET.to_owned(), target);
    let mut headers: BTreeMap<String, String> = headers.chain([target]).collect();
    let length = headers.get("content-length");
    let length = length.map_or(0, |length| length.parse::<usize>().unwrap());
    while buffer.len() < length {
        let mut part = [0; 2_048];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
    let body = buffer.drain(..length).collect();
    headers.insert(BODY.to_owned(), String::from_utf8(body).unwrap());
    Some(headers)
}
