//! A turn whose gateway is killed in the middle of its stream, and which the client takes up elsewhere.
use crate::Verdict;
use crate::fleet::{Fleet, Site, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, SERVICE, configuration};
use crate::record::Record;
use std::thread::sleep;
use std::time::Duration;

/// The sheet of kopano-luglink.
const KOPANO: Site = Site {
    zones: &["midrand-a", "midrand-b", "isando-a", "isando-b"],
    region: "gauteng",
    front_memory_mb: 220,
    storage_memory_mb: 230,
    rate_per_s: 44.0,
};

const EVENTS: usize = 8;
const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(100), record.clone());
    for number in 1..=3 {
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            KOPANO.zones[number],
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start(&KOPANO, &prefix, 2, 4, list, record.clone());
    let verdict = play_at(&fleet, &replicas, record, has_trouble);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, replicas: &Replicas, record: &Record, has_trouble: bool) -> Verdict {
    let document = configuration(7, 200).replace("\"resumable\":false", "\"resumable\":true");
    if !fleet.configure(&document) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    sleep(Duration::from_secs(4));
    let mut program = Program::new("talk", "/kept/x", 100 * CEILING, CEILING);
    let outcome = std::thread::scope(|scope| {
        let program = &mut program;
        let turn = scope.spawn(move || program.turn(fleet.front(0), Duration::ZERO, record));
        if has_trouble {
            sleep(Duration::from_millis(450));
            record.line("the first gateway is killed");
            fleet.gateways[0].kill();
        }
        turn.join().unwrap()
    });
    if has_trouble {
        if outcome == Outcome::Whole {
            return Verdict::NotRun("the answer was whole before the kill".to_owned());
        }
        if program.resume(fleet.front(1), record) != Outcome::Whole {
            return Verdict::NotRun("the stream was not continued".to_owned());
        }
    }
    let expected = program.history.clone();
    if program.turn(fleet.front(1), Duration::ZERO, record) != Outcome::Whole {
        return Verdict::NotRun("the next turn was not served".to_owned());
    }
    let runs = replicas.runs.lock().unwrap();
    let prompt = runs.last().map(|run| run.body.clone()).unwrap_or_default();
    record.line(&format!(
        "prompt of the next turn: {:?}",
        String::from_utf8_lossy(&prompt)
    ));
    match prompt.starts_with(&expected) {
        true => Verdict::Held("the next turn ran with its whole history".to_owned()),
        false => Verdict::Broken("UNASKED, the prompt lacks a part of its history".to_owned()),
    }
}
