//! The turn stores that hold state, as one numbered view.

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

/// What a store may be relied on for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Takes writes, but may lack what was written before it came.
    Joining,
    /// Holds everything that it should.
    Active,
    /// Is to be emptied; others take over what it holds.
    Leaving,
    /// Was silent for long while enough others were there.
    Lost,
}

/// One store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Where gateways and other stores reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Names its disk; a lost disk comes back under another number.
    pub incarnation: u64,
    /// What it may be relied on for.
    pub state: StoreState,
    /// Epoch of the view in which it got this state.
    pub since_epoch: u64,
}

/// The stores at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Rises with every change.
    pub epoch: u64,
    /// The stores by name.
    pub members: BTreeMap<StoreName, StoreMember>,
}

impl StoreView {
    /// Stores that take writes: those that hold state or are being filled.
    pub fn writable(&self) -> impl Iterator<Item = (&StoreName, &StoreMember)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.state, StoreState::Active | StoreState::Joining))
    }

    /// Whether a store's word that it lacks something can be relied on.
    #[must_use]
    pub fn is_authoritative(&self, name: &StoreName, incarnation: u64) -> bool {
        self.members.get(name).is_some_and(|member| {
            member.incarnation == incarnation
                && matches!(member.state, StoreState::Active | StoreState::Leaving)
        })
    }

    /// How many stores may hold a record, lost ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
