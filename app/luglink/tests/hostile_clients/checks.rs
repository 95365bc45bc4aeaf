//! What holds for all processes and for ordinary requests beside hostile clients.

use crate::fleet::{
    CALL_PATH, Fleet, FleetPlan, GATEWAY_METRICS_PORT, HOST, KEPT_PATH, MEMBER_METRICS_PORT,
    READY_PORT, RESOLUTION_PORT, STORE_METRICS_PORT,
};
use awc::Client;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of every wait, far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that an ordinary caller has for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of an ordinary request, in bytes.
const ORDINARY_BODY_BYTES: usize = 16 << 10;

/// Largest use that a process has made of its machine.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    memory_kb: u64,
    open_files: usize,
}

/// Watches the memory and the open files of all processes, and whether they run.
pub struct Peaks {
    fleet: Fleet,
    plan: FleetPlan,
    uses: Rc<RefCell<BTreeMap<String, Use>>>,
    is_stopped: Rc<Cell<bool>>,
}

impl Peaks {
    /// Watches until [`Peaks::assert_bounded`].
    pub fn watch(fleet: &Fleet, plan: FleetPlan) -> Self {
        let peaks = Self {
            fleet: fleet.clone(),
            plan,
            uses: Rc::default(),
            is_stopped: Rc::default(),
        };
        let (fleet, uses) = (fleet.clone(), Rc::clone(&peaks.uses));
        let is_stopped = Rc::clone(&peaks.is_stopped);
        actix_rt::spawn(async move {
            while !is_stopped.get() {
                record(&fleet, &uses);
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        });
        peaks
    }

    /// Asserts that no process has ended or has exceeded what its machine has.
    pub fn assert_bounded(self) {
        record(&self.fleet, &self.uses);
        self.is_stopped.set(true);
        let mut faults = Vec::new();
        for process in self.fleet.processes() {
            if process.has_ended() {
                faults.push(format!("{} has ended", process.label()));
            }
        }
        for (process, used) in &*self.uses.borrow() {
            let memory_mb = match process.starts_with("gateway") {
                true => self.plan.gateway_memory_mb,
                false => self.plan.storage_memory_mb,
            };
            if used.memory_kb > memory_mb << 10 {
                let used = used.memory_kb >> 10;
                faults.push(format!("{process} used {used} MB of {memory_mb} MB"));
            }
            let open_files = self.plan.open_files.unwrap_or(u64::MAX);
            if used.open_files as u64 >= open_files {
                faults.push(format!("{process} used all {open_files} files"));
            }
        }
        if !faults.is_empty() {
            self.fleet.keep_logs();
        }
        assert_eq!(faults, Vec::<String>::new(), "{:?}", self.uses.borrow());
    }
}

/// Records the present use of all processes.
fn record(fleet: &Fleet, uses: &RefCell<BTreeMap<String, Use>>) {
    let mut uses = uses.borrow_mut();
    for process in fleet.processes() {
        let Some(id) = process.id() else {
            continue;
        };
        let used = uses.entry(process.label()).or_default();
        used.memory_kb = used.memory_kb.max(peak_memory_kb(id).unwrap_or(0));
        let files = fs::read_dir(format!("/proc/{id}/fd"));
        let open_files = files.map_or(0, Iterator::count);
        used.open_files = used.open_files.max(open_files);
    }
}

/// Returns the largest resident memory that a process has had, in kibibytes.
fn peak_memory_kb(id: i32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix(" kB")?.parse().ok()
}

/// Sends ordinary requests to the first gateway until one is answered. Returns false if none is.
pub async fn is_ordinary_request_answered(fleet: &Fleet, name: &str) -> bool {
    let started = Instant::now();
    let mut attempt = 0;
    while started.elapsed() < WAIT_TIMEOUT {
        if call(fleet.addresses[0], CALL_PATH, &format!("{name}-{attempt}")).await {
            return true;
        }
        attempt += 1;
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Makes one ordinary request. Returns true if it is answered with success.
async fn call(address: SocketAddr, path: &str, id: &str) -> bool {
    let client = Client::builder().timeout(ATTEMPT_TIMEOUT).finish();
    let request = client
        .post(format!("http://{address}{path}"))
        .insert_header(("host", HOST))
        .insert_header(("luglink-request-id", id))
        .insert_header(("luglink-program", format!("program-{id}")))
        .insert_header(("luglink-token-usage", "100,50"))
        .insert_header(("luglink-deadline-ms", "4000"));
    let body = format!("{id} {}", "x".repeat(ORDINARY_BODY_BYTES));
    match request.send_body(body).await {
        Ok(mut answer) => answer.status().is_success() && answer.body().await.is_ok(),
        Err(_) => false,
    }
}

async fn get(address: SocketAddr, path: &str) -> bool {
    let client = Client::builder().timeout(ATTEMPT_TIMEOUT).finish();
    let answer = client.get(format!("http://{address}{path}")).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Waits until `check` holds.
async fn assert_soon(what: &str, check: impl AsyncFn(usize) -> bool) {
    let started = Instant::now();
    let mut attempt = 0;
    while !check(attempt).await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{what}");
        attempt += 1;
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Asserts that every listener answers an ordinary request.
pub async fn assert_serves(fleet: &Fleet) {
    for (number, address) in fleet.addresses.iter().copied().enumerate() {
        for path in [CALL_PATH, KEPT_PATH] {
            assert_soon(
                &format!("gateway {number} serves {path}"),
                async |attempt| {
                    let kind = path.replace('/', "-");
                    call(address, path, &format!("after-{number}{kind}-{attempt}")).await
                },
            )
            .await;
        }
    }
    assert_soon("a configuration is acknowledged", async |_| {
        fleet.configure().await
    })
    .await;
    let readers = [
        (fleet.at_storage(RESOLUTION_PORT), "/v1/gateways?zone=here"),
        (fleet.at_gateway(READY_PORT), "/v1/ready"),
        (fleet.at_gateway(GATEWAY_METRICS_PORT), "/metrics"),
        (fleet.at_storage(MEMBER_METRICS_PORT), "/metrics"),
        (fleet.at_storage(STORE_METRICS_PORT), "/metrics"),
    ];
    for (address, path) in readers {
        assert_soon(&format!("{address} answers {path}"), async |_| {
            get(address, path).await
        })
        .await;
    }
}
