//! Starting a fleet, and doing things to its parts.

use crate::engine::http::{EngineServer, Fault};
use crate::fleet::config::FleetConfig;
use crate::fleet::errors::{
    ConfigurationRefusedSnafu, FleetError, NoSuchTargetSnafu, NotReadySnafu, ThreadGoneSnafu,
};
use crate::fleet::place::{any_port, reserve_address};
use crate::fleet::resources::{DeploymentLayout, deployment_resources};
use crate::observe::Observer;
use crate::standins::{PlatformServer, ServiceServer, StandinServer, ToolServer};
use actix_rt::Arbiter;
use luglink_admin_api::{AdminClient, operation_to_proto, v1};
use luglink_control_server::ControlServer;
use luglink_daemon_server::DaemonServer;
use luglink_resources::Replica;
use luglink_settings::{ControlSettings, DaemonSettings, MemberAddress};
use luglink_types::{EngineId, Revision};
use snafu::OptionExt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time in which a fleet must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks whether it is.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Time between looks of a daemon at an engine's events, in milliseconds.
const ENGINE_POLL_MS: u64 = 250;

/// One process of the fleet: its settings, its thread, and the server while it runs.
struct Node<S, T> {
    settings: S,
    server: Option<T>,
    thread: Arbiter,
    starts: u32,
}

/// A running fleet.
pub struct Fleet {
    config: FleetConfig,
    started: Instant,
    observer: Observer,
    control: Vec<Node<ControlSettings, ControlServer>>,
    daemons: Vec<Node<DaemonSettings, DaemonServer>>,
    engines: Vec<Node<SocketAddr, EngineServer>>,
    services: Vec<StandinServer>,
    tools: StandinServer,
    platform: PlatformServer,
    admin: AdminClient,
    _data: tempfile::TempDir,
}

/// Starts something on another thread and waits for it.
async fn start_on<T: Send + 'static, F>(
    thread: &Arbiter,
    start: impl FnOnce() -> F + Send + 'static,
) -> Result<T, FleetError>
where
    F: Future<Output = T> + 'static,
{
    let (sender, receiver) = oneshot::channel();
    thread.spawn_fn(move || {
        actix_rt::spawn(async move {
            let _ = sender.send(start().await);
        });
    });
    receiver.await.ok().context(ThreadGoneSnafu)
}

impl Fleet {
    /// Starts every part and applies the deployment's configuration.
    ///
    /// # Errors
    /// A part cannot start, or the fleet does not become ready.
    pub async fn start(config: FleetConfig, observer: Observer) -> Result<Self, FleetError> {
        let started = Instant::now();
        let data = tempfile::tempdir()?;
        let mut engines = Vec::new();
        for index in 0..config.engines {
            engines.push(Node {
                settings: any_port(),
                server: None,
                thread: Arbiter::new(),
                starts: 0,
            });
            start_engine(&mut engines[index], index, &config, started, &observer).await?;
        }
        let mut services = Vec::new();
        for _ in 0..config.service_replicas {
            services.push(ServiceServer::start(any_port(), observer.clone())?);
        }
        let tools = ToolServer::start(any_port())?;
        let platform = PlatformServer::start(any_port())?;
        let members = reserve_members(config.control_members)?;
        let mut control = Vec::new();
        for index in 0..config.control_members {
            let mut node = Node {
                settings: control_settings(&config, &members, index, data.path())?,
                server: None,
                thread: Arbiter::new(),
                starts: 0,
            };
            start_control(&mut node).await?;
            control.push(node);
        }
        let admin_addresses = control.iter().map(|node| node.settings.admin_listen);
        let admin = AdminClient::new(admin_addresses.collect())?;
        let mut daemons = Vec::new();
        let zones = config.deployment.zones();
        for index in 0..zones.len() * config.daemons_per_zone {
            let mut node = Node {
                settings: daemon_settings(&config, &members, index, platform.server.address)?,
                server: None,
                thread: Arbiter::new(),
                starts: 0,
            };
            start_daemon(&mut node).await?;
            daemons.push(node);
        }
        let fleet = Self {
            config,
            started,
            observer,
            control,
            daemons,
            engines,
            services,
            tools,
            platform,
            admin,
            _data: data,
        };
        fleet.configure().await?;
        Ok(fleet)
    }

    /// When the fleet was started.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Size of the fleet.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// The operator client.
    #[must_use]
    pub fn admin(&self) -> &AdminClient {
        &self.admin
    }

    /// Address of the tool service.
    #[must_use]
    pub fn tools(&self) -> SocketAddr {
        self.tools.address
    }

    /// Addresses of the daemons for a caller in `zone`, the nearest first.
    #[must_use]
    pub fn daemons_for(&self, zone: &str) -> Vec<SocketAddr> {
        let (near, far): (Vec<&DaemonSettings>, Vec<&DaemonSettings>) = self
            .daemons
            .iter()
            .map(|node| &node.settings)
            .partition(|settings| settings.zone == zone);
        let near_and_far = near.into_iter().chain(far);
        near_and_far.map(|settings| settings.listen).collect()
    }

    /// The revision in force at each running daemon, and the number of its process.
    pub async fn revisions(&self) -> Vec<(u32, u32, Revision)> {
        let mut revisions = Vec::new();
        for node in &self.daemons {
            if let Some(server) = &node.server
                && let Some(revision) = server.configuration_revision().await
            {
                revisions.push((node.settings.id, node.starts, revision));
            }
        }
        revisions
    }

    /// Running control members.
    pub fn control(&self) -> impl Iterator<Item = &ControlServer> {
        self.control.iter().filter_map(|node| node.server.as_ref())
    }

    /// Engines that have not crashed.
    pub fn engines(&self) -> impl Iterator<Item = (EngineId, &EngineServer)> {
        let id = |index: usize| EngineId(u32::try_from(index).unwrap_or(u32::MAX));
        let engines = self.engines.iter().enumerate();
        engines.filter_map(move |(index, node)| Some((id(index), node.server.as_ref()?)))
    }

    /// Kills a daemon.
    ///
    /// # Errors
    /// There is no such daemon.
    pub async fn crash_daemon(&mut self, index: usize) -> Result<(), FleetError> {
        if let Some(server) = self.daemon_node(index)?.server.take() {
            server.halt().await;
        }
        Ok(())
    }

    /// Stops a daemon as planned. Returns whether every request in flight was answered.
    ///
    /// # Errors
    /// There is no such daemon.
    pub async fn stop_daemon(&mut self, index: usize) -> Result<bool, FleetError> {
        match self.daemon_node(index)?.server.take() {
            Some(server) => Ok(server.stop().await),
            None => Ok(true),
        }
    }

    /// Starts a daemon again.
    ///
    /// # Errors
    /// There is no such daemon, or its address is taken.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), FleetError> {
        start_daemon(self.daemon_node(index)?).await
    }

    /// Kills a control member.
    ///
    /// # Errors
    /// There is no such member.
    pub fn crash_control(&mut self, index: usize) -> Result<(), FleetError> {
        if let Some(server) = self.control_node(index)?.server.take() {
            server.halt();
        }
        Ok(())
    }

    /// Stops a control member as planned.
    ///
    /// # Errors
    /// There is no such member.
    pub async fn stop_control(&mut self, index: usize) -> Result<(), FleetError> {
        if let Some(server) = self.control_node(index)?.server.take() {
            server.stop().await;
        }
        Ok(())
    }

    /// Starts a control member again.
    ///
    /// # Errors
    /// There is no such member, or its data folder cannot be used.
    pub async fn start_control(&mut self, index: usize) -> Result<(), FleetError> {
        start_control(self.control_node(index)?).await
    }

    /// Kills an engine.
    ///
    /// # Errors
    /// There is no such engine.
    pub async fn crash_engine(&mut self, index: usize) -> Result<(), FleetError> {
        let target = || format!("engine/{index}");
        let node = self
            .engines
            .get_mut(index)
            .with_context(|| NoSuchTargetSnafu { target: target() })?;
        if let Some(server) = node.server.take() {
            server.crash().await;
        }
        Ok(())
    }

    /// Starts an engine again, with an empty cache.
    ///
    /// # Errors
    /// There is no such engine, or its address is taken.
    pub async fn start_engine(&mut self, index: usize) -> Result<(), FleetError> {
        let (config, started, observer) =
            (self.config.clone(), self.started, self.observer.clone());
        let target = || format!("engine/{index}");
        let node = self
            .engines
            .get_mut(index)
            .with_context(|| NoSuchTargetSnafu { target: target() })?;
        start_engine(node, index, &config, started, &observer).await
    }

    /// Brings a lasting fault of an engine about, or ends it.
    ///
    /// # Errors
    /// There is no such engine.
    pub fn engine_fault(&self, index: usize, fault: Fault) -> Result<(), FleetError> {
        let target = || format!("engine/{index}");
        let node = self
            .engines
            .get(index)
            .with_context(|| NoSuchTargetSnafu { target: target() })?;
        if let Some(server) = &node.server {
            server.fault(fault);
        }
        if let Fault::Leave(leaving) = fault {
            let engine = EngineId(u32::try_from(index).unwrap_or(u32::MAX));
            self.platform.set_leaving(engine, leaving);
        }
        Ok(())
    }

    /// Number of daemons.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Zone of a daemon.
    #[must_use]
    pub fn daemon_zone(&self, index: usize) -> Option<&str> {
        let node = self.daemons.get(index)?;
        Some(node.settings.zone.as_str())
    }

    /// Zone of an engine.
    #[must_use]
    pub fn engine_zone(&self, index: usize) -> &'static str {
        let zones = self.config.deployment.zones();
        zones[index % zones.len()]
    }

    /// Stops everything.
    pub async fn stop(mut self) {
        for node in &mut self.daemons {
            if let Some(server) = node.server.take() {
                server.halt().await;
            }
            node.thread.stop();
        }
        for node in &mut self.control {
            if let Some(server) = node.server.take() {
                server.halt();
            }
            node.thread.stop();
        }
        for node in &mut self.engines {
            if let Some(server) = node.server.take() {
                server.crash().await;
            }
            node.thread.stop();
        }
        for service in &self.services {
            service.stop().await;
        }
        self.tools.stop().await;
        self.platform.server.stop().await;
    }

    fn daemon_node(
        &mut self,
        index: usize,
    ) -> Result<&mut Node<DaemonSettings, DaemonServer>, FleetError> {
        let target = || format!("daemon/{index}");
        self.daemons
            .get_mut(index)
            .with_context(|| NoSuchTargetSnafu { target: target() })
    }

    fn control_node(
        &mut self,
        index: usize,
    ) -> Result<&mut Node<ControlSettings, ControlServer>, FleetError> {
        let target = || format!("control/{index}");
        self.control
            .get_mut(index)
            .with_context(|| NoSuchTargetSnafu { target: target() })
    }

    async fn configure(&self) -> Result<(), FleetError> {
        let engines = self.engines.iter().map(|node| node.settings);
        let services = self.services.iter().map(|server| server.address);
        let layout = DeploymentLayout {
            deployment: self.config.deployment,
            engines: self.replicas(engines, 0),
            services: self.replicas(services, self.engines.len()),
            idle_timeout_ms: self.config.idle_timeout_ms,
            max_queued_calls: self.config.max_queued_calls,
        };
        let operations = deployment_resources(&layout)
            .iter()
            .map(operation_to_proto)
            .collect();
        let answer = self
            .admin
            .apply(v1::ApplyRequest {
                change_id: "deployment".to_owned(),
                operator: "lab".to_owned(),
                expected_revision: Some(0),
                operations,
            })
            .await?;
        let accepted = matches!(
            answer.answer,
            Some(v1::apply_response::Answer::AcceptedRevision(_))
        );
        if !accepted {
            return ConfigurationRefusedSnafu {
                answer: format!("{answer:?}"),
            }
            .fail();
        }
        self.wait_until_ready().await
    }

    fn replicas(&self, addresses: impl Iterator<Item = SocketAddr>, first: usize) -> Vec<Replica> {
        let zones = self.config.deployment.zones();
        let replica = |(index, address): (usize, SocketAddr)| Replica {
            engine: EngineId(u32::try_from(first + index).unwrap_or(u32::MAX)),
            address: address.to_string(),
            zone: zones[index % zones.len()].into(),
        };
        addresses.enumerate().map(replica).collect()
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let since = Instant::now();
        while since.elapsed() < READY_LIMIT {
            let revisions = self.revisions().await;
            if revisions
                .iter()
                .all(|(_, _, revision)| *revision > Revision(0))
            {
                return Ok(());
            }
            actix_rt::time::sleep(READY_PAUSE).await;
        }
        NotReadySnafu {
            seconds: READY_LIMIT.as_secs(),
        }
        .fail()
    }
}

fn reserve_members(count: usize) -> Result<Vec<MemberAddress>, FleetError> {
    let mut members = Vec::new();
    for id in 0..count {
        members.push(MemberAddress {
            id: u32::try_from(id).unwrap_or(u32::MAX),
            address: reserve_address()?,
        });
    }
    Ok(members)
}

fn control_settings(
    config: &FleetConfig,
    members: &[MemberAddress],
    index: usize,
    data: &std::path::Path,
) -> Result<ControlSettings, FleetError> {
    Ok(ControlSettings {
        id: members[index].id,
        listen: members[index].address,
        admin_listen: reserve_address()?,
        data_folder: data.join(format!("control-{index}")),
        members: members.to_vec(),
        bootstrap: true,
        program_groups: config.program_groups,
        replication: 3,
        configuration_voters: 5,
        heartbeat_ms: 60,
        election_timeout_ms: 300,
        snapshot_entries: 5_000,
        refund_unused: true,
    })
}

fn daemon_settings(
    config: &FleetConfig,
    members: &[MemberAddress],
    index: usize,
    platform: SocketAddr,
) -> Result<DaemonSettings, FleetError> {
    let zones = config.deployment.zones();
    Ok(DaemonSettings {
        id: u32::try_from(index).unwrap_or(u32::MAX),
        zone: zones[index % zones.len()].to_owned(),
        listen: reserve_address()?,
        members: members.to_vec(),
        program_groups: config.program_groups,
        platform: Some(platform),
        subset_size: 64,
        max_queued_calls: config.max_queued_calls,
        max_requests_per_replica: config.max_requests_per_replica,
        history_cache_bytes: 256 << 20,
        max_body_bytes: 4 << 20,
        engine_poll_ms: ENGINE_POLL_MS,
        drain_timeout_ms: 60_000,
    })
}

async fn start_control(node: &mut Node<ControlSettings, ControlServer>) -> Result<(), FleetError> {
    let settings = node.settings.clone();
    let server = start_on(&node.thread, move || async move {
        luglink_control_server::start(&settings).await
    })
    .await??;
    node.server = Some(server);
    node.starts += 1;
    Ok(())
}

async fn start_daemon(node: &mut Node<DaemonSettings, DaemonServer>) -> Result<(), FleetError> {
    let settings = node.settings.clone();
    let server = start_on(&node.thread, move || async move {
        luglink_daemon_server::start(&settings)
    })
    .await??;
    node.server = Some(server);
    node.starts += 1;
    Ok(())
}

async fn start_engine(
    node: &mut Node<SocketAddr, EngineServer>,
    index: usize,
    config: &FleetConfig,
    started: Instant,
    observer: &Observer,
) -> Result<(), FleetError> {
    let engine = EngineId(u32::try_from(index).unwrap_or(u32::MAX));
    let seed = config.seed ^ (u64::from(node.starts) << 32) ^ (index as u64 + 1);
    let (listen, engine_config, observer) =
        (node.settings, config.engine.clone(), observer.clone());
    let server = start_on(&node.thread, move || async move {
        EngineServer::start(engine, listen, engine_config, seed, started, observer)
    })
    .await??;
    node.settings = server.address;
    node.server = Some(server);
    node.starts += 1;
    Ok(())
}
