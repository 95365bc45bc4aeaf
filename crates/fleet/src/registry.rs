//! The replicated registry of turn stores.

use crate::view::{StoreMember, StoreName, StoreState, StoreView};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A change of the registry, as the leader proposes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCommand {
    /// A store is there with this disk.
    Join {
        /// The store.
        name: StoreName,
        /// Where it listens.
        address: SocketAddr,
        /// Its zone.
        zone: String,
        /// Its disk.
        incarnation: u64,
        /// Whether nothing was written before it came.
        founding: bool,
    },
    /// A store has been filled.
    Activate {
        /// The store.
        name: StoreName,
        /// The disk that was filled.
        incarnation: u64,
    },
    /// A store was silent for long.
    Lose {
        /// The store.
        name: StoreName,
    },
    /// An operator wants a store emptied.
    Retire {
        /// The store.
        name: StoreName,
        /// Stores that must remain.
        minimum: usize,
    },
    /// A leaving store holds nothing that others lack.
    Remove {
        /// The store.
        name: StoreName,
    },
}

/// How far the retirement of a store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireState {
    /// Others are taking over.
    Running,
    /// The machine may go.
    Completed,
}

/// Answer to an order to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireResponse {
    /// It is under way or done.
    State(RetireState),
    /// There is no such store.
    Unknown,
    /// Too few would remain.
    TooFew,
}

/// What a store that joins says of itself.
#[derive(Clone, Copy, Debug)]
struct Newcomer<'command> {
    address: SocketAddr,
    zone: &'command str,
    incarnation: u64,
    founding: bool,
}

/// The registry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRegistry {
    view: StoreView,
    retirements: BTreeMap<StoreName, RetireState>,
    /// Whether any store has come back, gone or been passed over. From then on a store that was
    /// there at the first start may have missed something.
    is_past_founding: bool,
}

impl StoreRegistry {
    /// The stores.
    #[must_use]
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// How far the retirement of a store is; `None` when none was ordered.
    #[must_use]
    pub fn retirement(&self, name: &StoreName) -> Option<RetireState> {
        self.retirements.get(name).copied()
    }

    /// Applies a change. Repeating one has no effect.
    pub fn apply(&mut self, command: &StoreCommand) -> RetireResponse {
        match command {
            StoreCommand::Join {
                name,
                address,
                zone,
                incarnation,
                founding,
            } => self.join(
                name,
                Newcomer {
                    address: *address,
                    zone,
                    incarnation: *incarnation,
                    founding: *founding,
                },
            ),
            StoreCommand::Activate { name, incarnation } => self.activate(name, *incarnation),
            StoreCommand::Lose { name } => self.set_state(name, StoreState::Lost),
            StoreCommand::Retire { name, minimum } => return self.retire(name, *minimum),
            StoreCommand::Remove { name } => self.remove(name),
        }
        RetireResponse::State(RetireState::Running)
    }

    fn join(&mut self, name: &StoreName, newcomer: Newcomer<'_>) {
        let Newcomer {
            address,
            zone,
            incarnation,
            founding,
        } = newcomer;
        let known = self.view.members.get(name);
        let is_new_disk = known.is_some_and(|member| member.incarnation != incarnation);
        let state = match known {
            Some(member) if member.incarnation != incarnation => match member.state {
                StoreState::Leaving => StoreState::Leaving,
                _ => StoreState::Joining,
            },
            Some(member) if member.state == StoreState::Lost => StoreState::Joining,
            Some(member) if member.address == address => return,
            Some(member) => member.state,
            // Nothing was written before the founding stores came.
            None if founding && !self.is_past_founding || self.view.is_empty() => {
                StoreState::Active
            }
            None => StoreState::Joining,
        };
        self.is_past_founding |= is_new_disk;
        self.view.epoch += 1;
        let member = StoreMember {
            address,
            zone: zone.to_owned(),
            incarnation,
            state,
            since_epoch: self.view.epoch,
        };
        self.view.members.insert(name.clone(), member);
    }

    fn activate(&mut self, name: &StoreName, incarnation: u64) {
        let joining = self.view.members.get(name).is_some_and(|member| {
            member.incarnation == incarnation && member.state == StoreState::Joining
        });
        if joining {
            self.set_state(name, StoreState::Active);
        }
    }

    fn set_state(&mut self, name: &StoreName, state: StoreState) {
        let epoch = self.view.epoch + 1;
        if let Some(member) = self.view.members.get_mut(name)
            && member.state != state
        {
            member.state = state;
            member.since_epoch = epoch;
            self.view.epoch = epoch;
            self.is_past_founding = true;
        }
    }

    fn retire(&mut self, name: &StoreName, minimum: usize) -> RetireResponse {
        if let Some(state) = self.retirement(name) {
            return RetireResponse::State(state);
        }
        if !self.view.members.contains_key(name) {
            return RetireResponse::Unknown;
        }
        let remaining = self.view.writable().filter(|(other, _)| *other != name);
        if remaining.count() < minimum {
            return RetireResponse::TooFew;
        }
        self.retirements.insert(name.clone(), RetireState::Running);
        self.set_state(name, StoreState::Leaving);
        RetireResponse::State(RetireState::Running)
    }

    fn remove(&mut self, name: &StoreName) {
        if self.view.members.remove(name).is_none() {
            return;
        }
        self.view.epoch += 1;
        self.is_past_founding = true;
        if let Some(state) = self.retirements.get_mut(name) {
            *state = RetireState::Completed;
        }
    }
}
