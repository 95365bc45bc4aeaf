//! Exchange of state between a gateway and the control members.

use crate::gateway::{ActiveConfiguration, Gateway};
use luglink_control::{RequestParts, ResponseParts};
use luglink_edge::{KeyRing, RoutingTable};
use luglink_fleet::{
    BackendChanges, BackendId, BackendList, BackendReport, GatewayPresence, Incarnation, KnownList,
    KnownVersions, ObserverUpdate, Presence, ReplicaIncarnation, Role, VersionedDocument,
};
use luglink_fleet_client::{AskedMember, ListSource, ObserverDelegate};
use luglink_types::Timestamp;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after startup during which a gateway without a list of replicas asks only one member for
/// it. The list is large, and asking a second member at once would transfer it twice.
const SECOND_LIST_SOURCE_DELAY: Duration = Duration::from_secs(2);

/// Maximum time between two lists in which no software version can have come and gone unseen. Replicas
/// that are taken away are listed as draining for longer.
const MAX_LIST_GAP: Duration = Duration::from_secs(2);

impl ObserverDelegate for Gateway {
    fn presence(&self) -> Presence {
        Presence {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            role: Role::Gateway(GatewayPresence {
                address: self.config.listen,
                ready: self.is_ready(),
                load: self
                    .load_meter
                    .borrow_mut()
                    .read(&self.pool.borrow(), self.now()),
            }),
        }
    }

    fn known(&self, source: ListSource) -> KnownVersions {
        let in_force = self.in_force.borrow();
        KnownVersions {
            document_version: in_force.as_ref().map_or(0, |in_force| in_force.version),
            is_current: self.is_current.get()
                || in_force.is_none() && self.last_fresh_update.get().is_some(),
            store_epoch: self.turns.epoch(),
            backends: self.known_list(source),
            ..KnownVersions::default()
        }
    }

    fn parts(&self, asked_member: AskedMember) -> RequestParts {
        let asks_for_list = self.known_list(asked_member.source).is_some();
        RequestParts {
            known_incarnations: asks_for_list.then(|| self.list.borrow().known_incarnations()),
            known_replica_versions: asks_for_list
                .then(|| self.list.borrow().known_replica_versions()),
            replica_stats: self.replica_stats_to_report(asked_member),
            ..RequestParts::default()
        }
    }

    fn on_response_parts(&self, parts: ResponseParts) {
        self.record_incarnations(&parts.incarnations);
        let changes = self
            .list
            .borrow_mut()
            .merge_versions(&parts.replica_versions);
        self.apply_list_changes(changes);
        self.update_sole_versions();
        if let Some(zone_stats) = parts.zone_stats {
            self.update_load_view(&zone_stats);
        }
    }

    fn on_update(&self, member: SocketAddr, update: ObserverUpdate) {
        if let Some(document) = update.document {
            self.apply_configuration(member, document);
        }
        if update.fresh {
            self.last_fresh_update.set(Some(Instant::now()));
        }
        if update.fresh && !self.is_current.get() && self.in_force.borrow().is_some() {
            tracing::info!(%member, "configuration confirmed as current");
            self.is_current.set(true);
        }
        if let Some(members) = &update.members {
            self.report_members.set_list(members);
        }
        if update.gateways > 0 {
            self.gateway_count.set(update.gateways);
        }
        if let Some(view) = update.stores {
            tracing::info!(%member, epoch = view.epoch, stores = view.len(), "store view updated");
            self.turns.set_view(view);
        }
        if let Some(report) = update.backends {
            self.apply_list_report(report);
        }
        if let Some(load) = update.zone_load {
            self.pool.borrow_mut().follow_zone_load(&load, self.now());
            self.admission
                .borrow_mut()
                .update_zone_load(&load, self.now());
        }
    }
}

impl Gateway {
    /// Puts a configuration document in force if it is newer than the current one. The version
    /// never decreases while the process runs.
    fn apply_configuration(&self, member: SocketAddr, document: VersionedDocument) {
        let current_version = self
            .in_force
            .borrow()
            .as_ref()
            .map_or(0, |in_force| in_force.version);
        if document.version <= current_version {
            return;
        }
        match self.dialect.configuration(&document.content) {
            Ok(configuration) => {
                tracing::info!(
                    %member,
                    version = document.version,
                    before = current_version,
                    routes = configuration.routes.len(),
                    tenants = configuration.tenants.len(),
                    "configuration in force"
                );
                self.metrics.version.set(document.version as f64);
                self.splits.borrow_mut().keep_only(&configuration);
                self.shedder.borrow_mut().keep_only(&configuration);
                self.waits.borrow_mut().keep_only(&configuration);
                let by_finish = self.config.features.expected_finish(&configuration);
                self.pool.borrow_mut().set_expected_finish(by_finish);
                self.admission.borrow_mut().keep_only(&configuration);
                let table = RoutingTable::new(&configuration);
                let keys = KeyRing::new(&configuration);
                *self.in_force.borrow_mut() = Some(Rc::new(ActiveConfiguration {
                    version: document.version,
                    configuration,
                    table,
                    keys,
                }));
            }
            // Unexpected: the control members validate documents before they accept them.
            Err(error) => {
                tracing::error!(
                    version = document.version,
                    %error,
                    "cannot parse the configuration"
                );
            }
        }
    }

    /// Describes the known list of replicas for a request to a member; `None` if that member is not
    /// asked for the list.
    fn known_list(&self, source: ListSource) -> Option<KnownList> {
        let now = self.now();
        let known = self.list.borrow().known(now);
        let is_asked = match source {
            ListSource::Primary => true,
            ListSource::Secondary => {
                known.age.is_some() || now.since(Timestamp::ZERO) >= SECOND_LIST_SOURCE_DELAY
            }
            ListSource::Inactive => false,
        };
        is_asked.then_some(known)
    }

    fn apply_list_report(&self, report: BackendReport) {
        let changes = self.list.borrow_mut().follow(report, self.now());
        self.apply_list_changes(changes);
    }

    /// Applies a list that this gateway read from the platform, starting at `seen`.
    pub(crate) fn apply_list(&self, list: BackendList, seen: Timestamp) {
        let changes = self.list.borrow_mut().replace(list, seen);
        self.apply_list_changes(changes);
        self.update_sole_versions();
    }

    /// Records which services have a single software version. Must not be called between a list and
    /// the versions that follow it, which would show a new replica without one.
    fn update_sole_versions(&self) {
        let Some(seen) = self.list.borrow().seen() else {
            return;
        };
        let pool = self.pool.borrow();
        let mut sole_versions = self.sole_versions.borrow_mut();
        sole_versions.note_list(seen, MAX_LIST_GAP);
        sole_versions.update(pool.sole_versions(), self.now());
    }

    /// Records the incarnation from a replica's own report, which shows a restart earlier than the
    /// list does.
    pub(crate) fn record_incarnation(&self, replica: &BackendId, incarnation: Incarnation) {
        self.record_incarnations(&[ReplicaIncarnation {
            replica: replica.clone(),
            incarnation,
        }]);
    }

    fn record_incarnations(&self, reported: &[ReplicaIncarnation]) {
        let changes = self.list.borrow_mut().merge_incarnations(reported);
        self.apply_list_changes(changes);
    }

    /// Applies changes of the list to the pool and closes connections to replicas that were removed
    /// or restarted.
    fn apply_list_changes(&self, changes: Option<BackendChanges>) {
        let Some(changes) = changes else { return };
        let restarted = self.pool.borrow().restarted(&changes);
        let draining = changes.changed.iter().filter(|backend| backend.draining);
        tracing::info!(
            replicas = self.list.borrow().list().len(),
            changed = changes.changed.len(),
            draining = draining.count(),
            removed = changes.removed.len(),
            restarted = restarted.len(),
            "list of replicas updated"
        );
        let mut pool = self.pool.borrow_mut();
        if let Some(seen) = self.list.borrow().seen() {
            pool.note_draining(&changes, seen);
        }
        pool.apply(&changes);
        drop(pool);
        let ended = changes.removed.iter().chain(&restarted);
        self.crashes.borrow_mut().mark_ended(ended);
        self.upstream.forget(&changes.removed);
        self.upstream.forget(&restarted);
        self.metrics.replica_restarts.inc_by(restarted.len() as u64);
    }
}
