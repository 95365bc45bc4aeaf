//! What the control members tell a gateway.

use crate::gateway::{Gateway, InForce};
use luglink_edge::{KeyRing, RoutingTable};
use luglink_fleet::{
    BackendList, BackendReport, BackendUpdate, GatewayPresence, Known, News, Presence, Role,
    VersionedDocument,
};
use luglink_fleet_client::Subject;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

impl Subject for Gateway {
    fn presence(&self) -> Presence {
        Presence {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            role: Role::Gateway(GatewayPresence {
                address: self.config.listen,
                ready: self.is_ready(),
            }),
        }
    }

    fn known(&self) -> Known {
        let in_force = self.in_force.borrow();
        Known {
            document_version: in_force.as_ref().map_or(0, |in_force| in_force.version),
            is_current: self.is_current.get()
                || in_force.is_none() && self.fresh_at.get().is_some(),
            store_epoch: self.turns.epoch(),
            backends: Some(self.pool.borrow().fingerprint().unwrap_or(0)),
            ..Known::default()
        }
    }

    fn on_news(&self, member: SocketAddr, news: News) {
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
            self.gateways.set(news.gateways);
        }
        if let Some(view) = news.stores {
            tracing::info!(%member, epoch = view.epoch, stores = view.len(), "new view of the stores");
            self.turns.set_view(view);
        }
        if let Some(report) = news.backends {
            self.take_report(report);
        }
    }
}

/// Time that news may have been on their way.
const TRANSFER_TIME: Duration = Duration::from_millis(20);

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
                let table = RoutingTable::new(&configuration);
                let keys = KeyRing::new(&configuration);
                *self.in_force.borrow_mut() = Some(Rc::new(InForce {
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

    fn take_report(&self, report: BackendReport) {
        let Some(seen) = Instant::now().checked_sub(report.age + TRANSFER_TIME) else {
            return;
        };
        let list = match report.update {
            BackendUpdate::Whole(list) => Some(list),
            // Changes to a list that was replaced meanwhile are passed over; the next question
            // says which list is here.
            BackendUpdate::Changes(changes) => self.list.borrow().changed(&changes),
            BackendUpdate::None => None,
        };
        let held = self.list.borrow().fingerprint();
        if list.is_some() || held == report.fingerprint {
            self.take_list(list, seen);
        }
    }

    /// Takes a list, or the word that the list is still the same, unless a later look is known.
    pub(crate) fn take_list(&self, list: Option<BackendList>, seen: Instant) {
        if self.list_seen.get().is_some_and(|known| known >= seen) {
            return;
        }
        self.list_seen.set(Some(seen));
        let Some(list) = list else { return };
        if self.pool.borrow().fingerprint() == Some(list.fingerprint()) {
            return;
        }
        let draining = list.backends().iter().filter(|backend| backend.draining);
        tracing::info!(
            replicas = list.backends().len(),
            draining = draining.count(),
            "new list of replicas"
        );
        self.pool.borrow_mut().update(&list);
        *self.list.borrow_mut() = list;
        self.upstream.keep_only(&self.pool.borrow());
    }
}
