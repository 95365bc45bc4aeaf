//! Requests as a scripted replica reads them.

use std::collections::BTreeMap;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Request that a replica has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn id(&self) -> &str {
        self.headers
            .get("luglink-request-id")
            .map_or("", String::as_str)
    }
}

pub fn content_length(seen: &ReceivedRequest) -> usize {
    seen.headers
        .get("content-length")
        .map_or(0, |length| length.parse().unwrap())
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut part = [0; 4_096];
    match stream.read(&mut part).await {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&part[..count]);
            true
        }
        _ => false,
    }
}

pub async fn read_exactly(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
    while buffer.len() < length {
        if !fill(stream, buffer).await {
            return false;
        }
    }
    buffer.drain(..length);
    true
}

pub async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    skips_body: bool,
) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer).await {
            return None;
        }
    };
    let head = String::from_utf8(buffer.drain(..end + 4).collect()).unwrap();
    let mut lines = head.lines();
    let target = lines.next().unwrap().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let mut seen = ReceivedRequest {
        target,
        headers,
        body: Vec::new(),
    };
    if !skips_body {
        let length = content_length(&seen);
        while buffer.len() < length {
            if !fill(stream, buffer).await {
                return None;
            }
        }
        seen.body = buffer.drain(..length).collect();
    }
    Some(seen)
}
