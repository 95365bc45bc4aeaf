//! Events of a trace.

use luglink_types::{Budget, Priority};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A program begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramEvent {
    /// Name in the trace.
    pub program: String,
    /// When, from the start of the run.
    pub at_ms: u64,
    /// Tenant.
    pub tenant: String,
    /// Class.
    pub class: String,
    /// Model.
    pub model: String,
    /// Priority.
    #[serde(default)]
    pub priority: Priority,
    /// Zone of the caller.
    pub zone: String,
    /// The program that starts it.
    #[serde(default)]
    pub parent: Option<String>,
    /// Ceilings.
    #[serde(default)]
    pub budget: Budget,
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallEvent {
    /// Its program.
    pub program: String,
    /// Name in the trace.
    pub request: String,
    /// Pause since the program's previous call ended, or since the program began.
    pub after_ms: u64,
    /// Tokens sent.
    pub input_tokens: u64,
    /// Tokens wanted.
    pub output_tokens: u64,
    /// Whether it may run twice after a failure.
    #[serde(default)]
    pub repeatable: bool,
}

/// A program ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndEvent {
    /// The program.
    pub program: String,
    /// Pause since its previous call ended.
    #[serde(default)]
    pub after_ms: u64,
}

/// A caller goes away without a word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AbandonEvent {
    /// The program.
    pub program: String,
    /// Pause since its previous call ended.
    #[serde(default)]
    pub after_ms: u64,
}

/// A plain request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LookupEvent {
    /// Name in the trace.
    pub request: String,
    /// When, from the start of the run.
    pub at_ms: u64,
    /// Service.
    pub service: String,
    /// Zone of the caller.
    pub zone: String,
    /// Whether it may run twice after a failure.
    #[serde(default)]
    pub repeatable: bool,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process dies and comes back after the fault's time, if it has one.
    Crash,
    /// The process is stopped as planned and started again.
    Restart,
    /// The process does nothing for a while.
    Hang,
    /// The target cannot be reached and reaches nobody.
    Partition,
    /// Ends every partition of the target.
    Heal,
    /// The target works slower.
    Slow,
    /// The target is about to be taken away.
    Leave,
    /// The target's events are lost.
    DropEvents,
}

/// What a fault hits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultTarget {
    /// A daemon, by its place in the fleet.
    Daemon(usize),
    /// A control member, by its place in the fleet.
    Control(usize),
    /// An engine, by its place in the fleet.
    Engine(usize),
    /// Everything in a zone.
    Zone(String),
}

impl fmt::Display for FaultTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Daemon(index) => write!(formatter, "daemon/{index}"),
            Self::Control(index) => write!(formatter, "control/{index}"),
            Self::Engine(index) => write!(formatter, "engine/{index}"),
            Self::Zone(name) => write!(formatter, "zone/{name}"),
        }
    }
}

impl FromStr for FaultTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rule = || format!("`{text}` is not daemon/N, control/N, engine/N or zone/NAME");
        let (kind, name) = text.split_once('/').ok_or_else(rule)?;
        let index = || name.parse().map_err(|_| rule());
        match kind {
            "daemon" => Ok(Self::Daemon(index()?)),
            "control" => Ok(Self::Control(index()?)),
            "engine" => Ok(Self::Engine(index()?)),
            "zone" if !name.is_empty() => Ok(Self::Zone(name.to_owned())),
            _ => Err(rule()),
        }
    }
}

impl Serialize for FaultTarget {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for FaultTarget {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Something goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// What.
    pub kind: FaultKind,
    /// To whom.
    pub target: FaultTarget,
    /// For how long; for ever when absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// The revision a change is made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedRevision {
    /// Whatever is current when it is sent.
    Current,
    /// Exactly this one.
    Exactly(u64),
}

impl Serialize for ExpectedRevision {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Current => serializer.serialize_str("current"),
            Self::Exactly(revision) => serializer.serialize_u64(*revision),
        }
    }
}

impl<'de> Deserialize<'de> for ExpectedRevision {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(u64),
            Text(String),
        }
        let rule = || serde::de::Error::custom("must be \"current\" or a revision");
        match Either::deserialize(deserializer).map_err(|_| rule())? {
            Either::Number(revision) => Ok(Self::Exactly(revision)),
            Either::Text(text) if text == "current" => Ok(Self::Current),
            Either::Text(text) => text.parse().map(Self::Exactly).map_err(|_| rule()),
        }
    }
}

/// What a change sets. Fields that are left out keep their value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// Kind of the resource.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// The fields to set.
    #[serde(flatten)]
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// An operator changes the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeEvent {
    /// When, from the start of the run.
    pub at_ms: u64,
    /// Who.
    pub operator: String,
    /// The operator's name for the change.
    pub change_id: String,
    /// The revision it is made against.
    pub expected_revision: ExpectedRevision,
    /// What it sets.
    pub set: ChangeSet,
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceEvent {
    /// See [`ProgramEvent`].
    Program(ProgramEvent),
    /// See [`CallEvent`].
    Call(CallEvent),
    /// See [`EndEvent`].
    End(EndEvent),
    /// See [`AbandonEvent`].
    Abandon(AbandonEvent),
    /// See [`LookupEvent`].
    Lookup(LookupEvent),
    /// See [`FaultEvent`].
    Fault(FaultEvent),
    /// See [`ChangeEvent`].
    Change(ChangeEvent),
}

impl TraceEvent {
    /// The caller ends its program, or goes away without a word.
    #[must_use]
    pub fn departure(program: &str, abandoned: bool, after_ms: u64) -> Self {
        let program = program.to_owned();
        if abandoned {
            Self::Abandon(AbandonEvent { program, after_ms })
        } else {
            Self::End(EndEvent { program, after_ms })
        }
    }
}
