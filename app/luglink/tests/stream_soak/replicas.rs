//! Stand-in replicas of several software versions, and the platform's list of them.

use crate::random::Random;
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

/// Time for which a draining replica goes on serving, longer than the fleet's `drain_ms`.
const DRAIN_DURATION: Duration = Duration::from_millis(3_400);

/// Whether replicas break and stall streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    None,
    Random,
}

/// Stand-in replica.
#[derive(Clone)]
pub struct Replica {
    id: String,
    version: usize,
    address: SocketAddr,
    is_draining: Rc<Cell<bool>>,
    end: CancellationToken,
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
}

impl Replicas {
    /// Starts `count` replicas of each of two versions.
    pub async fn start(seed: u64, count: usize, faults: Faults) -> Self {
        let replicas = Self {
            listed: Rc::default(),
            started: Rc::default(),
            seed,
            faults,
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
        let replica = Replica {
            id: format!("r{number}"),
            version,
            address: listener.local_addr().unwrap(),
            is_draining: Rc::default(),
            end: CancellationToken::new(),
            faults: self.faults,
            random: Rc::new(RefCell::new(Random::new(self.seed ^ (number as u64) << 32))),
        };
        self.listed.borrow_mut().push(replica.clone());
        actix_rt::spawn(replica.serve(listener));
    }

    fn remove(&self, id: &str) {
        self.listed.borrow_mut().retain(|listed| listed.id != id);
    }

    /// Returns the number of replicas of a version that take new streams.
    pub fn serving(&self, version: usize) -> usize {
        let listed = self.listed.borrow();
        let serving = listed.iter().filter(|replica| {
            let is_up = !replica.end.is_cancelled() && !replica.is_draining.get();
            is_up && replica.version == version
        });
        serving.count()
    }

    fn pick(&self, random: &mut Random) -> Option<Replica> {
        let listed = self.listed.borrow();
        let up = listed.iter().filter(|replica| {
            let is_up = !replica.end.is_cancelled() && !replica.is_draining.get();
            is_up && self.serving(replica.version) > 1
        });
        let up: Vec<&Replica> = up.collect();
        (!up.is_empty()).then(|| up[random.below(up.len())].clone())
    }

    /// Crashes a replica. One of the same version replaces it.
    pub async fn crash(&self, random: &mut Random) {
        let Some(replica) = self.pick(random) else {
            return;
        };
        replica.end.cancel();
        let replicas = self.clone();
        let delay = random.millis(50..400);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            replicas.add(replica.version).await;
            actix_rt::time::sleep(LIST_LAG).await;
            replicas.remove(&replica.id);
        });
    }

    /// Ends a replica at once. One of the same version replaces it.
    pub async fn replace(&self, id: &str) {
        let listed = self.listed.borrow().clone();
        let replica = listed.iter().find(|listed| listed.id == id).unwrap();
        replica.end.cancel();
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
            replica.end.cancel();
        });
    }

    fn list(&self) -> String {
        let listed = self.listed.borrow();
        let entries = listed.iter().map(|replica| {
            json!({
                "id": replica.id, "service": "service", "address": replica.address,
                "zone": "here", "slots": 16, "draining": replica.is_draining.get(),
                "version": format!("v{}", replica.version),
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
    async fn serve(self, listener: TcpListener) {
        let end = self.end.clone();
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = self.clone();
                let end = self.end.clone();
                actix_rt::spawn(async move {
                    end.run_until_cancelled(replica.serve_connection(stream))
                        .await;
                });
            }
        };
        end.run_until_cancelled(accepting).await;
    }

    async fn serve_connection(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(headers) = read_head(&mut stream, &mut buffer).await {
            if !self.respond(&headers, &mut stream).await {
                return;
            }
        }
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
            if self.has_fault(BREAK_PERCENT) {
                return false;
            }
            if self.has_fault(STALL_PERCENT) {
                actix_rt::time::sleep(STALL_DURATION).await;
            }
            let event = format!("id: {number}\ndata: {}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Reads the head of a request without a body. Returns its headers in lower case.
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
    let headers = head.lines().filter_map(|line| line.split_once(": "));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()));
    Some(headers.collect())
}
