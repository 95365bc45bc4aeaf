//! Bytes that are no complete answer and do not end.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Size of one write as fast as the connection bears.
const BLOCK_BYTES: usize = 64 << 10;

/// Pause between writes of a slow replica.
const SLOW_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// Part of a response that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    StatusLine,
    HeaderLines,
    InterimResponses,
    ChunkSize,
    ChunkExtension,
    Trailers,
    /// Bytes beyond the length of a whole response.
    Surplus,
    /// A single event without an empty line.
    Event,
    /// A body that ends with its connection.
    Body,
}

/// How fast the bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Full,
    Slow,
}

impl Endless {
    /// Returns what precedes the part without an end, and the bytes that repeat.
    fn text(self, id: &str, is_stream: bool) -> (String, &'static str) {
        let kind = if is_stream {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nLuglink-Request-Id: {id}\r\nLuglink-Signature: of-{id}\r\n{kind}"
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x"),
            Self::HeaderLines => (head, "X-Filler: y\r\n"),
            Self::InterimResponses => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::ChunkSize => (chunked, "0"),
            Self::ChunkExtension => (chunked + "4;", "x"),
            Self::Trailers => (chunked + "4\r\nword\r\n0\r\n", "X-Filler: y\r\n"),
            Self::Surplus => (format!("{head}Content-Length: 4\r\n\r\nword"), "surplus"),
            Self::Event => (chunked, "4\r\ndata\r\n"),
            Self::Body => (head + "\r\n", "bytes without end "),
        }
    }

    /// Sends the bytes until the connection is closed. Returns how many were sent.
    pub async fn send(
        self,
        pace: Pace,
        id: &str,
        is_stream: bool,
        stream: &mut TcpStream,
    ) -> usize {
        let (before, repeated) = self.text(id, is_stream);
        if stream.write_all(before.as_bytes()).await.is_err() {
            return 0;
        }
        let block = match pace {
            Pace::Full => repeated.repeat(BLOCK_BYTES / repeated.len()),
            Pace::Slow => repeated.to_owned(),
        };
        let mut sent = 0;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            sent += block.len();
            if pace == Pace::Slow {
                actix_rt::time::sleep(SLOW_INTERVAL).await;
            }
        }
        sent
    }
}
