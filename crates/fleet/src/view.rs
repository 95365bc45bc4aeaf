//! Numbered views of the turn stores.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
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
    /// The settled configuration, if it is known and differs from the one that the states of the
    /// stores suggest. It is not part of the encoding and is sent beside it.
    #[serde(skip)]
    pub settled: Option<SettledStores>,
}

/// The last settled configuration: the stores that own the committed records, each with the disk
/// that holds them.
///
/// Together with the writable stores of the view it forms a joint configuration (Ongaro and
/// Ousterhout, 2014): until the next one is settled, a quorum of the owners in each of the two is
/// needed, and only the disks listed here count towards the quorum of the settled one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledStores(pub BTreeMap<StoreName, DiskId>);

/// Disk of a store in the settled configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskId {
    /// Disk with this incarnation.
    Known(u64),
    /// Unknown disk, which never counts. The store keeps its place in the configuration.
    Unknown,
}

impl StoreView {
    /// Returns the settled configuration. If it is not known, it is derived from the states of the
    /// stores: all have a place in it, and the disks of those that are not joining count.
    #[must_use]
    pub fn settled_stores(&self) -> Cow<'_, SettledStores> {
        match &self.settled {
            Some(settled) => Cow::Borrowed(settled),
            None => Cow::Owned(self.derived_settled_stores()),
        }
    }

    /// Returns the names of the stores in the settled configuration.
    pub fn settled_names(&self) -> impl Iterator<Item = &StoreName> {
        let settled = self.settled.as_ref();
        let told = settled.into_iter().flat_map(|settled| settled.0.keys());
        let derived = self.members.keys().filter(move |_| settled.is_none());
        told.chain(derived)
    }

    /// Sets the settled configuration.
    pub fn set_settled_stores(&mut self, settled: SettledStores) {
        let is_derived = settled == self.derived_settled_stores();
        self.settled = (!is_derived).then_some(settled);
    }

    /// Returns the settled configuration that the states of the stores suggest.
    #[must_use]
    pub fn derived_settled_stores(&self) -> SettledStores {
        let members = self.members.iter();
        let disks = members.map(|(name, member)| {
            let disk = match member.state {
                StoreState::Joining => DiskId::Unknown,
                _ => DiskId::Known(member.incarnation),
            };
            (name.clone(), disk)
        });
        SettledStores(disks.collect())
    }

    /// Returns the configuration that is settled once the hand-over for this view is complete: the
    /// writable stores with their present disks.
    #[must_use]
    pub fn next_settled_stores(&self) -> SettledStores {
        let writable = self.writable();
        let disks =
            writable.map(|(name, member)| (name.clone(), DiskId::Known(member.incarnation)));
        SettledStores(disks.collect())
    }

    /// Returns true if the present disk of a store belongs to the settled configuration.
    #[must_use]
    pub fn is_settled(&self, name: &StoreName) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|member| self.is_authoritative(name, member.incarnation))
    }

    /// Returns the stores that accept writes: active and joining ones.
    pub fn writable(&self) -> impl Iterator<Item = (&StoreName, &StoreMember)> {
        self.members
            .iter()
            .filter(|(_, member)| matches!(member.state, StoreState::Active | StoreState::Joining))
    }

    /// Returns true if the disk `incarnation` of a store belongs to the settled configuration, so
    /// that the store's response counts in a quorum of it.
    #[must_use]
    pub fn is_authoritative(&self, name: &StoreName, incarnation: u64) -> bool {
        let disk = match &self.settled {
            Some(settled) => settled.0.get(name).copied(),
            None => self.members.get(name).map(|member| match member.state {
                StoreState::Joining => DiskId::Unknown,
                _ => DiskId::Known(member.incarnation),
            }),
        };
        disk == Some(DiskId::Known(incarnation))
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
