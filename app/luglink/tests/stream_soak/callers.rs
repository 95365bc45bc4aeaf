//! Callers that keep their connections, resume broken streams at any gateway, and check what they
//! receive.

use crate::connections::Connections;
use crate::fleet::{Fleet, HOST, PATHS};
use crate::random::Random;
use crate::replicas::EVENTS;
use http::Request;
use http_body_util::BodyExt;
use luglink_http::{Body, empty_body};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

const CALLERS: usize = 24;

/// Time that a caller has for one stream, over all its attempts.
const STREAM_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time that a caller waits for the next bytes.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a process counts as disturbed after a signal or a start.
const SETTLING_DURATION: Duration = Duration::from_secs(3);

/// Minimum number of replicas of a stream's version that serve for its resumption to be judged.
const MIN_SERVING: usize = 2;

/// Attempts and how many of them brought events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub total: u32,
    pub succeeded: u32,
}

impl Tally {
    fn record(&mut self, succeeded: bool) {
        self.total += 1;
        self.succeeded += u32::from(succeeded);
    }

    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.succeeded += other.succeeded;
    }

    pub fn share(self) -> f64 {
        f64::from(self.succeeded) / f64::from(self.total.max(1))
    }
}

/// What the callers of one seed received.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Streams that were received whole.
    pub whole: u32,
    /// Streams that were given up.
    pub lost: u32,
    /// Descriptions of streams with events of several versions, or missing or repeated events.
    pub mixed: Vec<String>,
    /// First attempts at undisturbed gateways.
    pub begun: Tally,
    /// Resuming attempts at undisturbed gateways while several replicas of the version served.
    pub resumed: Tally,
    /// All other resuming attempts.
    pub resumed_disturbed: Tally,
}

impl Report {
    /// Adds the counts of another seed.
    pub fn add(&mut self, other: &Self) {
        self.whole += other.whole;
        self.lost += other.lost;
        self.begun.add(other.begun);
        self.resumed.add(other.resumed);
        self.resumed_disturbed.add(other.resumed_disturbed);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} whole, {} lost, {} mixed; begun {}/{}, resumed {}/{}, while disturbed {}/{}",
            self.whole,
            self.lost,
            self.mixed.len(),
            self.begun.succeeded,
            self.begun.total,
            self.resumed.succeeded,
            self.resumed.total,
            self.resumed_disturbed.succeeded,
            self.resumed_disturbed.total
        )
    }
}

/// Running callers.
pub struct Callers {
    is_stopping: Rc<Cell<bool>>,
    report: Rc<RefCell<Report>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Callers {
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        let is_stopping = Rc::new(Cell::new(false));
        let report = Rc::new(RefCell::new(Report::default()));
        let tasks = (0..CALLERS).map(|number| {
            let caller = Caller {
                number,
                fleet: fleet.clone(),
                connections: Connections::default(),
                random: Random::new(seed.wrapping_mul(1_000) + number as u64),
                report: Rc::clone(&report),
            };
            actix_rt::spawn(caller.run(Rc::clone(&is_stopping)))
        });
        Self {
            tasks: tasks.collect(),
            is_stopping,
            report,
        }
    }

    /// Waits until the streams under way end. Returns the report.
    pub async fn stop(self) -> Report {
        self.is_stopping.set(true);
        for task in self.tasks {
            task.await.expect("a caller ends");
        }
        self.report.take()
    }
}

/// Events of one stream, over all attempts.
#[derive(Default)]
pub struct Received {
    /// Request that brought the first event.
    pub began_as: Option<String>,
    /// Number and version of each event, in the order of arrival.
    pub events: Vec<(usize, usize)>,
    text: String,
}

impl Received {
    /// Adds a part of a response. Returns the number of events that it completes.
    pub fn add(&mut self, request: &str, bytes: &[u8]) -> usize {
        self.text.push_str(std::str::from_utf8(bytes).unwrap());
        let before = self.events.len();
        while let Some(end) = self.text.find("\n\n") {
            let event: String = self.text.drain(..end + 2).collect();
            let value = |field: &str| {
                let line = event.lines().find_map(|line| line.strip_prefix(field));
                line.and_then(|value| value.trim().parse().ok()).unwrap()
            };
            self.events.push((value("id:"), value("data:")));
            self.began_as.get_or_insert_with(|| request.to_owned());
        }
        self.events.len() - before
    }

    /// Drops the part of an event that the next attempt brings again.
    pub fn discard_partial_event(&mut self) {
        self.text.clear();
    }

    fn version(&self) -> Option<usize> {
        self.events.first().map(|(_, version)| *version)
    }

    /// Returns a description of the stream if it has events of several versions, or if its events
    /// are not the first ones in order.
    pub fn fault(&self) -> Option<String> {
        let expected = (0..).map(|number| (number, self.version().unwrap_or_default()));
        let is_sound = self
            .events
            .iter()
            .copied()
            .zip(expected)
            .all(|(a, b)| a == b);
        let began_as = self.began_as.as_deref().unwrap_or_default();
        (!is_sound).then(|| format!("{began_as}: {:?}", self.events))
    }
}

struct Caller {
    number: usize,
    fleet: Fleet,
    connections: Connections,
    random: Random,
    report: Rc<RefCell<Report>>,
}

impl Caller {
    async fn run(mut self, is_stopping: Rc<Cell<bool>>) {
        let mut stream = 0;
        while !is_stopping.get() {
            let path = PATHS[self.random.below(PATHS.len())];
            self.receive(path, &format!("c{}-{stream}", self.number))
                .await;
            actix_rt::time::sleep(self.random.millis(5..60)).await;
            stream += 1;
        }
    }

    /// Receives one stream, in several attempts if necessary.
    async fn receive(&mut self, path: &str, name: &str) {
        let deadline = Instant::now() + STREAM_TIMEOUT;
        let mut received = Received::default();
        let mut is_whole = false;
        for attempt in 0.. {
            let left = deadline.saturating_duration_since(Instant::now());
            if is_whole || left.is_zero() {
                break;
            }
            let request = format!("{name}-{attempt}");
            is_whole = self.attempt(path, &request, left, &mut received).await;
            if !is_whole {
                actix_rt::time::sleep(self.random.millis(20..150)).await;
            }
        }
        let mut report = self.report.borrow_mut();
        report.mixed.extend(received.fault());
        if is_whole && received.events.len() != EVENTS {
            report
                .mixed
                .push(format!("{name} ended early: {:?}", received.events));
        }
        report.whole += u32::from(is_whole);
        report.lost += u32::from(!is_whole);
    }

    /// Makes one attempt at a random gateway. Returns true if the response was received whole.
    async fn attempt(
        &mut self,
        path: &str,
        request: &str,
        left: Duration,
        received: &mut Received,
    ) -> bool {
        received.discard_partial_event();
        let gateway = self.random.below(self.fleet.addresses.len());
        let version = received.version();
        let was_judged = self.is_judged(gateway, version);
        let before = received.events.len();
        let is_whole = self.exchange(path, request, gateway, left, received).await;
        let brought_events = is_whole || received.events.len() > before;
        let is_judged = was_judged && self.is_judged(gateway, version);
        let mut report = self.report.borrow_mut();
        match (version, is_judged) {
            (None, true) => report.begun.record(brought_events),
            (None, false) => {}
            (Some(_), true) => report.resumed.record(brought_events),
            (Some(_), false) => report.resumed_disturbed.record(brought_events),
        }
        is_whole
    }

    /// Returns true if the gateway, all stores and all members are undisturbed and, for a stream of
    /// a version, several of its replicas serve.
    fn is_judged(&self, gateway: usize, version: Option<usize>) -> bool {
        let fleet = &self.fleet;
        let mut needed = fleet.stores.iter().chain(&*fleet.members);
        let is_settled = |process: &crate::fleet::Process| {
            process.disturbed_at.get().elapsed() > SETTLING_DURATION
        };
        let has_replicas =
            version.is_none_or(|version| fleet.replicas.serving(version) >= MIN_SERVING);
        has_replicas && is_settled(&fleet.gateways[gateway]) && needed.all(is_settled)
    }

    async fn exchange(
        &mut self,
        path: &str,
        request: &str,
        gateway: usize,
        left: Duration,
        received: &mut Received,
    ) -> bool {
        let Some(mut connection) = self.connections.take(&self.fleet, gateway).await else {
            return false;
        };
        let message = message(path, request, left, received);
        let sending = connection.send(message);
        let Ok(Ok(answer)) = actix_rt::time::timeout(GAP_TIMEOUT, sending).await else {
            return false;
        };
        let is_success = answer.status().is_success();
        let mut body = answer.into_body();
        loop {
            match actix_rt::time::timeout(GAP_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) if is_success => {
                    received.add(request, &frame.into_data().unwrap_or_default());
                }
                Ok(Some(Ok(_))) => {}
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return false,
            }
        }
        self.connections.give_back(gateway, connection);
        is_success
    }
}

/// Returns a request that begins a stream, or resumes the one that was received in part.
pub fn message(path: &str, request: &str, left: Duration, received: &Received) -> Request<Body> {
    let mut message = Request::get(path)
        .header("host", HOST)
        .header("luglink-request-id", request)
        .header("luglink-deadline-ms", left.as_millis().to_string());
    if let (Some(began_as), Some((last, _))) = (&received.began_as, received.events.last()) {
        message = message
            .header("luglink-resumes", began_as.as_str())
            .header("last-event-id", last.to_string());
    }
    message.body(empty_body()).expect("a valid request")
}
