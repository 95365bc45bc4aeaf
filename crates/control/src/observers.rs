//! Observers of a member: what they are told, when, and who of them is there.

use crate::machine::CONFIGURATION_GROUP;
use crate::node::ControlNode;
use crate::protocol::{RequestToken, Response};
use luglink_fleet::{
    BackendReport, GatewayPlace, GatewayPresence, Known, MemberList, MemberPlace, MembersStamp,
    News, Observation, VersionedDocument,
};
use luglink_raft::Peer;
use luglink_storage::Disk;
use luglink_types::Timestamp;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
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
pub(crate) struct Observer {
    /// Name of its process, which asks one question at a time.
    name: String,
    pub(crate) token: RequestToken,
    known: Known,
    /// Whether it counts on this member to be told of a new document at once.
    tells_first: bool,
    pub(crate) until: Timestamp,
}

impl<D: Disk> ControlNode<D> {
    /// The gateways that take callers, with their zones.
    #[must_use]
    pub fn ready_gateways(&self) -> Vec<GatewayPlace> {
        let gateways = self.heard_gateways().map(|(zone, gateway)| GatewayPlace {
            zone: zone.to_owned(),
            address: gateway.address,
        });
        gateways.collect()
    }

    fn heard_gateways(&self) -> impl Iterator<Item = (&str, &GatewayPresence)> {
        let presence = &self.desk.presence;
        presence.ready_gateways(self.now, self.resolution_time())
    }

    /// Version of the configuration document that this member has applied; 0 for none.
    #[must_use]
    pub fn document_version(&self) -> u64 {
        let state = self.configuration().and_then(|group| group.machine.state());
        state.map_or(0, |state| state.document.version())
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

    /// Answers observers that have news or have waited long enough.
    pub(crate) fn answer_observers(&mut self) {
        let now = self.now;
        self.desk.note_document(self.document_version(), now);
        if self.desk.observers.is_empty() {
            return;
        }
        // The same for all observers, and dear: the log is searched for it.
        let members = self.members_stamp();
        let mut whole_lists = 0;
        let observers = std::mem::take(&mut self.desk.observers);
        for observer in observers {
            let is_due = now >= observer.until || self.has_news(&observer, members);
            let wants_list = is_due && self.wants_whole_list(&observer.known);
            if !is_due || (wants_list && whole_lists >= WHOLE_LISTS_AT_ONCE) {
                self.desk.observers.push(observer);
                continue;
            }
            whole_lists += usize::from(wants_list);
            let news = self.news_after(&observer, members);
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

    /// The document in force, when it is new for an observer and this member tells it.
    fn new_document(&self, observer: &Observer) -> Option<&VersionedDocument> {
        let state = self.configuration()?.machine.state()?;
        let is_newer = state.document.version() > observer.known.document_version;
        let is_told = is_newer && self.tells_document(observer);
        state.document.held().filter(|_| is_told)
    }

    /// The control members, as observers are told of them. A member runs beside the turn store of
    /// its address, which says in which zone that is.
    fn member_list(&self, stamp: MembersStamp) -> MemberList {
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
            stamp,
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

    fn has_news(&self, observer: &Observer, members: MembersStamp) -> bool {
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
            || members > known.members
            || self.new_document(observer).is_some()
            || state.stores.view().epoch > known.store_epoch
            || newer_backends
    }

    fn news_after(&self, observer: &Observer, members: MembersStamp) -> News {
        let known = &observer.known;
        let mut news = News {
            fresh: self.is_fresh(),
            gateways: self.counted_gateways(),
            ..News::default()
        };
        let Some(group) = self.configuration() else {
            return news;
        };
        if members > known.members {
            news.members = Some(self.member_list(members));
        }
        if let Some(state) = group.machine.state() {
            news.document = self.new_document(observer).cloned();
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
        u32::try_from(self.heard_gateways().count()).unwrap_or(u32::MAX)
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
}
