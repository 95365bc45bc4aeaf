//! Reads a page of a list whose entries may come from other writers.
//!
//! One entry that cannot be read must not hide the replicas beside it. So a page is first cut into
//! its entries, by brackets, commas and strings alone, and then each entry is read by itself. A
//! page that is cut short, or is no list, stays an error: the list before it is better than a
//! part of this one.

use crate::errors::{DialectError, MalformedSnafu};
use serde::de::{DeserializeOwned, Error};
use snafu::ResultExt;

/// Longest name in an entry, in bytes. Names travel to every gateway; longer ones are not ours.
const MAX_NAME_BYTES: usize = 256;

/// Longest reason that is kept, in characters: it may quote the entry.
const MAX_REASON_CHARACTERS: usize = 160;

/// Entries that cannot be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// How many.
    pub count: u32,
    /// Why the first one cannot, shortened.
    pub first_reason: Option<String>,
}

impl SkippedEntries {
    fn note(&mut self, reason: &str) {
        self.count = self.count.saturating_add(1);
        if self.first_reason.is_none() {
            self.first_reason = Some(reason.chars().take(MAX_REASON_CHARACTERS).collect());
        }
    }
}

/// An entry of a list.
pub trait ListEntry: DeserializeOwned {
    /// The names in it, all of which must be short.
    fn names(&self) -> Vec<&str>;
}

/// The entries of a page.
#[derive(Clone, Debug)]
pub struct ListEntries<T> {
    /// Those that can be read, in their order.
    pub entries: Vec<T>,
    /// Those that cannot.
    pub skipped_entries: SkippedEntries,
    /// Names the page after this one.
    pub next: Option<String>,
}

impl<T: ListEntry> ListEntries<T> {
    /// Reads a page: an object whose member `list` holds the entries, and whose member `next`,
    /// unless it is absent or null, names the page after it.
    ///
    /// # Errors
    /// It is no such object.
    pub fn read(content: &[u8], list: &str, next: &str) -> Result<Self, DialectError> {
        let malformed = || serde_json::Error::custom("a page without a list");
        let members = elements(content, b'{', b'}').ok_or_else(malformed);
        let members = members.context(MalformedSnafu { what: "list" })?;
        let member = |name: &str| {
            let mut members = members.iter().filter_map(|member| key_and_value(member));
            members.find(|(key, _)| key == name).map(|(_, value)| value)
        };
        let entries = member(list).and_then(|value| elements(value, b'[', b']'));
        let entries = entries.ok_or_else(malformed);
        let entries = entries.context(MalformedSnafu { what: "list" })?;
        let next = member(next).map_or(Ok(None), serde_json::from_slice);
        let mut page = Self {
            entries: Vec::with_capacity(entries.len()),
            skipped_entries: SkippedEntries::default(),
            next: next.context(MalformedSnafu { what: "list" })?,
        };
        for entry in entries {
            match read_entry(entry) {
                Ok(entry) => page.entries.push(entry),
                Err(reason) => page.skipped_entries.note(&reason),
            }
        }
        Ok(page)
    }
}

fn read_entry<T: ListEntry>(bytes: &[u8]) -> Result<T, String> {
    // Also bytes of members that are not read: who wrote them wrote the whole entry.
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let entry: T = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let has_long_name = entry.names().iter().any(|name| name.len() > MAX_NAME_BYTES);
    match has_long_name {
        true => Err(format!("a name of more than {MAX_NAME_BYTES} bytes")),
        false => Ok(entry),
    }
}

/// The key and the value of an object's member.
fn key_and_value(member: &[u8]) -> Option<(String, &[u8])> {
    let member = member.trim_ascii_start();
    let end = string_end(member)?;
    let key = serde_json::from_slice(&member[..end]).ok()?;
    let value = member[end..].trim_ascii_start().strip_prefix(b":")?;
    Some((key, value))
}

/// Length of the string that the text begins with, its quotes included.
fn string_end(text: &[u8]) -> Option<usize> {
    if text.first() != Some(&b'"') {
        return None;
    }
    let mut position = 1;
    loop {
        match text.get(position)? {
            b'"' => return Some(position + 1),
            b'\\' => position += 2,
            _ => position += 1,
        }
    }
}

/// The texts between the commas of an object or a list; `None` when the text is not one that is
/// closed at its end.
fn elements(text: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let inner = text.trim_ascii().strip_prefix(&[open])?;
    let mut found = Vec::new();
    let mut depth = 0_usize;
    let mut start = 0;
    let mut position = 0;
    while let Some(byte) = inner.get(position) {
        match byte {
            b'"' => {
                position += string_end(&inner[position..])?;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth > 0 => depth -= 1,
            b'}' | b']' => break,
            b',' if depth == 0 => {
                found.push(&inner[start..position]);
                start = position + 1;
            }
            _ => {}
        }
        position += 1;
    }
    if inner[position..] != [close] {
        return None;
    }
    let last = &inner[start..position];
    if !(found.is_empty() && last.trim_ascii().is_empty()) {
        found.push(last);
    }
    Some(found)
}
