//! Agent programs: the configuration that serves them, and their turns.

use crate::http::{Reply, call};
use crate::record::Record;
use crate::replica::TOKENS_PER_EVENT;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub const HOST: &str = "ficu95.example";

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Configuration with a route that keeps turns, like `desk-query` of the site.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout-ms\":4000,\
         \"target-latency-ms\":200,\"priority\":1,\"service\":\"agent-llm\",\"max-attempts\":1,\
         \"keeps-history\":true,\"retention-s\":60.0,\"sticky-sessions\":true,\"resumable\":false,\
         \"gap-aim-ms\":200}}],\"services\":[{{\"name\":\"agent-llm\",\
         \"health-check-path\":\"/health\",\"connection-limit\":160,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kv-capacity-tokens\":127559,\"kv-token-bytes\":131072,\
         \"link-mbps\":1100000.0,\"kv-backups\":true,\"tokens-per-event\":{TOKENS_PER_EVENT},\
         \"most\":12,\"pin-duration-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// A turn that a client sends.
pub struct Turn<'turn> {
    pub program: &'turn str,
    pub session: &'turn str,
    pub budget: u64,
    pub ceiling: u64,
    pub previous: Option<&'turn str>,
    pub input: &'turn [u8],
}

/// What a client got for a turn.
pub struct Given {
    pub attempt: String,
    pub reply: Reply,
    /// Tokens of the events that reached the client.
    pub tokens: u64,
}

impl Given {
    pub fn is_whole(&self) -> bool {
        self.reply.status == 200 && self.reply.is_whole
    }
}

/// Sends a turn once.
pub fn send(front: SocketAddr, turn: &Turn<'_>, record: &Record) -> Given {
    let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    let attempt = format!("{number:016x}");
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.clone()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", format!("1166,{}", turn.ceiling)),
        ("X-Prompt-Prefix", format!("5c1e07a2:512,{number:08x}:654")),
        ("X-Deadline-Ms", "4000".to_owned()),
        ("X-Program-Id", turn.program.to_owned()),
        ("X-Session-Id", turn.session.to_owned()),
        ("X-Program-Deadline-Ms", "30000".to_owned()),
        ("X-Token-Budget", turn.budget.to_string()),
    ];
    if let Some(previous) = turn.previous {
        headers.push(("X-Previous-Turn", previous.to_owned()));
    }
    record.note(&format!(
        "client sends {attempt} of {} to {front}, previous {}",
        turn.program,
        turn.previous.unwrap_or("none")
    ));
    let limit = Duration::from_millis(4_500);
    let reply = call(front, "POST", "/lohu930/2f", &headers, turn.input, limit);
    let text = String::from_utf8_lossy(&reply.body);
    let events = text.matches("data: ").count() as u64;
    let tokens = if reply.status == 200 {
        events * TOKENS_PER_EVENT
    } else {
        0
    };
    record.note(&format!(
        "client gets {attempt} of {}: status {} whole {} tokens {tokens}",
        turn.program, reply.status, reply.is_whole
    ));
    Given {
        attempt,
        reply,
        tokens,
    }
}
