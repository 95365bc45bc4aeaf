//! Server of a control member in a managed fleet, whose members join and leave without an operator.
//!
//! The id of a member is its IPv4 address, so that members can be reached by their ids. At the
//! first start of the fleet the seeds bootstrap the configuration group. All other members, and
//! later every member with an empty disk, ask for admission.

use crate::actor::{ControlActor, Halt, LocalRequest, Reopen, SocketEvent, now};
use crate::errors::{ControlServerError, ListenSnafu};
use crate::joining::{JoinConfig, join_when_leaderless};
use crate::list::{self, PollConfig, Poller};
use crate::metrics::MemberMetrics;
use crate::operator::OperatorService;
use crate::peers::Peers;
use crate::relay::{self, RelayConfig};
use crate::reports::{OpenReports, ReportService};
use crate::resolution::ResolutionService;
use actix::{Actor, Addr};
use http::Request;
use luglink_control::{ControlConfig, ControlNode, ManagedConfig, Request as ControlRequest};
use luglink_edge::Dialect;
use luglink_fleet::ListReadLimits;
use luglink_http::{RequestBody, ServeOptions, serve, stop_channel};
use luglink_limits::ListenerKind;
use luglink_metrics_server::MetricsLimits;
use luglink_net::{ByteAccount, Connections, ListenerLimits};
use luglink_settings::{FleetSettings, ManagedMemberSettings};
use luglink_storage::FileDisk;
use luglink_turns::ReportHolder;
use luglink_types::MemberId;
use rand::RngCore;
use snafu::ResultExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Idle timeout of connections to the operator and resolution APIs.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a connection is aborted whose peer reads nothing of the pending data.
const UNREAD_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for a transfer of leadership: a round trip and an election.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Size of a log segment, in bytes.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Folder of the crash reports in the data folder.
const REPORTS_FOLDER: &str = "reports";

/// Configuration of a member's server.
#[derive(Clone, Debug)]
pub struct ManagedServerConfig {
    /// Settings of all processes of the fleet.
    pub fleet: FleetSettings,
    /// Settings of the control members.
    pub member: ManagedMemberSettings,
}

/// A running member.
#[derive(Debug)]
pub struct ManagedServer {
    /// Address for members and observers.
    pub address: SocketAddr,
    /// Address of the metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    actor: Addr<ControlActor>,
    seeds: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Starts a member on the current actix thread.
///
/// # Errors
/// Fails if an address cannot be used or the metrics cannot be registered.
pub async fn start_managed(
    config: &ManagedServerConfig,
    dialect: Rc<dyn Dialect>,
) -> Result<ManagedServer, ControlServerError> {
    let fleet = &config.fleet;
    let address = SocketAddr::from((fleet.ip, fleet.member_port()));
    let listener = bind(address).await?;
    let operators = bind(config.member.operator_listen).await?;
    let resolutions = bind(config.member.resolution_listen).await?;
    let member = MemberId(u32::from(fleet.ip));
    let metrics = MemberMetrics::new()?;
    let collectors = MetricsLimits {
        max_connections: fleet.machine().connections(ListenerKind::Metrics),
        connections: metrics.connections.clone(),
    };
    let metrics_address =
        luglink_metrics_server::start(config.member.metrics_listen, &metrics.registry, collectors)
            .await;
    tracing::info!(name = fleet.name, %address, "control member started");
    let peers = Peers::by_address(member, fleet.member_port());
    let reports = ReportService::new(open_reports(config));
    let actor = ControlActor::with_reopen(peers, reopen(config.clone(), member), reports).start();
    let machine = fleet.machine();
    let held = metrics.peers.account(machine.held_bytes());
    let limits = ListenerLimits::internal(
        machine,
        Rc::clone(&held),
        &metrics.peers,
        &metrics.connections,
    );
    actix_rt::spawn(luglink_net::serve(listener, limits, {
        let actor = actor.clone();
        move |event| actor.do_send(SocketEvent(event))
    }));
    serve_operators(config, &actor, &dialect, &metrics, held, operators);
    serve_resolutions(config, &actor, &dialect, &metrics, resolutions);
    let poll = PollConfig {
        address: fleet.list_address,
        limits: ListReadLimits {
            calls_per_s: fleet.list_calls_per_s,
            min_interval: Duration::from_millis(config.member.list_interval_ms),
            stale_after: fleet.list_stale_after(),
        },
    };
    let poller = Poller {
        control: actor.clone(),
        dialect,
        metrics,
        config: poll,
    };
    actix_rt::spawn(list::poll(poller));
    let relay = RelayConfig {
        name: fleet.name.clone(),
        zone: fleet.zone.clone(),
        member_port: fleet.member_port(),
    };
    actix_rt::spawn(relay::follow_leader(actor.clone(), relay.clone()));
    actix_rt::spawn(relay::report_to_zone_peers(actor.clone(), relay));
    let seeds = Rc::new(RefCell::new(fleet.member_seeds()));
    let join = JoinConfig {
        own: address,
        seeds: Rc::clone(&seeds),
    };
    actix_rt::spawn(join_when_leaderless(actor.clone(), join));
    Ok(ManagedServer {
        address,
        metrics_address,
        actor,
        seeds,
    })
}

/// Returns a function that loads the node from its data folder. The actor retries it while the disk
/// is full or fails. A process that exited instead would only be restarted, and would serve no
/// resolutions in the meantime.
fn reopen(config: ManagedServerConfig, member: MemberId) -> Reopen {
    Box::new(move || {
        let disk = FileDisk::open(&config.member.data_folder)?;
        let seed = rand::rng().next_u64();
        ControlNode::start(control_config(&config, member), disk, seed, now())
    })
}

/// Returns a function that opens the crash reports in the data folder.
fn open_reports(config: &ManagedServerConfig) -> OpenReports {
    let folder = config.member.data_folder.join(REPORTS_FOLDER);
    let is_first_start = config.fleet.first_start;
    Box::new(move |now| {
        let disk = FileDisk::open(&folder)?;
        let epoch = rand::rng().next_u64();
        Ok(ReportHolder::open(disk, epoch, is_first_start, now)?)
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ControlServerError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn control_config(config: &ManagedServerConfig, member: MemberId) -> ControlConfig {
    let fleet = &config.fleet;
    let founders: Vec<MemberId> = fleet
        .seeds
        .iter()
        .filter_map(|seed| match seed.ip() {
            std::net::IpAddr::V4(ip) => Some(MemberId(u32::from(ip))),
            std::net::IpAddr::V6(_) => None,
        })
        .collect();
    let copies = 2 * fleet.tolerated_losses + 1;
    let mut control = ControlConfig::new(member, founders.clone());
    control.program_groups = 0;
    control.configuration_voters = founders.len().max(1);
    control.bootstrap = fleet.first_start && founders.contains(&member);
    control.raft.heartbeat_interval = Duration::from_millis(config.member.heartbeat_ms);
    control.raft.election_timeout = Duration::from_millis(config.member.election_timeout_ms);
    control.snapshot_entries = config.member.snapshot_entries;
    control.wal.segment_bytes = SEGMENT_BYTES;
    control.housekeeping_interval = Duration::from_millis(200);
    control.managed = Some(ManagedConfig {
        voters: copies,
        store_copies: copies,
        // A third of `change_ms` each for the commit of a change, for the members that send it at
        // once, and for the others.
        document_fallback_delay: Duration::from_millis(fleet.change_ms / 3),
        max_staleness: Duration::from_millis(fleet.change_ms / 3),
        // Observers receive a list at most one read interval and one hold after the platform
        // changed it.
        max_observe_hold: fleet.list_stale_after() / 4,
        ..ManagedConfig::default()
    });
    control
}

fn serve_options(max_connections: usize) -> ServeOptions {
    ServeOptions {
        max_connections,
        max_header_bytes: 16 << 10,
        idle_timeout: CONNECTION_IDLE_TIMEOUT,
        write_stall_timeout: Some(UNREAD_CONNECTION_TIMEOUT),
    }
}

fn serve_operators(
    config: &ManagedServerConfig,
    actor: &Addr<ControlActor>,
    dialect: &Rc<dyn Dialect>,
    metrics: &MemberMetrics,
    held: Rc<ByteAccount>,
    listener: TcpListener,
) {
    let service = OperatorService {
        held,
        control: actor.clone(),
        dialect: Rc::clone(dialect),
        port: config.member.operator_listen.port(),
        metrics: metrics.clone(),
    };
    let handler = Rc::new(move |request: Request<RequestBody>| service.clone().handle(request));
    let (_, signal) = stop_channel();
    let connections = Connections::new(ListenerKind::Operators, &metrics.connections);
    let max_connections = config.fleet.machine().connections(ListenerKind::Operators);
    let options = move || serve_options(max_connections);
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
}

fn serve_resolutions(
    config: &ManagedServerConfig,
    actor: &Addr<ControlActor>,
    dialect: &Rc<dyn Dialect>,
    metrics: &MemberMetrics,
    listener: TcpListener,
) {
    let max_validity = Duration::from_secs_f64(config.fleet.resolution_s);
    let service = ResolutionService {
        control: actor.clone(),
        dialect: Rc::clone(dialect),
        max_validity,
        salt: u64::from(u32::from(config.fleet.ip)),
        metrics: metrics.clone(),
    };
    let handler = Rc::new(move |request: Request<RequestBody>| service.clone().handle(request));
    let (_, signal) = stop_channel();
    let connections = Connections::new(ListenerKind::Resolution, &metrics.connections);
    let max_connections = config.fleet.machine().connections(ListenerKind::Resolution);
    let options = move || serve_options(max_connections);
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
}

impl ManagedServer {
    /// Replaces the seeds, which are the members that join requests are sent to.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Transfers leadership, waits for the election of another leader, and stops.
    pub async fn stop(self) {
        let (answer, waiting) = oneshot::channel();
        let request = ControlRequest::TransferLeadership;
        self.actor.do_send(LocalRequest { request, answer });
        // Stops even if the transfer fails; the other members then elect a leader by timeout.
        let _ = actix_rt::time::timeout(LEADERSHIP_TRANSFER_TIME, waiting).await;
        actix_rt::time::sleep(LEADERSHIP_TRANSFER_TIME).await;
        self.actor.do_send(Halt);
    }
}
