//! Who is there, by what each process says of itself again and again.

use crate::zone_load::GatewayLoad;
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway's word of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayPresence {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether callers should be sent to it.
    pub ready: bool,
    /// What it has to do.
    pub load: GatewayLoad,
}

/// A store's word of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePresence {
    /// Where gateways and other stores reach it.
    pub address: SocketAddr,
    /// Names its disk.
    pub incarnation: u64,
    /// Whether it was there when the deployment first started, with nothing to be filled with.
    pub founding: bool,
    /// Newest view for which it has handed over everything that others should hold.
    pub handed_over_epoch: u64,
}

/// A control member's word of itself, to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberPresence {
    /// Gateways that take callers and count on this member to say so.
    pub gateways: u32,
}

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Gateway(GatewayPresence),
    /// Holds turns and accounts.
    Store(StorePresence),
    /// Passes on what the leader knows.
    Member(MemberPresence),
}

/// Kinds of processes; names are distinct within one.
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

/// A process's word of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub role: Role,
}

/// A store's last word.
#[derive(Clone, Copy, Debug)]
pub struct LastStorePresence<'table> {
    /// Name of its machine.
    pub name: &'table str,
    /// Its zone.
    pub zone: &'table str,
    /// Time since it was heard from.
    pub silence: Duration,
    /// What it said.
    pub store: &'table StorePresence,
}

/// A gateway's last word, as one member passes it on to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPresence {
    /// Its word.
    pub presence: Presence,
    /// Time since it was heard from.
    pub silence: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    heard: Timestamp,
    presence: Presence,
    /// Whether the process itself said it, rather than another member.
    is_first_hand: bool,
    /// Whether the process counts on this member to count it.
    is_counted_here: bool,
}

/// Who was heard from lately.
#[derive(Clone, Debug, Default)]
pub struct PresenceTable {
    heard: BTreeMap<(Kind, String), Entry>,
}

impl PresenceTable {
    /// Takes a process's word. `is_counted_here` says that of all members it asks it is to be
    /// counted by this one.
    pub fn note(&mut self, presence: Presence, is_counted_here: bool, now: Timestamp) {
        let key = (presence.role.kind(), presence.name.clone());
        let entry = Entry {
            heard: now,
            presence,
            is_first_hand: true,
            is_counted_here,
        };
        self.heard.insert(key, entry);
    }

    /// Takes a gateway's word that another member heard, unless a later one is known.
    pub fn note_relayed(&mut self, word: RelayedPresence, now: Timestamp) {
        let silence = u64::try_from(word.silence.as_micros()).unwrap_or(u64::MAX);
        let heard = Timestamp::from_micros(now.as_micros().saturating_sub(silence));
        let key = (word.presence.role.kind(), word.presence.name.clone());
        if self
            .heard
            .get(&key)
            .is_some_and(|known| known.heard >= heard)
        {
            return;
        }
        let entry = Entry {
            heard,
            presence: word.presence,
            is_first_hand: false,
            is_counted_here: false,
        };
        self.heard.insert(key, entry);
    }

    /// Number of processes that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// Forgets processes that were silent for `limit`.
    pub fn expire(&mut self, now: Timestamp, limit: Duration) {
        self.heard.retain(|_, entry| now.since(entry.heard) < limit);
    }

    fn gateways(&self) -> impl Iterator<Item = (&Entry, &GatewayPresence)> {
        self.heard
            .values()
            .filter_map(|entry| match &entry.presence.role {
                Role::Gateway(gateway) => Some((entry, gateway)),
                Role::Store(_) | Role::Member(_) => None,
            })
    }

    /// Gateways with their zones that were heard from within `limit` and take callers.
    pub fn ready_gateways(
        &self,
        now: Timestamp,
        limit: Duration,
    ) -> impl Iterator<Item = (&str, &GatewayPresence)> {
        self.gateways()
            .filter(move |(entry, gateway)| gateway.ready && now.since(entry.heard) < limit)
            .map(|(entry, gateway)| (entry.presence.zone.as_str(), gateway))
    }

    /// What the gateways of each zone have to do together, those that were heard from within
    /// `limit`.
    #[must_use]
    pub fn zone_loads(&self, now: Timestamp, limit: Duration) -> BTreeMap<String, GatewayLoad> {
        let mut loads: BTreeMap<&str, Vec<&GatewayLoad>> = BTreeMap::new();
        let heard = self.gateways();
        for (entry, gateway) in heard.filter(|(entry, _)| now.since(entry.heard) < limit) {
            let zone = loads.entry(entry.presence.zone.as_str()).or_default();
            zone.push(&gateway.load);
        }
        let sums = loads.into_iter();
        sums.map(|(zone, loads)| (zone.to_owned(), GatewayLoad::sum(loads)))
            .collect()
    }

    /// Words that gateways said to this member itself within `limit`, for the others of its zone.
    #[must_use]
    pub fn direct_gateways(&self, now: Timestamp, limit: Duration) -> Vec<RelayedPresence> {
        self.gateways()
            .filter(|(entry, _)| entry.is_first_hand && now.since(entry.heard) < limit)
            .map(|(entry, _)| RelayedPresence {
                presence: entry.presence.clone(),
                silence: now.since(entry.heard),
            })
            .collect()
    }

    /// Gateways that take callers, were heard from within `limit` and are counted here.
    #[must_use]
    pub fn counted_gateways(&self, now: Timestamp, limit: Duration) -> u32 {
        let counted = self.gateways().filter(|(entry, gateway)| {
            gateway.ready && entry.is_counted_here && now.since(entry.heard) < limit
        });
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Gateways that members heard from within `limit` have counted.
    #[must_use]
    pub fn total_counted_gateways(&self, now: Timestamp, limit: Duration) -> u32 {
        self.heard
            .values()
            .filter(|entry| now.since(entry.heard) < limit)
            .map(|entry| match &entry.presence.role {
                Role::Member(member) => member.gateways,
                Role::Gateway(_) | Role::Store(_) => 0,
            })
            .sum()
    }

    /// Stores with the time since they were heard from.
    pub fn stores(&self, now: Timestamp) -> impl Iterator<Item = LastStorePresence<'_>> {
        self.heard.values().filter_map(move |entry| {
            let Role::Store(store) = &entry.presence.role else {
                return None;
            };
            Some(LastStorePresence {
                name: &entry.presence.name,
                zone: &entry.presence.zone,
                silence: now.since(entry.heard),
                store,
            })
        })
    }
}
