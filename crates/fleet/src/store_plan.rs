//! The leader's maintenance of the registry of turn stores.
//!
//! Stores join, are marked as lost and leave at any time; each such change alters the set of
//! writable stores. The settled configuration follows in one step, once the hand-over for the
//! current view is complete. Nothing else waits: no change of a store's state depends on the state
//! of another store.

use crate::presence::{LastStorePresence, PresenceTable};
use crate::registry::{RetireState, StoreCommand, StoreRegistry};
use crate::view::{DiskId, StoreName, StoreState, StoreView};
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of the maintenance.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Replicas of each turn and account. A store is marked as lost only while more than this
    /// number of stores are writable.
    pub copies: usize,
    /// Number of stores that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time without a report after which a store counts as silent. A store that was marked as lost
    /// stays in the view for as long again, so that it can return with its records.
    pub store_timeout: Duration,
    /// Time without a report after which the disk of a store counts as lost for good.
    pub abandon_timeout: Duration,
}

/// What the leader knows about the stores.
pub struct StoreSituation<'leader> {
    /// The replicated registry.
    pub registry: &'leader StoreRegistry,
    /// Heartbeats of the stores.
    pub presence: &'leader PresenceTable,
    /// Returns true if a control member runs on the machine with this address.
    pub hosts_member: &'leader dyn Fn(SocketAddr) -> bool,
    /// Time since which this member leads. A store without a report is silent from then on.
    pub leads_since: Timestamp,
    /// Present time.
    pub now: Timestamp,
}

/// Progress towards a settled configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettlementProgress {
    /// Number of stores of the settled configuration that have completed the hand-over for the
    /// current view.
    pub handed_over: usize,
    /// Number of stores that must have completed it.
    pub required: usize,
    /// Number of stores of the settled configuration.
    pub stores: usize,
    /// Stores of the settled configuration whose disks cannot hand over at present.
    pub missing: Vec<StoreName>,
}

impl SettlementProgress {
    /// Returns the number of stores that must still complete the hand-over.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.required.saturating_sub(self.handed_over)
    }

    /// Returns true if so many stores are missing that the others cannot complete the hand-over.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.stores - self.missing.len() < self.required
    }
}

/// Decides which changes of the registry the leader proposes. Its own state is soft: with each
/// leadership, its periods begin again.
#[derive(Clone, Debug, Default)]
pub struct StorePlanner {
    /// Begin of the leadership in which the periods below were observed.
    leads_since: Timestamp,
    lost_since: BTreeMap<StoreName, Timestamp>,
    missing_since: BTreeMap<StoreName, Timestamp>,
}

impl StorePlanner {
    /// Returns the commands to propose now. They are proposed together, in this order, and the next
    /// call follows after they were applied.
    pub fn commands(
        &mut self,
        situation: &StoreSituation<'_>,
        limits: &StoreLimits,
    ) -> Vec<StoreCommand> {
        self.update_periods(situation);
        let joins = situation.joins(limits);
        if !joins.is_empty() {
            return joins;
        }
        let view = situation.view();
        let is_settled = *view.settled_stores() == view.next_settled_stores();
        let commands = match is_settled {
            true => self.state_changes(situation, limits),
            false => self.settlement(situation, limits),
        };
        if commands.is_empty() {
            return situation.loss(limits).into_iter().collect();
        }
        commands
    }

    /// Returns the progress of the hand-over; `None` if the configuration is settled.
    #[must_use]
    pub fn progress(
        &self,
        situation: &StoreSituation<'_>,
        limits: &StoreLimits,
    ) -> Option<SettlementProgress> {
        let view = situation.view();
        let settled = view.settled_stores();
        if *settled == view.next_settled_stores() {
            return None;
        }
        let is_missing = |name: &StoreName| situation.present_disk(name).is_none();
        let gone = settled.0.keys().filter(|name| {
            let abandoned = self
                .missing_since
                .get(*name)
                .is_some_and(|since| situation.now.since(*since) >= limits.abandon_timeout);
            abandoned || situation.is_disk_replaced(name)
        });
        // A disk that is gone for good hands over nothing, so waiting for it would be in vain.
        let excused = limits.tolerated_losses.max(gone.count());
        let handed_over = settled
            .0
            .keys()
            .filter(|name| situation.has_handed_over(name));
        Some(SettlementProgress {
            handed_over: handed_over.count(),
            required: settled.0.len().saturating_sub(excused),
            stores: settled.0.len(),
            missing: settled
                .0
                .keys()
                .filter(|name| is_missing(name))
                .cloned()
                .collect(),
        })
    }

    fn update_periods(&mut self, situation: &StoreSituation<'_>) {
        if self.leads_since != situation.leads_since {
            *self = Self {
                leads_since: situation.leads_since,
                ..Self::default()
            };
        }
        let view = situation.view();
        let lost = view.members.iter();
        let lost = lost.filter(|(_, member)| member.state == StoreState::Lost);
        follow(
            &mut self.lost_since,
            lost.map(|(name, _)| name),
            situation.now,
        );
        let settled = view.settled_stores();
        let missing = settled.0.keys();
        let missing = missing.filter(|name| situation.present_disk(name).is_none());
        follow(&mut self.missing_since, missing, situation.now);
    }

    /// Returns the commands that settle the configuration of the current view: an announcement, and
    /// the activation or removal with which it takes effect.
    fn settlement(
        &self,
        situation: &StoreSituation<'_>,
        limits: &StoreLimits,
    ) -> Vec<StoreCommand> {
        let progress = self.progress(situation, limits);
        if progress.is_none_or(|progress| progress.outstanding() > 0)
            || situation.expects_loss(limits)
        {
            return Vec::new();
        }
        let view = situation.view();
        let activations = situation.activations();
        let removals = self.removals(situation, limits);
        let Some(change) = activations.chain(removals).next() else {
            return situation.reset(limits).into_iter().collect();
        };
        vec![StoreCommand::settle(view.epoch), change]
    }

    /// Returns the changes of states that a settled configuration allows.
    fn state_changes(
        &self,
        situation: &StoreSituation<'_>,
        limits: &StoreLimits,
    ) -> Vec<StoreCommand> {
        let removals = self.removals(situation, limits);
        situation.activations().chain(removals).collect()
    }

    /// Returns the removals of stores that own nothing any more once the configuration is settled.
    fn removals(
        &self,
        situation: &StoreSituation<'_>,
        limits: &StoreLimits,
    ) -> impl Iterator<Item = StoreCommand> {
        let members = situation.view().members.iter();
        members
            .filter(|(name, member)| match member.state {
                StoreState::Leaving => !(situation.hosts_member)(member.address),
                StoreState::Lost => self
                    .lost_since
                    .get(*name)
                    .is_some_and(|since| situation.now.since(*since) >= limits.store_timeout),
                StoreState::Joining | StoreState::Active => false,
            })
            .map(|(name, _)| StoreCommand::Remove { name: name.clone() })
    }
}

impl StoreSituation<'_> {
    fn view(&self) -> &StoreView {
        self.registry.view()
    }

    fn last_presence(&self, name: &StoreName) -> Option<LastStorePresence<'_>> {
        self.presence.store(&name.0, self.now)
    }

    /// Returns the presence of a store whose present disk belongs to the settled configuration.
    fn present_disk(&self, name: &StoreName) -> Option<LastStorePresence<'_>> {
        let presence = self.last_presence(name)?;
        let is_settled = self
            .view()
            .is_authoritative(name, presence.store.incarnation);
        is_settled.then_some(presence)
    }

    fn has_handed_over(&self, name: &StoreName) -> bool {
        let presence = self.present_disk(name);
        presence.is_some_and(|presence| presence.store.handed_over_epoch >= self.view().epoch)
    }

    /// Returns true if a store reports another disk than the one in the settled configuration.
    fn is_disk_replaced(&self, name: &StoreName) -> bool {
        let settled = self.view().settled_stores();
        let Some(DiskId::Known(disk)) = settled.0.get(name).copied() else {
            return false;
        };
        let presence = self.last_presence(name);
        presence.is_some_and(|presence| presence.store.incarnation != disk)
    }

    /// Returns the commands with which stores join that report and are not in the view with their
    /// present address and disk. All join together; one per round would leave a large fleet without
    /// most of its stores for longer than its start may take.
    fn joins(&self, limits: &StoreLimits) -> Vec<StoreCommand> {
        let view = self.view();
        let joins = self.presence.stores(self.now).filter_map(|presence| {
            let LastStorePresence { zone, store, .. } = presence;
            let name = StoreName(presence.name.to_owned());
            if presence.silence >= limits.store_timeout
                || self.registry.retirement(&name) == Some(RetireState::Completed)
            {
                return None;
            }
            let member = view.members.get(&name);
            let known = member.is_some_and(|member| {
                member.incarnation == store.incarnation
                    && member.address == store.address
                    && member.state != StoreState::Lost
            });
            (!known).then_some(StoreCommand::Join {
                name,
                address: store.address,
                zone: zone.to_owned(),
                incarnation: store.incarnation,
                founding: store.founding,
            })
        });
        joins.collect()
    }

    fn activations(&self) -> impl Iterator<Item = StoreCommand> {
        let members = self.view().members.iter();
        members
            .filter(|(_, member)| member.state == StoreState::Joining)
            .map(|(name, member)| StoreCommand::Activate {
                name: name.clone(),
                incarnation: member.incarnation,
            })
    }

    /// Returns the command that marks a silent store as lost, so that the others take over its
    /// share. Of the stores that hold records, at most `tolerated_losses` are lost at the same time:
    /// if more are silent, this leader is probably partitioned from them, or the others could not
    /// take over their records.
    fn loss(&self, limits: &StoreLimits) -> Option<StoreCommand> {
        let mut silent = self
            .losable(limits)
            .filter(|name| self.silence(name) >= limits.store_timeout);
        let name = silent.next()?.clone();
        Some(StoreCommand::Lose { name })
    }

    /// Returns true if a store that has not completed the hand-over is likely to be marked as lost
    /// soon. The configuration is then settled once without it, rather than first with it.
    fn expects_loss(&self, limits: &StoreLimits) -> bool {
        self.losable(limits).any(|name| {
            !self.has_handed_over(name) && self.silence(name) >= limits.store_timeout / 4
        })
    }

    /// Returns the writable stores that may be marked as lost if they are silent.
    fn losable(&self, limits: &StoreLimits) -> impl Iterator<Item = &StoreName> {
        let view = self.view();
        let members = view.members.iter();
        let lost = members
            .filter(|(name, member)| member.state == StoreState::Lost && view.is_settled(name));
        let may_lose_settled = lost.count() < limits.tolerated_losses;
        let may_lose_any = view.writable().count() > limits.copies;
        view.writable()
            .map(|(name, _)| name)
            .filter(move |name| may_lose_any && (may_lose_settled || !view.is_settled(name)))
    }

    /// Returns the time since the last heartbeat of a store, or since this member leads.
    fn silence(&self, name: &StoreName) -> Duration {
        let presence = self.last_presence(name);
        presence.map_or(self.now.since(self.leads_since), |presence| {
            presence.silence
        })
    }

    /// Returns a command that makes a store join again if all stores are active, because a
    /// configuration is settled only by the activation or removal of a store.
    fn reset(&self, limits: &StoreLimits) -> Option<StoreCommand> {
        let view = self.view();
        let mut states = view.members.values().map(|member| member.state);
        let is_stuck = states.all(|state| state == StoreState::Active);
        if !is_stuck || view.writable().count() <= limits.copies {
            return None;
        }
        let stores = view.writable().map(|(name, _)| name);
        let name = stores.min_by_key(|name| (view.is_settled(name), *name))?;
        Some(StoreCommand::Lose { name: name.clone() })
    }
}

/// Adds the names with the present time unless they are known, and removes all others.
fn follow<'name>(
    since: &mut BTreeMap<StoreName, Timestamp>,
    names: impl Iterator<Item = &'name StoreName>,
    now: Timestamp,
) {
    let names: Vec<&StoreName> = names.collect();
    since.retain(|name, _| names.binary_search(&name).is_ok());
    for name in names {
        since.entry(name.clone()).or_insert(now);
    }
}
