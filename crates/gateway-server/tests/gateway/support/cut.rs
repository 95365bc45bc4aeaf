//! Responses of which a replica sends only a part.

use super::received::ReceivedRequest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Events of a whole stream.
const EVENTS: usize = 3;

/// How the response tells its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    /// Chunked, with trailers.
    Trailers,
}

/// Where a response ends early, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    pub framing: Framing,
    /// Part of the response that is sent, in percent.
    pub percent: usize,
    /// True if the connection is reset, not closed.
    pub resets: bool,
    /// True if the part is counted in the head of a continuation, and a first response is cut after its
    /// first event.
    pub is_continuation: bool,
}

impl Cut {
    /// Returns the body of a whole response.
    pub fn body(target: &str) -> String {
        match is_stream(target) {
            true => (0..EVENTS).map(event).collect(),
            false => "a whole body".to_owned(),
        }
    }

    /// Sends the part. Returns true if the connection stays open.
    pub async fn send(self, seen: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let id = seen.id();
        let kind = match is_stream(&seen.target) {
            true => "Content-Type: text/event-stream\r\n",
            false => "",
        };
        let body = Self::body(&seen.target);
        let length = body.len();
        let head = format!(
            "HTTP/1.1 200 OK\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: of-{id}\r\n{kind}"
        );
        let chunk = format!("{length:x}\r\n{body}\r\n0\r\n");
        let (head, body) = match self.framing {
            Framing::Length => (format!("{head}Content-Length: {length}\r\n\r\n"), body),
            Framing::Chunked => {
                let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                (head, format!("{chunk}\r\n"))
            }
            Framing::Trailers => {
                let head = format!("{head}Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n");
                (head, format!("{chunk}X-Sum: 1\r\n\r\n"))
            }
        };
        let is_resumed = seen.headers.contains_key("last-event-id");
        let text = match self.is_continuation && !is_resumed {
            true => {
                let first = event(0);
                let first = format!("{:x}\r\n{first}\r\n", first.len());
                format!(
                    "HTTP/1.1 200 OK\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: of-{id}\r\n{kind}Transfer-Encoding: chunked\r\n\r\n{first}"
                )
            }
            false => {
                let whole = head.clone() + &body;
                let all = match self.is_continuation {
                    true => head.len(),
                    false => whole.len(),
                };
                whole[..all * self.percent / 100].to_owned()
            }
        };
        let _ = stream.write_all(text.as_bytes()).await;
        if self.resets {
            stream.set_zero_linger().unwrap();
        }
        false
    }
}

fn is_stream(target: &str) -> bool {
    !target.contains("/safe/") && !target.contains("/unsafe/")
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: event\n\n")
}
