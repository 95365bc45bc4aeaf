//! Case: turns after three storage machines were replaced one after the other.

use crate::fleet::{Fleet, ZONES, free_block};
use crate::program::{Given, Turn, configuration, send};
use crate::record::Record;
use crate::replica::{Replicas, serve_list};
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAMS: usize = 40;

/// Time from the loss of a machine to the start of the empty one that replaces it.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);

/// Time between two losses: until the new machine starts, then `catch-up-s` and `contact-ms`, and a
/// little more.
const BETWEEN: Duration = Duration::from_millis(7_800);

/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// The last part of the day, in which the rule looks at turns after a final fault.
const LAST: Duration = Duration::from_secs(4);

/// What became of a program after the final fault.
#[derive(Default)]
struct Outcome {
    tries: usize,
    tries_in_last: usize,
    is_served: bool,
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
    let first: Vec<Given> = (0..PROGRAMS)
        .map(|number| {
            take_turn(
                &fleet,
                number % 2,
                &format!("{:06x}", 0x3fa81c + number * 7919),
                None,
                record,
            )
        })
        .filter(Given::is_whole)
        .collect();
    record.say(&format!(
        "{} of {PROGRAMS} first turns were answered whole",
        first.len()
    ));
    if first.len() < PROGRAMS / 2 {
        return 2;
    }
    let mut running = vec![0, 1, 2, 3];
    if has_trouble {
        for replaced in [0, 2, 3] {
            let began = Instant::now();
            replace(&fleet, &mut running, replaced, record);
            std::thread::sleep(BETWEEN.saturating_sub(began.elapsed()));
        }
        std::thread::sleep(Duration::from_secs(4));
        record.say("all storage machines are killed");
        for machine in &running {
            fleet.storage[*machine].kill();
        }
        std::thread::sleep(Duration::from_millis(800));
        for machine in &running {
            fleet.run(&fleet.storage[*machine], false);
        }
        record.say("all storage machines are back");
    }
    // New programs go on from the earlier turns, and first turns of others come beside.
    let end = Instant::now() + RECOVERY + LAST;
    let outcomes: Vec<(Outcome, Outcome)> = std::thread::scope(|scope| {
        let threads: Vec<_> = first
            .iter()
            .enumerate()
            .map(|(number, turn)| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let name = format!("{:06x}", 0x7c1d05 + number * 7919);
                    let next = ask(fleet, number, &name, Some(&turn.attempt), end, record);
                    let name = format!("{:06x}", 0x9e3042 + number * 7919);
                    (
                        next,
                        ask(
                            fleet,
                            number,
                            &name,
                            None,
                            end.max(Instant::now() + LAST),
                            record,
                        ),
                    )
                })
            })
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    let is_lost = |outcome: &&(Outcome, Outcome)| {
        !outcome.0.is_served && outcome.0.tries >= 5 && outcome.0.tries_in_last > 0
    };
    let lost = outcomes.iter().filter(is_lost).count();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.0.is_served)
        .count();
    let begun = outcomes
        .iter()
        .filter(|outcome| outcome.1.is_served)
        .count();
    record.say(&format!(
        "of {} turns that go on from earlier ones {served} were served and {lost} reached no replica \
         until {} s after the machines were back; of as many first turns {begun} reached one",
        outcomes.len(),
        (RECOVERY + LAST).as_secs(),
    ));
    i32::from(lost > 0)
}

/// Takes a machine away for good. An empty one starts soon after at another address.
fn replace(fleet: &Fleet, running: &mut [usize], replaced: usize, record: &Record) {
    let new = replaced + ZONES.len();
    record.say(&format!(
        "{} is gone for good",
        fleet.storage[replaced].name
    ));
    fleet.storage[replaced].kill();
    fleet.storage[replaced].wipe();
    std::thread::sleep(REPLACEMENT_DELAY);
    let left = running
        .iter()
        .copied()
        .filter(|machine| *machine != replaced);
    fleet.set_seeds(&left.collect::<Vec<usize>>());
    fleet.run(&fleet.storage[new], false);
    record.say(&format!("{} starts", fleet.storage[new].name));
    if let Some(place) = running.iter_mut().find(|machine| **machine == replaced) {
        *place = new;
    }
}

/// Asks again and again until the turn is served or the time is over, with the pauses of a client.
fn ask(
    fleet: &Fleet,
    number: usize,
    program: &str,
    previous: Option<&str>,
    end: Instant,
    record: &Record,
) -> Outcome {
    let mut outcome = Outcome::default();
    while Instant::now() < end && !outcome.is_served {
        let given = take_turn(
            fleet,
            (number + outcome.tries) % 2,
            program,
            previous,
            record,
        );
        outcome.tries += 1;
        outcome.tries_in_last += usize::from(Instant::now() + LAST > end);
        outcome.is_served = given.is_whole();
        let stated = given
            .reply
            .head
            .get("retry-after")
            .and_then(|value| value.parse::<f64>().ok());
        let pause = stated.unwrap_or(0.0).clamp(0.1, 1.3);
        std::thread::sleep(Duration::from_secs_f64(pause));
    }
    outcome
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
