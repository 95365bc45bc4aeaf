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
    AdvertisedCount, GatewayLoad, ListHistory, PresenceTable, SettlementProgress, StatsTable,
    StoreName, StorePlanner, StoreSituation, StoreState,
};
use luglink_raft::{LogIndex, MembershipChange, Peer, Term};
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
    store_planner: StorePlanner,
    /// Term in which this member last proposed changes of the registry of turn stores, and the end of
    /// the log after them.
    store_commands_end: Option<(Term, LogIndex)>,
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
        if self.has_uncommitted_store_commands() {
            return Ok(());
        }
        self.maintain_stores(&managed)
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

    /// Proposes the next changes of the registry of turn stores. While earlier ones are not
    /// committed, they may still change the view, and nothing is proposed.
    fn maintain_stores(&mut self, managed: &ManagedConfig) -> Result<(), ControlError> {
        let mut planner = std::mem::take(&mut self.fleet.store_planner);
        let commands = self
            .store_situation(&|address| self.has_member_at(address))
            .map(|situation| planner.commands(&situation, &managed.store_limits()));
        self.fleet.store_planner = planner;
        let commands = commands.unwrap_or_default();
        if commands.is_empty() {
            return Ok(());
        }
        for command in commands {
            let command = encode("a store command", &LoggedCommand::Store(command))?;
            self.propose(CONFIGURATION_GROUP, command, None);
        }
        let raft = self.configuration().map(|group| &group.raft);
        self.fleet.store_commands_end = raft.map(|raft| (raft.term(), raft.log().last_index()));
        Ok(())
    }

    fn has_uncommitted_store_commands(&self) -> bool {
        let Some(group) = self.configuration() else {
            return false;
        };
        let end = self.fleet.store_commands_end;
        end.is_some_and(|(term, index)| {
            term == group.raft.term() && group.raft.commit_index() < index
        })
    }

    /// Returns what this member knows about the turn stores, if it leads.
    fn store_situation<'node>(
        &'node self,
        hosts_member: &'node dyn Fn(SocketAddr) -> bool,
    ) -> Option<StoreSituation<'node>> {
        Some(StoreSituation {
            registry: &self.configuration()?.state_machine.state()?.stores,
            presence: &self.fleet.presence,
            hosts_member,
            leads_since: self.leads_since?,
            now: self.now,
        })
    }

    /// Returns the progress of the hand-over between turn stores; `None` if this member does not
    /// lead or the configuration of the stores is settled.
    #[must_use]
    pub fn settlement_progress(&self) -> Option<SettlementProgress> {
        let managed = self.config.managed.as_ref()?;
        let hosts_member = |address| self.has_member_at(address);
        let situation = self.store_situation(&hosts_member)?;
        let planner = &self.fleet.store_planner;
        planner.progress(&situation, &managed.store_limits())
    }
}

/// Returns the member on the machine with this address. The id of a member is its IPv4 address.
fn member_at(ip: IpAddr) -> Option<MemberId> {
    match ip {
        IpAddr::V4(ip) => Some(MemberId(u32::from(ip))),
        IpAddr::V6(_) => None,
    }
}
