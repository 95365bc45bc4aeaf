//! Observers of a member: what they are told, when, and who of them is there.

use crate::machine::CONFIGURATION_GROUP;
use crate::node::ControlNode;
use crate::observer_table::{NewsStamp, Observer, ObserverKey};
use crate::parts::{RequestParts, ResponseParts};
use crate::protocol::{RequestToken, Response};
use luglink_fleet::{
    AdvertisedCount, GatewayLocation, GatewayPresence, KnownList, MemberList, MemberLocation,
    MemberStats, MembersStamp, ObserverRequest, ObserverUpdate, RelayedPresence, StatsSource,
    VersionedDocument, ZoneStats,
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

/// Shortest time for which what a gateway saw counts: a late word is better than none.
const SHORTEST_SIGHTS_LIMIT: Duration = Duration::from_secs(1);

impl<D: Disk> ControlNode<D> {
    /// The gateways that take callers, with their zones.
    #[must_use]
    pub fn ready_gateways(&self) -> Vec<GatewayLocation> {
        let gateways = self
            .heard_gateways()
            .map(|(zone, gateway)| GatewayLocation {
                zone: zone.to_owned(),
                address: gateway.address,
            });
        gateways.collect()
    }

    /// How many gateways of a zone callers are told of.
    #[must_use]
    pub fn advertised_gateways(&self, zone: Option<&str>) -> AdvertisedCount {
        let state = zone.and_then(|zone| self.desk.zones.get(zone));
        state.map_or_else(AdvertisedCount::default, |zone| zone.named)
    }

    /// Number of gateways that take callers.
    #[must_use]
    pub fn ready_gateway_count(&self) -> u32 {
        u32::try_from(self.heard_gateways().count()).unwrap_or(u32::MAX)
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

    pub(crate) fn on_observe(
        &mut self,
        token: RequestToken,
        observation: ObserverRequest,
        parts: RequestParts,
    ) {
        let key = ObserverKey {
            client: token.client,
            name: observation.presence.name.clone(),
        };
        let is_counted_here = observation.is_counted_here;
        let zone = &observation.presence.zone;
        let counted_in = is_counted_here.then(|| zone.clone());
        let sights_of = counted_in.clone().filter(|_| parts.replica_stats.is_some());
        if let Some(replica_stats) = parts.replica_stats {
            let of = StatsSource {
                name: &observation.presence.name,
                zone,
                is_counted_here,
            };
            self.desk.replica_stats.note(of, replica_stats, self.now);
        }
        let presence = &mut self.desk.presence;
        presence.note(observation.presence, is_counted_here, self.now);
        let observer = Observer {
            token,
            known: observation.known,
            known_incarnations: parts.known_incarnations,
            sights_of,
            wants_document_at_once: observation.wants_document_at_once,
            counted_in,
            until: self.now.plus(self.observe_hold()),
        };
        self.desk.observers.insert(key, observer);
    }

    /// Words of gateways for the other members of this one's zone, which hear others.
    #[must_use]
    pub fn words_for_neighbours(&self) -> Vec<RelayedPresence> {
        let presence = &self.desk.presence;
        presence.direct_gateways(self.now, self.resolution_time())
    }

    /// Members to pass the words of gateways to.
    #[must_use]
    pub fn neighbours(&self) -> Vec<Ipv4Addr> {
        let own = Ipv4Addr::from(self.peer().member.0);
        self.member_list(MembersStamp::default()).zone_peers_of(own)
    }

    pub(crate) fn on_words(
        &mut self,
        words: Vec<RelayedPresence>,
        replica_stats: Option<MemberStats>,
    ) {
        if let Some(replica_stats) = replica_stats {
            self.desk
                .replica_stats
                .note_zone_peer(replica_stats, self.now);
        }
        for word in words {
            self.desk.presence.note_relayed(word, self.now);
        }
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
        // The same for all observers, and dear: the log is searched for it.
        let stamp = self.news_stamp();
        let mut ready = self.desk.observers.take_candidates(stamp);
        ready.retain(|key| self.has_news(key, stamp.members));
        ready.extend(self.desk.observers.due(now));
        for key in ready {
            self.answer(key, stamp.members);
        }
        for key in self.desk.observers.next_for_list() {
            self.answer(key, stamp.members);
        }
    }

    fn answer(&mut self, key: ObserverKey, members: MembersStamp) {
        let Some(observer) = self.desk.observers.get(&key) else {
            return;
        };
        let lacks_list = self.needs_large_update(observer.known.backends.as_ref());
        if lacks_list && !self.desk.observers.may_send_list() {
            self.desk.observers.wait_for_list(key);
            return;
        }
        let Some(observer) = self.desk.observers.remove(&key) else {
            return;
        };
        if lacks_list {
            self.desk.observers.list_is_sent(key);
        }
        let news = self.news_after(&observer, members);
        let parts = self.parts_beside(&observer, &news);
        self.reply_with_parts(
            observer.token,
            Response::ObserverUpdate(Box::new(news)),
            parts,
        );
    }

    /// What an observer of a newer build is told beside the news.
    fn parts_beside(&mut self, observer: &Observer, news: &ObserverUpdate) -> ResponseParts {
        let list = &self.desk.list;
        let is_told_list = news.backends.is_some();
        let known = observer.known_incarnations;
        let incarnations = known.and_then(|known| list.incarnations_after(known, is_told_list));
        ResponseParts {
            incarnations: incarnations.unwrap_or_default(),
            zone_stats: observer
                .sights_of
                .as_ref()
                .map(|zone| self.zone_stats(zone)),
        }
    }

    /// Age from which what a gateway saw is left out.
    pub(crate) fn sights_limit(&self) -> Duration {
        self.resolution_time().max(SHORTEST_SIGHTS_LIMIT)
    }

    /// What the gateways of a zone see of the replicas, as far as this member hears.
    fn zone_stats(&mut self, zone: &str) -> ZoneStats {
        let limit = self.sights_limit();
        self.desk.replica_stats.sum(zone, self.now, limit)
    }

    /// What the gateways see that this member counts, for the other members of its zone; `None`
    /// when none of them says what it sees.
    #[must_use]
    pub fn sights_for_neighbours(&self) -> Option<MemberStats> {
        let own = self.peer().member.0;
        let replica_stats = &self.desk.replica_stats;
        let told = replica_stats.counted(own, self.now, self.sights_limit());
        (!told.zones.is_empty()).then_some(told)
    }

    fn needs_large_update(&self, known: Option<&KnownList>) -> bool {
        known.is_some_and(|known| self.desk.list.needs_large_update(known))
    }

    fn news_stamp(&self) -> NewsStamp {
        let state = self.configuration().and_then(|group| group.machine.state());
        NewsStamp {
            is_fresh: self.is_fresh(),
            members: self.members_stamp(),
            document_version: self.document_version(),
            tells_document_to_all: self.tells_document_to_all(),
            store_epoch: state.map_or(0, |state| state.stores.view().epoch),
            list_seen: self.desk.list.copy().seen(),
        }
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
        !has_started || observer.wants_document_at_once || self.tells_document_to_all()
    }

    fn tells_document_to_all(&self) -> bool {
        let patience = self.config.managed_or_default().document_patience;
        self.now.since(self.desk.document_since) >= patience
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
            MemberLocation {
                ip,
                zone: zone.to_owned(),
            }
        };
        let leader = group.raft.leader();
        MemberList {
            stamp,
            leader: leader.map(|peer| Ipv4Addr::from(peer.member.0)),
            locations: group.raft.membership().peers().map(place).collect(),
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

    fn has_news(&self, key: &ObserverKey, members: MembersStamp) -> bool {
        let Some(observer) = self.desk.observers.get(key) else {
            return false;
        };
        let known = &observer.known;
        let Some(state) = self.configuration().and_then(|group| group.machine.state()) else {
            return false;
        };
        let list = &self.desk.list;
        let newer_list = known.backends.as_ref();
        (!known.is_current && self.is_fresh())
            || members > known.members
            || self.new_document(observer).is_some()
            || state.stores.view().epoch > known.store_epoch
            || newer_list.is_some_and(|known| list.has_update_for(known, self.now))
    }

    fn news_after(&mut self, observer: &Observer, members: MembersStamp) -> ObserverUpdate {
        let known = &observer.known;
        let mut news = ObserverUpdate {
            fresh: self.is_fresh(),
            gateways: self.desk.gateways,
            zone_load: observer
                .counted_in
                .as_ref()
                .and_then(|zone| self.desk.zones.get(zone))
                .map(|zone| zone.load.clone()),
            backends: known
                .backends
                .as_ref()
                .and_then(|known| self.desk.list.report(known, self.now)),
            ..ObserverUpdate::default()
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
        news
    }

    /// Gateways that take callers and count on this member.
    #[must_use]
    pub fn own_gateways(&self) -> u32 {
        let presence = &self.desk.presence;
        presence.counted_gateways(self.now, self.resolution_time())
    }

    /// Sums up the gateways, where that is done.
    pub(crate) fn count_gateways(&mut self) {
        if !self.leads(CONFIGURATION_GROUP) {
            return;
        }
        let forget_after = self.config.managed_or_default().forget_after;
        let elsewhere = self
            .desk
            .presence
            .total_counted_gateways(self.now, forget_after);
        self.desk.gateways = self.own_gateways() + elsewhere;
    }

    /// Members of the configuration group as far as this one knows; 0 while it is none of them,
    /// since the group may have grown or gone without it.
    #[must_use]
    pub fn member_count(&self) -> u32 {
        let Some(group) = self.configuration() else {
            return 0;
        };
        let membership = group.raft.membership();
        if !membership.contains(self.peer()) {
            return 0;
        }
        u32::try_from(membership.peers().count()).unwrap_or(u32::MAX)
    }

    /// The leader to follow for the list and the number of gateways; `None` when this member
    /// leads or knows of none.
    #[must_use]
    pub fn followed_leader(&self) -> Option<Ipv4Addr> {
        let leader = self.configuration()?.raft.leader()?;
        let is_other = leader != self.peer() && !self.leads(CONFIGURATION_GROUP);
        is_other.then(|| Ipv4Addr::from(leader.member.0))
    }

    /// This member's copy of the list of backends.
    #[must_use]
    pub fn list(&self) -> &luglink_fleet::ListCopy {
        self.desk.list.copy()
    }
}
