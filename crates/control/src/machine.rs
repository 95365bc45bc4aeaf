//! The state machine behind a group.

use crate::errors::{ControlError, DecodeSnafu, EncodeSnafu};
use luglink_fleet::{
    DocumentStore, RetireResponse, StoreCommand, StoreRegistry, VersionedDocument,
};
use luglink_program::{Command, ProgramStore, RefundRule, Reply};
use luglink_resources::{Change, ChangeResponse, ResourceStore};
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
    /// For the configuration group: the configuration as one document.
    Document(VersionedDocument),
    /// For the configuration group: the registry of turn stores.
    Store(StoreCommand),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Of a program group.
    Program(Reply),
    /// Of the configuration group.
    Change(ChangeResponse),
    /// Of a document: the version that is held now.
    Document(u64),
    /// Of the registry of turn stores.
    Store(RetireResponse),
    /// The command is not for this kind of group; only a defect can log such a one.
    Misplaced,
}

/// The state of the configuration group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ConfigurationState {
    /// The configuration as resources.
    pub(crate) resources: ResourceStore,
    /// The configuration as one document.
    pub(crate) document: DocumentStore,
    /// The turn stores.
    pub(crate) stores: StoreRegistry,
}

/// Configuration or programs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Machine {
    /// The configuration.
    Configuration(Box<ConfigurationState>),
    /// A share of the programs.
    Programs(ProgramStore),
}

impl Machine {
    pub(crate) fn new(group: GroupId, refund: RefundRule) -> Self {
        if group == CONFIGURATION_GROUP {
            Self::Configuration(Box::default())
        } else {
            Self::Programs(ProgramStore::new(refund))
        }
    }

    pub(crate) fn apply(&mut self, at: Timestamp, command: &LoggedCommand) -> Applied {
        match (self, command) {
            (Self::Configuration(state), LoggedCommand::Change(change)) => {
                Applied::Change(state.resources.apply(change))
            }
            (Self::Configuration(state), LoggedCommand::Document(document)) => {
                state.document.put(document);
                Applied::Document(state.document.version())
            }
            (Self::Configuration(state), LoggedCommand::Store(command)) => {
                Applied::Store(state.stores.apply(command))
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
        self.state().map(|state| &state.resources)
    }

    pub(crate) fn state(&self) -> Option<&ConfigurationState> {
        match self {
            Self::Configuration(state) => Some(state),
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
