//! Numbered views of the turn stores.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Name of a store's machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreName(pub String);

impl std::fmt::Display for StoreName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// State of a store in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Accepts writes, but may lack records written before it joined.
    Joining,
    /// Holds all records that it owns.
    Active,
    /// Is being retired: other stores take over its records.
    Leaving,
    /// Sent no heartbeat for a long time, while enough other stores remained.
    Lost,
}

/// A store in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Address for gateways and other stores.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Identifier of its disk; a store that lost its disk joins with another one.
    pub incarnation: u64,
    /// Its state.
    pub state: StoreState,
    /// Epoch of the view in which it entered this state.
    pub since_epoch: u64,
}

/// All stores at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Incremented with every change.
    pub epoch: u64,
    /// Stores by name.
    pub members: BTreeMap<StoreName, StoreMember>,
}

impl StoreView {
    /// Returns the stores that accept writes: active and joining ones.
    pub fn writable(&self) -> impl Iterator<Item = (&StoreName, &StoreMember)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.state, StoreState::Active | StoreState::Joining))
    }

    /// Returns true if the store with the disk `incarnation` holds all records that it owns, so
    /// that its response that a record does not exist can be trusted.
    #[must_use]
    pub fn is_authoritative(&self, name: &StoreName, incarnation: u64) -> bool {
        self.members.get(name).is_some_and(|member| {
            member.incarnation == incarnation
                && matches!(member.state, StoreState::Active | StoreState::Leaving)
        })
    }

    /// Returns the number of stores that may hold a record, including lost ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true if there are no stores.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
