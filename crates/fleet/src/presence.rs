//! Who is there, by what each process says of itself again and again.

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

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Gateway(GatewayPresence),
    /// Holds turns and accounts.
    Store(StorePresence),
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
pub struct HeardStore<'table> {
    /// Name of its machine.
    pub name: &'table str,
    /// Its zone.
    pub zone: &'table str,
    /// Time since it was heard from.
    pub silence: Duration,
    /// What it said.
    pub store: &'table StorePresence,
}

/// Who was heard from lately.
#[derive(Clone, Debug, Default)]
pub struct PresenceTable {
    heard: BTreeMap<(bool, String), (Timestamp, Presence)>,
}

impl PresenceTable {
    /// Takes a process's word.
    pub fn note(&mut self, presence: Presence, now: Timestamp) {
        let is_store = matches!(presence.role, Role::Store(_));
        self.heard
            .insert((is_store, presence.name.clone()), (now, presence));
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
        self.heard.retain(|_, (heard, _)| now.since(*heard) < limit);
    }

    /// Gateways with their zones that were heard from within `limit` and take callers.
    pub fn ready_gateways(
        &self,
        now: Timestamp,
        limit: Duration,
    ) -> impl Iterator<Item = (&str, &GatewayPresence)> {
        self.heard.values().filter_map(move |(heard, presence)| {
            let Role::Gateway(gateway) = &presence.role else {
                return None;
            };
            let counts = gateway.ready && now.since(*heard) < limit;
            counts.then_some((presence.zone.as_str(), gateway))
        })
    }

    /// Stores with the time since they were heard from.
    pub fn stores(&self, now: Timestamp) -> impl Iterator<Item = HeardStore<'_>> {
        self.heard.values().filter_map(move |(heard, presence)| {
            let Role::Store(store) = &presence.role else {
                return None;
            };
            Some(HeardStore {
                name: &presence.name,
                zone: &presence.zone,
                silence: now.since(*heard),
                store,
            })
        })
    }
}
