//! Soft state about the fleet, and the leader's maintenance of the members and turn stores of a
//! managed fleet.

use crate::config::ManagedConfig;
use crate::errors::ControlError;
use crate::machine::{CONFIGURATION_GROUP, LoggedCommand, encode};
use crate::member_plan::{MembershipPlanner, MembershipStep};
use crate::node::ControlNode;
use crate::observer_table::ObserverTable;
use crate::protocol::Response;
use luglink_fleet::{
    AdvertisedCount, GatewayLoad, LastStorePresence, ListHistory, PresenceTable, RetireState,
    StatsTable, StoreCommand, StoreMember, StoreName, StoreState, StoreView,
};
use luglink_raft::{MembershipChange, Peer};
use luglink_storage::Disk;
use luglink_types::{MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Soft state about the fleet. It is lost at a restart and restored by the next reports of the
/// processes.
#[derive(Debug, Default)]
pub(crate) struct FleetState {
    pub(crate) presence: PresenceTable,
    /// Statistics of the replicas that gateways and other members report.
    pub(crate) replica_stats: StatsTable,
    pub(crate) observers: ObserverTable,
    pub(crate) list: ListHistory,
    /// Number of ready gateways in the fleet, as the leader has counted them; 0 if unknown.
    pub(crate) gateway_count: u32,
    /// State of each zone that has gateways.
    pub(crate) zones: BTreeMap<String, ZoneState>,
    /// Peers that ask for admission, with the time of their last request.
    candidates: BTreeMap<Peer, Timestamp>,
    /// Version of the document that this member applied last.
    document_version: u64,
    /// Time at which this member applied that document.
    pub(crate) document_applied_at: Timestamp,
}

/// Load of the gateways of a zone, and the number of them that are advertised to callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneState {
    pub(crate) load: GatewayLoad,
    pub(crate) advertised: AdvertisedCount,
}

impl FleetState {
    fn update_zone_loads(&mut self, now: Timestamp, limit: Duration) {
        let loads = self.presence.zone_loads(now, limit);
        self.zones.retain(|zone, _| loads.contains_key(zone));
        for (zone, load) in loads {
            let state = self.zones.entry(zone).or_default();
            state.advertised.follow(&load, now);
            state.load = load;
        }
    }

    pub(crate) fn record_document_version(&mut self, version: u64, now: Timestamp) {
        if self.document_version != version {
            self.document_version = version;
            self.document_applied_at = now;
        }
    }
}

impl<D: Disk> ControlNode<D> {
    /// Returns the id and incarnation of this member if it should ask for admission, because no
    /// leader has confirmed its state for `join_timeout`.
    #[must_use]
    pub fn wants_to_join(&self) -> Option<Peer> {
        let managed = self.config.managed.as_ref()?;
        let is_stale = self.now.since(self.configuration_confirmed_at) >= managed.join_timeout;
        (is_stale && !self.leads(CONFIGURATION_GROUP)).then_some(self.identity.peer)
    }

    pub(crate) fn on_join(&mut self, peer: Peer) -> Response {
        let leads = self.leads(CONFIGURATION_GROUP);
        if leads {
            self.fleet.candidates.insert(peer, self.now);
            return Response::Done;
        }
        self.configuration()
            .map_or(Response::Done, crate::group::Group::not_leader)
    }

    /// Expires the soft state. On the leader, also proposes the next changes of the membership and
    /// of the registry of turn stores.
    pub(crate) fn maintain_fleet(&mut self) -> Result<(), ControlError> {
        let Some(managed) = self.config.managed.clone() else {
            return Ok(());
        };
        self.fleet.presence.expire(self.now, managed.forget_timeout);
        self.update_gateway_count();
        let limit = self.resolution_validity();
        self.fleet.update_zone_loads(self.now, limit);
        let has_zone_peers = !self.zone_peers().is_empty();
        self.fleet.replica_stats.set_has_zone_peers(has_zone_peers);
        let stats_timeout = self.stats_timeout();
        self.fleet.replica_stats.expire(self.now, stats_timeout);
        let now = self.now;
        self.fleet
            .candidates
            .retain(|_, requested_at| now.since(*requested_at) < managed.forget_timeout);
        if !self.leads(CONFIGURATION_GROUP) {
            return Ok(());
        }
        self.maintain_members(&managed);
        for command in self.due_store_commands(&managed) {
            let command = encode("a store command", &LoggedCommand::Store(command))?;
            self.propose(CONFIGURATION_GROUP, command, None);
        }
        Ok(())
    }

    fn maintain_members(&mut self, managed: &ManagedConfig) {
        let now = self.now;
        let candidates: Vec<Peer> = self.fleet.candidates.keys().copied().collect();
        let leaving = self.leaving_members();
        let Some(group) = self.groups.get_mut(&CONFIGURATION_GROUP) else {
            return;
        };
        let plan = MembershipPlanner {
            raft: &group.raft,
            candidates: &candidates,
            leaving: &leaving,
            managed,
        };
        match plan.next_step() {
            None => {}
            Some(MembershipStep::TransferLeadership(successor)) => {
                // Fails only while a transfer of leadership is already in progress.
                let _ = group.raft.transfer_leadership(successor, now);
            }
            Some(MembershipStep::Change(change)) => {
                // Fails while an earlier change is in progress; the next round retries it.
                let admitted = match &change {
                    MembershipChange::AddLearners(peers) => peers.clone(),
                    _ => BTreeSet::new(),
                };
                if group.raft.propose_membership(change, now).is_ok() {
                    self.fleet
                        .candidates
                        .retain(|peer, _| !admitted.contains(peer));
                }
            }
        }
    }

    /// Members on machines whose turn store is being retired or has been. Retirement of a store
    /// takes the whole machine out of service.
    pub(crate) fn leaving_members(&self) -> BTreeSet<MemberId> {
        let Some(state) = self
            .configuration()
            .and_then(|group| group.state_machine.state())
        else {
            return BTreeSet::new();
        };
        let registry = &state.stores;
        let in_view = registry
            .view()
            .members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Leaving)
            .map(|(_, member)| member.address);
        // A store that was removed from the view reports until its machine is shut down.
        let removed = self
            .fleet
            .presence
            .stores(self.now)
            .filter(|presence| {
                registry
                    .retirement(&StoreName(presence.name.to_owned()))
                    .is_some()
            })
            .map(|presence| presence.store.address);
        in_view
            .chain(removed)
            .filter_map(|address| member_at(address.ip()))
            .collect()
    }

    /// Returns true if a member on the machine with this address belongs to the group.
    fn has_member_at(&self, address: SocketAddr) -> bool {
        let Some(group) = self.configuration() else {
            return false;
        };
        let at_address = member_at(address.ip());
        let mut peers = group.raft.membership().peers();
        peers.any(|peer| Some(peer.member) == at_address)
    }

    /// Returns the commands to propose in this round. All new stores join together; one per round
    /// would leave a large fleet without most of its stores for longer than its start may take.
    /// All other changes are made one at a time.
    fn due_store_commands(&self, managed: &ManagedConfig) -> Vec<StoreCommand> {
        let joins = self.join_commands(managed);
        if !joins.is_empty() {
            return joins;
        }
        self.next_store_command(managed).into_iter().collect()
    }

    fn join_commands(&self, managed: &ManagedConfig) -> Vec<StoreCommand> {
        let Some(state) = self
            .configuration()
            .and_then(|group| group.state_machine.state())
        else {
            return Vec::new();
        };
        let view = state.stores.view();
        let joins = self.fleet.presence.stores(self.now).filter_map(|presence| {
            let LastStorePresence { zone, store, .. } = presence;
            let name = StoreName(presence.name.to_owned());
            if presence.silence >= managed.store_timeout
                || state.stores.retirement(&name) == Some(RetireState::Completed)
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

    fn next_store_command(&self, managed: &ManagedConfig) -> Option<StoreCommand> {
        let view = self.configuration()?.state_machine.state()?.stores.view();
        self.next_activation(view)
            .or_else(|| self.next_retired_removal(view))
            .or_else(|| self.next_loss(view, managed))
            .or_else(|| self.next_lost_removal(view))
    }

    /// Returns the last presence of a store; `None` if this member has none.
    fn last_store_presence(&self, name: &StoreName) -> Option<LastStorePresence<'_>> {
        let mut stores = self.fleet.presence.stores(self.now);
        stores.find(|presence| presence.name == name.0)
    }

    /// Returns true if every store that may hold data, other than `except`, has completed its
    /// handover for the view of `epoch` or of a later one.
    fn all_handed_over(&self, view: &StoreView, epoch: u64, except: &StoreName) -> bool {
        let holds = |state| matches!(state, StoreState::Active | StoreState::Leaving);
        view.members
            .iter()
            .filter(|(name, member)| *name != except && holds(member.state))
            .all(|(name, _)| {
                self.last_store_presence(name)
                    .is_some_and(|presence| presence.store.handed_over_epoch >= epoch)
            })
    }

    /// Returns the removal of a lost store whose presence has expired and whose share the other
    /// stores have taken over. While a lost store is in the view, no lookup can conclude that a
    /// turn does not exist. A removed store that reports again joins again.
    fn next_lost_removal(&self, view: &StoreView) -> Option<StoreCommand> {
        if view.members.values().any(is_joining) {
            return None;
        }
        view.members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Lost)
            .filter(|(name, _)| self.last_store_presence(name).is_none())
            .find(|(name, member)| self.all_handed_over(view, member.since_epoch, name))
            .map(|(name, _)| StoreCommand::Remove { name: name.clone() })
    }

    /// Returns the activation of a joining store to which the other stores have handed over its
    /// share.
    fn next_activation(&self, view: &StoreView) -> Option<StoreCommand> {
        view.members
            .iter()
            .filter(|(_, member)| is_joining(member))
            .find(|(name, member)| self.all_handed_over(view, member.since_epoch, name))
            .map(|(name, member)| StoreCommand::Activate {
                name: name.clone(),
                incarnation: member.incarnation,
            })
    }

    /// Returns the removal of a leaving store whose share the other stores have taken over and
    /// whose machine runs no member of the group. After the removal the store is reported as
    /// empty, and its machine and disk are discarded.
    fn next_retired_removal(&self, view: &StoreView) -> Option<StoreCommand> {
        if view.members.values().any(is_joining) {
            return None;
        }
        let no_exception = StoreName::default();
        view.members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Leaving)
            .filter(|(_, member)| !self.has_member_at(member.address))
            .find(|(_, member)| self.all_handed_over(view, member.since_epoch, &no_exception))
            .map(|(name, _)| StoreCommand::Remove { name: name.clone() })
    }

    /// Returns the command that marks a silent store as lost, if more than `store_copies` stores
    /// are writable and fewer than `tolerated_losses` are lost. If more stores are silent, the
    /// leader is probably partitioned from them: gateways may still reach these stores, and the
    /// other stores could not take over their data.
    fn next_loss(&self, view: &StoreView, managed: &ManagedConfig) -> Option<StoreCommand> {
        let members = view.members.values();
        let lost = members.filter(|member| member.state == StoreState::Lost);
        let may_lose = lost.count() < managed.tolerated_losses();
        if !may_lose || view.writable().count() <= managed.store_copies {
            return None;
        }
        // A store without a report counts as silent from the time this member became leader.
        let leading_long = self
            .leads_since
            .is_some_and(|since| self.now.since(since) >= managed.store_timeout);
        view.writable()
            .find(|(name, _)| match self.last_store_presence(name) {
                Some(presence) => presence.silence >= managed.store_timeout,
                None => leading_long,
            })
            .map(|(name, _)| StoreCommand::Lose { name: name.clone() })
    }
}

/// Returns true if the store still receives its share from the other stores.
fn is_joining(member: &StoreMember) -> bool {
    member.state == StoreState::Joining
}

/// Returns the member on the machine with this address. The id of a member is its IPv4 address.
fn member_at(ip: IpAddr) -> Option<MemberId> {
    match ip {
        IpAddr::V4(ip) => Some(MemberId(u32::from(ip))),
        IpAddr::V6(_) => None,
    }
}
