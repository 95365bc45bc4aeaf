//! Stand-in replicas, which run streams and plain requests, and the platform's list of them.

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Tokens that an event of a stream stands for.
pub const TOKENS_PER_EVENT: u64 = 9;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(3);

/// All replicas of one service.
#[derive(Clone)]
pub struct Replicas {
    pub service: String,
    entries: Arc<Vec<(String, SocketAddr)>>,
}

impl Replicas {
    pub fn start(service: &str, ip: &str, count: usize, record: &Record) -> Self {
        let mut entries = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind((ip, 0)).expect("a port is free");
            let id = format!("i-{service}-{number}");
            entries.push((id.clone(), listener.local_addr().expect("an address")));
            let record = record.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (id, record) = (id.clone(), record.clone());
                    std::thread::spawn(move || {
                        let _ = serve(stream, &id, &record);
                    });
                }
            });
        }
        Self {
            service: service.to_owned(),
            entries: Arc::new(entries),
        }
    }
}

fn serve(stream: TcpStream, id: &str, record: &Record) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream;
    while let Some(head) = read_head(&mut reader)? {
        let mut body = Vec::new();
        read_body(&mut reader, &head, false, |data| {
            body.extend_from_slice(data)
        })?;
        let path = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
        if path.starts_with("/luglink/report") {
            let report = "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\
                \"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\
                \"kv-used\":0,\"kv-total\":127559,\"handles\":0}";
            plain(
                &mut out,
                "200 OK",
                &[("Content-Type", "application/json")],
                report.as_bytes(),
            )?;
            continue;
        }
        if path.starts_with("/health") {
            plain(&mut out, "200 OK", &[("X-Instance-Id", id)], b"")?;
            continue;
        }
        let Some(attempt) = head.get("x-attempt-id").map(str::to_owned) else {
            plain(&mut out, "400 Bad Request", &[("X-Not-Executed", "1")], b"")?;
            continue;
        };
        let echo = [("X-Attempt-Id", attempt.as_str())];
        if head
            .get("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [echo[0], ("X-Not-Executed", "1")];
            plain(&mut out, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        record.note(&format!(
            "replica {id} runs {attempt} {path} body {} B",
            body.len()
        ));
        stream_events(&mut out, &head, &attempt)?;
    }
    Ok(())
}

/// Answers with as many events as the request may have at most.
fn stream_events(out: &mut TcpStream, head: &Head, attempt: &str) -> std::io::Result<()> {
    let usage = head.get("x-token-usage").unwrap_or("0,9");
    let most: u64 = usage
        .split(',')
        .nth(1)
        .and_then(|most| most.trim().parse().ok())
        .unwrap_or(9);
    let events = (most / TOKENS_PER_EVENT).max(1);
    write!(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Attempt-Id: {attempt}\r\nX-Response-Seal: seal.{attempt}\r\nX-Weight-Versions: 1\r\n\r\n"
    )?;
    for number in 1..=events {
        std::thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: {attempt}-{number}\n\n");
        write!(out, "{:x}\r\n{event}\r\n", event.len())?;
    }
    write!(out, "0\r\n\r\n")
}

fn plain(
    out: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// Serves the platform's list. Returns its address.
pub fn serve_list(ip: &str, replicas: Vec<Replicas>, zones: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let mut entries = Vec::new();
    for replicas in &replicas {
        for (number, (id, address)) in replicas.entries.iter().enumerate() {
            entries.push(format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":12,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\",\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"id\":\"{id}\"}}",
                replicas.service,
                zones[number % zones.len()],
            ));
        }
    }
    let body = format!(
        "{{\"instances\":[{}],\"next-page-token\":null}}",
        entries.join(",")
    );
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let body = body.clone();
            std::thread::spawn(move || {
                let Ok(copy) = stream.try_clone() else { return };
                let (mut reader, mut out) = (BufReader::new(copy), stream);
                while let Ok(Some(_)) = read_head(&mut reader) {
                    let headers = [("Content-Type", "application/json")];
                    if plain(&mut out, "200 OK", &headers, body.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
