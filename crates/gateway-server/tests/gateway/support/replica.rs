//! Replicas that write scripted bytes to their connections.

use super::cut::Cut;
use super::ending::Ending;
use super::endless::{Endless, Pace};
use super::received::{ReceivedRequest, content_length, read_exactly, read_request};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

/// Beginning of a health check.
const HEALTH_TARGET: &str = "GET /health ";

/// Size of one event's data in [`Script::Flood`].
const FLOOD_EVENT_BYTES: usize = 16 << 10;

/// Time for which [`Script::Unread`] leaves a request unread, longer than any caller waits.
const UNREAD_DURATION: Duration = Duration::from_secs(10);

/// Time that a request takes in [`Script::CrashesOn`] and [`Script::ClosesOn`].
const RUN_DURATION: Duration = Duration::from_millis(60);

/// Time between the close of a request's connection and that of the others, in
/// [`Ending::ConnectionsInTurn`].
const CLOSE_INTERVAL: Duration = Duration::from_millis(60);

/// Time between a response or the close of a request's connection and the end of the process.
const END_DELAY: Duration = Duration::from_millis(200);

/// Number of events of a stream before the replica ends.
const EVENTS_BEFORE_END: usize = 2;

/// Behaviour of a replica on each request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Script {
    /// Sends a complete, signed response.
    Answer,
    /// Sends a complete, signed response after this time.
    Takes(Duration),
    /// Sends a signed response with status 500.
    Fail,
    /// Declines with status 503 and the header for requests that were not run.
    Decline,
    /// Declines the first request on each connection. In the place of the response to the next one, it
    /// sends the same refusal once more, runs that request, and closes.
    DeclinesTwice,
    /// Sends status 421, as if another replica had its address.
    Misdirected,
    /// Declares a longer body than it sends, and closes.
    Cut,
    /// Sends a complete response followed by a second one.
    Extra,
    /// Sends a response with the identifier of another request.
    Foreign,
    /// Sends a response without a signature.
    Unsigned,
    /// Sends a signed response with this status.
    Status(&'static str),
    /// Sends a response with a content encoding.
    Encoded,
    /// Sends only a part of a response to a request whose target contains `cut`. Answers the others.
    Cuts(Cut),
    /// Sends a response without a length, and closes.
    Unframed,
    /// Sends a response before it reads the body of the request, then reads the body.
    Early,
    /// Sends bytes that are not HTTP.
    Noise,
    /// Closes without a response.
    Close,
    /// Keeps the connection open without a response.
    Mute,
    /// Sends this many of five events and closes within the next one.
    StreamBroken(usize),
    /// Sends this many complete events and closes without the end of the body.
    StreamCut(usize),
    /// Sends this many complete events, closes all connections and accepts no more.
    StreamCrashes(usize),
    /// Crashes on a request whose target contains this text. Responds to the others after
    /// [`RUN_DURATION`].
    CrashesOn(&'static str),
    /// Ends in this way under a request whose target contains this text. Responds to the others
    /// after [`RUN_DURATION`].
    EndsOn(&'static str, Ending),
    /// Closes the connection of a request whose target contains this text, without a response.
    /// Responds to the others after [`RUN_DURATION`].
    ClosesOn(&'static str),
    /// Sends this many complete events and closes. From then on another replica has its address.
    StreamReplaced(usize),
    /// Sends this many events, a part of the next one, and the proper end of the body.
    StreamEndsInside(usize),
    /// Sends five events, starting after the last event named by the request.
    Stream,
    /// Sends this many complete events and closes without the end of the body. Later requests get
    /// [`Script::Stream`].
    StreamCutOnce(usize),
    /// Sends the events before this one, starting after the last event named by the request, then keeps
    /// the connection open.
    StreamStalled(usize),
    /// Sends five events like [`Script::Stream`], each once `steps` allows it.
    StreamStepwise,
    /// Sends an endless stream of events.
    StreamEndless,
    /// Sends an endless stream of long events, as fast as it is read. Requests to `/safe/` get a
    /// complete response.
    Flood,
    /// Reads only the head of a request, and closes much later.
    Unread,
    /// Sends bytes without end in response to a request whose target contains `endless`. Answers the
    /// others.
    Endless(Endless, Pace),
}

/// Scripted replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub is_draining: Rc<Cell<bool>>,
    /// Start time in its list entry and its reports; 0 if unknown.
    pub started_ms: Rc<Cell<u64>>,
    pub script: Rc<RefCell<Script>>,
    pub seen: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Identifiers of the requests that [`Script::DeclinesTwice`] has run.
    pub runs: Rc<RefCell<Vec<String>>>,
    /// Number of connections closed by the gateway. [`Script::Unread`] counts its connections when
    /// it closes them itself.
    pub closed: Rc<Cell<u32>>,
    /// Identifiers of the requests whose connections the gateway closed before their responses ended.
    pub cancelled: Rc<RefCell<Vec<String>>>,
    pub accepted: Rc<Cell<u32>>,
    /// Number of running requests, of four slots, in its reports. Without it, the replica does not
    /// answer requests for reports.
    pub running: Rc<Cell<Option<u32>>>,
    /// Software version in its list entry; `None` if the entry has none.
    pub version: Rc<RefCell<Option<String>>>,
    /// Closes the connections of [`Script::StreamStalled`] when notified.
    pub reset: Rc<Notify>,
    /// Number of events that [`Script::StreamStepwise`] may send.
    pub steps: Rc<Semaphore>,
    /// Number of bytes sent by [`Script::Endless`] on connections that are closed.
    pub endless_bytes: Rc<Cell<usize>>,
    /// Set once the replica has crashed.
    crash: CancellationToken,
    /// Set once the replica does nothing more, although its connections stay open.
    dark: CancellationToken,
    /// Ends the connections of the running process.
    process: Rc<RefCell<CancellationToken>>,
    /// Times at which the replica has ended.
    pub ends: Rc<RefCell<Vec<Instant>>>,
    /// Times at which it received requests under which it ends.
    pub bad_requests: Rc<RefCell<Vec<Instant>>>,
}

impl Replica {
    pub async fn start(id: &str, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            is_draining: Rc::default(),
            started_ms: Rc::default(),
            script: Rc::new(RefCell::new(script)),
            seen: Rc::default(),
            runs: Rc::default(),
            closed: Rc::default(),
            cancelled: Rc::default(),
            accepted: Rc::default(),
            running: Rc::default(),
            version: Rc::default(),
            reset: Rc::default(),
            steps: Rc::new(Semaphore::new(0)),
            endless_bytes: Rc::default(),
            crash: CancellationToken::new(),
            dark: CancellationToken::new(),
            process: Rc::default(),
            ends: Rc::default(),
            bad_requests: Rc::default(),
        };
        let serving = replica.clone();
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.accepted.set(serving.accepted.get() + 1);
                actix_rt::spawn(serving.clone().serve_until_end(stream));
            }
        };
        let (crash, dark) = (replica.crash.clone(), replica.dark.clone());
        actix_rt::spawn(async move {
            let accepting = dark.run_until_cancelled(accepting);
            crash.run_until_cancelled(accepting).await;
        });
        replica
    }

    /// Starts a replica whose list entry names a software version.
    pub async fn start_version(id: &str, version: &str, script: Script) -> Self {
        let replica = Self::start(id, script).await;
        *replica.version.borrow_mut() = Some(version.to_owned());
        replica
    }

    pub fn set_script(&self, script: Script) {
        *self.script.borrow_mut() = script;
    }

    /// Ends the replica with all its connections.
    pub fn crash(&self) {
        if !self.has_crashed() {
            self.note_end();
        }
        self.crash.cancel();
    }

    /// Returns true if the replica has crashed.
    pub fn has_crashed(&self) -> bool {
        self.crash.is_cancelled()
    }

    fn note_cancelled(&self, seen: &ReceivedRequest) {
        self.closed.set(self.closed.get() + 1);
        self.cancelled.borrow_mut().push(seen.id().to_owned());
    }

    /// Returns true if the gateway closed the connection of a request before its response ended.
    pub fn has_cancelled(&self, id: &str) -> bool {
        self.cancelled
            .borrow()
            .iter()
            .any(|cancelled| cancelled == id)
    }

    fn note_end(&self) {
        self.ends.borrow_mut().push(Instant::now());
    }

    /// Returns the entry of an earlier process of the replica for the list.
    pub fn with_old_entry(&self, started_ms: u64) -> Self {
        Self {
            started_ms: Rc::new(Cell::new(started_ms)),
            ..self.clone()
        }
    }

    pub fn requests(&self) -> usize {
        self.seen.borrow().len()
    }

    pub fn last(&self) -> ReceivedRequest {
        self.seen.borrow().last().cloned().expect("a request")
    }

    async fn serve_until_end(self, mut stream: TcpStream) {
        let (crash, dark) = (self.crash.clone(), self.dark.clone());
        let process = self.process.borrow().clone();
        let serving = async {
            let serving = process.run_until_cancelled(self.serve(&mut stream));
            if dark.run_until_cancelled(serving).await.is_none() {
                crash.cancelled().await;
            }
        };
        crash.run_until_cancelled(serving).await;
    }

    async fn serve(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        let mut declined: Option<String> = None;
        loop {
            let skips_body = matches!(*self.script.borrow(), Script::Early | Script::Unread);
            let Some(seen) = read_request(stream, &mut buffer, skips_body).await else {
                self.closed.set(self.closed.get() + 1);
                return;
            };
            if seen.target.starts_with("GET /v1/report ") {
                if let Some(id) = declined.take() {
                    let _ = stream.write_all(self.refusal(&id).as_bytes()).await;
                }
                if !self.report(stream).await {
                    return;
                }
                continue;
            }
            // A health check is no run.
            if !seen.target.starts_with(HEALTH_TARGET) {
                self.seen.borrow_mut().push(seen.clone());
            }
            let script = self.script.borrow().clone();
            if script == Script::DeclinesTwice {
                match declined.replace(seen.id().to_owned()) {
                    None => {
                        let refusal = self.refusal(seen.id());
                        let _ = stream.write_all(refusal.as_bytes()).await;
                        continue;
                    }
                    Some(id) => {
                        let _ = stream.write_all(self.refusal(&id).as_bytes()).await;
                        self.runs.borrow_mut().push(seen.id().to_owned());
                        return;
                    }
                }
            }
            if !self.respond(&script, &seen, stream, &mut buffer).await {
                return;
            }
        }
    }

    async fn report(&self, stream: &mut TcpStream) -> bool {
        let Some(running) = self.running.get() else {
            return false;
        };
        let body = json!({
            "running": running, "waiting": 0, "memory_used": 0, "memory_total": 1_000,
            "started_ms": self.started_ms.get(),
        });
        let body = body.to_string();
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    fn head(&self, status: &str, id: &str, rest: &str) -> String {
        format!("HTTP/1.1 {status}\r\nLuglink-Request-Id: {id}\r\n{rest}\r\n")
    }

    fn refusal(&self, id: &str) -> String {
        let rest = "Luglink-Not-Executed: 1\r\nContent-Length: 0\r\n";
        self.head("503 Service Unavailable", id, rest)
    }

    fn whole(&self, id: &str, body: &str) -> String {
        let signature = format!("Luglink-Signature: of-{id}\r\nX-Kept: as it is\r\n");
        let length = format!("Content-Length: {}\r\n", body.len());
        self.head("200 OK", id, &format!("{signature}{length}")) + body
    }

    /// Responds to a request. Returns true if the connection stays open.
    async fn respond(
        &self,
        script: &Script,
        seen: &ReceivedRequest,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> bool {
        let id = seen.id().to_owned();
        let body = format!("answer of {} to {id}", self.id);
        let signed = format!("Luglink-Signature: of-{id}\r\n");
        let (text, goes_on) = match script {
            Script::Answer => (self.whole(&id, &body), true),
            Script::Takes(time) => {
                actix_rt::time::sleep(*time).await;
                (self.whole(&id, &body), true)
            }
            Script::Fail => {
                let rest = format!("{signed}Content-Length: 4\r\n");
                (
                    self.head("500 Internal Server Error", &id, &rest) + "oops",
                    true,
                )
            }
            Script::Decline | Script::DeclinesTwice => (self.refusal(&id), true),
            Script::Misdirected => {
                let rest = "Content-Length: 0\r\n";
                (self.head("421 Misdirected Request", &id, rest), true)
            }
            Script::Cut => {
                let rest = format!("{signed}Content-Length: 100\r\n");
                (self.head("200 OK", &id, &rest) + "short", false)
            }
            Script::Extra => (self.whole(&id, &body) + &self.whole(&id, "surplus"), true),
            Script::Foreign => (self.whole("somebody-else", &body), true),
            Script::Unsigned => {
                let rest = format!("Content-Length: {}\r\n", body.len());
                (self.head("200 OK", &id, &rest) + &body, true)
            }
            Script::Status(status) => {
                let rest = format!("{signed}Content-Length: {}\r\n", body.len());
                (self.head(status, &id, &rest) + &body, true)
            }
            Script::Encoded => {
                let rest = format!("{signed}Content-Encoding: gzip\r\nContent-Length: 2\r\n");
                (self.head("200 OK", &id, &rest) + "xx", true)
            }
            Script::Cuts(cut) if seen.target.contains("cut") => {
                return cut.send(seen, stream).await;
            }
            Script::Cuts(_) => (self.whole(&id, &body), true),
            Script::Unframed => (self.head("200 OK", &id, &signed) + &body, false),
            Script::Early => {
                let sent = stream.write_all(self.whole(&id, &body).as_bytes()).await;
                let length = content_length(seen);
                return sent.is_ok() && read_exactly(stream, buffer, length).await;
            }
            Script::Noise => ("this is no answer\r\n\r\n".to_owned(), false),
            Script::Close => (String::new(), false),
            Script::CrashesOn(text) | Script::ClosesOn(text) => {
                actix_rt::time::sleep(RUN_DURATION).await;
                if !seen.target.contains(text) {
                    (self.whole(&id, &body), true)
                } else {
                    if matches!(script, Script::CrashesOn(_)) {
                        self.crash();
                    }
                    return false;
                }
            }
            Script::EndsOn(text, ending) => {
                actix_rt::time::sleep(RUN_DURATION).await;
                if seen.target.contains(text) {
                    return self.end_as(*ending, seen, stream).await;
                }
                match seen.target.contains("/resumable/") {
                    true => return self.stream(seen, stream, None).await,
                    false => (self.whole(&id, &body), true),
                }
            }
            Script::Mute => {
                let mut rest = [0];
                let _ = stream.read(&mut rest).await;
                self.note_cancelled(seen);
                return false;
            }
            Script::StreamBroken(events) => {
                return self.stream(seen, stream, Some((*events, "da", ""))).await;
            }
            Script::StreamCut(events) => {
                return self.stream(seen, stream, Some((*events, "", ""))).await;
            }
            Script::StreamEndsInside(events) => {
                let end = Some((*events, "da", "0\r\n\r\n"));
                return self.stream(seen, stream, end).await;
            }
            Script::StreamCrashes(events) => {
                self.stream(seen, stream, Some((*events, "", ""))).await;
                self.crash();
                return false;
            }
            Script::StreamReplaced(events) => {
                self.set_script(Script::Misdirected);
                return self.stream(seen, stream, Some((*events, "", ""))).await;
            }
            Script::StreamCutOnce(events) => {
                self.set_script(Script::Stream);
                return self.stream(seen, stream, Some((*events, "", ""))).await;
            }
            Script::StreamStalled(events) => {
                return self.stream_stalled(seen, stream, *events).await;
            }
            Script::StreamStepwise => return self.stream_stepwise(seen, stream).await,
            Script::Stream => return self.stream(seen, stream, None).await,
            Script::Flood if seen.target.contains("/safe/") => (self.whole(&id, &body), true),
            Script::Flood => return self.flood(seen, stream).await,
            Script::Unread => return self.leave_unread().await,
            Script::Endless(part, pace) if seen.target.contains("endless") => {
                let is_stream = seen.target.contains("/resumable/");
                let sent = part.send(*pace, &id, is_stream, stream).await;
                self.endless_bytes.set(self.endless_bytes.get() + sent);
                self.closed.set(self.closed.get() + 1);
                return false;
            }
            Script::Endless(..) => (self.whole(&id, &body), true),
            Script::StreamEndless => return self.stream_endless(seen, stream).await,
        };
        stream.write_all(text.as_bytes()).await.is_ok() && goes_on
    }

    /// Ends the replica under a request. Returns true if the request's connection stays open.
    async fn end_as(&self, ending: Ending, seen: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        self.bad_requests.borrow_mut().push(Instant::now());
        let id = seen.id();
        let is_stream = seen.target.contains("/resumable/");
        let text = match ending {
            Ending::AfterError => {
                let rest = format!("Luglink-Signature: of-{id}\r\nContent-Length: 4\r\n");
                self.head("500 Internal Server Error", id, &rest) + "oops"
            }
            Ending::AfterSurplus => self.whole(id, "whole") + "surplus",
            Ending::AfterNoise => "this is no answer\r\n\r\n".to_owned(),
            Ending::AfterForeign => self.whole("somebody-else", "whole"),
            Ending::AfterCut => {
                let rest = format!("Luglink-Signature: of-{id}\r\nContent-Length: 100\r\n");
                self.head("200 OK", id, &rest) + "short"
            }
            _ if is_stream => {
                let part = Some((EVENTS_BEFORE_END, "", ""));
                self.stream(seen, stream, part).await;
                String::new()
            }
            _ => String::new(),
        };
        let is_sent = stream.write_all(text.as_bytes()).await.is_ok();
        let replica = self.clone();
        let delay = match ending {
            Ending::AtOnce | Ending::Silent => Duration::ZERO,
            Ending::ConnectionsInTurn | Ending::Restart => CLOSE_INTERVAL,
            _ => END_DELAY,
        };
        if ending == Ending::AfterGivenUp {
            let mut rest = [0];
            let _ = stream.read(&mut rest).await;
        }
        actix_rt::spawn(async move {
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
            }
            replica.end(ending);
        });
        if ending == Ending::Silent {
            std::future::pending::<()>().await;
        }
        let keeps_open = matches!(ending, Ending::AfterError | Ending::AfterSurplus);
        is_sent && keeps_open
    }

    fn end(&self, ending: Ending) {
        match ending {
            Ending::Restart => {
                self.note_end();
                let process = self.process.replace(CancellationToken::new());
                process.cancel();
            }
            Ending::Silent => {
                if !self.dark.is_cancelled() {
                    self.note_end();
                }
                self.dark.cancel();
            }
            _ => self.crash(),
        }
    }

    fn stream_head(&self, seen: &ReceivedRequest) -> String {
        let rest = format!(
            "Luglink-Signature: of-{}-by-{}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n",
            seen.id(),
            self.id
        );
        self.head("200 OK", seen.id(), &rest)
    }

    /// Streams five events. With `end`, streams only that many, followed by its partial event and
    /// its end of the body.
    async fn stream(
        &self,
        seen: &ReceivedRequest,
        stream: &mut TcpStream,
        end: Option<(usize, &str, &str)>,
    ) -> bool {
        let mut text = self.stream_head(seen);
        for number in first_event(seen)..5 {
            if let Some((_, part, body_end)) = end.filter(|(events, _, _)| *events == number) {
                if !part.is_empty() {
                    text += &chunk(&format!("id: {number}\n{part}"));
                }
                text += body_end;
                // The gateway may have closed the connection already.
                let _ = stream.write_all(text.as_bytes()).await;
                return false;
            }
            text += &chunk(&event(number));
        }
        text += "0\r\n\r\n";
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn stream_stalled(
        &self,
        seen: &ReceivedRequest,
        stream: &mut TcpStream,
        events: usize,
    ) -> bool {
        let mut text = self.stream_head(seen);
        for number in first_event(seen)..events {
            text += &chunk(&event(number));
        }
        if stream.write_all(text.as_bytes()).await.is_ok() {
            let mut rest = [0];
            tokio::select! {
                _ = stream.read(&mut rest) => {}
                () = self.reset.notified() => {}
            }
        }
        self.note_cancelled(seen);
        false
    }

    async fn stream_stepwise(&self, seen: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        if stream
            .write_all(self.stream_head(seen).as_bytes())
            .await
            .is_err()
        {
            return false;
        }
        let mut rest = [0];
        for number in first_event(seen)..5 {
            tokio::select! {
                step = self.steps.acquire() => step.unwrap().forget(),
                _ = stream.read(&mut rest) => {
                    self.note_cancelled(seen);
                    return false;
                }
            }
            if stream
                .write_all(chunk(&event(number)).as_bytes())
                .await
                .is_err()
            {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }

    async fn flood(&self, seen: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let mut text = self.stream_head(seen);
        for number in 0.. {
            let long = "w".repeat(FLOOD_EVENT_BYTES);
            text += &chunk(&format!("id: {number}\ndata: {long}\n\n"));
            if stream.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            text.clear();
        }
        self.note_cancelled(seen);
        false
    }

    async fn leave_unread(&self) -> bool {
        actix_rt::time::sleep(UNREAD_DURATION).await;
        self.closed.set(self.closed.get() + 1);
        false
    }

    async fn stream_endless(&self, seen: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let mut text = self.stream_head(seen);
        for number in 0.. {
            text += &chunk(&event(number));
            if stream.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            text.clear();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        self.note_cancelled(seen);
        false
    }
}

/// Returns the number of the first event that a request asks for.
fn first_event(seen: &ReceivedRequest) -> usize {
    let last = seen.headers.get("last-event-id");
    last.map_or(0, |last| last.parse::<usize>().unwrap() + 1)
}

pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: word{number}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Serves the list of replicas in luglink's own format. Returns its address.
pub async fn serve_list(replicas: Rc<RefCell<Vec<Replica>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let replicas = Rc::clone(&replicas);
            actix_rt::spawn(async move {
                let mut buffer = Vec::new();
                while read_request(&mut stream, &mut buffer, false)
                    .await
                    .is_some()
                {
                    let body = list(&replicas.borrow());
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn list(replicas: &[Replica]) -> String {
    let entries: Vec<_> = replicas
        .iter()
        .map(|replica| {
            let mut entry = json!({
                "id": replica.id, "service": "service", "address": replica.address,
                "zone": "here", "slots": 4, "draining": replica.is_draining.get(),
                "started_ms": replica.started_ms.get(),
            });
            if let Some(version) = &*replica.version.borrow() {
                entry["version"] = json!(version);
            }
            entry
        })
        .collect();
    json!({"replicas": entries, "next": null}).to_string()
}
