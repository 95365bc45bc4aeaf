//! Programs that continue from their earlier turns and spend their budgets, beside losses of stores.

use crate::builds;
use crate::connections::Connections;
use crate::fleet::{Fleet, HOST, KEPT_PATH};
use crate::random::Random;
use crate::replicas::{EVENTS, Faults};
use crate::store_chaos::StoreChaos;
use http::Request;
use http_body_util::BodyExt;
use luglink_http::{Body, empty_body};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Seeds of every test run.
const DEFAULT_SEEDS: Range<u64> = 11..12;

/// Rounds of disturbances of one seed.
const ROUNDS: usize = 2;

const CALLERS: usize = 16;

/// Store processes that start in the course of one seed.
const SPARES: usize = 4;

/// Tokens that a turn may take at most: one for each event.
const CEILING: usize = EVENTS;

/// Budget of a program: four turns and a part of one.
const BUDGET: usize = 4 * CEILING + CEILING / 2;

/// Time within which all programs are served after the final fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Maximum time that a caller waits for the next bytes.
const GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of programs with spent budgets that a caller continues during the final fault.
const MAX_RETURNING: usize = 8;

/// Time after the final fault for which they come back.
const RETURNING_DURATION: Duration = Duration::from_secs(1);

const DEADLINE_MS: u64 = 3_000;

/// What the callers of one seed received.
#[derive(Default)]
struct Report {
    turns: u32,
    refused: u32,
    programs: u32,
    /// Programs that were told that their budget is spent.
    exhausted: u32,
    /// Turns that were answered with 404 although their previous turn was answered whole.
    missing: Vec<String>,
    /// Programs that got more tokens than their budget and one turn.
    overspent: Vec<String>,
    /// Programs that were not served in time after the final fault.
    unserved: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} turns, {} refused, {} programs, {} exhausted; missing {:?}, overspent {:?}, unserved \
             {:?}",
            self.turns,
            self.refused,
            self.programs,
            self.exhausted,
            self.missing,
            self.overspent,
            self.unserved
        )
    }
}

#[derive(Clone, Debug, Default)]
struct Program {
    name: String,
    previous: Option<String>,
    /// Tokens that the caller received, over all turns and attempts.
    tokens: usize,
    turns: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Whole,
    Exhausted,
    Missing,
    Failed,
}

/// Progress of the final fault.
#[derive(Default)]
struct FinalFault {
    has_begun: Cell<bool>,
    ended_at: Cell<Option<Instant>>,
}

impl FinalFault {
    /// Returns true if all processes have been back for longer than `duration`.
    fn is_over_for(&self, duration: Duration) -> bool {
        let ended_at = self.ended_at.get();
        ended_at.is_some_and(|ended_at| ended_at.elapsed() > duration)
    }
}

struct Caller {
    number: usize,
    fleet: Fleet,
    connections: Connections,
    random: Random,
    report: Rc<RefCell<Report>>,
    fault: Rc<FinalFault>,
    /// Programs whose budgets are spent.
    exhausted: Vec<Program>,
    /// Last turns of programs that were answered whole.
    answered: Vec<String>,
    started: usize,
}

impl Caller {
    /// Runs programs until the final fault, then continues all of them.
    async fn run(mut self) {
        while !self.fault.has_begun.get() {
            let mut program = self.next_program();
            while !self.fault.has_begun.get()
                && self.take_turn(&mut program).await != Outcome::Exhausted
            {
                let pause = self.random.millis(5..40);
                actix_rt::time::sleep(pause).await;
            }
            self.finish(program).await;
        }
        self.continue_all().await;
    }

    fn next_program(&mut self) -> Program {
        self.started += 1;
        self.report.borrow_mut().programs += 1;
        Program {
            name: format!("program-{}-{}", self.number, self.started),
            ..Program::default()
        }
    }

    async fn finish(&mut self, program: Program) {
        self.answered.extend(program.previous.clone());
        self.exhausted.push(program);
        // Earlier programs come back with turns that their budgets do not allow.
        let chosen = self.random.below(self.exhausted.len());
        let mut earlier = self.exhausted.swap_remove(chosen);
        self.take_turn(&mut earlier).await;
        self.exhausted.push(earlier);
    }

    /// Continues every program after the final fault: those with spent budgets must not get more,
    /// and a new program must be able to continue each turn.
    async fn continue_all(&mut self) {
        let mut exhausted = std::mem::take(&mut self.exhausted);
        while !self.fault.is_over_for(RETURNING_DURATION) {
            for program in exhausted.iter_mut().rev().take(MAX_RETURNING) {
                self.take_turn(program).await;
            }
        }
        for previous in std::mem::take(&mut self.answered) {
            let mut program = self.next_program();
            program.previous = Some(previous.clone());
            while self.take_turn(&mut program).await != Outcome::Whole {
                if self.fault.is_over_for(RECOVERY) {
                    self.report.borrow_mut().unserved.push(previous);
                    break;
                }
                actix_rt::time::sleep(self.random.millis(50..150)).await;
            }
        }
        for program in &mut exhausted {
            for _ in 0..2 {
                self.take_turn(program).await;
            }
        }
    }

    /// Sends the next turn of a program to any gateway.
    async fn take_turn(&mut self, program: &mut Program) -> Outcome {
        program.turns += 1;
        let turn = format!("{}-{}", program.name, program.turns);
        let gateway = self.random.below(self.fleet.addresses.len());
        let outcome = self.exchange(program, &turn, gateway).await;
        let mut report = self.report.borrow_mut();
        match outcome {
            Outcome::Whole => {
                report.turns += 1;
                program.previous = Some(turn);
            }
            Outcome::Exhausted => report.exhausted += 1,
            Outcome::Missing => {
                let previous = program.previous.clone().unwrap_or_default();
                report.missing.push(format!("{turn} after {previous}"));
            }
            Outcome::Failed => report.refused += 1,
        }
        if program.tokens > BUDGET + CEILING {
            report.overspent.push(format!("{program:?}"));
        }
        outcome
    }

    async fn exchange(&mut self, program: &mut Program, turn: &str, gateway: usize) -> Outcome {
        let Some(mut connection) = self.connections.take(&self.fleet, gateway).await else {
            return Outcome::Failed;
        };
        let sending = connection.send(message(program, turn));
        let Ok(Ok(answer)) = actix_rt::time::timeout(GAP_TIMEOUT, sending).await else {
            return Outcome::Failed;
        };
        let status = answer.status().as_u16();
        let mut body = answer.into_body();
        loop {
            match actix_rt::time::timeout(GAP_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    if status == 200 {
                        program.tokens += bytes.windows(2).filter(|two| two == b"\n\n").count();
                    }
                }
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return Outcome::Failed,
            }
        }
        self.connections.give_back(gateway, connection);
        match status {
            200 => Outcome::Whole,
            402 => Outcome::Exhausted,
            404 => Outcome::Missing,
            _ => Outcome::Failed,
        }
    }
}

fn message(program: &Program, turn: &str) -> Request<Body> {
    let mut message = Request::post(KEPT_PATH)
        .header("host", HOST)
        .header("content-length", "0")
        .header("luglink-request-id", turn)
        .header("luglink-deadline-ms", DEADLINE_MS.to_string())
        .header("luglink-program", &program.name)
        .header("luglink-session", &program.name)
        .header("luglink-token-usage", format!("20,{CEILING}"))
        .header("luglink-token-budget", BUDGET.to_string());
    if let Some(previous) = &program.previous {
        message = message.header("luglink-previous-turn", previous);
    }
    message.body(empty_body()).expect("a valid request")
}

/// Returns the report of one seed.
async fn soak(seed: u64) -> Report {
    let fleet = Fleet::start_with_spares(seed, crate::gateways(seed), Faults::None, SPARES).await;
    let report = Rc::new(RefCell::new(Report::default()));
    let fault = Rc::new(FinalFault::default());
    let callers = (0..CALLERS).map(|number| {
        let caller = Caller {
            number,
            fleet: fleet.clone(),
            connections: Connections::default(),
            random: Random::new(seed.wrapping_mul(1_000) + number as u64),
            report: Rc::clone(&report),
            fault: Rc::clone(&fault),
            exhausted: Vec::new(),
            answered: Vec::new(),
            started: 0,
        };
        actix_rt::spawn(caller.run())
    });
    let callers: Vec<_> = callers.collect();
    let mut chaos = StoreChaos::new(&fleet, seed);
    chaos.run(ROUNDS).await;
    fault.has_begun.set(true);
    chaos.final_fault().await;
    fault.ended_at.set(Some(Instant::now()));
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    fleet.assert_all_gateways_serve().await;
    report.take()
}

#[actix_rt::test]
async fn programs_keep_their_turns_and_budgets_while_stores_are_lost() {
    for seed in crate::seeds(DEFAULT_SEEDS) {
        let report = soak(seed).await;
        println!("seed {seed}: {report}");
        assert!(report.turns > 100, "seed {seed}: {report}");
        assert!(report.exhausted > 0, "seed {seed}: {report}");
        // Older stores, members and gateways do not tell which disks count.
        let is_checked = !["store", "member", "gateway"]
            .into_iter()
            .any(builds::may_be_old);
        let is_sound =
            report.missing.is_empty() && report.overspent.is_empty() && report.unserved.is_empty();
        assert!(is_sound || !is_checked, "seed {seed}: {report}");
    }
}
