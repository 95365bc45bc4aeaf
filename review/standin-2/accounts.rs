//! A program that comes back within the retention, at a gateway that is frozen meanwhile.
use crate::Verdict;
use crate::fleet::{CONT, Fleet, STOP, Site, free_prefix};
use crate::platform::Replicas;
use crate::programs::{Outcome, Program, RETENTION, SERVICE, configuration, wait_until};
use crate::record::Record;
use std::time::Duration;

/// The sheet of cpivt-lisboa.
pub const CPIVT: Site = Site {
    zones: &["lx-alcantara", "lx-oeiras", "lx-sacavem"],
    region: "pt-lisboa",
    front_memory_mb: 110,
    storage_memory_mb: 120,
    rate_per_s: 47.0,
};

/// Pause of events that the site's sheet allows, in milliseconds. Clients give a stream up after eight
/// times that, here 3.2 s.
const GAP_AIM_MS: u64 = 400;

/// Events of an answer.
const EVENTS: usize = 4;

const CEILING: usize = EVENTS * crate::programs::TOKENS_PER_EVENT;

/// Turns that fit into the budget.
const TURNS: usize = 4;

const PROGRAMS: usize = 3;

/// Time of the come back after the last whole answer.
const COME_BACK: Duration = Duration::from_millis(59_300);

/// Length of the freeze, and how long before the come back it begins.
const FREEZE: Duration = Duration::from_millis(2_600);
const FREEZE_LEAD: Duration = Duration::from_millis(300);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let prefix = free_prefix();
    let replicas = Replicas::new(SERVICE, EVENTS, Duration::from_millis(10), record.clone());
    for number in 1..=3 {
        let zone = CPIVT.zones[number - 1];
        replicas.start(
            &format!("{prefix}.{}", 30 + number),
            &format!("i-{number}"),
            zone,
        );
    }
    let list = replicas.serve_list(&format!("{prefix}.40"));
    let fleet = Fleet::start(&CPIVT, &prefix, 2, 3, list, record.clone());
    let verdict = play_at(&fleet, record, has_trouble);
    fleet.end();
    verdict
}

fn play_at(fleet: &Fleet, record: &Record, has_trouble: bool) -> Verdict {
    if !fleet.configure(&configuration(7, GAP_AIM_MS)) {
        return Verdict::NotRun("the deployment did not start".to_owned());
    }
    // Contact has been undisturbed for longer than `contact-ms` when the programs begin.
    std::thread::sleep(Duration::from_secs(4));
    let mut programs: Vec<Program> = (0..PROGRAMS)
        .map(|number| Program::new(&format!("p{number}"), "/plain/x", TURNS * CEILING, CEILING))
        .collect();
    for program in &mut programs {
        for _ in 0..TURNS {
            if program.turn(fleet.front(0), Duration::ZERO, record) != Outcome::Whole {
                return Verdict::NotRun("a first turn was not served".to_owned());
            }
        }
    }
    // All come back within the retention of the one that was answered first.
    let come_back = programs[0].answered_at + COME_BACK;
    if has_trouble {
        wait_until(come_back - FREEZE_LEAD);
        record.line("the first gateway is frozen");
        fleet.gateways[0].signal(STOP);
    }
    wait_until(come_back);
    let gateway = fleet.front(0);
    let outcomes: Vec<(Program, Outcome)> = std::thread::scope(|scope| {
        let turns: Vec<_> = programs
            .into_iter()
            .map(|mut program| {
                scope.spawn(move || {
                    let age = program.answered_at.elapsed();
                    assert!(age < RETENTION, "the program comes back too late");
                    let outcome = program.turn(gateway, Duration::ZERO, record);
                    (program, outcome)
                })
            })
            .collect();
        if has_trouble {
            wait_until(come_back - FREEZE_LEAD + FREEZE);
            record.line("the first gateway wakes");
            fleet.gateways[0].signal(CONT);
        }
        turns.into_iter().map(|turn| turn.join().unwrap()).collect()
    });
    let mut overspent = Vec::new();
    for (mut program, mut outcome) in outcomes {
        // A program goes on while it is served, and ends at once on a 402. What is refused otherwise or
        // fails is tried again, since the route's streams may be repeated.
        let mut failures = 0;
        while outcome != Outcome::Status(402) && program.turns < 3 * TURNS && failures < 5 {
            if outcome != Outcome::Whole {
                failures += 1;
                std::thread::sleep(Duration::from_millis(400));
            }
            outcome = program.turn(fleet.front(1), Duration::ZERO, record);
        }
        let most = program.budget + program.ceiling;
        record.line(&format!(
            "{}: {} tokens given, budget {}, one turn {}, last outcome {outcome:?}",
            program.name, program.tokens, program.budget, program.ceiling
        ));
        if program.tokens > most {
            overspent.push(format!(
                "{} got {} tokens, allowed {most}",
                program.name, program.tokens
            ));
        }
    }
    match overspent.is_empty() {
        true => Verdict::Held("no program got more than its budget and one turn".to_owned()),
        false => Verdict::Broken(format!("BUDGET, {}", overspent.join("; "))),
    }
}
