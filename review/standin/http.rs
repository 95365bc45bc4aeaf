//! Small HTTP/1.1 client and the pieces of a server that the stand-ins share.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line without its end.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. `None` at the end of the connection before the first byte.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let entry = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(entry);
        }
    }
}

/// Reads a body that has a length or is sent in chunks, or one that ends with its connection.
/// `on_data` gets each part as it comes.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    is_response: bool,
    mut on_data: impl FnMut(&[u8]),
) -> std::io::Result<()> {
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data)?;
            if size == 0 {
                return Ok(());
            }
            on_data(&data[..size]);
        }
    }
    match head.number("content-length") {
        Some(length) => {
            let mut data = vec![0; usize::try_from(length).unwrap_or(0)];
            reader.read_exact(&mut data)?;
            on_data(&data);
        }
        None if is_response => {
            let mut data = Vec::new();
            reader.read_to_end(&mut data)?;
            on_data(&data);
        }
        None => {}
    }
    Ok(())
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// 0 if no head came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// True if the answer came to its end.
    pub is_whole: bool,
}

/// Sends one request on a new connection and reads its answer for at most `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Reply {
    let mut reply = Reply::default();
    let _ = exchange(address, method, path, headers, body, limit, &mut reply);
    reply
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
    reply: &mut Reply,
) -> std::io::Result<()> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("Connection: close\r\n\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(Limited {
        stream: &stream,
        until,
    });
    let Some(head) = read_head(&mut reader)? else {
        return Ok(());
    };
    reply.status = head.status();
    reply.head = head.clone();
    let received = &mut reply.body;
    read_body(&mut reader, &head, true, |data| {
        received.extend_from_slice(data)
    })?;
    reply.is_whole = true;
    Ok(())
}

/// Reader that gives up at a time.
struct Limited<'stream> {
    stream: &'stream TcpStream,
    until: Instant,
}

impl Read for Limited<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
