//! Reading traces and expectations, one JSON object a line.

use crate::trace::errors::{MalformedSnafu, TraceError};
use crate::trace::event::TraceEvent;
use crate::trace::expectation::Expectation;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Longest line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

struct Line<'a> {
    file: &'a str,
    number: usize,
}

impl Line<'_> {
    fn fail<T>(&self, field: &str, problem: impl ToString) -> Result<T, TraceError> {
        MalformedSnafu {
            file: self.file,
            line: self.number,
            field,
            problem: problem.to_string(),
        }
        .fail()
    }

    fn object(&self, text: &str) -> Result<Map<String, Value>, TraceError> {
        if text.len() > MAX_LINE_BYTES {
            return self.fail("(line)", format!("longer than {MAX_LINE_BYTES} bytes"));
        }
        match serde_json::from_str(text) {
            Ok(Value::Object(object)) => Ok(object),
            Ok(_) => self.fail("(line)", "must be a JSON object"),
            Err(error) => self.fail("(line)", error),
        }
    }

    /// Takes the field that tells what the line is.
    fn tag(&self, object: &mut Map<String, Value>, field: &str) -> Result<String, TraceError> {
        match object.remove(field) {
            Some(Value::String(tag)) => Ok(tag),
            Some(_) => self.fail(field, "must be text"),
            None => self.fail(field, "is missing"),
        }
    }

    fn read<T: DeserializeOwned>(&self, object: Map<String, Value>) -> Result<T, TraceError> {
        serde_path_to_error::deserialize(Value::Object(object)).or_else(|error| {
            let path = error.path().to_string();
            let problem = error.inner().to_string();
            // A missing or unknown field is named in the message, not in the path.
            let named = problem.split('`').nth(1).map(str::to_owned);
            let field = if path == "." {
                named.unwrap_or(path)
            } else {
                path
            };
            self.fail(&field, problem)
        })
    }
}

/// Reads a trace. `file` is only for messages.
///
/// # Errors
/// Names the first malformed line and its field.
pub fn parse_trace(file: &str, text: &str) -> Result<Vec<TraceEvent>, TraceError> {
    let mut events = Vec::new();
    let mut names = Names::default();
    for (line, content) in lines(file, text) {
        let event = parse_event(&line, content)?;
        names.check(&line, &event)?;
        events.push(event);
    }
    Ok(events)
}

fn parse_event(line: &Line<'_>, content: &str) -> Result<TraceEvent, TraceError> {
    let mut object = line.object(content)?;
    let tag = line.tag(&mut object, "event")?;
    Ok(match tag.as_str() {
        "program" => TraceEvent::Program(line.read(object)?),
        "call" => TraceEvent::Call(line.read(object)?),
        "end" => TraceEvent::End(line.read(object)?),
        "abandon" => TraceEvent::Abandon(line.read(object)?),
        "lookup" => TraceEvent::Lookup(line.read(object)?),
        "fault" => TraceEvent::Fault(line.read(object)?),
        "change" => TraceEvent::Change(line.read(object)?),
        other => return line.fail("event", format!("`{other}` is not a known event")),
    })
}

/// Reads expectations. `file` is only for messages.
///
/// # Errors
/// Names the first malformed line and its field.
pub fn parse_expectations(file: &str, text: &str) -> Result<Vec<Expectation>, TraceError> {
    let mut expectations = Vec::new();
    for (line, content) in lines(file, text) {
        let mut object = line.object(content)?;
        let tag = line.tag(&mut object, "expect")?;
        expectations.push(match tag.as_str() {
            "request" => Expectation::Request(line.read(object)?),
            "invariant" => Expectation::Invariant(line.read(object)?),
            "measure" => Expectation::Measure(line.read(object)?),
            other => {
                return line.fail("expect", format!("`{other}` is not a known expectation"));
            }
        });
    }
    Ok(expectations)
}

/// Writes a trace.
#[must_use]
pub fn write_trace(events: &[TraceEvent]) -> String {
    let lines = events
        .iter()
        .filter_map(|event| serde_json::to_string(event).ok());
    lines.map(|line| line + "\n").collect()
}

fn lines<'a>(file: &'a str, text: &'a str) -> impl Iterator<Item = (Line<'a>, &'a str)> {
    text.lines()
        .enumerate()
        .filter(|(_, content)| !content.trim().is_empty())
        .map(move |(index, content)| {
            let number = index + 1;
            (Line { file, number }, content)
        })
}

/// Names that later lines refer to.
#[derive(Default)]
struct Names {
    programs: BTreeSet<String>,
    requests: BTreeSet<String>,
}

impl Names {
    fn check(&mut self, line: &Line<'_>, event: &TraceEvent) -> Result<(), TraceError> {
        match event {
            TraceEvent::Program(event) => {
                if let Some(parent) = &event.parent {
                    self.known(line, "parent", parent)?;
                }
                if !self.programs.insert(event.program.clone()) {
                    return line.fail("program", "the name is taken by an earlier line");
                }
                Ok(())
            }
            TraceEvent::Call(event) => {
                self.known(line, "program", &event.program)?;
                self.new_request(line, &event.request)
            }
            TraceEvent::End(event) => self.known(line, "program", &event.program),
            TraceEvent::Abandon(event) => self.known(line, "program", &event.program),
            TraceEvent::Lookup(event) => self.new_request(line, &event.request),
            TraceEvent::Fault(_) | TraceEvent::Change(_) => Ok(()),
        }
    }

    fn known(&self, line: &Line<'_>, field: &str, name: &str) -> Result<(), TraceError> {
        if self.programs.contains(name) {
            return Ok(());
        }
        line.fail(field, format!("no earlier line begins program `{name}`"))
    }

    fn new_request(&mut self, line: &Line<'_>, request: &str) -> Result<(), TraceError> {
        if self.requests.insert(request.to_owned()) {
            return Ok(());
        }
        line.fail("request", "the name is taken by an earlier line")
    }
}
