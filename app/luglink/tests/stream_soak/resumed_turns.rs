//! Turns that callers resume at any gateway, beside disturbances that overlap. Replicas get prompts with
//! what the callers have received.

use crate::builds;
use crate::callers::Received;
use crate::chaos;
use crate::connections::Connections;
use crate::fleet::{Fleet, HOST, KEPT_PATH};
use crate::random::Random;
use crate::replicas::{EVENTS, Faults, TURN_VERSION_FACTOR};
use http::Request;
use http_body_util::BodyExt;
use luglink_http::{Body, full_body};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Seeds of every test run. Stores and members are disturbed in one of them.
const DEFAULT_SEEDS: Range<u64> = 21..23;

const CALLERS: usize = 16;

const TRAFFIC_DURATION: Duration = Duration::from_secs(14);

/// Time that a caller has for one turn, over all its attempts.
const TURN_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time that a caller waits for the next bytes.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which every turn is continued after the disturbances.
const RECOVERY: Duration = Duration::from_secs(12);

/// Maximum number of turns of a caller that are continued after the disturbances.
const MAX_CONTINUED: usize = 8;

/// Refusals of a resumption after which a caller begins its turn again.
const MAX_REFUSALS: u32 = 2;

/// Turns of a program.
const PROGRAM_TURNS: usize = 6;

/// Probability that a caller breaks its own connection in an attempt, in percent.
const BREAK_PERCENT: usize = 45;

/// Token budget of a program that has one, above what its turns need.
const BUDGET: usize = 10_000;

/// Minimum number of resumptions of a seed that bring events.
const MIN_RESUMED: u32 = 20;

/// What the callers of one seed received.
#[derive(Default)]
struct Report {
    /// Turns that were received whole.
    turns: u32,
    /// Turns that were given up.
    lost: u32,
    /// Resuming attempts.
    resuming: u32,
    /// Resuming attempts that were answered.
    resumed: u32,
    /// Resuming attempts that were refused.
    refused: u32,
    /// Turns that were resumed and received whole.
    whole_resumed: u32,
    /// Turns with missing or repeated events, or events of several versions.
    mixed: Vec<String>,
    /// Prompts that differ from what the callers have.
    wrong: Vec<String>,
    /// Turns that were answered with 404 although their previous turn was answered whole.
    missing: Vec<String>,
    /// Turns that were not continued in time after the disturbances.
    unserved: Vec<String>,
}

impl Report {
    fn is_sound(&self) -> bool {
        let faults = [&self.mixed, &self.wrong, &self.missing, &self.unserved];
        faults.into_iter().all(Vec::is_empty)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} turns, {} of them resumed, {} lost; {} of {} resumptions answered, {} refused; mixed {:?}, \
             wrong {:?}, missing {:?}, unserved {:?}",
            self.turns,
            self.whole_resumed,
            self.lost,
            self.resumed,
            self.resuming,
            self.refused,
            self.mixed,
            self.wrong,
            self.missing,
            self.unserved
        )
    }
}

/// Turn that was received whole.
#[derive(Clone, Debug)]
struct Turn {
    id: String,
    program: String,
    /// Inputs and outputs of its chain.
    history: String,
}

/// How a caller names the stream that it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    First,
    Latest,
    Nothing,
}

/// Turn under way.
struct Attempted {
    program: String,
    has_budget: bool,
    previous: Option<Turn>,
    input: String,
    received: Received,
    /// Latest request that brought events.
    latest: Option<String>,
    has_resumed: bool,
}

impl Attempted {
    /// Drops what was received of the turn.
    fn begin_again(&mut self) {
        self.received = Received::default();
        self.latest = None;
        self.has_resumed = false;
    }

    fn prompt(&self) -> String {
        let previous = self.previous.as_ref();
        let history = previous.map_or("", |previous| previous.history.as_str());
        format!("{history}{}", self.input)
    }

    fn message(&self, request: &str, left: Duration, naming: Naming) -> Request<Body> {
        let mut message = Request::post(KEPT_PATH)
            .header("host", HOST)
            .header("content-length", self.input.len().to_string())
            .header("luglink-request-id", request)
            .header("luglink-deadline-ms", left.as_millis().to_string())
            .header("luglink-program", &self.program)
            .header("luglink-session", &self.program)
            .header("luglink-token-usage", format!("20,{EVENTS}"));
        if self.has_budget {
            message = message.header("luglink-token-budget", BUDGET.to_string());
        }
        if let Some(previous) = &self.previous {
            message = message.header("luglink-previous-turn", &previous.id);
        }
        if let Some((last, _)) = self.received.events.last() {
            message = message.header("last-event-id", last.to_string());
            let named = match naming {
                Naming::First => self.received.began_as.as_ref(),
                Naming::Latest => self.latest.as_ref(),
                Naming::Nothing => None,
            };
            if let Some(named) = named {
                message = message.header("luglink-resumes", named);
            }
        }
        let body = full_body(self.input.clone());
        message.body(body).expect("a valid request")
    }

    /// Returns true if the events are those of one version, from the first on.
    fn is_sound(&self) -> bool {
        let events = &self.received.events;
        let version = events.first().map(|(_, data)| data / TURN_VERSION_FACTOR);
        let expected = |number| (number, version.unwrap_or(0) * TURN_VERSION_FACTOR + number);
        let mut numbered = events.iter().enumerate();
        numbered.all(|(number, event)| *event == expected(number))
    }

    fn output(&self) -> String {
        let events = self.received.events.iter();
        events.map(|(_, data)| format!("{data}\n")).collect()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Whole,
    Broken,
    Refused(u16),
}

struct Caller {
    number: usize,
    fleet: Fleet,
    connections: Connections,
    random: Random,
    report: Rc<RefCell<Report>>,
    is_stopping: Rc<Cell<bool>>,
    started: usize,
    turns: Vec<Turn>,
}

impl Caller {
    async fn run(mut self) {
        while !self.is_stopping.get() {
            self.run_program().await;
        }
        for _ in 0..MAX_CONTINUED {
            let Some(turn) = self.turns.pop() else { break };
            self.continue_turn(turn).await;
        }
    }

    /// Runs a program whose turns continue any of its earlier ones, as sub-agents do.
    async fn run_program(&mut self) {
        self.started += 1;
        let program = format!("p{}-{}", self.number, self.started);
        let mut turns: Vec<Turn> = Vec::new();
        for number in 0..PROGRAM_TURNS {
            let previous = match turns.len() {
                0 => None,
                count => Some(turns[self.random.below(count)].clone()),
            };
            let name = format!("{program}-t{number}");
            turns.extend(self.take_turn(&program, &name, previous).await);
            let pause = self.random.millis(5..40);
            actix_rt::time::sleep(pause).await;
        }
        self.turns.extend(turns);
    }

    async fn continue_turn(&mut self, turn: Turn) {
        let began = Instant::now();
        for attempt in 0.. {
            let name = format!("{}-c{attempt}", turn.id);
            let previous = Some(turn.clone());
            if self
                .take_turn(&turn.program, &name, previous)
                .await
                .is_some()
            {
                return;
            }
            if began.elapsed() > RECOVERY {
                self.report.borrow_mut().unserved.push(turn.id);
                return;
            }
        }
    }

    /// Receives one turn, in several attempts if necessary. Returns it if it was received whole.
    async fn take_turn(
        &mut self,
        program: &str,
        name: &str,
        previous: Option<Turn>,
    ) -> Option<Turn> {
        let deadline = Instant::now() + TURN_TIMEOUT;
        let mut turn = Attempted {
            program: program.to_owned(),
            has_budget: self.started.is_multiple_of(2),
            previous,
            input: format!("[{name}]"),
            received: Received::default(),
            latest: None,
            has_resumed: false,
        };
        let mut refusals = 0;
        let mut requests = Vec::new();
        let mut whole = None;
        while whole.is_none() && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let request = format!("{name}-{}", requests.len());
            requests.push(request.clone());
            match self.attempt(&mut turn, &request, left).await {
                Outcome::Whole => whole = Some(request),
                Outcome::Broken => refusals = 0,
                Outcome::Refused(404) => {
                    let previous = turn.previous.as_ref();
                    let previous = previous.map(|previous| previous.id.clone());
                    let missing = format!("{request} after {previous:?}");
                    self.report.borrow_mut().missing.push(missing);
                    break;
                }
                Outcome::Refused(_) => {
                    refusals += 1;
                    if refusals >= MAX_REFUSALS {
                        refusals = 0;
                        turn.begin_again();
                    }
                }
            }
            actix_rt::time::sleep(self.random.millis(5..150)).await;
        }
        self.note(&turn, &requests, whole.is_some());
        whole.map(|id| Turn {
            id,
            program: program.to_owned(),
            history: format!("{}{}", turn.prompt(), turn.output()),
        })
    }

    fn note(&self, turn: &Attempted, requests: &[String], is_whole: bool) {
        let mut report = self.report.borrow_mut();
        let is_complete = !is_whole || turn.received.events.len() == EVENTS;
        if !turn.is_sound() || !is_complete {
            let events = &turn.received.events;
            report.mixed.push(format!("{requests:?}: {events:?}"));
        }
        report.turns += u32::from(is_whole);
        report.lost += u32::from(!is_whole);
        report.whole_resumed += u32::from(is_whole && turn.has_resumed);
        let expected = turn.prompt();
        let prompts = self.fleet.replicas.prompts.borrow();
        for request in requests {
            for prompt in prompts.get(request).into_iter().flatten() {
                if *prompt != expected {
                    let wrong = format!("{request}: {prompt:?} instead of {expected:?}");
                    report.wrong.push(wrong);
                }
            }
        }
    }

    /// Makes one attempt at a random gateway, which resumes the stream if events of it are known.
    async fn attempt(&mut self, turn: &mut Attempted, request: &str, left: Duration) -> Outcome {
        turn.received.discard_partial_event();
        let gateway = self.random.below(self.fleet.addresses.len());
        let naming = match self.random.below(10) {
            0 => Naming::Nothing,
            1..4 => Naming::Latest,
            _ => Naming::First,
        };
        let resumes = !turn.received.events.is_empty();
        let breaks_after = match self.random.percent(BREAK_PERCENT) {
            true => self.random.below(EVENTS),
            false => usize::MAX,
        };
        let message = turn.message(request, left, naming);
        let outcome = self
            .exchange(message, turn, request, gateway, breaks_after)
            .await;
        let mut report = self.report.borrow_mut();
        if resumes {
            let is_refused = matches!(outcome, Outcome::Refused(_));
            report.resuming += 1;
            report.refused += u32::from(is_refused);
            turn.has_resumed |= outcome == Outcome::Whole;
        }
        if resumes && turn.latest.as_deref() == Some(request) {
            report.resumed += 1;
            turn.has_resumed = true;
        }
        outcome
    }

    async fn exchange(
        &mut self,
        message: Request<Body>,
        turn: &mut Attempted,
        request: &str,
        gateway: usize,
        breaks_after: usize,
    ) -> Outcome {
        let Some(mut connection) = self.connections.take(&self.fleet, gateway).await else {
            return Outcome::Broken;
        };
        let sending = connection.send(message);
        let Ok(Ok(answer)) = actix_rt::time::timeout(GAP_TIMEOUT, sending).await else {
            return Outcome::Broken;
        };
        let status = answer.status().as_u16();
        let mut body = answer.into_body();
        let mut events = 0;
        loop {
            match actix_rt::time::timeout(GAP_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) if status == 200 => {
                    let bytes = frame.into_data().unwrap_or_default();
                    let added = turn.received.add(request, &bytes);
                    if added > 0 {
                        turn.latest = Some(request.to_owned());
                    }
                    events += added;
                    if events > breaks_after {
                        return Outcome::Broken;
                    }
                }
                Ok(Some(Ok(_))) => {}
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return Outcome::Broken,
            }
        }
        self.connections.give_back(gateway, connection);
        match status {
            200 => Outcome::Whole,
            status => Outcome::Refused(status),
        }
    }
}

/// Returns the report of one seed.
async fn soak(seed: u64) -> Report {
    let fleet = Fleet::start(seed, crate::gateways(seed), Faults::Random).await;
    let report = Rc::new(RefCell::new(Report::default()));
    let is_stopping = Rc::new(Cell::new(false));
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller {
            number,
            fleet: fleet.clone(),
            connections: Connections::default(),
            random: Random::new(seed.wrapping_mul(1_000) + number as u64),
            report: Rc::clone(&report),
            is_stopping: Rc::clone(&is_stopping),
            started: 0,
            turns: Vec::new(),
        };
        actix_rt::spawn(caller.run())
    });
    let callers: Vec<_> = callers.collect();
    chaos::run(&fleet, seed, TRAFFIC_DURATION).await;
    is_stopping.set(true);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    let report = report.take();
    if !report.is_sound() {
        fleet.keep_logs();
    }
    report
}

/// Guards against turns that are kept without the events before a resumption, whoever breaks the stream.
#[actix_rt::test]
async fn resumed_turns_are_kept_whole_while_processes_restart() {
    for seed in crate::seeds(DEFAULT_SEEDS) {
        let report = soak(seed).await;
        println!("seed {seed}: {report}");
        // Older gateways keep the events of the last attempt, and older stores no outputs.
        let is_checked = !["store", "member", "gateway"]
            .into_iter()
            .any(builds::may_be_old);
        assert!(report.is_sound() || !is_checked, "seed {seed}: {report}");
        assert!(report.turns > 0, "seed {seed}: {report}");
        let has_resumed = report.resumed >= MIN_RESUMED;
        assert!(has_resumed || !is_checked, "seed {seed}: {report}");
    }
}
