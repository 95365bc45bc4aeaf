//! Stand-ins of the platform's list and of model replicas.
use crate::http;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub body: Vec<u8>,
}

/// Behaviour and runs of all replicas.
#[derive(Clone)]
pub struct Replicas {
    pub service: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Events of each answer.
    pub events: usize,
    /// Time before each event.
    pub step: Duration,
    pub record: Record,
    entries: Arc<Mutex<Vec<String>>>,
}

fn serve(address: &str, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

fn answer_json(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    write!(stream, "{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

impl Replicas {
    pub fn new(service: &str, events: usize, step: Duration, record: Record) -> Self {
        Self {
            service: service.to_owned(),
            runs: Arc::default(),
            events,
            step,
            record,
            entries: Arc::default(),
        }
    }

    /// Starts a replica and lists it.
    pub fn start(&self, ip: &str, id: &str, zone: &str) {
        let (replicas, own_id) = (self.clone(), id.to_owned());
        let address = serve(&format!("{ip}:9000"), move |stream| {
            let _ = replicas.serve_connection(stream, &own_id);
        });
        let entry = format!(
            r#"{{"service":"{}","address":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"id":"{id}"}}"#,
            self.service
        );
        self.entries.lock().unwrap().push(entry);
    }

    /// Serves the platform's list.
    pub fn serve_list(&self, ip: &str) -> SocketAddr {
        let entries = Arc::clone(&self.entries);
        serve(&format!("{ip}:0"), move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Ok(Some(_)) = http::read_head(&mut reader) {
                let list = entries.lock().unwrap().join(",");
                let body = format!(r#"{{"instances":[{list}],"next-page-token":null}}"#);
                if answer_json(&mut stream, &body).is_err() {
                    return;
                }
            }
        })
    }

    fn serve_connection(&self, mut stream: TcpStream, own_id: &str) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some((first, headers)) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &headers)?;
            if first.starts_with("GET /luglink/report") {
                let report = r#"{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":100000,"handles":0}"#;
                answer_json(&mut stream, report)?;
                continue;
            }
            let id = http::find(&headers, "x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = http::find(&headers, "x-expect-instance");
            if expected.is_some_and(|expected| expected != own_id) || id.is_empty() {
                let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n";
                write!(
                    stream,
                    "{head}X-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let program = http::find(&headers, "x-program-id")
                .unwrap_or_default()
                .to_owned();
            let length = body.len();
            self.record.line(&format!(
                "replica {own_id} runs {id} of {program}, prompt {length} B"
            ));
            self.runs.lock().unwrap().push(Run { body });
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{own_id}.{id}\r\n\
                 X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )?;
            // A stream that is continued begins after the last event that the client has.
            let last = http::find(&headers, "last-event-id").and_then(|last| last.parse().ok());
            let first = last.map_or(1, |last: usize| last + 1);
            for number in first..=self.events {
                thread::sleep(self.step);
                let event = format!("id: {number}\ndata: token {number}\n\n");
                write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            }
            write!(stream, "0\r\n\r\n")?;
        }
        Ok(())
    }
}
