//! A fleet of real processes for tests: the test starts the binaries, the product never does.
#![allow(dead_code)] // Each test file uses some of it.

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

/// The binary under test.
pub const LUGLINK: &str = env!("CARGO_BIN_EXE_luglink");

/// Time in which anything that is waited for must have happened; far beyond what it takes.
const PATIENCE: Duration = Duration::from_secs(30);

const PAUSE: Duration = Duration::from_millis(50);

const CONTROL_MEMBERS: usize = 3;
const DAEMONS: usize = 2;
const ENGINES: usize = 2;

/// One process and what it was started with.
pub struct Process {
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(arguments: Vec<String>, log: PathBuf) -> Self {
        let mut process = Self {
            arguments,
            log,
            child: None,
        };
        process.start_again();
        process
    }

    /// Starts the process with the same arguments.
    pub fn start_again(&mut self) {
        let log = File::create(&self.log).expect("a log file can be made");
        let child = Command::new(LUGLINK)
            .args(&self.arguments)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.child = Some(child);
    }

    /// Kills the process as `kill -9` does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process ends");
        }
    }

    /// Asks the process to stop as planned.
    pub fn terminate(&self) {
        let child = self.child.as_ref().expect("the process runs");
        kill_process(Pid::from_child(child), Signal::TERM).expect("the signal is sent");
    }

    /// Waits for the end of a process that was asked to stop.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("the process runs");
        let since = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("the process can be asked") {
                return status;
            }
            assert!(since.elapsed() < PATIENCE, "the process did not stop");
            actix_rt::time::sleep(PAUSE).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A fleet of processes with emulated engines inside the test.
pub struct Processes {
    pub control: Vec<Process>,
    pub daemons: Vec<Process>,
    pub engines: Vec<EngineServer>,
    pub observer: Observer,
    pub client: Client,
    admin: Vec<SocketAddr>,
    listen: Vec<SocketAddr>,
    data: TempDir,
}

impl Processes {
    /// Starts everything and waits until the daemons are ready.
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
        let members: Vec<SocketAddr> = (0..CONTROL_MEMBERS).map(|_| address()).collect();
        let admin: Vec<SocketAddr> = (0..CONTROL_MEMBERS).map(|_| address()).collect();
        let listen: Vec<SocketAddr> = (0..DAEMONS).map(|_| address()).collect();
        let settings = data.path().join("settings.toml");
        std::fs::write(&settings, settings_file(&members)).unwrap();
        let process = |role: &str, index: usize, sets: Vec<String>| {
            let mut arguments = vec![
                role.to_owned(),
                "--config".to_owned(),
                settings.display().to_string(),
            ];
            for set in sets {
                arguments.extend(["--set".to_owned(), set]);
            }
            let log = data.path().join(format!("{role}-{index}.log"));
            Process::start(arguments, log)
        };
        let control = (0..CONTROL_MEMBERS).map(|index| {
            let folder = data.path().join(format!("data-{index}"));
            let sets = vec![
                format!("control.id={}", index + 1),
                format!("control.listen={}", members[index]),
                format!("control.admin_listen={}", admin[index]),
                format!("control.data_folder={}", folder.display()),
            ];
            process("control", index, sets)
        });
        let control: Vec<Process> = control.collect();
        let daemons = (0..DAEMONS).map(|index| {
            let sets = vec![
                format!("daemon.id={index}"),
                format!("daemon.listen={}", listen[index]),
            ];
            process("daemon", index, sets)
        });
        let daemons: Vec<Process> = daemons.collect();
        let fleet = Self {
            control,
            daemons,
            engines,
            observer,
            client: Client::builder().timeout(PATIENCE).finish(),
            admin,
            listen,
            data,
        };
        fleet.configure().await;
        for daemon in 0..DAEMONS {
            fleet.wait_until_ready(daemon).await;
        }
        fleet
    }

    /// Folder of the test.
    pub fn folder(&self) -> &Path {
        self.data.path()
    }

    /// Runs the operator client.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(LUGLINK);
        command.arg("ctl");
        for address in &self.admin {
            command.args(["--address", &address.to_string()]);
        }
        command.args(arguments).output().expect("the client runs")
    }

    /// Runs the operator client against one member.
    pub fn ctl_at(&self, member: usize, arguments: &[&str]) -> Output {
        let address = self.admin[member].to_string();
        let mut command = Command::new(LUGLINK);
        command.args(["ctl", "--address", &address]).args(arguments);
        command.output().expect("the client runs")
    }

    /// The place of the member that leads a group.
    pub async fn leader_of(&self, group: u32) -> usize {
        let since = Instant::now();
        loop {
            let output = self.ctl(&["status"]);
            if let Some(leader) = leader_in(&text(&output.stdout), group) {
                return leader - 1;
            }
            assert!(since.elapsed() < PATIENCE, "group {group} has no leader");
            actix_rt::time::sleep(PAUSE).await;
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
        let since = Instant::now();
        loop {
            let output = self.ctl(&arguments);
            if output.status.success() {
                return;
            }
            let why = text(&output.stderr);
            assert!(since.elapsed() < PATIENCE, "cannot configure: {why}");
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    /// Waits until a daemon says that it is ready.
    pub async fn wait_until_ready(&self, daemon: usize) {
        let url = format!("http://{}/readyz", self.listen[daemon]);
        let since = Instant::now();
        loop {
            let answer = self.client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            assert!(since.elapsed() < PATIENCE, "daemon {daemon} is not ready");
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    /// A URL at a daemon.
    pub fn url(&self, daemon: usize, path: &str) -> String {
        format!("http://{}{path}", self.listen[daemon])
    }

    /// Creates a program.
    pub async fn create_program(&self, daemon: usize) -> String {
        let body = json!({ "tenant": "desk", "class": "chat", "model": "model" });
        let url = self.url(daemon, "/v1/programs");
        let mut response = self.client.post(url).send_json(&body).await.unwrap();
        assert_eq!(response.status().as_u16(), 201);
        let created: Value = response.json().await.unwrap();
        created["program"].as_str().unwrap().to_owned()
    }

    /// Makes a call, again and again under the same key until it is answered.
    pub async fn call(&self, daemon: usize, program: &str, key: &str, tokens: u64) -> Value {
        let since = Instant::now();
        loop {
            let (status, answer) = self.try_call(daemon, program, key, tokens).await;
            if status == 200 {
                return answer;
            }
            assert!(since.elapsed() < PATIENCE, "{status} {answer}");
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    /// Makes a call once. Status 0 stands for a broken connection.
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

    /// The conversation as the control members hold it.
    pub async fn history(&self, daemon: usize, program: &str) -> Vec<Value> {
        let url = self.url(daemon, &format!("/v1/programs/{program}"));
        let mut response = self.client.get(url).send().await.unwrap();
        let view: Value = response.json().await.unwrap();
        view["history"].as_array().cloned().unwrap_or_default()
    }
}

fn address() -> SocketAddr {
    reserve_address().expect("a port is free")
}

/// Output as text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn leader_in(status: &str, group: u32) -> Option<usize> {
    let prefix = format!("group {group} term");
    let lines = status
        .lines()
        .filter(|line| line.trim().starts_with(&prefix));
    let leaders = lines.filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let place = words.iter().position(|word| *word == "leader")?;
        words.get(place + 1)?.parse().ok()
    });
    leaders.max()
}

fn settings_file(members: &[SocketAddr]) -> String {
    let list = |section: &str| {
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
        list("control"),
        list("daemon")
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
