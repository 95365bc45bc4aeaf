//! Case 4: a surplus answer of a replica that was full stands in the place of the next answer.
#[path = "standins.rs"]
mod standins;

use standins::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PATH: &str = "/call/2f";
const CLIENTS: usize = 4;
const REQUESTS_OF_CLIENT: usize = 160;
/// Largest share of a faulty replica's answers that have a second copy.
const SURPLUS_SHARE: f64 = 0.03;
/// Time from one moment at which the replicas are full to the next.
const FULL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which both replicas are full with the work of other callers.
const FULL: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(40);

/// Answers of the faulty replica.
#[derive(Default)]
struct Counts {
    answers: usize,
    surpluses: usize,
}

impl Counts {
    /// Counts one more surplus answer, if their share allows it.
    fn may_add_surplus(&mut self) -> bool {
        let is_allowed = (self.surpluses + 1) as f64 <= SURPLUS_SHARE * self.answers as f64;
        self.surpluses += usize::from(is_allowed);
        is_allowed
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-call\",\"host\":\"{HOST}\",\"path-prefix\":\"/call/\",\
         \"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":500,\"priority\":2,\"service\":\"app\",\
         \"max-attempts\":1,\"keeps-history\":false}}],\"services\":[{{\"name\":\"app\",\
         \"health-check-path\":\"/health\",\"connection-limit\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}"
    )
}

fn headers(id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "3000".to_owned()),
    ]
}

fn refuse(arrival: &Arrival, stream: &mut std::net::TcpStream) -> std::io::Result<bool> {
    let headers = [
        ("X-Attempt-Id", arrival.id().to_owned()),
        ("X-Not-Executed", "1".to_owned()),
    ];
    answer(stream, "503 Service Unavailable", &headers, b"full")
}

fn run(record: &Record) -> Result<bool, String> {
    let platform = Platform::default();
    let full_until = Arc::new(Mutex::new(Instant::now()));
    let runs: Arc<Mutex<BTreeMap<String, Vec<usize>>>> = Arc::default();
    // Attempts that the faulty replica refused, with the connections on which it did.
    let refused: Arc<Mutex<Vec<(String, SocketAddr)>>> = Arc::default();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    for replica in 0..2 {
        let (full_until, runs, refused, record) = (
            Arc::clone(&full_until),
            Arc::clone(&runs),
            Arc::clone(&refused),
            record.clone(),
        );
        let counts = Arc::clone(&counts);
        platform.add_replica("app", 6, move |arrival, stream| {
            let id = arrival.id().to_owned();
            if replica == 0 {
                counts.lock().unwrap().answers += 1;
            }
            let connection = (id.clone(), stream.peer_addr()?);
            if Instant::now() < *full_until.lock().unwrap() {
                record.note(format!("replica {replica} is full and does not run {id}"));
                if replica == 0 {
                    refused.lock().unwrap().push(connection);
                }
                return refuse(arrival, stream);
            }
            let is_refused_here = replica == 0 && refused.lock().unwrap().contains(&connection);
            if trouble() && is_refused_here && counts.lock().unwrap().may_add_surplus() {
                // The second copy of its answer to the request before comes late on that connection, in the place
                // of the next one.
                record.note(format!(
                    "replica {replica} sends a second copy of its refusal of {id}"
                ));
                refuse(arrival, stream)?;
            }
            record.note(format!("replica {replica} runs {id}"));
            runs.lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(replica);
            thread::sleep(WORK);
            answer(
                stream,
                "200 OK",
                &[("X-Attempt-Id", id), ("X-Response-Seal", SEAL.to_owned())],
                b"done",
            )
        });
    }
    let list = platform.serve_list();
    let deployment = Deployment::start(3, 1, list);
    let is_over = Arc::new(AtomicBool::new(false));
    limit_run(record, Duration::from_secs(100), Arc::clone(&is_over));
    deployment.configure(&configuration(), Duration::from_secs(20))?;
    deployment.wait_until_all_ready()?;
    thread::sleep(Duration::from_secs(3));
    let answered = AtomicUsize::new(0);
    let under_way = AtomicUsize::new(CLIENTS);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                for _ in 0..REQUESTS_OF_CLIENT {
                    let id = attempt_id();
                    record.note(format!("client sends {id}"));
                    let answer = request(
                        deployment.fronts[0],
                        "POST",
                        PATH,
                        &headers(&id),
                        b"act once",
                        Duration::from_secs(4),
                    );
                    record.note(format!(
                        "client got {} for {id}, whole: {}",
                        answer.status, answer.is_whole
                    ));
                    answered.fetch_add(usize::from(answer.status == 200), Ordering::SeqCst);
                }
                under_way.fetch_sub(1, Ordering::SeqCst);
            });
        }
        while under_way.load(Ordering::SeqCst) > 0 {
            thread::sleep(FULL_INTERVAL);
            *full_until.lock().unwrap() = Instant::now() + FULL;
        }
    });
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    let runs = runs.lock().unwrap().clone();
    let doubled: Vec<_> = runs
        .iter()
        .filter(|(_, replicas)| replicas.len() > 1)
        .collect();
    for (id, replicas) in &doubled {
        record.note(format!(
            "{id} ran {} times, at replicas {replicas:?}",
            replicas.len()
        ));
    }
    let counts = counts.lock().unwrap();
    record.note(format!(
        "the faulty replica gave {} answers, {} of them twice",
        counts.answers, counts.surpluses
    ));
    if answered.load(Ordering::SeqCst) == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(doubled.is_empty())
}

fn main() {
    let record = Record::from_arguments();
    let verdict = run(&record);
    std::process::exit(finish(&record, verdict));
}
