//! What a member knows of the fleet around it: observers, presence, backends, and what the
//! leader does about members and turn stores that come and go.

use crate::config::ManagedConfig;
use crate::errors::ControlError;
use crate::machine::{CONFIGURATION_GROUP, LoggedCommand, encode};
use crate::member_plan::{MemberPlan, MemberStep};
use crate::node::ControlNode;
use crate::protocol::{RequestToken, Response};
use luglink_fleet::{
    BackendHistory, BackendList, BackendReport, HeardStore, Known, MemberList, MemberPlace,
    MembersStamp, News, Observation, PresenceTable, RetireState, StoreCommand, StoreMember,
    StoreName, StoreState, StoreView,
};
use luglink_raft::{MembershipChange, Peer};
use luglink_storage::Disk;
use luglink_types::{MemberId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Silence after which a process counts as gone for those who ask where to go, in times that an
/// observer waits. One late word must not take a process out; a frozen one should be out soon,
/// because callers go on to wait for it for as long as they are told of it.
const SILENT_HOLDS: f64 = 2.5;

/// Whole lists of backends that are sent at once. Each may be as large as the deployment, and
/// after a start every gateway wants one: sent together they would fill this process's memory.
const WHOLE_LISTS_AT_ONCE: usize = 4;

/// An observer that waits for news.
#[derive(Clone, Debug)]
struct Observer {
    /// Name of its process, which asks one question at a time.
    name: String,
    token: RequestToken,
    known: Known,
    /// Whether it counts on this member to be told of a new document at once.
    tells_first: bool,
    until: Timestamp,
}

/// Soft state about the fleet. A restart loses it, and the processes' next words restore it.
#[derive(Debug, Default)]
pub(crate) struct FleetDesk {
    presence: PresenceTable,
    observers: Vec<Observer>,
    backends: BackendHistory,
    backends_seen: Timestamp,
    candidates: BTreeMap<Peer, Timestamp>,
    /// Version of the document that this member applied last, and when it did.
    document_version: u64,
    document_since: Timestamp,
}

impl FleetDesk {
    fn note_document(&mut self, version: u64, now: Timestamp) {
        if self.document_version != version {
            self.document_version = version;
            self.document_since = now;
        }
    }

    pub(crate) fn forget_client(&mut self, client: u64) {
        self.observers
            .retain(|observer| observer.token.client != client);
    }

    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.observers.iter().map(|observer| observer.until).min()
    }

    pub(crate) fn set_backends(&mut self, list: BackendList, now: Timestamp) {
        self.backends.push(list);
        self.backends_seen = now;
    }
}

impl<D: Disk> ControlNode<D> {
    /// The gateways that take callers, with their zones.
    #[must_use]
    pub fn ready_gateways(&self) -> Vec<(String, SocketAddr)> {
        let limit = self.observe_hold().mul_f64(SILENT_HOLDS);
        self.desk
            .presence
            .ready_gateways(self.now, limit)
            .map(|(zone, gateway)| (zone.to_owned(), gateway.address))
            .collect()
    }

    /// Version of the configuration document that this member has applied; 0 for none.
    #[must_use]
    pub fn document_version(&self) -> u64 {
        let state = self.configuration().and_then(|group| group.machine.state());
        state.map_or(0, |state| state.document.version())
    }

    /// The peer that should ask the others to be let in: this one, when no leader is heard.
    #[must_use]
    pub fn wants_to_join(&self) -> Option<Peer> {
        let managed = self.config.managed.as_ref()?;
        let unheard = self.now.since(self.configuration_heard_at) >= managed.join_after;
        (unheard && !self.leads(CONFIGURATION_GROUP)).then_some(self.identity.peer)
    }

    pub(crate) fn on_observe(&mut self, token: RequestToken, observation: Observation) {
        let hold = self.observe_hold();
        let name = observation.presence.name.clone();
        // Who asks again has given its earlier question up.
        let asks_again =
            |other: &Observer| other.name == name && other.token.client == token.client;
        self.desk.observers.retain(|other| !asks_again(other));
        self.desk.presence.note(observation.presence, self.now);
        self.desk.observers.push(Observer {
            name,
            token,
            known: observation.known,
            tells_first: observation.tells_first,
            until: self.now.plus(hold),
        });
    }

    /// Time for which callers may rely on an answer where to go: about as long as the silence of
    /// a gateway goes unnoticed anyway, so that questions do not grow with the fleet either.
    #[must_use]
    pub fn resolution_time(&self) -> Duration {
        self.observe_hold().mul_f64(SILENT_HOLDS)
    }

    /// Longest time that an observer waits for news.
    fn observe_hold(&self) -> Duration {
        let managed = self.config.managed_or_default();
        let processes = u32::try_from(self.desk.presence.len()).unwrap_or(u32::MAX);
        let shared = managed.observe_hold_per_process.saturating_mul(processes);
        let hold = managed.observe_hold.max(shared);
        hold.min(managed.longest_observe_hold)
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

    /// Answers observers that have news or have waited long enough.
    pub(crate) fn answer_observers(&mut self) {
        let now = self.now;
        self.desk.note_document(self.document_version(), now);
        let mut whole_lists = 0;
        let observers = std::mem::take(&mut self.desk.observers);
        for observer in observers {
            let is_due = now >= observer.until || self.has_news(&observer);
            let wants_list = is_due && self.wants_whole_list(&observer.known);
            if !is_due || (wants_list && whole_lists >= WHOLE_LISTS_AT_ONCE) {
                self.desk.observers.push(observer);
                continue;
            }
            whole_lists += usize::from(wants_list);
            let news = self.news_after(&observer);
            self.reply(observer.token, Response::News(Box::new(news)));
        }
    }

    fn wants_whole_list(&self, known: &Known) -> bool {
        let known = known.backends.filter(|_| self.polls());
        known.is_some_and(|known| self.desk.backends.lacks(known))
    }

    /// Whether this member hears a leader that a quorum follows, and has applied what that
    /// leader had committed.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let Some(group) = self.configuration() else {
            return false;
        };
        if group.raft.is_leader() {
            let committed = group.raft.log().term_at(group.raft.commit_index());
            return committed == Some(group.raft.term());
        }
        let freshness = self.config.managed_or_default().freshness;
        self.configuration_heard_at > Timestamp::ZERO
            && self.now.since(self.configuration_heard_at) < freshness
    }

    /// Whether this member tells an observer of the document in force. The members that an
    /// observer names for it do so at once; the others wait until those have had time, in case
    /// that they can't. An observer that has just started is told by all.
    fn tells_document(&self, observer: &Observer) -> bool {
        let has_started = observer.known.is_current && observer.known.document_version > 0;
        let patience = self.config.managed_or_default().document_patience;
        !has_started || observer.tells_first || self.now.since(self.desk.document_since) >= patience
    }

    /// The control members, as observers are told of them. A member runs beside the turn store of
    /// its address, which says in which zone that is.
    fn member_list(&self) -> MemberList {
        let Some(group) = self.configuration() else {
            return MemberList::default();
        };
        let zones: BTreeMap<IpAddr, &str> = group
            .machine
            .state()
            .map(|state| state.stores.view().members.values())
            .into_iter()
            .flatten()
            .map(|store| (store.address.ip(), store.zone.as_str()))
            .collect();
        let place = |peer: Peer| {
            let ip = Ipv4Addr::from(peer.member.0);
            let zone = zones.get(&IpAddr::V4(ip)).copied().unwrap_or_default();
            MemberPlace {
                ip,
                zone: zone.to_owned(),
            }
        };
        let leader = group.raft.leader();
        MemberList {
            stamp: self.members_stamp(),
            leader: leader.map(|peer| Ipv4Addr::from(peer.member.0)),
            places: group.raft.membership().peers().map(place).collect(),
        }
    }

    fn members_stamp(&self) -> MembersStamp {
        let Some(group) = self.configuration() else {
            return MembersStamp::default();
        };
        let (membership, _) = group.raft.log().membership();
        let state = group.machine.state();
        MembersStamp {
            term: group.raft.term(),
            knows_leader: group.raft.leader().is_some(),
            membership,
            stores: state.map_or(0, |state| state.stores.view().epoch),
        }
    }

    fn has_news(&self, observer: &Observer) -> bool {
        let known = &observer.known;
        let Some(state) = self.configuration().and_then(|group| group.machine.state()) else {
            return false;
        };
        let newer_backends = self.desk.backends.latest().is_some_and(|list| {
            self.polls()
                && known
                    .backends
                    .is_some_and(|held| held != list.fingerprint())
        });
        (!known.is_current && self.is_fresh())
            || self.members_stamp() > known.members
            || (state.document.version() > known.document_version && self.tells_document(observer))
            || state.stores.view().epoch > known.store_epoch
            || newer_backends
    }

    fn news_after(&self, observer: &Observer) -> News {
        let known = &observer.known;
        let mut news = News {
            fresh: self.is_fresh(),
            gateways: self.counted_gateways(),
            ..News::default()
        };
        let Some(group) = self.configuration() else {
            return news;
        };
        if self.members_stamp() > known.members {
            news.members = Some(self.member_list());
        }
        if let Some(state) = group.machine.state() {
            if state.document.version() > known.document_version && self.tells_document(observer) {
                news.document = state.document.held().cloned();
            }
            if state.stores.view().epoch > known.store_epoch {
                news.stores = Some(state.stores.view().clone());
            }
        }
        news.backends = self.backend_report(known);
        news
    }

    /// Number of gateways that take callers, at the one member that every gateway asks.
    fn counted_gateways(&self) -> u32 {
        if !self.leads(CONFIGURATION_GROUP) {
            return 0;
        }
        u32::try_from(self.ready_gateways().len()).unwrap_or(u32::MAX)
    }

    fn backend_report(&self, known: &Known) -> Option<BackendReport> {
        let known = known.backends?;
        let latest = self.desk.backends.latest().filter(|_| self.polls())?;
        Some(BackendReport {
            fingerprint: latest.fingerprint(),
            age: self.now.since(self.desk.backends_seen),
            update: self.desk.backends.update_from(known),
        })
    }

    /// Whether this member is the one that polls the platform's list. Several would have lists
    /// that differ by moments, and observers would be sent whole ones back and forth.
    #[must_use]
    pub fn polls(&self) -> bool {
        self.leads(CONFIGURATION_GROUP)
    }

    /// What the leader does about members and stores that come and go.
    pub(crate) fn keep_fleet(&mut self) -> Result<(), ControlError> {
        let Some(managed) = self.config.managed.clone() else {
            return Ok(());
        };
        self.desk.presence.expire(self.now, managed.forget_after);
        let now = self.now;
        self.desk
            .candidates
            .retain(|_, asked| now.since(*asked) < managed.forget_after);
        if !self.leads(CONFIGURATION_GROUP) {
            return Ok(());
        }
        self.keep_members(&managed);
        if let Some(command) = self.next_store_command(&managed) {
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
            Some(MemberStep::HandOver(successor)) => {
                // A refusal means that leadership is already being handed over.
                let _ = group.raft.transfer_leadership(successor, now);
            }
            Some(MemberStep::Change(change)) => {
                // Refused while an earlier change is under way; the next round tries again.
                if group.raft.propose_membership(change, now).is_ok()
                    && let MembershipChange::AddLearner(peer) = change
                {
                    self.desk.candidates.remove(&peer);
                }
            }
        }
    }

    /// Members on machines whose turn store was told to go: the whole machine goes with it.
    fn leaving_members(&self) -> BTreeSet<MemberId> {
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

    fn next_store_command(&self, managed: &ManagedConfig) -> Option<StoreCommand> {
        let state = self.configuration()?.machine.state()?;
        let view = state.stores.view();
        let joins = self.desk.presence.stores(self.now).find_map(|heard| {
            let HeardStore { zone, store, .. } = heard;
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
        joins
            .or_else(|| self.filled_store(view))
            .or_else(|| self.emptied_store(view))
            .or_else(|| self.silent_store(view, managed))
            .or_else(|| self.forgotten_store(view))
    }

    /// Silence of a store, and the newest view for which it has handed over. A store that this
    /// member never heard counts as silent since the member leads.
    fn store_word(&self, name: &StoreName) -> Option<(Duration, u64, u64)> {
        self.desk
            .presence
            .stores(self.now)
            .find(|heard| heard.name == name.0)
            .map(|heard| {
                let store = heard.store;
                (heard.silence, store.incarnation, store.handed_over_epoch)
            })
    }

    /// Whether every store that may hold something has handed over for the view of `epoch`.
    fn all_handed_over(&self, view: &StoreView, epoch: u64, except: &StoreName) -> bool {
        let holds = |state| matches!(state, StoreState::Active | StoreState::Leaving);
        view.members
            .iter()
            .filter(|(name, member)| *name != except && holds(member.state))
            .all(|(name, _)| {
                self.store_word(name)
                    .is_some_and(|(_, _, handed_over)| handed_over >= epoch)
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
                Some((silence, _, _)) => silence >= managed.store_silence,
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
