//! Replicas as the platform's list names them.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// One start of a replica; another start has another identifier.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BackendId(pub String);

impl std::fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Names this start of the replica.
    pub id: BackendId,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
}

/// All replicas, as one look at the platform's list showed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendList {
    backends: Vec<Backend>,
    fingerprint: u64,
}

impl BackendList {
    /// A list in a canonical order.
    #[must_use]
    pub fn new(mut backends: Vec<Backend>) -> Self {
        backends.sort();
        backends.dedup();
        Self {
            fingerprint: fingerprint(&backends),
            backends,
        }
    }

    /// The replicas.
    #[must_use]
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Differs between lists that differ.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// What turns this list into `newer`.
    #[must_use]
    pub fn changes_to(&self, newer: &Self) -> BackendChanges {
        let known: BTreeSet<&Backend> = self.backends.iter().collect();
        let wanted: BTreeSet<&BackendId> =
            newer.backends.iter().map(|backend| &backend.id).collect();
        let changed = newer.backends.iter();
        let removed = self.backends.iter().map(|backend| &backend.id);
        BackendChanges {
            base: self.fingerprint,
            changed: changed
                .filter(|backend| !known.contains(backend))
                .cloned()
                .collect(),
            removed: removed.filter(|id| !wanted.contains(id)).cloned().collect(),
        }
    }

    /// The list after `changes`; `None` when they start from another list.
    #[must_use]
    pub fn changed(&self, changes: &BackendChanges) -> Option<Self> {
        if changes.base != self.fingerprint {
            return None;
        }
        let replaced: BTreeSet<&BackendId> = changes
            .changed
            .iter()
            .map(|backend| &backend.id)
            .chain(&changes.removed)
            .collect();
        let kept = self.backends.iter();
        let kept = kept.filter(|backend| !replaced.contains(&backend.id));
        Some(Self::new(kept.chain(&changes.changed).cloned().collect()))
    }
}

fn fingerprint(backends: &[Backend]) -> u64 {
    let mut hasher = Xxh3::new();
    for backend in backends {
        backend.hash(&mut hasher);
    }
    hasher.finish()
}

/// The difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendChanges {
    /// Fingerprint of the list that they start from.
    pub base: u64,
    /// Replicas that are new or have changed.
    pub changed: Vec<Backend>,
    /// Replicas that are gone.
    pub removed: Vec<BackendId>,
}

/// What an observer needs to have the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendUpdate {
    /// Nothing: it has it.
    None,
    /// The changes since the list that it has.
    Changes(BackendChanges),
    /// The whole list.
    Whole(BackendList),
}

/// The list as a control member passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Fingerprint of the list.
    pub fingerprint: u64,
    /// Time since the platform showed it.
    pub age: Duration,
    /// What the asker lacks of it.
    pub update: BackendUpdate,
}

/// Lists that observers may still have.
const REMEMBERED_LISTS: usize = 16;

/// The latest list and those before it, so that a change costs what has changed and not the
/// size of the list: every gateway is told of every change.
#[derive(Clone, Debug, Default)]
pub struct BackendHistory {
    lists: VecDeque<BackendList>,
}

impl BackendHistory {
    /// Takes a newer list.
    pub fn push(&mut self, list: BackendList) {
        if self.latest().map(BackendList::fingerprint) == Some(list.fingerprint()) {
            return;
        }
        self.lists.push_back(list);
        if self.lists.len() > REMEMBERED_LISTS {
            self.lists.pop_front();
        }
    }

    /// The latest list.
    #[must_use]
    pub fn latest(&self) -> Option<&BackendList> {
        self.lists.back()
    }

    /// Whether somebody who has the list of fingerprint `known` needs the whole latest one.
    #[must_use]
    pub fn lacks(&self, known: u64) -> bool {
        !self.lists.is_empty() && self.lists.iter().all(|list| list.fingerprint() != known)
    }

    /// What somebody lacks who has the list of fingerprint `known`.
    #[must_use]
    pub fn update_from(&self, known: u64) -> BackendUpdate {
        let Some(latest) = self.latest() else {
            return BackendUpdate::None;
        };
        if latest.fingerprint() == known {
            return BackendUpdate::None;
        }
        let mut lists = self.lists.iter();
        lists.find(|list| list.fingerprint() == known).map_or_else(
            || BackendUpdate::Whole(latest.clone()),
            |list| BackendUpdate::Changes(list.changes_to(latest)),
        )
    }
}
