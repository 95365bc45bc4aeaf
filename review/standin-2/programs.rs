//! Agent programs of the clients, and the configuration that their routes stand in.
use crate::http::{self, Answer};
use crate::record::Record;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "agent-llm";
pub const RETENTION: Duration = Duration::from_secs(60);
/// Tokens of one event.
pub const TOKENS_PER_EVENT: usize = 9;
pub const DEADLINE_MS: u64 = 4_000;

/// Returns a configuration with two routes: `/kept/` keeps the history, `/plain/` doesn't.
pub fn configuration(version: u64, gap_aim_ms: u64) -> String {
    let route = |name: &str, kept: bool| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path-prefix":"/{name}/","kind":"streaming","timeout-ms":4000,"target-latency-ms":200,"priority":1,"service":"{SERVICE}","max-attempts":1,"keeps-history":{kept},"retention-s":60.0,"sticky-sessions":true,"resumable":{},"gap-aim-ms":{gap_aim_ms}}}"#,
            !kept
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"{SERVICE}","health-check-path":"/health","connection-limit":210,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv-capacity-tokens":139361,"kv-token-bytes":131072,"link-mbps":1100000.0,"kv-backups":true,"tokens-per-event":{TOKENS_PER_EVENT},"most":12,"pin-duration-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        route("kept", true),
        route("plain", false)
    )
}

/// A program of one client.
pub struct Program {
    pub name: String,
    pub budget: usize,
    pub ceiling: usize,
    pub path: &'static str,
    pub turns: usize,
    /// Tokens that the client was given, over all turns.
    pub tokens: usize,
    /// Last turn that was answered whole, where the route keeps the history.
    pub previous: Option<String>,
    /// Prompt that the next turn has to have, before its input.
    pub history: Vec<u8>,
    /// Time at which the last whole answer ended at the client.
    pub answered_at: Instant,
    pub aim_ms: u64,
    /// Length of the input of a turn; 0 for a short text.
    pub input_bytes: usize,
    /// Turns answered whole, where a case counts them.
    pub turns_whole: usize,
    /// Identifier, input and answer of the last turn, if it was cut.
    broken: Option<(String, Vec<u8>, Vec<u8>)>,
    salt: u64,
}

/// What became of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Whole,
    Status(u16),
    Failed(String),
}

impl Program {
    pub fn new(name: &str, path: &'static str, budget: usize, ceiling: usize) -> Self {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            name: name.to_owned(),
            budget,
            ceiling,
            path,
            turns: 0,
            tokens: 0,
            previous: None,
            history: Vec::new(),
            answered_at: Instant::now(),
            aim_ms: 100_000,
            input_bytes: 0,
            turns_whole: 0,
            broken: None,
            salt: time.map_or(0, |time| time.as_nanos() as u64),
        }
    }

    /// Returns a new program that goes on from the last turn of this one.
    pub fn successor(&self, name: &str) -> Self {
        Self {
            previous: self.previous.clone(),
            history: self.history.clone(),
            answered_at: self.answered_at,
            ..Self::new(name, self.path, self.budget, self.ceiling)
        }
    }

    /// Returns a sub-agent, which takes its turns in a line of its own.
    pub fn sub_agent(&self, number: usize) -> Self {
        Self {
            name: self.name.clone(),
            path: self.path,
            previous: self.previous.clone(),
            history: self.history.clone(),
            turns: 1_000 * (number + 1),
            tokens: 0,
            broken: None,
            ..*self
        }
    }

    /// Takes a turn at a gateway, on a new connection. `pause` is the time that the client takes before
    /// it reads every 32 bytes of the answer.
    pub fn turn(&mut self, gateway: SocketAddr, pause: Duration, record: &Record) -> Outcome {
        self.turns += 1;
        let salt = self
            .salt
            .wrapping_mul(0x9E37_79B9)
            .wrapping_add(self.turns as u64);
        let id = format!("{:08x}{}{}", salt as u32, self.name, self.turns);
        let mut input = format!("[input of turn {} of {}]", self.turns, self.name).into_bytes();
        if input.len() < self.input_bytes {
            input.resize(self.input_bytes, b'.');
        }
        let mut headers = vec![
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Program-Id", self.name.clone()),
            ("X-Session-Id", format!("s-{}", self.name)),
            ("X-Program-Deadline-Ms", self.aim_ms.to_string()),
            ("X-Token-Budget", self.budget.to_string()),
            ("X-Token-Usage", format!("600,{}", self.ceiling)),
            (
                "X-Prompt-Prefix",
                format!("5c1e07a2:500,{:08x}:100", salt as u32),
            ),
            ("X-Deadline-Ms", DEADLINE_MS.to_string()),
        ];
        if let Some(previous) = &self.previous {
            headers.push(("X-Previous-Turn", previous.clone()));
        }
        let age = self.answered_at.elapsed().as_secs_f64();
        let (name, number) = (self.name.clone(), self.turns);
        record.line(&format!(
            "client sends {id}: turn {number} of {name} to {gateway}, previous {:?}, {age:.2} s after the last whole answer",
            self.previous
        ));
        let answer = send(gateway, self.path, &headers, &input, pause);
        let outcome = match answer {
            Err(error) => Outcome::Failed(error.to_string()),
            Ok(answer) => self.take(&id, &input, &answer),
        };
        record.line(&format!(
            "client got for {id}: {outcome:?}; {name} has {} of {} tokens",
            self.tokens, self.budget
        ));
        outcome
    }

    /// Takes up the stream of the last turn after its last whole event.
    pub fn resume(&mut self, gateway: SocketAddr, record: &Record) -> Outcome {
        let Some((first_id, input, body)) = self.broken.take() else {
            return Outcome::Failed("no stream was broken off".to_owned());
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        let last = whole.matches("\n\n").count();
        let id = format!("{first_id}r");
        let headers = vec![
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Program-Id", self.name.clone()),
            ("X-Session-Id", format!("s-{}", self.name)),
            ("X-Program-Deadline-Ms", self.aim_ms.to_string()),
            ("X-Token-Budget", self.budget.to_string()),
            ("X-Token-Usage", format!("600,{}", self.ceiling)),
            ("X-Deadline-Ms", "3000".to_owned()),
            ("Last-Event-Id", last.to_string()),
            ("Resumes", first_id.clone()),
        ];
        record.line(&format!(
            "client takes up {first_id} as {id} after event {last} at {gateway}"
        ));
        let outcome = match send(gateway, self.path, &headers, &input, Duration::ZERO) {
            Err(error) => Outcome::Failed(error.to_string()),
            Ok(mut answer) => {
                answer.body = [whole.as_bytes(), &answer.body].concat();
                self.take(&id, &input, &answer)
            }
        };
        record.line(&format!("client got for {id}: {outcome:?}"));
        outcome
    }

    fn take(&mut self, id: &str, input: &[u8], answer: &Answer) -> Outcome {
        if answer.status != 200 {
            return Outcome::Status(answer.status);
        }
        self.tokens += answer.events() * TOKENS_PER_EVENT;
        if !answer.is_whole || answer.header("x-response-seal").is_none() {
            self.broken = Some((id.to_owned(), input.to_vec(), answer.body.clone()));
            return Outcome::Failed("the answer was cut".to_owned());
        }
        if self.path.starts_with("/kept/") {
            self.previous = Some(id.to_owned());
            self.history.extend_from_slice(input);
            for line in String::from_utf8_lossy(&answer.body).lines() {
                if let Some(data) = line.strip_prefix("data: ") {
                    self.history.extend_from_slice(data.as_bytes());
                    self.history.push(b'\n');
                }
            }
        }
        self.answered_at = answer.ended_at;
        Outcome::Whole
    }
}

fn send(
    gateway: SocketAddr,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    pause: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    http::write_request(&mut stream, "POST", path, headers, body)?;
    http::read_answer(&stream, Duration::from_millis(DEADLINE_MS), pause)
}

/// Waits until `time`.
pub fn wait_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
