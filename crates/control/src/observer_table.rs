//! Observers that wait for news at a member, found by what is due and by what is new.
//!
//! A member hears many questions for each thing that happens. So a question that brings nothing
//! new costs as much whether ten or a thousand others wait.

use crate::protocol::RequestToken;
use luglink_fleet::{KnownIncarnations, KnownVersions, MembersStamp};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Whole lists of backends, or large parts of them, that may be on their way at once. Each may be
/// as large as the deployment, and after a start every gateway wants one: a member's memory holds
/// no more than these however slow the links are.
pub(crate) const LISTS_ON_THEIR_WAY: usize = 4;

/// An observer that waits for news.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    pub(crate) token: RequestToken,
    pub(crate) known: KnownVersions,
    /// What it knows of incarnations, when it asks for them.
    pub(crate) known_incarnations: Option<KnownIncarnations>,
    /// Its zone, when it is to be told what the gateways of that zone see.
    pub(crate) sights_of: Option<String>,
    /// Whether it counts on this member to be told of a new document at once.
    pub(crate) wants_document_at_once: bool,
    /// Its zone, when this member counts it.
    pub(crate) counted_in: Option<String>,
    pub(crate) until: Timestamp,
}

/// Names an observer: its connection, and its process, which asks one question at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ObserverKey {
    pub(crate) client: u64,
    pub(crate) name: String,
}

/// Everything that may be news. As long as it stays the same, only observers that have just asked
/// can have any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NewsStamp {
    pub(crate) is_fresh: bool,
    pub(crate) members: MembersStamp,
    pub(crate) document_version: u64,
    /// Whether those who leave it to others to tell the document have waited long enough.
    pub(crate) tells_document_to_all: bool,
    pub(crate) store_epoch: u64,
    pub(crate) list_seen: Option<Timestamp>,
}

/// Observers that wait.
#[derive(Debug, Default)]
pub(crate) struct ObserverTable {
    waiting: BTreeMap<ObserverKey, Observer>,
    deadlines: BTreeSet<(Timestamp, ObserverKey)>,
    /// Those that have asked since the last look.
    arrived: BTreeSet<ObserverKey>,
    /// Those that lack a whole list, or much of it, and wait until one may be sent.
    wants_list: BTreeSet<ObserverKey>,
    /// Those that were sent one and have not asked again.
    lists_on_their_way: BTreeSet<ObserverKey>,
    stamp: NewsStamp,
}

impl ObserverTable {
    /// Takes a question. Who asks again has given its earlier question up, and has what it was
    /// sent before.
    pub(crate) fn insert(&mut self, key: ObserverKey, observer: Observer) {
        self.remove(&key);
        self.lists_on_their_way.remove(&key);
        self.deadlines.insert((observer.until, key.clone()));
        self.arrived.insert(key.clone());
        self.waiting.insert(key, observer);
    }

    pub(crate) fn get(&self, key: &ObserverKey) -> Option<&Observer> {
        self.waiting.get(key)
    }

    pub(crate) fn remove(&mut self, key: &ObserverKey) -> Option<Observer> {
        let observer = self.waiting.remove(key)?;
        self.deadlines.remove(&(observer.until, key.clone()));
        self.arrived.remove(key);
        self.wants_list.remove(key);
        Some(observer)
    }

    /// Forgets a connection that has closed.
    pub(crate) fn forget_client(&mut self, client: u64) {
        let is_its = |key: &ObserverKey| key.client == client;
        let keys: Vec<ObserverKey> = self
            .waiting
            .keys()
            .filter(|key| is_its(key))
            .cloned()
            .collect();
        for key in keys {
            self.remove(&key);
        }
        self.lists_on_their_way.retain(|key| !is_its(key));
    }

    /// When the first observer has waited long enough.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(until, _)| *until)
    }

    /// Observers that may have news: all of them when something is new, else those that have just
    /// asked.
    pub(crate) fn take_candidates(&mut self, stamp: NewsStamp) -> BTreeSet<ObserverKey> {
        let arrived = std::mem::take(&mut self.arrived);
        if stamp == self.stamp {
            return arrived;
        }
        self.stamp = stamp;
        self.waiting.keys().cloned().collect()
    }

    /// Observers that have waited long enough.
    pub(crate) fn due(&self, now: Timestamp) -> Vec<ObserverKey> {
        let due = self.deadlines.iter().take_while(|(until, _)| *until <= now);
        due.map(|(_, key)| key.clone()).collect()
    }

    /// Puts an observer off until a list may be sent to it.
    pub(crate) fn wait_for_list(&mut self, key: ObserverKey) {
        if let Some(observer) = self.waiting.get(&key) {
            self.deadlines.remove(&(observer.until, key.clone()));
            self.wants_list.insert(key);
        }
    }

    /// Observers to which lists may be sent now.
    pub(crate) fn next_for_list(&self) -> Vec<ObserverKey> {
        let free = LISTS_ON_THEIR_WAY.saturating_sub(self.lists_on_their_way.len());
        self.wants_list.iter().take(free).cloned().collect()
    }

    pub(crate) fn may_send_list(&self) -> bool {
        self.lists_on_their_way.len() < LISTS_ON_THEIR_WAY
    }

    /// Notes that a list is on its way to an observer.
    pub(crate) fn list_is_sent(&mut self, key: ObserverKey) {
        self.lists_on_their_way.insert(key);
    }
}
