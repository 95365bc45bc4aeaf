//! Output of a stream by its events.

use serde::{Deserialize, Serialize};

/// Size of an event without its text, in bytes.
const EVENT_BYTES: usize = 64;

/// Maximum length of an event's identifier, in bytes.
const MAX_EVENT_ID_BYTES: usize = 128;

/// Event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OutputEvent {
    id: Option<String>,
    /// Position after the event's text, in bytes.
    end: usize,
}

/// Consecutive events of a stream, with their text in the form in which later prompts contain it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOutput {
    text: Vec<u8>,
    events: Vec<OutputEvent>,
}

impl StreamOutput {
    /// Adds an event. Its data is followed by a line feed. An identifier that is too long is left out.
    pub fn push(&mut self, id: Option<&str>, data: Option<&[u8]>) {
        if let Some(data) = data {
            self.text.extend_from_slice(data);
            self.text.push(b'\n');
        }
        let id = id.filter(|id| id.len() <= MAX_EVENT_ID_BYTES);
        self.events.push(OutputEvent {
            id: id.map(str::to_owned),
            end: self.text.len(),
        });
    }

    /// Adds events that follow these.
    pub fn extend(&mut self, following: &Self) {
        let offset = self.text.len();
        self.text.extend_from_slice(&following.text);
        let events = following.events.iter();
        self.events.extend(events.map(|event| OutputEvent {
            id: event.id.clone(),
            end: offset + event.end,
        }));
    }

    /// Number of events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns true if there are no events.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Text of all events.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Text of all events.
    #[must_use]
    pub fn into_text(self) -> Vec<u8> {
        self.text
    }

    /// Approximate size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.text.len() + self.events.len() * EVENT_BYTES
    }

    /// Identifier of the last event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        let mut ids = self.events.iter().rev();
        ids.find_map(|event| event.id.as_deref())
    }

    /// Returns the events up to the last one with an identifier; `None` if there is none.
    #[must_use]
    pub fn up_to(&self, id: &str) -> Option<Self> {
        let has_id = |event: &OutputEvent| event.id.as_deref() == Some(id);
        let last = self.events.iter().rposition(has_id)?;
        Some(self.part(0, last + 1))
    }

    /// Returns the events from position `from` on, as many as fit into `max_bytes` of text, at least
    /// one if there is any.
    #[must_use]
    pub fn batch(&self, from: usize, max_bytes: usize) -> Self {
        let from = from.min(self.len());
        let limit = self.start(from) + max_bytes;
        let fitting = self.events[from..].partition_point(|event| event.end <= limit);
        let to = (from + fitting.max(1)).min(self.len());
        self.part(from, to)
    }

    fn start(&self, position: usize) -> usize {
        let before = position.checked_sub(1);
        before.map_or(0, |before| self.events[before].end)
    }

    fn part(&self, from: usize, to: usize) -> Self {
        let (start, end) = (self.start(from), self.start(to));
        let events = self.events[from..to].iter();
        Self {
            text: self.text[start..end].to_vec(),
            events: events
                .map(|event| OutputEvent {
                    id: event.id.clone(),
                    end: event.end - start,
                })
                .collect(),
        }
    }

    /// Returns true if the positions of all events lie within the text, in order, and no identifier is too
    /// long.
    pub(crate) fn is_valid(&self) -> bool {
        let ends = self.events.iter().map(|event| event.end);
        let mut ids = self.events.iter().filter_map(|event| event.id.as_ref());
        ends.is_sorted()
            && self.start(self.len()) == self.text.len()
            && ids.all(|id| id.len() <= MAX_EVENT_ID_BYTES)
    }
}

/// Returns true if an event with identifier `id` comes after the one with `other`, as far as both are
/// numbers.
#[must_use]
pub fn is_later_event(id: &str, other: &str) -> bool {
    match (id.parse::<u64>(), other.parse::<u64>()) {
        (Ok(id), Ok(other)) => id > other,
        _ => false,
    }
}
