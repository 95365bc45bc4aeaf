//! Replicated registry of turn stores.

use crate::view::{DiskId, SettledStores, StoreMember, StoreName, StoreState, StoreView};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A change of the registry, proposed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCommand {
    /// Adds a store with this disk.
    Join {
        /// Name of the store.
        name: StoreName,
        /// Address that it listens on.
        address: SocketAddr,
        /// Its zone.
        zone: String,
        /// Identifier of its disk.
        incarnation: u64,
        /// True if the store belongs to the initial deployment, before anything was written.
        founding: bool,
    },
    /// Marks a store as active, after all state that it owns was copied to it.
    Activate {
        /// Name of the store.
        name: StoreName,
        /// Identifier of the disk to which the state was copied.
        incarnation: u64,
    },
    /// Marks a store as lost that has sent no heartbeat for a long time.
    Lose {
        /// Name of the store.
        name: StoreName,
    },
    /// Starts the retirement of a store on an operator's request.
    Retire {
        /// Name of the store.
        name: StoreName,
        /// Minimum number of writable stores that must remain.
        minimum: usize,
    },
    /// Removes a retired store whose state has been copied to the others.
    Remove {
        /// Name of the store.
        name: StoreName,
    },
}

/// State of the retirement of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireState {
    /// Its state is being copied to other stores.
    Running,
    /// The machine can be removed.
    Completed,
}

/// Response to a request to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireResponse {
    /// The retirement is running or completed.
    State(RetireState),
    /// There is no such store.
    Unknown,
    /// Too few stores would remain.
    TooFew,
}

/// Data of a store that joins.
#[derive(Clone, Copy, Debug)]
struct JoiningStore<'command> {
    address: SocketAddr,
    zone: &'command str,
    incarnation: u64,
    founding: bool,
}

/// Registry of all stores and retirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRegistry {
    view: StoreView,
    retirements: BTreeMap<StoreName, RetireState>,
    /// True once any store has changed its state, changed its disk or been removed. From then on a
    /// founding store that joins may lack state and must be filled.
    is_past_founding: bool,
    /// Epoch of the view whose configuration the next activation or removal settles, if that view is
    /// still the current one.
    #[serde(skip)]
    announced_settlement: Option<u64>,
}

/// State of the registry that is not part of its encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementState {
    /// The settled configuration.
    pub settled: SettledStores,
    /// Epoch of the view whose configuration the next activation or removal settles.
    pub announced: Option<u64>,
}

impl StoreCommand {
    /// Announces that the next activation or removal settles the configuration of the view `epoch`.
    /// It is encoded as the activation of a store without a name, which builds that know no settled
    /// configuration ignore.
    #[must_use]
    pub fn settle(epoch: u64) -> Self {
        Self::Activate {
            name: StoreName::default(),
            incarnation: epoch,
        }
    }

    /// Returns the epoch if this command announces that a configuration is settled.
    fn settled_epoch(&self) -> Option<u64> {
        match self {
            Self::Activate { name, incarnation } if *name == StoreName::default() => {
                Some(*incarnation)
            }
            _ => None,
        }
    }
}

impl StoreRegistry {
    /// Returns the current store view.
    #[must_use]
    pub fn view(&self) -> &StoreView {
        &self.view
    }

    /// Returns the state of a store's retirement; `None` if none was requested.
    #[must_use]
    pub fn retirement(&self, name: &StoreName) -> Option<RetireState> {
        self.retirements.get(name).copied()
    }

    /// Returns the state that is encoded separately.
    #[must_use]
    pub fn settlement(&self) -> SettlementState {
        SettlementState {
            settled: self.view.settled_stores().into_owned(),
            announced: self.announced_settlement,
        }
    }

    /// Restores the state that is encoded separately.
    pub fn restore_settlement(&mut self, state: SettlementState) {
        self.view.set_settled_stores(state.settled);
        self.announced_settlement = state.announced;
    }

    /// Applies a change. Repeating a change has no effect.
    pub fn apply(&mut self, command: &StoreCommand) -> RetireResponse {
        if let Some(epoch) = command.settled_epoch() {
            self.announced_settlement = Some(epoch);
            return RetireResponse::State(RetireState::Running);
        }
        let mut settled = self.view.settled_stores().into_owned();
        let epoch = self.view.epoch;
        let known = self.view.members.len();
        let response = self.apply_to_members(command);
        if self.view.epoch != epoch {
            let is_new = self.view.members.len() > known;
            self.update_settled(&mut settled, command, epoch, is_new);
        }
        self.view.set_settled_stores(settled);
        response
    }

    /// Updates the settled configuration after a command that changed the view of `epoch`. A leader
    /// of a build without settled configurations announces nothing; its activations and removals
    /// change them store by store.
    fn update_settled(
        &mut self,
        settled: &mut SettledStores,
        command: &StoreCommand,
        epoch: u64,
        is_new: bool,
    ) {
        let announced = match command {
            StoreCommand::Activate { .. } | StoreCommand::Remove { .. } => {
                self.announced_settlement.take()
            }
            _ => None,
        };
        match (announced, command) {
            (Some(announced), _) => {
                // A view that changed since the announcement may need another hand-over.
                if announced == epoch {
                    *settled = self.view.next_settled_stores();
                }
            }
            (None, StoreCommand::Activate { name, incarnation }) => {
                settled.0.insert(name.clone(), DiskId::Known(*incarnation));
            }
            (None, StoreCommand::Remove { name }) => {
                settled.0.remove(name);
            }
            (None, StoreCommand::Join { name, .. }) => {
                let member = self.view.members.get(name);
                if let Some(founder) =
                    member.filter(|member| is_new && member.state == StoreState::Active)
                {
                    let disk = DiskId::Known(founder.incarnation);
                    settled.0.insert(name.clone(), disk);
                }
            }
            (None, StoreCommand::Lose { .. } | StoreCommand::Retire { .. }) => {}
        }
    }

    fn apply_to_members(&mut self, command: &StoreCommand) -> RetireResponse {
        match command {
            StoreCommand::Join {
                name,
                address,
                zone,
                incarnation,
                founding,
            } => self.join(
                name,
                JoiningStore {
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

    fn join(&mut self, name: &StoreName, store: JoiningStore<'_>) {
        let JoiningStore {
            address,
            zone,
            incarnation,
            founding,
        } = store;
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
            // Nothing was written before the founding stores joined.
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
        let is_joining = self.view.members.get(name).is_some_and(|member| {
            member.incarnation == incarnation && member.state == StoreState::Joining
        });
        if is_joining {
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
