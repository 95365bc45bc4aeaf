//! Presence of processes, from the heartbeats that each of them sends.

use crate::zone_load::GatewayLoad;
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Presence data of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayPresence {
    /// Address for callers.
    pub address: SocketAddr,
    /// True if it accepts callers.
    pub ready: bool,
    /// Its load.
    pub load: GatewayLoad,
}

/// Presence data of a turn store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePresence {
    /// Address for gateways and other stores.
    pub address: SocketAddr,
    /// Identifier of its disk.
    pub incarnation: u64,
    /// True if the store belongs to the initial deployment, so that there is no earlier state to
    /// copy to it.
    pub founding: bool,
    /// Epoch of the latest view for which it has transferred all state that other stores own.
    pub handed_over_epoch: u64,
}

/// Presence data that a control member sends to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPresence {
    /// Number of gateways that accept callers and are counted by this member.
    pub gateways: u32,
}

/// Role of a process, with its presence data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Gateway(GatewayPresence),
    /// Stores turns and accounts.
    Store(StorePresence),
    /// Relays the leader's state to observers.
    Member(MemberPresence),
}

/// Kind of a process; machine names are unique within a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Gateway,
    Store,
    Member,
}

impl Role {
    fn kind(&self) -> Kind {
        match self {
            Self::Gateway(_) => Kind::Gateway,
            Self::Store(_) => Kind::Store,
            Self::Member(_) => Kind::Member,
        }
    }
}

/// Heartbeat of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its role.
    pub role: Role,
}

/// Latest presence of a store.
#[derive(Clone, Copy, Debug)]
pub struct LastStorePresence<'table> {
    /// Name of its machine.
    pub name: &'table str,
    /// Its zone.
    pub zone: &'table str,
    /// Time since the last heartbeat.
    pub silence: Duration,
    /// Presence data.
    pub store: &'table StorePresence,
}

/// Latest presence of a gateway, relayed from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPresence {
    /// Presence of the gateway.
    pub presence: Presence,
    /// Time since the last heartbeat.
    pub silence: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    received_at: Timestamp,
    presence: Presence,
    /// True if the process itself sent it, false if another member relayed it.
    is_direct: bool,
    /// True if this member is the one that counts the process.
    is_counted_here: bool,
}

/// Processes with a recent heartbeat.
#[derive(Clone, Debug, Default)]
pub struct PresenceTable {
    entries: BTreeMap<(Kind, String), Entry>,
}

impl PresenceTable {
    /// Records a heartbeat of a process. `is_counted_here` is true if, of all members that it
    /// queries, this one counts it.
    pub fn note(&mut self, presence: Presence, is_counted_here: bool, now: Timestamp) {
        let key = (presence.role.kind(), presence.name.clone());
        let entry = Entry {
            received_at: now,
            presence,
            is_direct: true,
            is_counted_here,
        };
        self.entries.insert(key, entry);
    }

    /// Records a gateway's heartbeat that another member relayed, unless a later one is known.
    pub fn note_relayed(&mut self, relayed: RelayedPresence, now: Timestamp) {
        let silence = u64::try_from(relayed.silence.as_micros()).unwrap_or(u64::MAX);
        let received_at = Timestamp::from_micros(now.as_micros().saturating_sub(silence));
        let key = (relayed.presence.role.kind(), relayed.presence.name.clone());
        if self
            .entries
            .get(&key)
            .is_some_and(|known| known.received_at >= received_at)
        {
            return;
        }
        let entry = Entry {
            received_at,
            presence: relayed.presence,
            is_direct: false,
            is_counted_here: false,
        };
        self.entries.insert(key, entry);
    }

    /// Returns the number of known processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes processes without a heartbeat within `limit`.
    pub fn expire(&mut self, now: Timestamp, limit: Duration) {
        self.entries
            .retain(|_, entry| now.since(entry.received_at) < limit);
    }

    fn gateways(&self) -> impl Iterator<Item = (&Entry, &GatewayPresence)> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.presence.role {
                Role::Gateway(gateway) => Some((entry, gateway)),
                Role::Store(_) | Role::Member(_) => None,
            })
    }

    /// Returns the gateways that accept callers and have a heartbeat within `limit`, with their
    /// zones.
    pub fn ready_gateways(
        &self,
        now: Timestamp,
        limit: Duration,
    ) -> impl Iterator<Item = (&str, &GatewayPresence)> {
        self.gateways()
            .filter(move |(entry, gateway)| gateway.ready && now.since(entry.received_at) < limit)
            .map(|(entry, gateway)| (entry.presence.zone.as_str(), gateway))
    }

    /// Returns the total load of each zone's gateways that have a heartbeat within `limit`.
    #[must_use]
    pub fn zone_loads(&self, now: Timestamp, limit: Duration) -> BTreeMap<String, GatewayLoad> {
        let mut loads: BTreeMap<&str, Vec<&GatewayLoad>> = BTreeMap::new();
        let gateways = self.gateways();
        for (entry, gateway) in gateways.filter(|(entry, _)| now.since(entry.received_at) < limit) {
            let zone = loads.entry(entry.presence.zone.as_str()).or_default();
            zone.push(&gateway.load);
        }
        let sums = loads.into_iter();
        sums.map(|(zone, loads)| (zone.to_owned(), GatewayLoad::sum(loads)))
            .collect()
    }

    /// Returns the gateways that sent a heartbeat to this member itself within `limit`, to be
    /// relayed to the other members of its zone.
    #[must_use]
    pub fn direct_gateways(&self, now: Timestamp, limit: Duration) -> Vec<RelayedPresence> {
        self.gateways()
            .filter(|(entry, _)| entry.is_direct && now.since(entry.received_at) < limit)
            .map(|(entry, _)| RelayedPresence {
                presence: entry.presence.clone(),
                silence: now.since(entry.received_at),
            })
            .collect()
    }

    /// Returns the number of gateways that accept callers, have a heartbeat within `limit` and are
    /// counted by this member.
    #[must_use]
    pub fn counted_gateways(&self, now: Timestamp, limit: Duration) -> u32 {
        let counted = self.gateways().filter(|(entry, gateway)| {
            gateway.ready && entry.is_counted_here && now.since(entry.received_at) < limit
        });
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Returns the sum of the gateway counts of all members that have a heartbeat within `limit`.
    #[must_use]
    pub fn total_counted_gateways(&self, now: Timestamp, limit: Duration) -> u32 {
        self.entries
            .values()
            .filter(|entry| now.since(entry.received_at) < limit)
            .map(|entry| match &entry.presence.role {
                Role::Member(member) => member.gateways,
                Role::Gateway(_) | Role::Store(_) => 0,
            })
            .sum()
    }

    /// Returns the latest presence of a store.
    #[must_use]
    pub fn store(&self, name: &str, now: Timestamp) -> Option<LastStorePresence<'_>> {
        let entry = self.entries.get(&(Kind::Store, name.to_owned()))?;
        entry.last_store_presence(now)
    }

    /// Returns all stores with the time since their last heartbeat.
    pub fn stores(&self, now: Timestamp) -> impl Iterator<Item = LastStorePresence<'_>> {
        let entries = self.entries.values();
        entries.filter_map(move |entry| entry.last_store_presence(now))
    }
}

impl Entry {
    fn last_store_presence(&self, now: Timestamp) -> Option<LastStorePresence<'_>> {
        let Role::Store(store) = &self.presence.role else {
            return None;
        };
        Some(LastStorePresence {
            name: &self.presence.name,
            zone: &self.presence.zone,
            silence: now.since(self.received_at),
            store,
        })
    }
}
