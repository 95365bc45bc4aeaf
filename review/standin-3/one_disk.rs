//! Case 5: turns that one store kept and another one kept on a disk that it has lost since.
#[path = "standins.rs"]
mod standins;

use standins::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PATH: &str = "/kept/2f";
/// Turns with long inputs, and turns that end a little later, with short ones.
const SHORT_TURNS: usize = 90;
const LONG_INPUT: usize = 1 << 20;
const SHORT_INPUT: usize = 4_300;
const SHORT_TURNS_LATER: Duration = Duration::from_millis(90);
const TRIALS: usize = 6;
/// Numbers of long turns, and times in milliseconds after their end at which the first disk is lost, trial by trial. How
/// soon stores acknowledge turns differs from machine to machine.
const PLANS: [(usize, u64); TRIALS] = [
    (32, 310),
    (20, 240),
    (26, 280),
    (14, 190),
    (32, 370),
    (20, 300),
];

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-kept\",\"host\":\"{HOST}\",\"path-prefix\":\"/kept/\",\
         \"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":200,\"priority\":0,\"service\":\"llm\",\
         \"max-attempts\":1,\"keeps-history\":true,\"retention-s\":60.0,\"sticky-sessions\":true,\
         \"resumable\":false,\"gap-aim-ms\":200}}],\"services\":[{{\"name\":\"llm\",\"health-check-path\":\"/health\",\
         \"connection-limit\":160,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kv-capacity-tokens\":127559,\"kv-token-bytes\":131072,\"link-mbps\":1100000.0,\"kv-backups\":true,\
         \"tokens-per-event\":9,\"most\":12,\"pin-duration-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn headers(id: &str, program: &str, previous: Option<&str>) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,288".to_owned()),
        ("X-Prompt-Prefix", "5c1e07a2:512,e4402b7d:948".to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
        ("X-Program-Id", program.to_owned()),
        ("X-Session-Id", "77d20b".to_owned()),
        ("X-Program-Deadline-Ms", "50000".to_owned()),
        ("X-Token-Budget", "9000".to_owned()),
    ];
    headers.extend(previous.map(|previous| ("X-Previous-Turn", previous.to_owned())));
    headers
}

#[derive(Clone)]
struct Turn {
    id: String,
    program: String,
    ended_at: Instant,
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Sends turns that end at about `end`, with losses around it.
fn write_turns(
    record: &Record,
    deployment: &Deployment,
    end: Instant,
    roles: (usize, usize, usize),
    (long_turns, lost_ms): (usize, u64),
) -> Vec<Turn> {
    let (restarted, wiped, frozen) = roles;
    let turns = Mutex::new(Vec::new());
    let ms = |millis: u64| Duration::from_millis(millis);
    thread::scope(|scope| {
        for number in 0..long_turns + SHORT_TURNS {
            let turns = &turns;
            scope.spawn(move || {
                let (id, program) = (attempt_id(), attempt_id());
                let input = vec![
                    b'a';
                    if number < long_turns {
                        LONG_INPUT
                    } else {
                        SHORT_INPUT
                    }
                ];
                let answer = request(
                    deployment.fronts[0],
                    "POST",
                    PATH,
                    &headers(&id, &program, None),
                    &input,
                    Duration::from_secs(5),
                );
                record.note(format!(
                    "turn {id}: status {}, {} events, whole: {}",
                    answer.status,
                    answer.events().len(),
                    answer.is_whole
                ));
                if answer.status == 200 && answer.is_whole {
                    turns.lock().unwrap().push(Turn {
                        id,
                        program,
                        ended_at: answer.ended_at.unwrap(),
                    });
                }
            });
        }
        if trouble() {
            sleep_until(end - ms(30));
            deployment.signal_machine(frozen, SIGSTOP);
            deployment.kill_machine(restarted);
            record.note(format!(
                "storage machine {frozen} freezes, processes of {restarted} are killed"
            ));
            sleep_until(end + ms(15));
            deployment.start_member(restarted);
            sleep_until(end + ms(lost_ms));
            deployment.kill_machine(wiped);
            deployment.wipe_machine(wiped);
            deployment.start_machine(wiped);
            record.note(format!(
                "storage machine {wiped} has lost its disk and starts again"
            ));
            sleep_until(end + ms(lost_ms + 40));
            deployment.start_store(restarted);
            record.note(format!(
                "both processes of storage machine {restarted} have started again"
            ));
            sleep_until(end + ms(lost_ms + 230));
            deployment.signal_machine(frozen, SIGCONT);
            record.note(format!("storage machine {frozen} wakes"));
        }
    });
    turns.into_inner().unwrap()
}

/// Continues turns. Returns true if each was found.
fn continue_turns(record: &Record, deployment: &Deployment, turns: &[Turn]) -> bool {
    let is_kept = AtomicBool::new(true);
    thread::scope(|scope| {
        for turn in turns {
            let is_kept = &is_kept;
            scope.spawn(move || {
                for _ in 0..8 {
                    let id = attempt_id();
                    let age = turn.ended_at.elapsed().as_secs_f64();
                    let answer = request(
                        deployment.fronts[1],
                        "POST",
                        PATH,
                        &headers(&id, &turn.program, Some(&turn.id)),
                        b"second",
                        Duration::from_secs(5),
                    );
                    record.note(format!(
                        "turn {id} after {}, answered whole {age:.1} s before: status {}",
                        turn.id, answer.status
                    ));
                    if matches!(answer.status, 404 | 410) && age < 60.0 {
                        is_kept.store(false, Ordering::SeqCst);
                    }
                    if answer.status != 503 {
                        return;
                    }
                    thread::sleep(Duration::from_millis(400));
                }
            });
        }
    });
    is_kept.load(Ordering::SeqCst)
}

fn run(record: &Record) -> Result<bool, String> {
    let platform = Platform::default();
    let end_at = Arc::new(Mutex::new(Instant::now()));
    for _ in 0..11 {
        let end_at = Arc::clone(&end_at);
        platform.add_replica("llm", 12, move |arrival, stream| {
            begin_stream(arrival, stream)?;
            send_chunk(stream, event(1, "part 1").as_bytes())?;
            let later = if arrival.body.len() < LONG_INPUT {
                SHORT_TURNS_LATER
            } else {
                Duration::ZERO
            };
            let end = *end_at.lock().unwrap() + later;
            sleep_until(end);
            send_chunk(stream, event(2, "part 2").as_bytes())?;
            std::io::Write::write_all(stream, b"0\r\n\r\n")?;
            Ok(true)
        });
    }
    let list = platform.serve_list();
    let deployment = Deployment::start(4, 2, list);
    let is_over = Arc::new(AtomicBool::new(false));
    limit_run(record, Duration::from_secs(115), Arc::clone(&is_over));
    deployment.configure(&configuration(), Duration::from_secs(20))?;
    deployment.wait_until_all_ready()?;
    thread::sleep(Duration::from_secs(5));
    let mut is_kept = true;
    for (trial, plan) in PLANS.into_iter().enumerate() {
        let leader = deployment.leader().ok_or("no member leads")?;
        let others: Vec<usize> = (0..4).filter(|host| *host != leader).collect();
        // In the first trial, the last machine has no vote.
        let roles = (others[0], others[2], others[1]);
        record.note(format!("trial {trial}: machine {leader} leads"));
        let end = Instant::now() + Duration::from_millis(1_500);
        *end_at.lock().unwrap() = end;
        let turns = write_turns(record, &deployment, end, roles, plan);
        // Every machine has been back for longer than catch-up-s.
        thread::sleep(Duration::from_millis(5_200));
        if trouble() {
            deployment.kill_machine(roles.2);
            deployment.wipe_machine(roles.2);
            deployment.start_machine(roles.2);
            record.note(format!(
                "storage machine {} has lost its disk and starts again",
                roles.2
            ));
        }
        thread::sleep(Duration::from_millis(1_500));
        is_kept &= continue_turns(record, &deployment, &turns);
        record.note(format!(
            "trial {trial}: {} turns were answered whole, all kept: {is_kept}",
            turns.len()
        ));
        if !is_kept {
            break;
        }
        // Every machine has been back for longer than catch-up-s again.
        thread::sleep(Duration::from_millis(3_500));
    }
    is_over.store(true, Ordering::SeqCst);
    Ok(is_kept)
}

fn main() {
    let record = Record::from_arguments();
    let verdict = run(&record);
    std::process::exit(finish(&record, verdict));
}
