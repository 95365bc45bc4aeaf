//! The state machine behind a group.

use crate::errors::{ControlError, DecodeSnafu, EncodeSnafu};
use luglink_program::{Command, ProgramStore, RefundRule, Reply};
use luglink_resources::{Change, ChangeAnswer, ResourceStore};
use luglink_types::{GroupId, Timestamp};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

/// The group that holds the configuration.
pub const CONFIGURATION_GROUP: GroupId = GroupId(0);

/// A command in a group's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LoggedCommand {
    /// For a program group.
    Program(Command),
    /// For the configuration group.
    Change(Change),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Of a program group.
    Program(Reply),
    /// Of the configuration group.
    Change(ChangeAnswer),
    /// The command is not for this kind of group; only a defect can log such a one.
    Misplaced,
}

/// Configuration or programs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Machine {
    /// The configuration.
    Configuration(ResourceStore),
    /// A share of the programs.
    Programs(ProgramStore),
}

impl Machine {
    pub(crate) fn new(group: GroupId, refund: RefundRule) -> Self {
        if group == CONFIGURATION_GROUP {
            Self::Configuration(ResourceStore::default())
        } else {
            Self::Programs(ProgramStore::new(refund))
        }
    }

    pub(crate) fn apply(&mut self, at: Timestamp, command: &LoggedCommand) -> Applied {
        match (self, command) {
            (Self::Configuration(store), LoggedCommand::Change(change)) => {
                Applied::Change(store.apply(change))
            }
            (Self::Programs(store), LoggedCommand::Program(command)) => {
                Applied::Program(store.apply(at, command))
            }
            _ => Applied::Misplaced,
        }
    }

    pub(crate) fn programs(&self) -> Option<&ProgramStore> {
        match self {
            Self::Programs(store) => Some(store),
            Self::Configuration(_) => None,
        }
    }

    pub(crate) fn configuration(&self) -> Option<&ResourceStore> {
        match self {
            Self::Configuration(store) => Some(store),
            Self::Programs(_) => None,
        }
    }
}

pub(crate) fn encode<T: Serialize>(what: &'static str, value: &T) -> Result<Vec<u8>, ControlError> {
    postcard::to_stdvec(value).context(EncodeSnafu { what })
}

pub(crate) fn decode<T: for<'a> Deserialize<'a>>(
    what: &'static str,
    bytes: &[u8],
) -> Result<T, ControlError> {
    postcard::from_bytes(bytes).context(DecodeSnafu { what })
}
