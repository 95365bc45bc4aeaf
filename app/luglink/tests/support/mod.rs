//! Cluster of `luglink` processes for tests. The tests start the processes; luglink starts none itself.
#![allow(dead_code)] // Each test file uses only a part of it.

use awc::Client;
use luglink_lab::engine::EngineConfig;
use luglink_lab::engine::http::EngineServer;
use luglink_lab::fleet::reserve_address;
use luglink_lab::observe::Observer;
use luglink_types::EngineId;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Path of the binary under test.
pub const LUGLINK: &str = env!("CARGO_BIN_EXE_luglink");

/// Timeout of every wait, far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

const CONTROL_MEMBERS: usize = 3;
const DAEMONS: usize = 2;
const ENGINES: usize = 2;

/// `luglink` process that can be killed and restarted with the same arguments.
pub struct TestProcess {
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl TestProcess {
    fn start(arguments: Vec<String>, log: PathBuf) -> Self {
        let mut process = Self {
            arguments,
            log,
            child: None,
        };
        process.restart();
        process
    }

    /// Starts the process with the same arguments; its log starts empty.
    pub fn restart(&mut self) {
        let log = File::create(&self.log).expect("a log file can be made");
        let child = Command::new(LUGLINK)
            .args(&self.arguments)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.child = Some(child);
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process ends");
        }
    }

    /// Requests a planned stop with SIGTERM.
    pub fn terminate(&self) {
        let child = self.child.as_ref().expect("the process runs");
        kill_process(Pid::from_child(child), Signal::TERM).expect("the signal is sent");
    }

    /// Waits until the process exits and returns its exit status.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("the process runs");
        let started = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("the process can be asked") {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the process did not stop");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Cluster of control member and daemon processes, with emulated engines in the test process.
pub struct TestCluster {
    pub control: Vec<TestProcess>,
    pub daemons: Vec<TestProcess>,
    pub engines: Vec<EngineServer>,
    pub observer: Observer,
    pub client: Client,
    admin: Vec<SocketAddr>,
    listen: Vec<SocketAddr>,
    data: TempDir,
}

/// Keeps the settings, data and logs of a failed test.
impl Drop for TestCluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.data.disable_cleanup(true);
            println!("logs are kept in {}", self.data.path().display());
        }
    }
}

impl TestCluster {
    /// Starts all processes and engines and waits until the daemons are ready.
    pub async fn start() -> Self {
        let data = tempfile::tempdir().expect("a folder can be made");
        let observer = Observer::default();
        let started = Instant::now();
        let engines: Vec<EngineServer> = (0..ENGINES)
            .map(|index| {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let engine = EngineId(u32::try_from(index).unwrap());
                let config = EngineConfig::default();
                EngineServer::start(engine, any, config, 1, started, observer.clone()).unwrap()
            })
            .collect();
        let members: Vec<SocketAddr> = (0..CONTROL_MEMBERS).map(|_| reserved_address()).collect();
        let admin: Vec<SocketAddr> = (0..CONTROL_MEMBERS).map(|_| reserved_address()).collect();
        let listen: Vec<SocketAddr> = (0..DAEMONS).map(|_| reserved_address()).collect();
        let settings = data.path().join("settings.toml");
        std::fs::write(&settings, settings_file(&members)).unwrap();
        let process = |role: &str, index: usize, overrides: Vec<String>| {
            let mut arguments = vec![
                role.to_owned(),
                "--config".to_owned(),
                settings.display().to_string(),
            ];
            for setting in overrides {
                arguments.extend(["--set".to_owned(), setting]);
            }
            let log = data.path().join(format!("{role}-{index}.log"));
            TestProcess::start(arguments, log)
        };
        let control = (0..CONTROL_MEMBERS).map(|index| {
            let folder = data.path().join(format!("data-{index}"));
            let overrides = vec![
                format!("control.id={}", index + 1),
                format!("control.listen={}", members[index]),
                format!("control.admin_listen={}", admin[index]),
                format!("control.data_folder={}", folder.display()),
            ];
            process("control", index, overrides)
        });
        let control: Vec<TestProcess> = control.collect();
        let daemons = (0..DAEMONS).map(|index| {
            let overrides = vec![
                format!("daemon.id={index}"),
                format!("daemon.listen={}", listen[index]),
            ];
            process("daemon", index, overrides)
        });
        let daemons: Vec<TestProcess> = daemons.collect();
        let cluster = Self {
            control,
            daemons,
            engines,
            observer,
            client: Client::builder().timeout(WAIT_TIMEOUT).finish(),
            admin,
            listen,
            data,
        };
        cluster.configure().await;
        for daemon in 0..DAEMONS {
            cluster.wait_until_ready(daemon).await;
        }
        cluster
    }

    /// Returns the temporary folder of the test.
    pub fn folder(&self) -> &Path {
        self.data.path()
    }

    /// Runs the operator client with the addresses of all members.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(LUGLINK);
        command.arg("ctl");
        for address in &self.admin {
            command.args(["--address", &address.to_string()]);
        }
        command.args(arguments).output().expect("the client runs")
    }

    /// Runs the operator client with the address of one member.
    pub fn ctl_at(&self, member: usize, arguments: &[&str]) -> Output {
        let address = self.admin[member].to_string();
        let mut command = Command::new(LUGLINK);
        command.args(["ctl", "--address", &address]).args(arguments);
        command.output().expect("the client runs")
    }

    /// Waits until a group has a leader and returns the index of the leading member.
    pub async fn leader_of(&self, group: u32) -> usize {
        let started = Instant::now();
        loop {
            let output = self.ctl(&["status"]);
            if let Some(leader) = parse_leader(&text(&output.stdout), group) {
                return leader - 1;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "group {group} has no leader"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn configure(&self) {
        let file = self.data.path().join("resources.toml");
        let engines: Vec<SocketAddr> = self.engines.iter().map(|engine| engine.address).collect();
        std::fs::write(&file, resource_file(&engines)).unwrap();
        let file = file.display().to_string();
        let arguments = [
            "apply",
            "--file",
            &file,
            "--change-id",
            "setup",
            "--expected-revision",
            "0",
        ];
        let started = Instant::now();
        loop {
            let output = self.ctl(&arguments);
            if output.status.success() {
                return;
            }
            let error = text(&output.stderr);
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "cannot apply the resources: {error}"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the readiness check of a daemon succeeds.
    pub async fn wait_until_ready(&self, daemon: usize) {
        let url = format!("http://{}/readyz", self.listen[daemon]);
        let started = Instant::now();
        loop {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "daemon {daemon} is not ready"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the URL of a path at a daemon.
    pub fn url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.listen[daemon])
    }

    /// Creates a program and returns its identifier.
    pub async fn create_program(&self, daemon: usize) -> String {
        let body = json!({ "tenant": "desk", "class": "chat", "model": "model" });
        let url = self.url(daemon, "/v1/programs");
        let mut response = self.client.post(url).send_json(&body).await.unwrap();
        assert_eq!(response.status().as_u16(), 201);
        let created: Value = response.json().await.unwrap();
        created["program"].as_str().unwrap().to_owned()
    }

    /// Makes a call and repeats it with the same idempotency key until it succeeds.
    pub async fn call(&self, daemon: usize, program: &str, key: &str, tokens: u64) -> Value {
        let started = Instant::now();
        loop {
            let (status, answer) = self.try_call(daemon, program, key, tokens).await;
            if status == 200 {
                return answer;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{status} {answer}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes a call once. Returns status 0 if the request fails without a response.
    pub async fn try_call(
        &self,
        daemon: usize,
        program: &str,
        key: &str,
        tokens: u64,
    ) -> (u16, Value) {
        let body = json!({
            "messages": [{ "role": "user", "content": format!("request={key} output={tokens}") }],
            "max_tokens": tokens,
            "repeatable": true,
        });
        let url = self.url(daemon, &format!("/v1/programs/{program}/calls"));
        let request = self
            .client
            .post(url)
            .insert_header(("idempotency-key", key));
        match request.send_json(&body).await {
            Err(_) => (0, Value::Null),
            Ok(mut response) => {
                let status = response.status().as_u16();
                (status, response.json().await.unwrap_or(Value::Null))
            }
        }
    }

    /// Returns the conversation of a program as the control members store it.
    pub async fn history(&self, daemon: usize, program: &str) -> Vec<Value> {
        let url = self.url(daemon, &format!("/v1/programs/{program}"));
        let mut response = self.client.get(url).send().await.unwrap();
        let view: Value = response.json().await.unwrap();
        view["history"].as_array().cloned().unwrap_or_default()
    }
}

fn reserved_address() -> SocketAddr {
    reserve_address().expect("a port is free")
}

/// Converts the output of a process to text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn parse_leader(status: &str, group: u32) -> Option<usize> {
    let prefix = format!("group {group} term");
    let lines = status
        .lines()
        .filter(|line| line.trim().starts_with(&prefix));
    let leaders = lines.filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let position = words.iter().position(|word| *word == "leader")?;
        words.get(position + 1)?.parse().ok()
    });
    leaders.max()
}

fn settings_file(members: &[SocketAddr]) -> String {
    let members_section = |section: &str| {
        let entries = members
            .iter()
            .enumerate()
            .map(|(index, address)| format!("{{ id = {}, address = \"{address}\" }}", index + 1));
        let entries: Vec<String> = entries.collect();
        format!(
            "[{section}]\nmembers = [{}]\nprogram_groups = 2\n",
            entries.join(", ")
        )
    };
    format!(
        "[log]\nfilter = \"warn\"\n{}bootstrap = true\n{}zone = \"a\"\nengine_poll_ms = 200\n",
        members_section("control"),
        members_section("daemon")
    )
}

fn resource_file(engines: &[SocketAddr]) -> String {
    let replicas = engines.iter().enumerate().map(|(index, address)| {
        format!("{{ engine = {index}, address = \"{address}\", zone = \"a\" }}")
    });
    let replicas: Vec<String> = replicas.collect();
    format!(
        "[[tenant]]\nname = \"desk\"\n\n[[class]]\nname = \"chat\"\n\n\
         [[model_pool]]\nname = \"model\"\nversion = \"1\"\nreplicas = [{}]\n",
        replicas.join(", ")
    )
}
