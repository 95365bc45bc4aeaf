//! A control member of a managed fleet, whose members come and go by themselves.
//!
//! Members are named by their IP numbers, so that a member which knows another's name can reach
//! it. At the fleet's first start the seeds form the configuration group; everyone else, and
//! every empty disk later, asks to be let in.

use crate::actor::{ControlActor, Halt, OwnRequest, Reopen, SocketEvent, now};
use crate::errors::{ControlServerError, ListenSnafu};
use crate::joining::{JoinConfig, ask_when_alone};
use crate::list::{self, PollConfig, Poller};
use crate::metrics::MemberMetrics;
use crate::operator::OperatorService;
use crate::peers::Peers;
use crate::relay::{self, RelayConfig};
use crate::resolution::ResolutionService;
use actix::{Actor, Addr};
use http::Request;
use hyper::body::Incoming;
use luglink_control::{ControlConfig, ControlNode, ManagedConfig, Request as Ask};
use luglink_edge::Dialect;
use luglink_fleet::ListReadLimits;
use luglink_http::{ServeOptions, serve, stopper};
use luglink_settings::{FleetSettings, ManagedMemberSettings};
use luglink_storage::FileDisk;
use luglink_types::MemberId;
use rand::RngCore;
use snafu::ResultExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Longest rest of a connection of an operator or of a caller that asks where to go.
const CONNECTION_IDLE: Duration = Duration::from_secs(30);

/// Time that a hand-over of leadership needs: a round trip and an election.
const HAND_OVER_TIME: Duration = Duration::from_millis(400);

/// Bytes of the log's segments.
const SEGMENT_BYTES: u64 = 8 << 20;

/// How a member runs.
#[derive(Clone, Debug)]
pub struct ManagedServerConfig {
    /// What every process of the fleet is told.
    pub fleet: FleetSettings,
    /// What members are told.
    pub member: ManagedMemberSettings,
}

/// A running member.
#[derive(Debug)]
pub struct ManagedServer {
    /// Internal address.
    pub address: SocketAddr,
    /// Address of the metrics, when they are served.
    pub metrics_address: Option<SocketAddr>,
    actor: Addr<ControlActor>,
    seeds: Rc<RefCell<Vec<SocketAddr>>>,
}

/// Starts a member on the current actix thread.
///
/// # Errors
/// An address is taken.
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
    let metrics_address =
        luglink_metrics_server::start(config.member.metrics_listen, &metrics.registry).await;
    tracing::info!(name = fleet.name, %address, "control member started");
    let peers = Peers::by_address(member, fleet.member_port());
    let actor = ControlActor::reopening(peers, reopen(config.clone(), member)).start();
    actix_rt::spawn(luglink_net::serve(listener, {
        let actor = actor.clone();
        move |event| actor.do_send(SocketEvent(event))
    }));
    serve_operators(config, &actor, &dialect, &metrics, operators);
    serve_resolutions(config, &actor, &dialect, &metrics, resolutions);
    let poll = PollConfig {
        address: fleet.list_address,
        rates: ListReadLimits {
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
    actix_rt::spawn(relay::tell_neighbours(actor.clone(), relay));
    let seeds = Rc::new(RefCell::new(fleet.member_seeds()));
    let join = JoinConfig {
        own: address,
        seeds: Rc::clone(&seeds),
    };
    actix_rt::spawn(ask_when_alone(actor.clone(), join));
    Ok(ManagedServer {
        address,
        metrics_address,
        actor,
        seeds,
    })
}

/// Reads the member from its data folder. A disk that is full or fails is tried again: a member
/// that ends instead would only be started again, and meanwhile tell nobody where to go.
fn reopen(config: ManagedServerConfig, member: MemberId) -> Reopen {
    Box::new(move || {
        let disk = FileDisk::open(&config.member.data_folder)?;
        let seed = rand::rng().next_u64();
        ControlNode::start(control_config(&config, member), disk, seed, now())
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
        // A third each for the change's own way, for those who tell first, and for the others.
        document_patience: Duration::from_millis(fleet.change_ms / 3),
        freshness: Duration::from_millis(fleet.change_ms / 3),
        // A list is told at the latest one reading and one hold after the platform showed it.
        longest_observe_hold: fleet.list_stale_after() / 4,
        ..ManagedConfig::default()
    });
    control
}

fn serve_options() -> ServeOptions {
    ServeOptions {
        max_header_bytes: 16 << 10,
        idle_timeout: CONNECTION_IDLE,
        unread: None,
    }
}

fn serve_operators(
    config: &ManagedServerConfig,
    actor: &Addr<ControlActor>,
    dialect: &Rc<dyn Dialect>,
    metrics: &MemberMetrics,
    listener: TcpListener,
) {
    let service = OperatorService {
        control: actor.clone(),
        dialect: Rc::clone(dialect),
        port: config.member.operator_listen.port(),
        metrics: metrics.clone(),
    };
    let handler = Rc::new(move |request: Request<Incoming>| service.clone().handle(request));
    let (_, signal) = stopper();
    actix_rt::spawn(serve(listener, serve_options, signal, handler));
}

fn serve_resolutions(
    config: &ManagedServerConfig,
    actor: &Addr<ControlActor>,
    dialect: &Rc<dyn Dialect>,
    metrics: &MemberMetrics,
    listener: TcpListener,
) {
    let longest = Duration::from_secs_f64(config.fleet.resolution_s);
    let service = ResolutionService {
        control: actor.clone(),
        dialect: Rc::clone(dialect),
        longest,
        salt: u64::from(u32::from(config.fleet.ip)),
        metrics: metrics.clone(),
    };
    let handler = Rc::new(move |request: Request<Incoming>| service.clone().handle(request));
    let (_, signal) = stopper();
    actix_rt::spawn(serve(listener, serve_options, signal, handler));
}

impl ManagedServer {
    /// Asks these members to be let in, when it must ask, instead of those named before.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Hands over leadership, lets that settle, and stops.
    pub async fn stop(self) {
        let (answer, waiting) = oneshot::channel();
        let request = Ask::TransferLeadership;
        self.actor.do_send(OwnRequest { request, answer });
        // A member that cannot hand over stops all the same; the others elect a leader.
        let _ = actix_rt::time::timeout(HAND_OVER_TIME, waiting).await;
        actix_rt::time::sleep(HAND_OVER_TIME).await;
        self.actor.do_send(Halt);
    }
}
