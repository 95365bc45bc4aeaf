//! Table of the observers that wait for updates, indexed by deadline and by arrival.
//!
//! A member receives many requests per change. The cost of a request for which nothing is new does
//! not depend on the number of observers that wait.

use crate::protocol::RequestToken;
use luglink_fleet::{KnownIncarnations, KnownReplicaVersions, KnownVersions, MembersStamp};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of whole lists of backends, or large parts of them, in flight at the same time.
/// A list may be as large as the deployment, and after a start every gateway requests one. The
/// limit bounds the memory of a member independently of the speed of its links.
pub(crate) const MAX_LISTS_IN_FLIGHT: usize = 4;

/// An observer that waits for updates.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    pub(crate) token: RequestToken,
    pub(crate) known: KnownVersions,
    /// Incarnations that it knows; set if it asks for newer ones.
    pub(crate) known_incarnations: Option<KnownIncarnations>,
    /// Software versions of replicas that it knows; set if it asks for others.
    pub(crate) known_replica_versions: Option<KnownReplicaVersions>,
    /// Its zone, if it asks for the replica statistics of the zone.
    pub(crate) stats_zone: Option<String>,
    /// True if it expects this member to send a new document at once.
    pub(crate) wants_document_at_once: bool,
    /// Its zone, if it is counted at this member.
    pub(crate) counted_zone: Option<String>,
    /// End of the hold, at which it is answered even if nothing is new.
    pub(crate) deadline: Timestamp,
}

/// Identifies an observer by its connection and process. A process has one open request at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ObserverKey {
    pub(crate) client: u64,
    pub(crate) name: String,
}

/// Versions of everything that observers are updated about. While the stamp does not change, only
/// observers whose requests have just arrived can have updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateStamp {
    pub(crate) is_fresh: bool,
    pub(crate) members: MembersStamp,
    pub(crate) document_version: u64,
    /// True once the document is also sent to observers that expect it from other members first.
    pub(crate) sends_document_to_all: bool,
    pub(crate) store_epoch: u64,
    pub(crate) list_seen: Option<Timestamp>,
}

/// The observers that wait at a member.
#[derive(Debug, Default)]
pub(crate) struct ObserverTable {
    waiting: BTreeMap<ObserverKey, Observer>,
    deadlines: BTreeSet<(Timestamp, ObserverKey)>,
    /// Observers whose requests have arrived since the last call of `take_candidates`.
    arrived: BTreeSet<ObserverKey>,
    /// Observers that lack the whole list, or much of it, and wait until one may be sent.
    waiting_for_list: BTreeSet<ObserverKey>,
    /// Observers that were sent a list and have not sent their next request yet.
    lists_in_flight: BTreeSet<ObserverKey>,
    stamp: UpdateStamp,
}

impl ObserverTable {
    /// Adds an observer. A repeated request replaces the earlier one, and confirms that a list that
    /// was sent to this observer has arrived.
    pub(crate) fn insert(&mut self, key: ObserverKey, observer: Observer) {
        self.remove(&key);
        self.lists_in_flight.remove(&key);
        self.deadlines.insert((observer.deadline, key.clone()));
        self.arrived.insert(key.clone());
        self.waiting.insert(key, observer);
    }

    pub(crate) fn get(&self, key: &ObserverKey) -> Option<&Observer> {
        self.waiting.get(key)
    }

    pub(crate) fn remove(&mut self, key: &ObserverKey) -> Option<Observer> {
        let observer = self.waiting.remove(key)?;
        self.deadlines.remove(&(observer.deadline, key.clone()));
        self.arrived.remove(key);
        self.waiting_for_list.remove(key);
        Some(observer)
    }

    /// Removes the observers of a closed connection.
    pub(crate) fn forget_client(&mut self, client: u64) {
        let belongs_to_client = |key: &ObserverKey| key.client == client;
        let keys: Vec<ObserverKey> = self
            .waiting
            .keys()
            .filter(|key| belongs_to_client(key))
            .cloned()
            .collect();
        for key in keys {
            self.remove(&key);
        }
        self.lists_in_flight.retain(|key| !belongs_to_client(key));
    }

    /// Returns the earliest deadline of an observer.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the observers that may have updates: all of them if the stamp has changed, otherwise
    /// those whose requests have just arrived.
    pub(crate) fn take_candidates(&mut self, stamp: UpdateStamp) -> BTreeSet<ObserverKey> {
        let arrived = std::mem::take(&mut self.arrived);
        if stamp == self.stamp {
            return arrived;
        }
        self.stamp = stamp;
        self.waiting.keys().cloned().collect()
    }

    /// Returns the observers whose deadline has passed.
    pub(crate) fn due(&self, now: Timestamp) -> Vec<ObserverKey> {
        let due = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now);
        due.map(|(_, key)| key.clone()).collect()
    }

    /// Defers the answer to an observer until a list may be sent to it.
    pub(crate) fn defer_until_list_slot(&mut self, key: ObserverKey) {
        if let Some(observer) = self.waiting.get(&key) {
            self.deadlines.remove(&(observer.deadline, key.clone()));
            self.waiting_for_list.insert(key);
        }
    }

    /// Returns the deferred observers that a list may be sent to now.
    pub(crate) fn next_list_recipients(&self) -> Vec<ObserverKey> {
        let free = MAX_LISTS_IN_FLIGHT.saturating_sub(self.lists_in_flight.len());
        self.waiting_for_list.iter().take(free).cloned().collect()
    }

    /// Returns true if another list may be sent now.
    pub(crate) fn may_send_list(&self) -> bool {
        self.lists_in_flight.len() < MAX_LISTS_IN_FLIGHT
    }

    /// Records that a list has been sent to an observer.
    pub(crate) fn record_list_sent(&mut self, key: ObserverKey) {
        self.lists_in_flight.insert(key);
    }
}
