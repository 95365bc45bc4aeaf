//! A conversation whose client reads an answer slowly and goes on within the retention.
use crate::Verdict;
use crate::fleet::{Fleet, Site, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, RETENTION, SERVICE, configuration, wait_until};
use crate::record::Record;
use std::time::Duration;

/// Figures like those of the sheet of mainu-tilts-grown, with few machines.
const MAINU: Site = Site {
    zones: &["riga-a", "riga-b", "jelgava"],
    region: "lv-riga",
    front_memory_mb: 96,
    storage_memory_mb: 130,
    rate_per_s: 47.0,
};

const GAP_AIM_MS: u64 = 300;

const EVENTS: usize = 6;

const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;

/// Time that a slow client takes before it reads every 32 bytes, which is about an event. It stays within
/// the pause after which clients give up, and all of it within the deadline.
const SLOW_READ: Duration = Duration::from_millis(550);

/// Time of the next turn after the whole answer.
const NEXT_TURN: Duration = Duration::from_millis(58_800);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(10), record.clone());
    for number in 1..=3 {
        let zone = MAINU.zones[number - 1];
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            zone,
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start(&MAINU, &prefix, 2, 3, list, record.clone());
    let verdict = play_at(&fleet, &replicas, record, has_trouble);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, replicas: &Replicas, record: &Record, has_trouble: bool) -> Verdict {
    if !fleet.configure(&configuration(7, GAP_AIM_MS)) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut program = Program::new("talk", "/kept/x", 100 * CEILING, CEILING);
    for _ in 0..2 {
        if program.turn(fleet.front(0), Duration::ZERO, record) != Outcome::Whole {
            return Verdict::NotRun("a first turn was not served".to_owned());
        }
    }
    let pause = if has_trouble {
        SLOW_READ
    } else {
        Duration::ZERO
    };
    if program.turn(fleet.front(0), pause, record) != Outcome::Whole {
        return Verdict::NotRun("the turn that is read slowly was not answered whole".to_owned());
    }
    record.line("the third answer is whole at the client");
    wait_until(program.answered_at + NEXT_TURN);
    let expected = program.history.clone();
    if program.answered_at.elapsed() >= RETENTION {
        return Verdict::NotRun("the next turn came too late".to_owned());
    }
    let outcome = program.turn(fleet.front(1), Duration::ZERO, record);
    match outcome {
        Outcome::Status(status @ (404 | 410)) => Verdict::Broken(format!(
            "LOST, {status} for a turn whose previous turn was answered whole less than 60 s ago"
        )),
        Outcome::Whole => {
            let runs = replicas.runs.lock().unwrap();
            let is_right = runs
                .last()
                .is_some_and(|run| run.body.starts_with(&expected));
            match is_right {
                true => Verdict::Held("the next turn ran with its whole history".to_owned()),
                false => {
                    Verdict::Broken("UNASKED, the prompt lacks a part of its history".to_owned())
                }
            }
        }
        outcome => Verdict::NotRun(format!("the next turn ended with {outcome:?}")),
    }
}
