//! Requests of observers: their presence, and the updates that they are sent.

use crate::machine::CONFIGURATION_GROUP;
use crate::node::ControlNode;
use crate::observer_table::{Observer, ObserverKey, UpdateStamp};
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

/// Time without a report after which a gateway is no longer advertised, as a multiple of the
/// observe hold. A smaller value drops a gateway after a single late report. With a larger one,
/// callers are referred to a frozen gateway, and wait for it, for longer.
const GATEWAY_TIMEOUT_HOLDS: f64 = 2.5;

/// Minimum age at which the replica statistics of a gateway expire. Statistics of a late report are
/// better than none.
const MIN_STATS_TIMEOUT: Duration = Duration::from_secs(1);

impl<D: Disk> ControlNode<D> {
    /// Returns the ready gateways with their zones.
    #[must_use]
    pub fn ready_gateways(&self) -> Vec<GatewayLocation> {
        let gateways = self
            .ready_gateway_presences()
            .map(|(zone, gateway)| GatewayLocation {
                zone: zone.to_owned(),
                address: gateway.address,
            });
        gateways.collect()
    }

    /// Returns the number of gateways of a zone that are advertised to callers.
    #[must_use]
    pub fn advertised_gateways(&self, zone: Option<&str>) -> AdvertisedCount {
        let state = zone.and_then(|zone| self.fleet.zones.get(zone));
        state.map_or_else(AdvertisedCount::default, |zone| zone.advertised)
    }

    /// Returns the number of ready gateways.
    #[must_use]
    pub fn ready_gateway_count(&self) -> u32 {
        u32::try_from(self.ready_gateway_presences().count()).unwrap_or(u32::MAX)
    }

    fn ready_gateway_presences(&self) -> impl Iterator<Item = (&str, &GatewayPresence)> {
        let presence = &self.fleet.presence;
        presence.ready_gateways(self.now, self.resolution_validity())
    }

    /// Returns the version of the configuration document that this member has applied; 0 if none.
    #[must_use]
    pub fn document_version(&self) -> u64 {
        let state = self
            .configuration()
            .and_then(|group| group.state_machine.state());
        state.map_or(0, |state| state.document.version())
    }

    /// Records the presence of an observer and holds its request until it can be answered.
    pub(crate) fn on_observe(
        &mut self,
        token: RequestToken,
        observer_request: ObserverRequest,
        parts: RequestParts,
    ) {
        let key = ObserverKey {
            client: token.client,
            name: observer_request.presence.name.clone(),
        };
        let is_counted_here = observer_request.is_counted_here;
        let zone = &observer_request.presence.zone;
        let counted_zone = is_counted_here.then(|| zone.clone());
        let stats_zone = counted_zone
            .clone()
            .filter(|_| parts.replica_stats.is_some());
        if let Some(replica_stats) = parts.replica_stats {
            let source = StatsSource {
                name: &observer_request.presence.name,
                zone,
                is_counted_here,
            };
            self.fleet
                .replica_stats
                .note(source, replica_stats, self.now);
        }
        let presence = &mut self.fleet.presence;
        presence.note(observer_request.presence, is_counted_here, self.now);
        let observer = Observer {
            token,
            known: observer_request.known,
            known_incarnations: parts.known_incarnations,
            known_replica_versions: parts.known_replica_versions,
            stats_zone,
            wants_document_at_once: observer_request.wants_document_at_once,
            counted_zone,
            deadline: self.now.plus(self.observe_hold()),
        };
        self.fleet.observers.insert(key, observer);
    }

    /// Returns the presences of the gateways that report to this member, to be relayed to the other
    /// members of its zone.
    #[must_use]
    pub fn presences_for_zone_peers(&self) -> Vec<RelayedPresence> {
        let presence = &self.fleet.presence;
        presence.direct_gateways(self.now, self.resolution_validity())
    }

    /// Returns the members that presences and statistics of gateways are relayed to: the others of
    /// the zone, or none if they are so few that gateways report to all of them.
    #[must_use]
    pub fn zone_peers(&self) -> Vec<Ipv4Addr> {
        let own = Ipv4Addr::from(self.peer().member.0);
        self.member_list(MembersStamp::default()).zone_peers_of(own)
    }

    /// Records presences and statistics of gateways that report to another member of the zone.
    pub(crate) fn on_relayed_presences(
        &mut self,
        presences: Vec<RelayedPresence>,
        member_stats: Option<MemberStats>,
    ) {
        if let Some(member_stats) = member_stats {
            self.fleet
                .replica_stats
                .note_zone_peer(member_stats, self.now);
        }
        for presence in presences {
            self.fleet.presence.note_relayed(presence, self.now);
        }
    }

    /// Returns the time for which callers may cache a resolution. It equals the time after which a
    /// silent gateway is no longer advertised, and grows with the fleet like the hold, so that the
    /// rate of resolutions does not.
    #[must_use]
    pub fn resolution_validity(&self) -> Duration {
        self.observe_hold().mul_f64(GATEWAY_TIMEOUT_HOLDS)
    }

    /// Returns the maximum time for which a request is held, at the current size of the fleet.
    fn observe_hold(&self) -> Duration {
        let managed = self.config.managed_or_default();
        let processes = u32::try_from(self.fleet.presence.len()).unwrap_or(u32::MAX);
        let scaled = managed.observe_hold_per_process.saturating_mul(processes);
        let hold = managed.observe_hold.max(scaled);
        hold.min(managed.max_observe_hold)
    }

    /// Answers the observers that have updates or whose deadline has passed.
    pub(crate) fn answer_observers(&mut self) {
        let now = self.now;
        self.fleet
            .record_document_version(self.document_version(), now);
        // Computed once for all observers, because it requires a search of the log.
        let stamp = self.update_stamp();
        let mut ready = self.fleet.observers.take_candidates(stamp);
        ready.retain(|key| self.has_update(key, stamp.members));
        ready.extend(self.fleet.observers.due(now));
        for key in ready {
            self.answer(key, stamp.members);
        }
        for key in self.fleet.observers.next_list_recipients() {
            self.answer(key, stamp.members);
        }
    }

    fn answer(&mut self, key: ObserverKey, members: MembersStamp) {
        let Some(observer) = self.fleet.observers.get(&key) else {
            return;
        };
        let lacks_list = self.needs_large_update(observer.known.backends.as_ref());
        if lacks_list && !self.fleet.observers.may_send_list() {
            self.fleet.observers.defer_until_list_slot(key);
            return;
        }
        let Some(observer) = self.fleet.observers.remove(&key) else {
            return;
        };
        if lacks_list {
            self.fleet.observers.record_list_sent(key);
        }
        let update = self.update_after(&observer, members);
        let parts = self.response_parts(&observer, &update);
        self.reply_with_parts(
            observer.token,
            Response::ObserverUpdate(Box::new(update)),
            parts,
        );
    }

    /// Returns the optional parts of the response, for an observer whose request asks for them.
    fn response_parts(&mut self, observer: &Observer, update: &ObserverUpdate) -> ResponseParts {
        let list = &self.fleet.list;
        let includes_list = update.backends.is_some();
        let known = observer.known_incarnations;
        let incarnations = known.and_then(|known| list.incarnations_after(known, includes_list));
        let known = observer.known_replica_versions;
        let versions = known.and_then(|known| list.versions_after(known, includes_list));
        ResponseParts {
            incarnations: incarnations.unwrap_or_default(),
            replica_versions: versions.unwrap_or_default(),
            zone_stats: observer
                .stats_zone
                .as_ref()
                .map(|zone| self.zone_stats(zone)),
            settled_stores: update.stores.as_ref().and_then(|view| view.settled.clone()),
        }
    }

    /// Returns the age at which the replica statistics of a gateway expire.
    pub(crate) fn stats_timeout(&self) -> Duration {
        self.resolution_validity().max(MIN_STATS_TIMEOUT)
    }

    /// Returns the statistics of the replicas, aggregated over the gateways of a zone that this
    /// member knows.
    fn zone_stats(&mut self, zone: &str) -> ZoneStats {
        let limit = self.stats_timeout();
        self.fleet.replica_stats.sum(zone, self.now, limit)
    }

    /// Returns the statistics of the gateways that this member counts, for the other members of its
    /// zone; `None` if no gateway reports any.
    #[must_use]
    pub fn stats_for_zone_peers(&self) -> Option<MemberStats> {
        let own = self.peer().member.0;
        let replica_stats = &self.fleet.replica_stats;
        let stats = replica_stats.counted(own, self.now, self.stats_timeout());
        (!stats.zones.is_empty()).then_some(stats)
    }

    fn needs_large_update(&self, known: Option<&KnownList>) -> bool {
        known.is_some_and(|known| self.fleet.list.needs_large_update(known))
    }

    fn update_stamp(&self) -> UpdateStamp {
        let state = self
            .configuration()
            .and_then(|group| group.state_machine.state());
        UpdateStamp {
            is_fresh: self.is_fresh(),
            members: self.members_stamp(),
            document_version: self.document_version(),
            sends_document_to_all: self.sends_document_to_all(),
            store_epoch: state.map_or(0, |state| state.stores.view().epoch),
            list_seen: self.fleet.list.copy().seen(),
        }
    }

    /// Returns true if this member is up to date. A leader is fresh once it has committed an entry
    /// of its term. A follower is fresh for `max_staleness` after a message of the leader at which
    /// it had committed everything that the leader had.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let Some(group) = self.configuration() else {
            return false;
        };
        if group.raft.is_leader() {
            let committed = group.raft.log().term_at(group.raft.commit_index());
            return committed == Some(group.raft.term());
        }
        let max_staleness = self.config.managed_or_default().max_staleness;
        self.configuration_confirmed_at > Timestamp::ZERO
            && self.now.since(self.configuration_confirmed_at) < max_staleness
    }

    /// Returns true if this member sends the current document to an observer. The members that the
    /// observer selects send it at once; the others only after `document_fallback_delay`, in case
    /// the selected ones fail. All members send it to an observer that has just started.
    fn sends_document(&self, observer: &Observer) -> bool {
        let has_started = observer.known.is_current && observer.known.document_version > 0;
        !has_started || observer.wants_document_at_once || self.sends_document_to_all()
    }

    fn sends_document_to_all(&self) -> bool {
        let delay = self.config.managed_or_default().document_fallback_delay;
        self.now.since(self.fleet.document_applied_at) >= delay
    }

    /// Returns the current document, if it is new for an observer and this member sends it.
    fn new_document(&self, observer: &Observer) -> Option<&VersionedDocument> {
        let state = self.configuration()?.state_machine.state()?;
        let is_newer = state.document.version() > observer.known.document_version;
        let is_sent = is_newer && self.sends_document(observer);
        state.document.held().filter(|_| is_sent)
    }

    /// Returns the list of the control members for observers. The zone of a member is that of the
    /// turn store with the same IP address.
    fn member_list(&self, stamp: MembersStamp) -> MemberList {
        let Some(group) = self.configuration() else {
            return MemberList::default();
        };
        let zones: BTreeMap<IpAddr, &str> = group
            .state_machine
            .state()
            .map(|state| state.stores.view().members.values())
            .into_iter()
            .flatten()
            .map(|store| (store.address.ip(), store.zone.as_str()))
            .collect();
        let location = |peer: Peer| {
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
            locations: group.raft.membership().peers().map(location).collect(),
        }
    }

    /// Returns the version of the membership that this member knows: [`MembersStamp::membership`].
    #[must_use]
    pub fn membership_version(&self) -> Option<u64> {
        let (version, _) = self.configuration()?.raft.log().membership();
        Some(version)
    }

    fn members_stamp(&self) -> MembersStamp {
        let Some(group) = self.configuration() else {
            return MembersStamp::default();
        };
        let (membership, _) = group.raft.log().membership();
        let state = group.state_machine.state();
        MembersStamp {
            term: group.raft.term(),
            knows_leader: group.raft.leader().is_some(),
            membership,
            stores: state.map_or(0, |state| state.stores.view().epoch),
        }
    }

    fn has_update(&self, key: &ObserverKey, members: MembersStamp) -> bool {
        let Some(observer) = self.fleet.observers.get(key) else {
            return false;
        };
        let known = &observer.known;
        let Some(state) = self
            .configuration()
            .and_then(|group| group.state_machine.state())
        else {
            return false;
        };
        let list = &self.fleet.list;
        let newer_list = known.backends.as_ref();
        (!known.is_current && self.is_fresh())
            || members > known.members
            || self.new_document(observer).is_some()
            || state.stores.view().epoch > known.store_epoch
            || newer_list.is_some_and(|known| list.has_update_for(known, self.now))
    }

    fn update_after(&mut self, observer: &Observer, members: MembersStamp) -> ObserverUpdate {
        let known = &observer.known;
        let mut update = ObserverUpdate {
            fresh: self.is_fresh(),
            gateways: self.fleet.gateway_count,
            zone_load: observer
                .counted_zone
                .as_ref()
                .and_then(|zone| self.fleet.zones.get(zone))
                .map(|zone| zone.load.clone()),
            backends: known
                .backends
                .as_ref()
                .and_then(|known| self.fleet.list.report(known, self.now)),
            ..ObserverUpdate::default()
        };
        let Some(group) = self.configuration() else {
            return update;
        };
        if members > known.members {
            update.members = Some(self.member_list(members));
        }
        if let Some(state) = group.state_machine.state() {
            update.document = self.new_document(observer).cloned();
            if state.stores.view().epoch > known.store_epoch {
                update.stores = Some(state.stores.view().clone());
            }
        }
        update
    }

    /// Returns the number of ready gateways that are counted at this member.
    #[must_use]
    pub fn counted_gateways(&self) -> u32 {
        let presence = &self.fleet.presence;
        presence.counted_gateways(self.now, self.resolution_validity())
    }

    /// On the leader, updates the number of ready gateways in the fleet: its own count plus those
    /// that the other members report.
    pub(crate) fn update_gateway_count(&mut self) {
        if !self.leads(CONFIGURATION_GROUP) {
            return;
        }
        let forget_timeout = self.config.managed_or_default().forget_timeout;
        let reported = self
            .fleet
            .presence
            .total_counted_gateways(self.now, forget_timeout);
        self.fleet.gateway_count = self.counted_gateways() + reported;
    }

    /// Returns the number of members of the configuration group; 0 if this member is not one of
    /// them, because the membership it knows may be outdated.
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

    /// Returns the leader to ask for the list of backends and the number of gateways; `None` if
    /// this member leads or knows no leader.
    #[must_use]
    pub fn followed_leader(&self) -> Option<Ipv4Addr> {
        let leader = self.configuration()?.raft.leader()?;
        let is_other = leader != self.peer() && !self.leads(CONFIGURATION_GROUP);
        is_other.then(|| Ipv4Addr::from(leader.member.0))
    }

    /// Returns this member's copy of the list of backends.
    #[must_use]
    pub fn list(&self) -> &luglink_fleet::ListCopy {
        self.fleet.list.copy()
    }
}
