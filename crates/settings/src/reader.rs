//! Reader that collects the faults of all settings.

use crate::errors::Fault;
use figment::Figment;
use figment::value::{Dict, Value};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use toml_edit::Document;

/// Reads settings from the merged sources and collects their faults.
pub(crate) struct Reader<'a> {
    figment: &'a Figment,
    file: Option<(&'a str, &'a str, &'a Document<String>)>,
    known_keys: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Creates a reader. `file` is the path, the text and the parsed document of the settings file.
    pub(crate) fn new(
        figment: &'a Figment,
        file: Option<(&'a str, &'a str, &'a Document<String>)>,
    ) -> Self {
        Self {
            figment,
            file,
            known_keys: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Reads a required setting.
    pub(crate) fn required<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        let value = self.read(key);
        if value.is_none() && self.figment.find_value(key).is_err() {
            self.fault(key, "is missing");
        }
        value
    }

    /// Reads an optional setting.
    pub(crate) fn optional<T: DeserializeOwned>(&mut self, key: &str, default: T) -> T {
        self.read(key).unwrap_or(default)
    }

    /// Reports a fault with the text `rule` unless `holds` is true.
    pub(crate) fn check(&mut self, key: &str, holds: bool, rule: &str) {
        if !holds {
            self.fault(key, rule);
        }
    }

    fn read<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        self.known_keys.insert(key.to_owned());
        let value = self.figment.find_value(key).ok()?;
        match value.deserialize() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(key, &error.kind.to_string());
                None
            }
        }
    }

    /// Registers the keys of a section that this process does not use, and drops its faults. The file
    /// may be shared with processes that use the section and set the rest of it with flags.
    pub(crate) fn register_keys<T>(
        &mut self,
        read: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let faults = self.faults.len();
        let value = read(self);
        self.faults.truncate(faults);
        value
    }

    /// Reports a fault for every key that has not been read.
    pub(crate) fn report_unknown_keys(&mut self) {
        let all_values = self.figment.extract::<Dict>().unwrap_or_default();
        let mut unknown_keys = Vec::new();
        collect_unknown_keys("", &all_values, &self.known_keys, &mut unknown_keys);
        for key in unknown_keys {
            self.fault(&key, "is not a known setting");
        }
    }

    /// Returns the number of faults so far.
    pub(crate) fn fault_count(&self) -> usize {
        self.faults.len()
    }

    /// Returns all faults.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    fn fault(&mut self, key: &str, problem: &str) {
        let location = self.location_of(key);
        self.faults.push(Fault {
            location,
            key: key.to_owned(),
            problem: problem.to_owned(),
        });
    }

    /// Returns the location of a value, or the location at which it is expected.
    fn location_of(&self, key: &str) -> String {
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

/// Name that the metadata of settings from flags has.
pub(crate) const FLAGS_SOURCE: &str = "flags";

fn collect_unknown_keys(
    prefix: &str,
    dict: &Dict,
    known_keys: &BTreeSet<String>,
    unknown_keys: &mut Vec<String>,
) {
    for (name, value) in dict {
        let key = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        if known_keys.contains(&key) {
            continue;
        }
        match value {
            Value::Dict(_, inner) => collect_unknown_keys(&key, inner, known_keys, unknown_keys),
            _ => unknown_keys.push(key),
        }
    }
}

/// Returns the line of a key, or of the innermost existing table that would contain it.
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
