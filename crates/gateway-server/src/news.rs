//! What the control members tell a gateway.

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

/// Time after its start from which a gateway that has no list of replicas asks more than one
/// member for it: a list is large, and the first one that is asked is about to send it.
const FIRST_LIST_PATIENCE: Duration = Duration::from_secs(2);

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
                || in_force.is_none() && self.fresh_at.get().is_some(),
            store_epoch: self.turns.epoch(),
            backends: self.known_list(source),
            ..KnownVersions::default()
        }
    }

    fn parts(&self, asked: AskedMember) -> RequestParts {
        let asks_list = self.known_list(asked.source).is_some();
        RequestParts {
            known_incarnations: asks_list.then(|| self.list.borrow().known_incarnations()),
            replica_stats: self.sights_to_tell(asked),
            ..RequestParts::default()
        }
    }

    fn on_response_parts(&self, parts: ResponseParts) {
        self.merge_incarnations(&parts.incarnations);
        if let Some(replica_stats) = parts.zone_stats {
            self.set_zone_view(&replica_stats);
        }
    }

    fn on_update(&self, member: SocketAddr, news: ObserverUpdate) {
        if let Some(document) = news.document {
            self.put_in_force(member, document);
        }
        if news.fresh {
            self.fresh_at.set(Some(Instant::now()));
        }
        if news.fresh && !self.is_current.get() && self.in_force.borrow().is_some() {
            tracing::info!(%member, "the configuration is current");
            self.is_current.set(true);
        }
        if news.gateways > 0 {
            self.gateway_count.set(news.gateways);
        }
        if let Some(view) = news.stores {
            tracing::info!(%member, epoch = view.epoch, stores = view.len(), "new view of the stores");
            self.turns.set_view(view);
        }
        if let Some(report) = news.backends {
            self.take_report(report);
        }
        if let Some(load) = news.zone_load {
            self.pool.borrow_mut().follow_zone_load(&load, self.now());
            self.admission
                .borrow_mut()
                .take_zone_load(&load, self.now());
        }
    }
}

impl Gateway {
    /// Puts a document in force unless a newer one is. A version never goes back within a life.
    fn put_in_force(&self, member: SocketAddr, document: VersionedDocument) {
        let held = self
            .in_force
            .borrow()
            .as_ref()
            .map_or(0, |held| held.version);
        if document.version <= held {
            return;
        }
        match self.dialect.configuration(&document.content) {
            Ok(configuration) => {
                tracing::info!(
                    %member,
                    version = document.version,
                    before = held,
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
            // The control members check documents before they take them.
            Err(error) => {
                tracing::error!(version = document.version, %error, "a document cannot be read");
            }
        }
    }

    /// What to say of the list of replicas to a member; `None` when that member need not tell it.
    fn known_list(&self, source: ListSource) -> Option<KnownList> {
        let now = self.now();
        let known = self.list.borrow().known(now);
        let is_asked = match source {
            ListSource::Primary => true,
            ListSource::Secondary => {
                known.age.is_some() || now.since(Timestamp::ZERO) >= FIRST_LIST_PATIENCE
            }
            ListSource::Inactive => false,
        };
        is_asked.then_some(known)
    }

    fn take_report(&self, report: BackendReport) {
        let changes = self.list.borrow_mut().follow(report, self.now());
        self.show(changes);
    }

    /// Takes a list that this gateway has read itself, in a reading that began at `seen`.
    pub(crate) fn take_list(&self, list: BackendList, seen: Timestamp) {
        let changes = self.list.borrow_mut().replace(list, seen);
        self.show(changes);
    }

    /// Takes what a replica says of its life itself: it is there before the list shows it.
    pub(crate) fn note_incarnation(&self, replica: &BackendId, incarnation: Incarnation) {
        self.merge_incarnations(&[ReplicaIncarnation {
            replica: replica.clone(),
            incarnation,
        }]);
    }

    fn merge_incarnations(&self, told: &[ReplicaIncarnation]) {
        let changes = self.list.borrow_mut().merge_incarnations(told);
        self.show(changes);
    }

    /// Shows changes of the list in the pool.
    fn show(&self, changes: Option<BackendChanges>) {
        let Some(changes) = changes else { return };
        let restarted = self.pool.borrow().restarted(&changes);
        let draining = changes.changed.iter().filter(|backend| backend.draining);
        tracing::info!(
            replicas = self.list.borrow().list().len(),
            changed = changes.changed.len(),
            draining = draining.count(),
            removed = changes.removed.len(),
            restarted = restarted.len(),
            "new list of replicas"
        );
        self.pool.borrow_mut().apply(&changes);
        self.upstream.forget(&changes.removed);
        self.upstream.forget(&restarted);
        self.metrics.replica_restarts.inc_by(restarted.len() as u64);
    }
}
