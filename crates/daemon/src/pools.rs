//! Routers of all model pools and services in the configuration.

use luglink_resources::{ConfigurationView, Replica, Resource};
use luglink_routing::{BlockHash, LoadReport, ReplicaInfo, Router, RouterConfig, choose_subset};
use luglink_types::{DaemonId, EngineId, ModelName, ServiceName, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Name of a router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolName {
    /// Engines of a model.
    Model(ModelName),
    /// Replicas of a plain service.
    Service(ServiceName),
}

/// Routers of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Pools {
    config: RouterConfig,
    daemon: DaemonId,
    zone: ZoneName,
    subset_size: usize,
    routers: BTreeMap<PoolName, Router>,
    pool_of_engine: BTreeMap<EngineId, PoolName>,
    leaving: BTreeSet<EngineId>,
}

impl Pools {
    pub(crate) fn new(
        config: RouterConfig,
        daemon: DaemonId,
        zone: ZoneName,
        subset_size: usize,
    ) -> Self {
        Self {
            config,
            daemon,
            zone,
            subset_size,
            routers: BTreeMap::new(),
            pool_of_engine: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Applies the pools and services of a new configuration.
    pub(crate) fn configure(&mut self, configuration: &ConfigurationView) {
        let mut configured: BTreeMap<PoolName, Vec<ReplicaInfo>> = BTreeMap::new();
        for resource in configuration.resources() {
            match resource {
                Resource::ModelPool(pool) => {
                    configured.insert(
                        PoolName::Model(pool.name.clone()),
                        replica_infos(&pool.replicas),
                    );
                }
                Resource::Service(service) => {
                    let name = PoolName::Service(service.name.clone());
                    configured.insert(name, replica_infos(&service.replicas));
                }
                _ => {}
            }
        }
        self.routers.retain(|name, _| configured.contains_key(name));
        self.pool_of_engine.clear();
        for (name, replicas) in configured {
            let subset = choose_subset(&replicas, self.daemon, &self.zone, self.subset_size);
            for replica in &subset {
                self.pool_of_engine.insert(replica.engine, name.clone());
            }
            self.routers
                .entry(name)
                .or_insert_with(|| Router::new(self.config.clone(), self.zone.clone()))
                .set_replicas(&subset);
        }
        self.apply_leaving();
    }

    pub(crate) fn router(&mut self, name: &PoolName) -> Option<&mut Router> {
        self.routers.get_mut(name)
    }

    /// Returns all replicas of model pools in this daemon's subsets.
    pub(crate) fn engine_replicas(&self) -> Vec<ReplicaInfo> {
        let models = self
            .routers
            .iter()
            .filter(|(name, _)| matches!(name, PoolName::Model(_)));
        models
            .flat_map(|(_, router)| router.replicas().cloned())
            .collect()
    }

    /// Returns the router that an engine belongs to.
    pub(crate) fn router_of(&mut self, engine: EngineId) -> Option<&mut Router> {
        let name = self.pool_of_engine.get(&engine)?;
        self.routers.get_mut(name)
    }

    pub(crate) fn on_report(&mut self, engine: EngineId, report: LoadReport, now: Timestamp) {
        let leaving = self.leaving.contains(&engine);
        if let Some(router) = self.router_of(engine) {
            router.on_report(engine, report, now);
            if leaving {
                router.set_draining(engine, true);
            }
        }
    }

    pub(crate) fn on_cache(
        &mut self,
        engine: EngineId,
        stored: &[BlockHash],
        removed: &[BlockHash],
        restarted: bool,
    ) {
        if let Some(router) = self.router_of(engine) {
            if restarted {
                router.forget_cache(engine);
            }
            router.on_blocks_stored(engine, stored);
            router.on_blocks_removed(engine, removed);
        }
    }

    /// Sets the platform's list of leaving replicas. Replicas that are no longer listed are used
    /// again.
    pub(crate) fn set_leaving(&mut self, engines: &[EngineId]) {
        let leaving: BTreeSet<EngineId> = engines.iter().copied().collect();
        let returned: Vec<EngineId> = self.leaving.difference(&leaving).copied().collect();
        for engine in returned {
            if let Some(router) = self.router_of(engine) {
                router.set_draining(engine, false);
            }
        }
        self.leaving = leaving;
        self.apply_leaving();
    }

    fn apply_leaving(&mut self) {
        for engine in self.leaving.clone() {
            if let Some(router) = self.router_of(engine) {
                router.set_draining(engine, true);
            }
        }
    }
}

fn replica_infos(replicas: &[Replica]) -> Vec<ReplicaInfo> {
    let info = |replica: &Replica| ReplicaInfo {
        engine: replica.engine,
        address: replica.address.clone(),
        zone: replica.zone.clone(),
    };
    replicas.iter().map(info).collect()
}
