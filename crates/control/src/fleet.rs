//! What a member knows of the fleet around it, and what the leader does about members and turn
//! stores that come and go.

use crate::config::ManagedConfig;
use crate::errors::ControlError;
use crate::machine::{CONFIGURATION_GROUP, LoggedCommand, encode};
use crate::member_plan::{MemberPlan, MemberStep};
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

/// Soft state about the fleet. A restart loses it, and the processes' next words restore it.
#[derive(Debug, Default)]
pub(crate) struct FleetDesk {
    pub(crate) presence: PresenceTable,
    /// What gateways see of the replicas.
    pub(crate) replica_stats: StatsTable,
    pub(crate) observers: ObserverTable,
    pub(crate) list: ListHistory,
    /// Gateways that take callers, as the leader has summed them; 0 while that is not known.
    pub(crate) gateways: u32,
    /// What the gateways of each zone have to do, and how many of them callers are told of.
    pub(crate) zones: BTreeMap<String, ZoneState>,
    candidates: BTreeMap<Peer, Timestamp>,
    /// Version of the document that this member applied last, and when it did.
    document_version: u64,
    pub(crate) document_since: Timestamp,
}

/// What this member knows of a zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneState {
    pub(crate) load: GatewayLoad,
    pub(crate) named: AdvertisedCount,
}

impl FleetDesk {
    fn follow_zones(&mut self, now: Timestamp, limit: Duration) {
        let loads = self.presence.zone_loads(now, limit);
        self.zones.retain(|zone, _| loads.contains_key(zone));
        for (zone, load) in loads {
            let state = self.zones.entry(zone).or_default();
            state.named.follow(&load, now);
            state.load = load;
        }
    }

    pub(crate) fn note_document(&mut self, version: u64, now: Timestamp) {
        if self.document_version != version {
            self.document_version = version;
            self.document_since = now;
        }
    }
}

impl<D: Disk> ControlNode<D> {
    /// The peer that should ask the others to be let in: this one, when no leader is heard.
    #[must_use]
    pub fn wants_to_join(&self) -> Option<Peer> {
        let managed = self.config.managed.as_ref()?;
        let unheard = self.now.since(self.configuration_heard_at) >= managed.join_after;
        (unheard && !self.leads(CONFIGURATION_GROUP)).then_some(self.identity.peer)
    }

    pub(crate) fn on_join(&mut self, peer: Peer) -> Response {
        let leads = self.leads(CONFIGURATION_GROUP);
        if leads {
            self.desk.candidates.insert(peer, self.now);
            return Response::Done;
        }
        self.configuration()
            .map_or(Response::Done, crate::group::Group::not_leader)
    }

    /// What the leader does about members and stores that come and go.
    pub(crate) fn keep_fleet(&mut self) -> Result<(), ControlError> {
        let Some(managed) = self.config.managed.clone() else {
            return Ok(());
        };
        self.desk.presence.expire(self.now, managed.forget_after);
        self.count_gateways();
        let limit = self.resolution_time();
        self.desk.follow_zones(self.now, limit);
        let has_neighbours = !self.neighbours().is_empty();
        self.desk.replica_stats.set_has_zone_peers(has_neighbours);
        let sights_limit = self.sights_limit();
        self.desk.replica_stats.expire(self.now, sights_limit);
        let now = self.now;
        self.desk
            .candidates
            .retain(|_, asked| now.since(*asked) < managed.forget_after);
        if !self.leads(CONFIGURATION_GROUP) {
            return Ok(());
        }
        self.keep_members(&managed);
        for command in self.next_store_commands(&managed) {
            let command = encode("a store command", &LoggedCommand::Store(command))?;
            self.propose(CONFIGURATION_GROUP, command, None);
        }
        Ok(())
    }

    fn keep_members(&mut self, managed: &ManagedConfig) {
        let now = self.now;
        let candidates: Vec<Peer> = self.desk.candidates.keys().copied().collect();
        let leaving = self.leaving_members();
        let Some(group) = self.groups.get_mut(&CONFIGURATION_GROUP) else {
            return;
        };
        let plan = MemberPlan {
            raft: &group.raft,
            candidates: &candidates,
            leaving: &leaving,
            managed,
        };
        match plan.next_step() {
            None => {}
            Some(MemberStep::TransferLeadership(successor)) => {
                // A refusal means that leadership is already being handed over.
                let _ = group.raft.transfer_leadership(successor, now);
            }
            Some(MemberStep::Change(change)) => {
                // Refused while an earlier change is under way; the next round tries again.
                let admitted = match &change {
                    MembershipChange::AddLearners(peers) => peers.clone(),
                    _ => BTreeSet::new(),
                };
                if group.raft.propose_membership(change, now).is_ok() {
                    self.desk
                        .candidates
                        .retain(|peer, _| !admitted.contains(peer));
                }
            }
        }
    }

    /// Members on machines whose turn store was told to go: the whole machine goes with it.
    pub(crate) fn leaving_members(&self) -> BTreeSet<MemberId> {
        let Some(state) = self.configuration().and_then(|group| group.machine.state()) else {
            return BTreeSet::new();
        };
        let registry = &state.stores;
        let in_view = registry
            .view()
            .members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Leaving)
            .map(|(_, member)| member.address);
        // A store that has gone from the view says its word until its machine is taken away.
        let gone = self
            .desk
            .presence
            .stores(self.now)
            .filter(|heard| {
                registry
                    .retirement(&StoreName(heard.name.to_owned()))
                    .is_some()
            })
            .map(|heard| heard.store.address);
        in_view
            .chain(gone)
            .filter_map(|address| member_at(address.ip()))
            .collect()
    }

    /// Whether a member on the machine of that address still belongs to the group.
    fn has_member_at(&self, address: SocketAddr) -> bool {
        let Some(group) = self.configuration() else {
            return false;
        };
        let at_address = member_at(address.ip());
        let mut peers = group.raft.membership().peers();
        peers.any(|peer| Some(peer.member) == at_address)
    }

    /// Stores that have come are all let in at once: one after the other, a large fleet would be
    /// without most of them for longer than its start may take. Everything else is done one step
    /// at a time.
    fn next_store_commands(&self, managed: &ManagedConfig) -> Vec<StoreCommand> {
        let joins = self.joining_stores(managed);
        if !joins.is_empty() {
            return joins;
        }
        self.next_store_command(managed).into_iter().collect()
    }

    fn joining_stores(&self, managed: &ManagedConfig) -> Vec<StoreCommand> {
        let Some(state) = self.configuration().and_then(|group| group.machine.state()) else {
            return Vec::new();
        };
        let view = state.stores.view();
        let joins = self.desk.presence.stores(self.now).filter_map(|heard| {
            let LastStorePresence { zone, store, .. } = heard;
            let name = StoreName(heard.name.to_owned());
            if heard.silence >= managed.store_silence
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
        let view = self.configuration()?.machine.state()?.stores.view();
        self.filled_store(view)
            .or_else(|| self.emptied_store(view))
            .or_else(|| self.silent_store(view, managed))
            .or_else(|| self.forgotten_store(view))
    }

    /// The last word of a store. One that this member never heard counts as silent since the
    /// member leads.
    fn store_word(&self, name: &StoreName) -> Option<LastStorePresence<'_>> {
        let mut stores = self.desk.presence.stores(self.now);
        stores.find(|heard| heard.name == name.0)
    }

    /// Whether every store that may hold something has handed over for the view of `epoch`.
    fn all_handed_over(&self, view: &StoreView, epoch: u64, except: &StoreName) -> bool {
        let holds = |state| matches!(state, StoreState::Active | StoreState::Leaving);
        view.members
            .iter()
            .filter(|(name, member)| *name != except && holds(member.state))
            .all(|(name, _)| {
                self.store_word(name)
                    .is_some_and(|heard| heard.store.handed_over_epoch >= epoch)
            })
    }

    /// A store that was passed over, that nobody has heard since, and whose share the others have
    /// taken over: as long as it stays in the view, nobody can be sure that a turn is nowhere.
    /// Should it come back, it joins anew.
    fn forgotten_store(&self, view: &StoreView) -> Option<StoreCommand> {
        if view.members.values().any(is_joining) {
            return None;
        }
        view.members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Lost)
            .filter(|(name, _)| self.store_word(name).is_none())
            .find(|(name, member)| self.all_handed_over(view, member.since_epoch, name))
            .map(|(name, _)| StoreCommand::Remove { name: name.clone() })
    }

    fn filled_store(&self, view: &StoreView) -> Option<StoreCommand> {
        view.members
            .iter()
            .filter(|(_, member)| is_joining(member))
            .find(|(name, member)| self.all_handed_over(view, member.since_epoch, name))
            .map(|(name, member)| StoreCommand::Activate {
                name: name.clone(),
                incarnation: member.incarnation,
            })
    }

    /// A store that is to go, whose share the others have taken over and whose machine holds no
    /// member any more: once it is said to be empty, the machine and its disk are taken away.
    fn emptied_store(&self, view: &StoreView) -> Option<StoreCommand> {
        if view.members.values().any(is_joining) {
            return None;
        }
        let nobody = StoreName::default();
        view.members
            .iter()
            .filter(|(_, member)| member.state == StoreState::Leaving)
            .filter(|(_, member)| !self.has_member_at(member.address))
            .find(|(_, member)| self.all_handed_over(view, member.since_epoch, &nobody))
            .map(|(name, _)| StoreCommand::Remove { name: name.clone() })
    }

    /// A store that is silent for long is passed over as long as enough others are there, and no
    /// more of them at once than may be lost. Where more are silent, the leader is cut off from
    /// them rather than they are gone: gateways may still reach them, and others could take over
    /// nothing from them.
    fn silent_store(&self, view: &StoreView, managed: &ManagedConfig) -> Option<StoreCommand> {
        let members = view.members.values();
        let lost = members.filter(|member| member.state == StoreState::Lost);
        let may_lose = lost.count() < managed.tolerated_losses();
        if !may_lose || view.writable().count() <= managed.store_copies {
            return None;
        }
        let leading_long = self
            .leads_since
            .is_some_and(|since| self.now.since(since) >= managed.store_silence);
        view.writable()
            .find(|(name, _)| match self.store_word(name) {
                Some(heard) => heard.silence >= managed.store_silence,
                None => leading_long,
            })
            .map(|(name, _)| StoreCommand::Lose { name: name.clone() })
    }
}

/// Whether a store is still being filled.
fn is_joining(member: &StoreMember) -> bool {
    member.state == StoreState::Joining
}

/// The member on the machine of that address. Members are named by their IP numbers.
fn member_at(ip: IpAddr) -> Option<MemberId> {
    match ip {
        IpAddr::V4(ip) => Some(MemberId(u32::from(ip))),
        IpAddr::V6(_) => None,
    }
}
