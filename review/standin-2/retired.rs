//! Storage machines that are emptied and taken away, and programs that go on from turns of others.
use crate::Verdict;
use crate::fleet::{Fleet, Process, Site, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, SERVICE, configuration, wait_until};
use crate::record::Record;
use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The sheet of kopano-luglink.
const KOPANO: Site = Site {
    zones: &["midrand-a", "midrand-b", "isando-a", "isando-b"],
    region: "gauteng",
    front_memory_mb: 220,
    storage_memory_mb: 230,
    rate_per_s: 44.0,
};

const EVENTS: usize = 4;
const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;
const CLIENTS: usize = 16;
const PROGRAMS: usize = 2400;

/// Storage machines at the start, which are all retired, and those that are added before.
const FIRST: usize = 4;
const ADDED: usize = 4;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(2), record.silent());
    for number in 1..=8 {
        let zone = KOPANO.zones[number % 4];
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            zone,
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start_with_spares(&KOPANO, &prefix, 4, (FIRST, ADDED), list, record.clone());
    let verdict = play_at(&fleet, record, has_trouble);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, record: &Record, has_trouble: bool) -> Verdict {
    if !fleet.configure(&configuration(7, 200)) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    record.line("four storage machines are added");
    for process in fleet.members[FIRST..].iter().chain(&fleet.stores[FIRST..]) {
        process.restart();
    }
    sleep(Duration::from_secs(6));
    let began = Instant::now();
    let parents = take(fleet, record, 0, &|number| {
        Program::new(&format!("a{number}"), "/kept/x", 100 * CEILING, CEILING)
    });
    let ended = Instant::now();
    wait_until(began + Duration::from_millis(57_500));
    let children = take(fleet, record, 0, &|number| {
        parents[number].successor(&format!("b{number}"))
    });
    if has_trouble {
        for host in 0..FIRST {
            if !retire(fleet, record, host) {
                return Verdict::NotRun("a retirement did not end".to_owned());
            }
        }
    }
    wait_until(ended + Duration::from_millis(62_500));
    let next = take(fleet, record, 2, &|number| {
        children[number].successor(&format!("b{number}"))
    });
    let unserved: Vec<usize> = (0..PROGRAMS)
        .filter(|number| next[*number].turns_whole == 0)
        .collect();
    record.line(&format!(
        "{} of {PROGRAMS} not served at first: {unserved:?}",
        unserved.len()
    ));
    let mut lost = Vec::new();
    for number in unserved {
        let mut program = children[number].successor(&format!("b{number}"));
        program.turns = 10;
        let mut outcomes = Vec::new();
        for attempt in 0..5 {
            sleep(Duration::from_millis(300));
            outcomes.push(program.turn(fleet.front(2 + attempt % 2), Duration::ZERO, record));
        }
        if !outcomes.contains(&Outcome::Whole) {
            lost.push(format!("b{number}: {outcomes:?}"));
        }
    }
    match lost.is_empty() {
        true => Verdict::Held("all programs went on".to_owned()),
        false => Verdict::Broken(format!("LOST, {}", lost.join("; "))),
    }
}

fn retire(fleet: &Fleet, record: &Record, host: usize) -> bool {
    let name = &fleet.stores[host].name;
    let began = Instant::now();
    let mut is_taken = false;
    while began.elapsed() < Duration::from_secs(9) {
        let answer = match is_taken {
            false => fleet.operate(
                "POST",
                &format!("/luglink/Retire.Start/{name}"),
                "{\"duration-s\":8}",
            ),
            true => fleet.operate("GET", &format!("/luglink/Retire.Get/{name}"), ""),
        };
        if let Some((200, body)) = answer {
            is_taken = true;
            if body.contains("completed") {
                record.line(&format!(
                    "{name} is emptied after {:.1?} and taken away",
                    began.elapsed()
                ));
                let machine: [&Process; 2] = [&fleet.stores[host], &fleet.members[host]];
                machine.iter().for_each(|process| process.kill());
                let _ = fs::remove_dir_all(&fleet.stores[host].data);
                return true;
            }
        }
        sleep(Duration::from_millis(100));
    }
    record.line(&format!("{name} is not emptied"));
    false
}

/// Lets a program for each number take one turn, at the gateways from `first` on.
fn take(
    fleet: &Fleet,
    record: &Record,
    first: usize,
    program: &(dyn Fn(usize) -> Program + Sync),
) -> Vec<Program> {
    let silent = record.silent();
    let began = Instant::now();
    let mut programs: Vec<(usize, Program)> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let silent = &silent;
                scope.spawn(move || {
                    let numbers = (client..PROGRAMS).step_by(CLIENTS);
                    let turns = numbers.map(|number| {
                        let mut program = program(number);
                        let gateway = fleet.front(first + number % 2);
                        let outcome = program.turn(gateway, Duration::ZERO, silent);
                        program.turns_whole = usize::from(outcome == Outcome::Whole);
                        (number, program)
                    });
                    turns.collect::<Vec<_>>()
                })
            })
            .collect();
        clients
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    });
    programs.sort_by_key(|(number, _)| *number);
    let whole: usize = programs
        .iter()
        .map(|(_, program)| program.turns_whole)
        .sum();
    record.line(&format!(
        "{whole} of {PROGRAMS} turns whole in {:.1?}",
        began.elapsed()
    ));
    programs.into_iter().map(|(_, program)| program).collect()
}
