//! Not a case of the review: a stream that a draining replica breaks off is continued at that replica.
#[path = "standins.rs"]
mod standins;

use standins::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PATH: &str = "/free/2f";
const EVENTS: usize = 36;
const GAP: Duration = Duration::from_millis(100);
/// Time after the list shows a replica as draining at which it breaks its streams off.
const BREAK_AFTER: Duration = Duration::from_millis(3_300);
const DRAIN: Duration = Duration::from_millis(3_000);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-free\",\"host\":\"{HOST}\",\"path-prefix\":\"/free/\",\
         \"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":200,\"priority\":0,\"service\":\"llm\",\
         \"max-attempts\":1,\"keeps-history\":false,\"retention-s\":60.0,\"sticky-sessions\":true,\
         \"resumable\":true,\"gap-aim-ms\":200}}],\"services\":[{{\"name\":\"llm\",\"health-check-path\":\"/health\",\
         \"connection-limit\":160,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":12,\
         \"kv-capacity-tokens\":127559,\"kv-token-bytes\":131072,\"link-mbps\":1100000.0,\"kv-backups\":true,\
         \"tokens-per-event\":9,\"most\":12,\"pin-duration-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn headers(id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,324".to_owned()),
        ("X-Prompt-Prefix", "5c1e07a2:512,e4402b7d:948".to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
        ("X-Program-Id", attempt_id()),
        ("X-Session-Id", "77d20b".to_owned()),
        ("X-Program-Deadline-Ms", "9000".to_owned()),
        ("X-Token-Budget", "9000".to_owned()),
    ]
}

fn run(record: &Record) -> Result<bool, String> {
    let platform = Platform::default();
    let draining_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    for replica in 0..4 {
        let draining_at = Arc::clone(&draining_at);
        platform.add_replica("llm", 12, move |arrival, stream| {
            begin_stream(arrival, stream)?;
            for number in continues_after(arrival) + 1..=EVENTS {
                thread::sleep(GAP);
                let text = event(number, "part");
                let draining_at = *draining_at.lock().unwrap();
                let breaks = replica == 0
                    && arrival.head.get("last-event-id").is_none()
                    && draining_at.is_some_and(|since| since.elapsed() >= BREAK_AFTER);
                if trouble() && breaks {
                    // A replica may stop partway through an event.
                    send_chunk(stream, &text.as_bytes()[..text.len() / 2])?;
                    return Ok(false);
                }
                send_chunk(stream, text.as_bytes())?;
            }
            std::io::Write::write_all(stream, b"0\r\n\r\n")?;
            Ok(true)
        });
    }
    let list = platform.serve_list();
    let deployment = Deployment::start(3, 2, list);
    let is_over = Arc::new(AtomicBool::new(false));
    limit_run(record, Duration::from_secs(100), Arc::clone(&is_over));
    deployment.configure(&configuration(), Duration::from_secs(20))?;
    deployment.wait_until_all_ready()?;
    thread::sleep(Duration::from_secs(4));
    thread::scope(|scope| {
        for number in 0..24 {
            let (deployment, record) = (&deployment, &record);
            scope.spawn(move || {
                let id = attempt_id();
                let answer = request(
                    deployment.fronts[number % 2],
                    "POST",
                    PATH,
                    &headers(&id),
                    b"question\n",
                    Duration::from_secs(5),
                );
                record.note(format!(
                    "attempt {id}: status {}, {} events, whole: {}",
                    answer.status,
                    answer.events().len(),
                    answer.is_whole
                ));
            });
        }
        thread::sleep(Duration::from_millis(150));
        platform.entries.lock().unwrap()[0].is_draining = true;
        *draining_at.lock().unwrap() = Some(Instant::now());
        record.note("the list shows replica 0 as draining");
    });
    is_over.store(true, Ordering::SeqCst);
    let since = draining_at.lock().unwrap().unwrap();
    let arrivals = platform.arrivals.lock().unwrap().clone();
    let mut late = 0;
    let mut at_draining = 0;
    for arrival in arrivals.iter().filter(|arrival| arrival.replica == 0) {
        at_draining += 1;
        let after = arrival.at.saturating_duration_since(since);
        record.note(format!(
            "replica 0 got attempt {} (Last-Event-Id {:?}) {:.3} s after that",
            arrival.id(),
            arrival.head.get("last-event-id"),
            after.as_secs_f64()
        ));
        late += usize::from(after > DRAIN);
    }
    if at_draining == 0 {
        return Err("the draining replica had no streams".to_owned());
    }
    Ok(late == 0)
}

fn main() {
    let record = Record::from_arguments();
    let verdict = run(&record);
    std::process::exit(finish(&record, verdict));
}
