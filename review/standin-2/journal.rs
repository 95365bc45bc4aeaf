//! Stores whose processes are killed at the same moment, once their journals are long. The stand-in of the platform
//! kills a process whose memory exceeds its limit, and starts it again after a short delay.
use crate::Verdict;
use crate::fleet::{Fleet, Process, Site, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, SERVICE, configuration};
use crate::record::Record;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Figures like those of the sheet of kopano-luglink-now-grown, with few machines.
const KOPANO: Site = Site {
    zones: &["midrand-a", "midrand-b", "isando-a"],
    region: "gauteng",
    front_memory_mb: 88,
    storage_memory_mb: 120,
    rate_per_s: 47.0,
};

const EVENTS: usize = 6;
const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;

/// Largest body of a turn on the sheet, in bytes.
const INPUT_BYTES: usize = 26_000;

/// Turns before the kill, the time that they may take, and the clients that take them.
const TURNS: usize = 2_440;
const FILLING: Duration = Duration::from_secs(70);
const CLIENTS: usize = 12;

/// Interval of the turns of all clients together: 45 a second, twice the rate of a small deployment.
const TURN_INTERVAL: Duration = Duration::from_millis(22);

/// Time for which the killed processes are down, `recovery-s`, and the turns after that.
const DOWN: Duration = Duration::from_secs(1);
const RECOVERY: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(8);

/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(3), record.silent());
    for number in 1..=6 {
        let zone = KOPANO.zones[number % 3];
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            zone,
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start(&KOPANO, &prefix, 4, 3, list, record.clone());
    let verdict = play_at(&fleet, record, has_trouble);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, record: &Record, has_trouble: bool) -> Verdict {
    if !fleet.configure(&configuration(7, 200)) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    sleep(Duration::from_secs(4));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for process in fleet.stores.iter().chain(&fleet.members) {
            scope.spawn(|| enforce_limit(process, record, &is_over));
        }
        let verdict = play_beside_limits(fleet, record, has_trouble);
        is_over.store(true, Ordering::Relaxed);
        verdict
    })
}

/// Kills a process of a storage machine whenever it goes over the memory limit, and starts it again.
fn enforce_limit(process: &Process, record: &Record, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let (now, _) = process.memory_mb();
        if now > KOPANO.storage_memory_mb {
            let name = &process.name;
            record.line(&format!(
                "{name} is over its memory limit with {now} MB and is killed"
            ));
            process.kill();
            sleep(RESTART_DELAY);
            process.restart();
        }
        sleep(Duration::from_millis(5));
    }
}

fn play_beside_limits(fleet: &Fleet, record: &Record, has_trouble: bool) -> Verdict {
    let (before, _) = take_turns(fleet, record, TURNS, FILLING, INPUT_BYTES);
    note_memory(fleet, record);
    if before < TURNS {
        return Verdict::NotRun("too few turns were served before the fault".to_owned());
    }
    if has_trouble {
        record.line("the processes of all stores are killed");
        fleet.stores.iter().for_each(Process::kill);
        sleep(DOWN);
        record.line("all stores start again");
        fleet.stores.iter().for_each(Process::restart);
    }
    sleep(RECOVERY);
    note_memory(fleet, record);
    let (after, sent) = take_turns(fleet, record, usize::MAX, AFTER, 1_300);
    note_memory(fleet, record);
    let text =
        format!("{after} of {sent} turns served later than {RECOVERY:?} after all were back");
    match after * 4 < sent {
        true => Verdict::Broken(format!("RECOVER, {text}")),
        false => Verdict::Held(text),
    }
}

/// Lets the clients take first turns at a steady rate, until `wanted` are answered whole or `limit` is
/// over. Returns the numbers of those answered whole and of all.
fn take_turns(
    fleet: &Fleet,
    record: &Record,
    wanted: usize,
    limit: Duration,
    input_bytes: usize,
) -> (usize, usize) {
    let silent = record.silent();
    let (served, sent) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let (served, sent, silent) = (&served, &sent, &silent);
            scope.spawn(move || {
                while served.load(Ordering::Relaxed) < wanted && began.elapsed() < limit {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let due = began + TURN_INTERVAL * u32::try_from(number).unwrap_or(u32::MAX);
                    sleep(due.saturating_duration_since(Instant::now()));
                    let mut program =
                        Program::new(&format!("c{number}"), "/kept/x", 100 * CEILING, CEILING);
                    program.input_bytes = input_bytes;
                    let outcome = program.turn(fleet.front(number % 4), Duration::ZERO, silent);
                    served.fetch_add(usize::from(outcome == Outcome::Whole), Ordering::Relaxed);
                }
            });
        }
    });
    let (served, sent) = (served.into_inner(), sent.into_inner());
    record.line(&format!(
        "{served} of {sent} turns answered whole in {:.1?}",
        began.elapsed()
    ));
    (served, sent)
}

fn note_memory(fleet: &Fleet, record: &Record) {
    let figures = |processes: &[Process]| {
        let figures = processes.iter().map(|process| {
            let (now, peak) = process.memory_mb();
            format!("{now}/{peak}")
        });
        figures.collect::<Vec<String>>().join(" ")
    };
    let (stores, members) = (figures(&fleet.stores), figures(&fleet.members));
    record.line(&format!(
        "memory now/peak in MB: stores {stores}, members {members}"
    ));
}
