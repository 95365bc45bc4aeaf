//! Fault-tolerant parser of list pages whose entries may be written by other systems.
//!
//! One malformed entry must not make the other replicas of the page unavailable. So a page is first
//! split into entries by brackets, commas and strings only, and then each entry is parsed
//! separately. A page that is truncated, or is no list, is an error: the previous list is better
//! than a part of this one.

use crate::errors::{DialectError, MalformedSnafu};
use serde::de::{DeserializeOwned, Error};
use snafu::ResultExt;

/// Maximum length of a name in an entry, in bytes. Names are sent to every gateway, and valid ones
/// are shorter.
const MAX_NAME_BYTES: usize = 256;

/// Maximum length of the stored reason, in characters. Reasons may quote the entry.
const MAX_REASON_CHARACTERS: usize = 160;

/// Entries that were skipped because they cannot be parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SkippedEntries {
    /// Number of skipped entries.
    pub count: u32,
    /// Reason for the first one, truncated.
    pub first_reason: Option<String>,
}

impl SkippedEntries {
    fn add(&mut self, reason: &str) {
        self.count = self.count.saturating_add(1);
        if self.first_reason.is_none() {
            self.first_reason = Some(reason.chars().take(MAX_REASON_CHARACTERS).collect());
        }
    }
}

/// Entry of a list.
pub trait ListEntry: DeserializeOwned {
    /// Returns the names in the entry. An entry with a name that is too long is skipped.
    fn names(&self) -> Vec<&str>;
}

/// The entries of a page.
#[derive(Clone, Debug)]
pub struct ListEntries<T> {
    /// Parsed entries in their order.
    pub entries: Vec<T>,
    /// Entries that cannot be parsed.
    pub skipped_entries: SkippedEntries,
    /// Token of the next page.
    pub next: Option<String>,
}

impl<T: ListEntry> ListEntries<T> {
    /// Parses a page: an object whose member `list` contains the entries, and whose member `next`
    /// is the token of the next page; it is absent or null on the last page.
    ///
    /// # Errors
    /// Returns an error if the content is no such object.
    pub fn read(content: &[u8], list: &str, next: &str) -> Result<Self, DialectError> {
        let malformed = || serde_json::Error::custom("the page has no list of entries");
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
                Err(reason) => page.skipped_entries.add(&reason),
            }
        }
        Ok(page)
    }
}

fn read_entry<T: ListEntry>(bytes: &[u8]) -> Result<T, String> {
    // Checks the members that are not read too: invalid UTF-8 anywhere makes the entry suspect.
    let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let entry: T = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let has_long_name = entry.names().iter().any(|name| name.len() > MAX_NAME_BYTES);
    match has_long_name {
        true => Err(format!("a name is longer than {MAX_NAME_BYTES} bytes")),
        false => Ok(entry),
    }
}

/// Splits a member of an object into its key and value.
fn key_and_value(member: &[u8]) -> Option<(String, &[u8])> {
    let member = member.trim_ascii_start();
    let end = string_end(member)?;
    let key = serde_json::from_slice(&member[..end]).ok()?;
    let value = member[end..].trim_ascii_start().strip_prefix(b":")?;
    Some((key, value))
}

/// Returns the length of the string at the start of the text, including its quotes.
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

/// Splits an object or a list into its elements, at the commas outside of nested values and
/// strings. Returns `None` if the text is not a single object or list with its closing bracket.
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
