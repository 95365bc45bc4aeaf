//! Reads values one by one and collects what is wrong with them.

use crate::errors::Fault;
use figment::Figment;
use figment::value::{Dict, Value};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use toml_edit::Document;

/// Reads values of one set of sources.
pub(crate) struct Reader<'a> {
    figment: &'a Figment,
    file: Option<(&'a str, &'a str, &'a Document<String>)>,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// `file` is the path, the text and the parsed text of the settings file.
    pub(crate) fn new(
        figment: &'a Figment,
        file: Option<(&'a str, &'a str, &'a Document<String>)>,
    ) -> Self {
        Self {
            figment,
            file,
            known: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// A value that must be there.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.read(key);
        if value.is_none() && self.figment.find_value(key).is_err() {
            self.fault(key, "is missing");
        }
        value
    }

    /// A value that may be left out.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.read(key).unwrap_or(default)
    }

    /// A value that must keep a rule.
    pub(crate) fn check(&mut self, key: &str, holds: bool, rule: &str) {
        if !holds {
            self.fault(key, rule);
        }
    }

    fn read<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known.insert(key.to_owned());
        let value = self.figment.find_value(key).ok()?;
        match value.deserialize() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(key, &error.kind.to_string());
                None
            }
        }
    }

    /// Learns the keys of a section that this process does not use. The file may be shared with
    /// processes that do, and they give the rest of it by flags.
    pub(crate) fn note_keys<T>(&mut self, read: impl FnOnce(&mut Self) -> Option<T>) -> Option<T> {
        let faults = self.faults.len();
        let value = read(self);
        self.faults.truncate(faults);
        value
    }

    /// Reports every key that nothing has asked for.
    pub(crate) fn refuse_unknown(&mut self) {
        let everything = self.figment.extract::<Dict>().unwrap_or_default();
        let mut keys = Vec::new();
        collect_leaves("", &everything, &self.known, &mut keys);
        for key in keys {
            self.fault(&key, "is not a known setting");
        }
    }

    /// Number of faults so far.
    pub(crate) fn fault_count(&self) -> usize {
        self.faults.len()
    }

    /// All faults.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    fn fault(&mut self, key: &str, problem: &str) {
        let place = self.place(key);
        self.faults.push(Fault {
            place,
            key: key.to_owned(),
            problem: problem.to_owned(),
        });
    }

    /// Where the value comes from, or where it would be looked for.
    fn place(&self, key: &str) -> String {
        let metadata = self.figment.find_metadata(key);
        let source = metadata.map(|metadata| metadata.name.to_string());
        match (source, self.file) {
            (Some(source), _) if source.contains("environment") => {
                let variable = key.to_uppercase().replace('.', "__");
                format!("environment variable LUGLINK_{variable}")
            }
            (Some(source), _) if source == FLAGS_SOURCE => "flag".to_owned(),
            (_, Some((path, text, document))) => match line_of(key, text, document) {
                Some(line) => format!("{path}:{line}"),
                None => path.to_owned(),
            },
            _ => "settings".to_owned(),
        }
    }
}

/// Name of the source that flags are read from.
pub(crate) const FLAGS_SOURCE: &str = "flags";

fn collect_leaves(prefix: &str, dict: &Dict, known: &BTreeSet<String>, keys: &mut Vec<String>) {
    for (name, value) in dict {
        let key = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        if known.contains(&key) {
            continue;
        }
        match value {
            Value::Dict(_, inner) => collect_leaves(&key, inner, known, keys),
            _ => keys.push(key),
        }
    }
}

/// The line of a key, or of the deepest table on the way to it.
fn line_of(key: &str, text: &str, document: &Document<String>) -> Option<usize> {
    let mut item = document.as_item();
    let mut offset = None;
    for part in key.split('.') {
        let Some(table) = item.as_table_like() else {
            break;
        };
        let Some((key, next)) = table.get_key_value(part) else {
            break;
        };
        let span = key.span().or_else(|| next.span());
        offset = span.map(|span| span.start).or(offset);
        item = next;
    }
    let offset = offset?;
    Some(text.get(..offset)?.matches('\n').count() + 1)
}
