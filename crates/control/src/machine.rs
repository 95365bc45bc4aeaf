//! State machines that replication groups apply their entries to.

use crate::errors::{ControlError, DecodeSnafu, EncodeSnafu, SnapshotPartsSnafu};
use luglink_fleet::{
    DocumentStore, RetireResponse, StoreCommand, StoreRegistry, VersionedDocument,
};
use luglink_program::{Command, ProgramStore, RefundRule, Reply};
use luglink_resources::{Change, ChangeResponse, ResourceStore};
use luglink_types::{GroupId, Timestamp};
use luglink_wire::{PartNumber, Parts, decode_with_parts, encode_with_parts};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

/// The group that holds the configuration.
pub const CONFIGURATION_GROUP: GroupId = GroupId(0);

/// A command in the log of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LoggedCommand {
    /// Command of a program group.
    Program(Command),
    /// Change of the resources, for the configuration group.
    Change(Change),
    /// New configuration document, for the configuration group.
    Document(VersionedDocument),
    /// Change of the registry of turn stores, for the configuration group.
    Store(StoreCommand),
}

/// Result of an applied command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Result of a program command.
    Program(Reply),
    /// Result of a change of the resources.
    Change(ChangeResponse),
    /// Version of the document that is held after the command.
    Document(u64),
    /// Result of a change of the registry of turn stores.
    Store(RetireResponse),
    /// The command does not belong to this kind of group. Only a bug can log such a command.
    WrongGroup,
}

/// State of the configuration group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ConfigurationState {
    /// The configuration as resources.
    pub(crate) resources: ResourceStore,
    /// The configuration as one document.
    pub(crate) document: DocumentStore,
    /// Registry of the turn stores.
    pub(crate) stores: StoreRegistry,
}

/// State machine of one group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StateMachine {
    /// The configuration.
    Configuration(Box<ConfigurationState>),
    /// A share of the programs.
    Programs(ProgramStore),
}

impl StateMachine {
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
            _ => Applied::WrongGroup,
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

/// Snapshot part: state of the registry of turn stores that its encoding does not contain.
const STORE_SETTLEMENT: PartNumber = PartNumber(1);

/// Encodes the state of a group for a snapshot.
pub(crate) fn encode_snapshot(machine: &StateMachine) -> Result<Vec<u8>, ControlError> {
    let mut parts = Parts::default();
    if let Some(state) = machine.state() {
        parts
            .put(STORE_SETTLEMENT, &state.stores.settlement())
            .context(SnapshotPartsSnafu)?;
    }
    encode_with_parts(machine, &parts).context(SnapshotPartsSnafu)
}

/// Decodes the state of a group from a snapshot, which may be of a build without parts.
pub(crate) fn decode_snapshot(bytes: &[u8]) -> Result<StateMachine, ControlError> {
    let (mut machine, parts): (StateMachine, Parts) =
        decode_with_parts(bytes).context(SnapshotPartsSnafu)?;
    let settlement = parts.get(STORE_SETTLEMENT).context(SnapshotPartsSnafu)?;
    if let (StateMachine::Configuration(state), Some(settlement)) = (&mut machine, settlement) {
        state.stores.restore_settlement(settlement);
    }
    Ok(machine)
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
