//! Case: a turn that was answered whole, after a store was restarted, and later one store lost its
//! disk while another one froze.

use crate::fleet::{Fleet, SIGCONT, SIGSTOP, ZONES, free_block};
use crate::program::{Given, Turn, configuration, send};
use crate::record::Record;
use crate::replica::{Replicas, serve_list};
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAMS: usize = 40;

/// Length of the freeze, the dose of the site for a store.
const FREEZE: Duration = Duration::from_millis(3_200);

pub fn run(repository: &Path, record: &Record, has_trouble: bool) -> i32 {
    let block = free_block();
    let replicas = Replicas::start("agent-llm", &format!("{block}.21"), 11, record);
    let list = serve_list(&format!("{block}.22"), vec![replicas.clone()], &ZONES);
    let fleet = Fleet::start(&block, &[0, 1, 2], 2, list, repository, record);
    let ten = Duration::from_secs(10);
    let taken = fleet.order("POST", "/luglink/Configuration.Put", &configuration(1), ten);
    if taken.map(|(status, _)| status) != Some(200)
        || !fleet.wait_until_ready(Duration::from_secs(15))
    {
        record.say("the deployment does not start");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    let names: Vec<String> = (0..PROGRAMS)
        .map(|number| format!("{:06x}", 0x51b02c + number * 7919))
        .collect();
    let (restarted, lost, frozen) = (&fleet.storage[0], &fleet.storage[1], &fleet.storage[3]);
    // The first turn of each program, at the first front.
    let turns: Vec<Option<(String, Given)>> = std::thread::scope(|scope| {
        let first_turn = |name: &String| {
            std::thread::sleep(Duration::from_millis(100));
            (name.clone(), take_turn(&fleet, 0, name, None, record))
        };
        let threads: Vec<_> = names
            .iter()
            .map(|name| scope.spawn(move || first_turn(name)))
            .collect();
        if has_trouble {
            fleet.restart(restarted);
        }
        threads
            .into_iter()
            .map(|thread| thread.join().ok())
            .collect()
    });
    let answered_at = Instant::now();
    let turns: Vec<(String, Given)> = turns
        .into_iter()
        .flatten()
        .filter(|(_, given)| given.is_whole())
        .collect();
    record.say(&format!(
        "{} of {PROGRAMS} first turns were answered whole",
        turns.len()
    ));
    if turns.len() < PROGRAMS / 2 {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(12));
    if has_trouble {
        record.say(&format!(
            "{} loses its disk, {} freezes",
            lost.name, frozen.name
        ));
        lost.kill();
        lost.wipe();
        frozen.signal(SIGSTOP);
    }
    let began = Instant::now();
    let (mut is_back, mut is_awake) = (!has_trouble, !has_trouble);
    let mut waiting: Vec<usize> = (0..turns.len()).collect();
    let (mut served, mut not_found) = (0, 0);
    // The programs go on at the second front, and ask again while they are refused.
    while began.elapsed() < Duration::from_secs(16) && !waiting.is_empty() {
        if !is_back && began.elapsed() >= Duration::from_millis(600) {
            fleet.run(lost, false);
            record.say(&format!("{} is back with an empty disk", lost.name));
            is_back = true;
        }
        if !is_awake && began.elapsed() >= FREEZE {
            frozen.signal(SIGCONT);
            record.say(&format!("{} wakes", frozen.name));
            is_awake = true;
        }
        // Every tenth of a second a part of the programs sends its next turn.
        let now: Vec<usize> = waiting
            .iter()
            .copied()
            .filter(|number| is_due(*number, began))
            .collect();
        let statuses: Vec<(usize, u16)> = std::thread::scope(|scope| {
            let threads: Vec<_> = now
                .iter()
                .map(|number| {
                    let (name, first) = &turns[*number];
                    let fleet = &fleet;
                    scope.spawn(move || {
                        let given = take_turn(fleet, 1, name, Some(&first.attempt), record);
                        (*number, given.reply.status)
                    })
                })
                .collect();
            threads
                .into_iter()
                .filter_map(|thread| thread.join().ok())
                .collect()
        });
        for (number, status) in statuses {
            match status {
                200 => served += 1,
                404 | 410 => {
                    not_found += 1;
                    let age = answered_at.elapsed().as_millis();
                    record.note(&format!(
                        "BROKEN: {status} for the turn {} answered {age} ms ago",
                        turns[number].1.attempt
                    ));
                }
                _ => continue,
            }
            waiting.retain(|other| *other != number);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    if !is_awake {
        frozen.signal(SIGCONT);
    }
    record.say(&format!(
        "next turns: {served} served, {not_found} answered with 404 within retention-s, {} without either",
        waiting.len()
    ));
    i32::from(not_found > 0)
}

/// Programs pause for their tools, for different times.
fn is_due(number: usize, began: Instant) -> bool {
    began.elapsed() >= Duration::from_millis(800 + 75 * number as u64)
}

fn take_turn(
    fleet: &Fleet,
    gateway: usize,
    program: &str,
    previous: Option<&str>,
    record: &Record,
) -> Given {
    let input = vec![b'x'; 1_300];
    let turn = Turn {
        program,
        session: "s0",
        budget: 4_000,
        ceiling: 90,
        previous,
        input: &input,
    };
    send(fleet.front(gateway), &turn, record)
}
