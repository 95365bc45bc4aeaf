//! Case: the token budget of a program after a store was restarted and another one lost its disk.

use crate::fleet::{Fleet, ZONES, free_block};
use crate::program::{Turn, configuration, send};
use crate::record::Record;
use crate::replica::{Replicas, serve_list};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const PROGRAMS: usize = 24;
const CEILING: u64 = 90;
const BUDGET: u64 = 3 * CEILING;
const AGENTS: usize = 6;

struct Program {
    name: String,
    given: AtomicU64,
}

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
    let programs: Vec<Arc<Program>> = (0..PROGRAMS)
        .map(|number| {
            let name = format!("{:06x}", 0x3fa81c + number * 7919);
            Arc::new(Program {
                name,
                given: AtomicU64::new(0),
            })
        })
        .collect();
    let restarted = &fleet.storage[0];
    // Each program spends its whole budget while one storage machine is restarted.
    std::thread::scope(|scope| {
        for (number, program) in programs.iter().enumerate() {
            let front = fleet.front(number % 2);
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(100));
                for _ in 0..3 {
                    take_turn(program, front, "s0", record);
                }
            });
        }
        if has_trouble {
            fleet.restart(restarted);
        }
    });
    let has_spent = |program: &&Arc<Program>| program.given.load(Ordering::SeqCst) == BUDGET;
    let spent = programs.iter().filter(has_spent).count();
    record.say(&format!("{spent} programs have spent their budget"));
    if spent < PROGRAMS / 2 {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(6));
    let refused = programs.iter().enumerate().filter(|(number, program)| {
        take_turn(program, fleet.front(number % 2), "s0", record) == 402
    });
    record.say(&format!(
        "{} programs get 402 for one more turn",
        refused.count()
    ));
    std::thread::sleep(Duration::from_secs(6));
    if has_trouble {
        final_fault(&fleet, record);
    }
    // The programs come back, each with some sub-agents side by side.
    let mut agents = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        for agent in 0..AGENTS {
            let (program, record) = (Arc::clone(program), record.clone());
            let front = fleet.front((number + agent) % 2);
            agents.push(std::thread::spawn(move || {
                let session = format!("s{}", agent + 1);
                let mut refusals = 0;
                let mut failures = 0;
                while refusals < 3 && failures < 3 {
                    match take_turn(&program, front, &session, &record) {
                        200 => failures = 0,
                        402 => refusals += 1,
                        _ => failures += 1,
                    }
                    std::thread::sleep(Duration::from_millis(100 + 40 * agent as u64));
                }
            }));
        }
    }
    if has_trouble {
        // The last machine is back within a second of the others.
        std::thread::sleep(Duration::from_millis(800));
        record.say(&format!("{} is back", fleet.storage[2].name));
        fleet.run(&fleet.storage[2], false);
    }
    for thread in agents {
        let _ = thread.join();
    }
    let mut broken = 0;
    for program in &programs {
        let given = program.given.load(Ordering::SeqCst);
        let is_broken = given > BUDGET + CEILING;
        broken += usize::from(is_broken);
        record.note(&format!(
            "program {}: budget {BUDGET}, most of a turn {CEILING}, given {given}{}",
            program.name,
            if is_broken { " BROKEN" } else { "" }
        ));
    }
    record.say(&format!(
        "{broken} of {PROGRAMS} programs were given more than their budget and a turn"
    ));
    i32::from(broken > 0)
}

/// All storage machines lose power, one of them its disk. Three are back after 0.56 s.
fn final_fault(fleet: &Fleet, record: &Record) {
    let [_, lost, late, ..] = fleet.first_storage() else {
        return;
    };
    record.say(&format!(
        "all storage machines are killed, {} loses its disk",
        lost.name
    ));
    for machine in fleet.first_storage() {
        machine.kill();
    }
    lost.wipe();
    std::thread::sleep(Duration::from_millis(560));
    for machine in fleet
        .first_storage()
        .iter()
        .filter(|machine| machine.name != late.name)
    {
        fleet.run(machine, false);
    }
    std::thread::sleep(Duration::from_millis(100));
}

/// Sends one turn and counts its tokens. Returns the status.
fn take_turn(
    program: &Program,
    front: std::net::SocketAddr,
    session: &str,
    record: &Record,
) -> u16 {
    let input = vec![b'x'; 1_300];
    let turn = Turn {
        program: &program.name,
        session,
        budget: BUDGET,
        ceiling: CEILING,
        previous: None,
        input: &input,
    };
    let given = send(front, &turn, record);
    program.given.fetch_add(given.tokens, Ordering::SeqCst);
    given.reply.status
}
