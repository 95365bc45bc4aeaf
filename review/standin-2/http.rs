//! Minimal HTTP/1.1 client and request reader.
use std::cell::Cell;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body arrived to its end.
    pub is_whole: bool,
    pub ended_at: Instant,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Number of whole events in the body.
    pub fn events(&self) -> usize {
        let text = String::from_utf8_lossy(&self.body);
        text.matches("\n\n").count()
    }
}

fn bad(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text)
}

pub type Headers = Vec<(String, String)>;

/// Reads a first line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(bad("the head is cut"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or(bad("no header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}

/// Reads one chunk; `None` after the last one.
fn read_chunk(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(bad("the body is cut"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("no chunk size"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(data))
}

/// Reads the body of a request.
pub fn read_body(reader: &mut impl BufRead, headers: &Headers) -> Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = find(headers, "content-length").map_or(Ok(0), str::parse);
    let mut body = vec![0; length.map_err(|_| bad("no length"))?];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: 127.0.0.1\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connection of a reader that pauses before it takes up to 32 bytes.
struct PausingReader<'stream> {
    stream: &'stream TcpStream,
    pause: Rc<Cell<Duration>>,
}

impl Read for PausingReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        std::thread::sleep(self.pause.get());
        let length = buffer.len().min(32);
        self.stream.read(&mut buffer[..length])
    }
}

/// Reads an answer. `pause` is the time that the reader takes before every 32 bytes of the body.
pub fn read_answer(stream: &TcpStream, limit: Duration, pause: Duration) -> Result<Answer> {
    stream.set_read_timeout(Some(limit))?;
    let present_pause = Rc::new(Cell::new(Duration::ZERO));
    let pausing = PausingReader {
        stream,
        pause: Rc::clone(&present_pause),
    };
    // The buffer is small, so that a slow reader leaves the rest of the answer unread.
    let mut reader = BufReader::with_capacity(32, pausing);
    let (first, headers) = read_head(&mut reader)?.ok_or(bad("closed without an answer"))?;
    present_pause.set(pause);
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(bad("no status"))?;
    let mut body = Vec::new();
    let mut is_whole = true;
    if find(&headers, "transfer-encoding").is_some() {
        loop {
            match read_chunk(&mut reader) {
                Ok(Some(chunk)) => body.extend(chunk),
                Ok(None) => break,
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().map_err(|_| bad("no length"))?];
        is_whole = reader.read_exact(&mut body).is_ok();
    } else {
        is_whole = reader.read_to_end(&mut body).is_ok();
    }
    Ok(Answer {
        status,
        headers,
        body,
        is_whole,
        ended_at: Instant::now(),
    })
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    write_request(&mut stream, method, path, headers, body)?;
    read_answer(&stream, limit, Duration::ZERO)
}
