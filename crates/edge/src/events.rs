//! Parser of server-sent events.

use bytes::{Bytes, BytesMut};

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the empty line at its end.
    pub raw: Bytes,
    /// Value of the `id` field.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds; `None` if there are none.
    pub data: Option<Vec<u8>>,
}

/// Splits a stream of bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of leading bytes of the buffer in which no end of an event starts.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let raw = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(parse(raw))
    }

    /// Returns the number of bytes of an incomplete event.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns true if there are bytes of an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event, for example after its stream was interrupted.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut position = self.searched;
        while position < bytes.len() {
            if bytes[position] == b'\n' {
                let rest = &bytes[position + 1..];
                if rest.starts_with(b"\n") {
                    return Some(position + 2);
                }
                if rest.starts_with(b"\r\n") {
                    return Some(position + 3);
                }
            }
            position += 1;
        }
        // The last two bytes may be the start of an event's end.
        self.searched = bytes.len().saturating_sub(2);
        None
    }
}

fn parse(raw: Bytes) -> StreamEvent {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id") {
            id = Some(String::from_utf8_lossy(value).into_owned());
        } else if let Some(value) = field(line, b"data") {
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
    }
    StreamEvent { raw, id, data }
}

fn field<'line>(line: &'line [u8], name: &[u8]) -> Option<&'line [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
