//! Programs whose records reach other stores in each outage of a single one. No outages overlap, and
//! each is over for longer than `catch-up-s` and `contact-ms` before the next begins.
use crate::Verdict;
use crate::accounts::CPIVT;
use crate::fleet::{CONT, Fleet, STOP, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, SERVICE, configuration, wait_until};
use crate::record::Record;
use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

const EVENTS: usize = 4;
const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;
const PROGRAMS: usize = 4;

/// Time from the first turns to the freeze, and the latest time of the come back.
const BEFORE_FREEZE: Duration = Duration::from_millis(58_000);
const LATEST_COME_BACK: Duration = Duration::from_millis(59_800);

/// Turns that fit into a budget, and those taken during the first outage.
const BUDGET_TURNS: usize = 10;
const FIRST_TURNS: usize = 8;

/// Sub-agents that a program starts at once at the end.
const SUB_AGENTS: usize = 8;

/// Lengths of the outages: the largest doses of the site for a store.
const KILLED: Duration = Duration::from_millis(2_800);
const FROZEN: Duration = Duration::from_millis(3_200);
const WIPED: Duration = Duration::from_millis(2_000);

/// `catch-up-s` and `contact-ms`, one after the other.
const CALM: Duration = Duration::from_millis(7_200);

pub fn play(record: &Record, has_trouble: bool, loses_disk: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(5), record.clone());
    for number in 1..=3 {
        let zone = CPIVT.zones[number - 1];
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            zone,
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start(&CPIVT, &prefix, 4, 3, list, record.clone());
    let verdict = play_at(&fleet, record, has_trouble, loses_disk);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, record: &Record, has_trouble: bool, loses_disk: bool) -> Verdict {
    if !fleet.configure(&configuration(7, 400)) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    sleep(Duration::from_secs(4));
    let path = if loses_disk { "/kept/x" } else { "/plain/x" };
    let first_turns = if loses_disk { 1 } else { FIRST_TURNS };
    let mut programs: Vec<Program> = (0..PROGRAMS)
        .map(|number| Program::new(&format!("p{number}"), path, BUDGET_TURNS * CEILING, CEILING))
        .collect();
    let machine = |host: usize| [&fleet.stores[host], &fleet.members[host]];
    let killed_at = Instant::now();
    if has_trouble {
        record.line("storage machine 3 is killed");
        machine(2).iter().for_each(|process| process.kill());
        sleep(Duration::from_millis(700));
    }
    // All programs take their first turns at the same time.
    if !all_turns(&mut programs, first_turns, fleet, record) {
        return Verdict::NotRun("a first turn was not served".to_owned());
    }
    let first_ended = Instant::now();
    if has_trouble {
        wait_until(killed_at + KILLED);
        record.line("storage machine 3 starts again");
        machine(2).iter().for_each(|process| process.restart());
    }
    // Each program is stopped, and comes back within the retention.
    let frozen_at = first_ended + BEFORE_FREEZE;
    wait_until(frozen_at);
    if has_trouble {
        record.line("storage machine 1 is frozen");
        machine(0).iter().for_each(|process| process.signal(STOP));
    }
    sleep(Duration::from_millis(300));
    if programs
        .iter()
        .any(|program| program.answered_at.elapsed() >= LATEST_COME_BACK)
    {
        return Verdict::NotRun("the first turns took too long".to_owned());
    }
    if !all_turns(&mut programs, 1, fleet, record) {
        return Verdict::NotRun("a turn of the come back was not served".to_owned());
    }
    if has_trouble {
        wait_until(frozen_at + FROZEN);
        record.line("storage machine 1 wakes");
        machine(0).iter().for_each(|process| process.signal(CONT));
    }
    sleep(CALM);
    if !loses_disk {
        return spend_on(programs, fleet, record);
    }
    if has_trouble {
        record.line("storage machine 2 loses its disk");
        machine(1).iter().for_each(|process| process.kill());
        let _ = fs::remove_dir_all(&fleet.stores[1].data);
        sleep(WIPED);
        record.line("storage machine 2 starts again with an empty disk");
        machine(1).iter().for_each(|process| process.restart());
    }
    sleep(CALM);
    go_on(programs, fleet, record)
}

fn all_turns(programs: &mut [Program], turns: usize, fleet: &Fleet, record: &Record) -> bool {
    std::thread::scope(|scope| {
        let running: Vec<_> = programs
            .iter_mut()
            .enumerate()
            .map(|(number, program)| {
                let gateway = fleet.front(number % 2);
                scope.spawn(move || {
                    (0..turns).all(|_| {
                        // A client tries a turn that was refused twice more.
                        (0..3).any(|_| {
                            let outcome = program.turn(gateway, Duration::ZERO, record);
                            if outcome != Outcome::Whole {
                                sleep(Duration::from_millis(300));
                            }
                            outcome == Outcome::Whole
                        })
                    })
                })
            })
            .collect();
        running.into_iter().all(|turns| turns.join().unwrap())
    })
}

/// Lets all programs start sub-agents at once.
fn spend_on(programs: Vec<Program>, fleet: &Fleet, record: &Record) -> Verdict {
    let mut overspent = Vec::new();
    for program in programs {
        let given: usize = std::thread::scope(|scope| {
            let program = &program;
            let running: Vec<_> = (0..SUB_AGENTS)
                .map(|number| {
                    let gateway = fleet.front(number % 2);
                    scope.spawn(move || {
                        let mut agent = program.sub_agent(number);
                        agent.turn(gateway, Duration::ZERO, record);
                        agent.tokens
                    })
                })
                .collect();
            running.into_iter().map(|agent| agent.join().unwrap()).sum()
        });
        let tokens = program.tokens + given;
        let most = program.budget + program.ceiling;
        record.line(&format!(
            "{}: {tokens} tokens given, budget {}",
            program.name, program.budget
        ));
        if tokens > most {
            overspent.push(format!(
                "{} got {tokens} tokens, allowed {most}",
                program.name
            ));
        }
    }
    match overspent.is_empty() {
        true => Verdict::Held("no program got more than its budget and one turn".to_owned()),
        false => Verdict::Broken(format!("BUDGET, {}", overspent.join("; "))),
    }
}

/// Lets all programs go on, and others begin.
fn go_on(programs: Vec<Program>, fleet: &Fleet, record: &Record) -> Verdict {
    let mut unserved = Vec::new();
    let mut first_turns = 0;
    let mut first_served = 0;
    for (number, mut program) in programs.into_iter().enumerate() {
        let mut outcomes = Vec::new();
        for attempt in 0..6 {
            let mut fresh =
                Program::new(&format!("n{number}x{attempt}"), "/kept/x", 1_000, CEILING);
            first_turns += 1;
            // Clients choose a gateway at random; these two have no copy of the earlier turns.
            let gateway = fleet.front(2 + attempt % 2);
            let outcome = fresh.turn(gateway, Duration::ZERO, record);
            first_served += usize::from(outcome == Outcome::Whole);
            let outcome = program.turn(gateway, Duration::ZERO, record);
            let is_whole = outcome == Outcome::Whole;
            outcomes.push(outcome);
            if is_whole {
                break;
            }
            sleep(Duration::from_millis(400));
        }
        let is_lost = outcomes
            .iter()
            .any(|outcome| *outcome == Outcome::Status(404));
        if is_lost || outcomes.len() == 6 && !outcomes.contains(&Outcome::Whole) {
            unserved.push(format!("{}: {outcomes:?}", program.name));
        }
    }
    record.line(&format!(
        "{first_served} of {first_turns} first turns were served meanwhile"
    ));
    if unserved.is_empty() {
        return Verdict::Held("all programs went on".to_owned());
    }
    match first_served * 10 >= first_turns * 9 {
        true => Verdict::Broken(format!("LOST, {}", unserved.join("; "))),
        false => Verdict::NotRun("first turns were not served either".to_owned()),
    }
}
