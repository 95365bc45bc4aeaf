//! Start and stop of a control member with a fixed set of members.

use crate::actor::{ControlActor, Halt, LocalRequest, SocketEvent, now};
use crate::admin::AdminService;
use crate::errors::{ControlServerError, ListenSnafu, StoppedSnafu};
use crate::peers::Peers;
use actix::{Actor, Addr};
use luglink_admin_api::v1::admin_server::AdminServer;
use luglink_control::{ControlConfig, ControlError, ControlNode, Request, Response};
use luglink_limits::Machine;
use luglink_net::ListenerLimits;
use luglink_program::RefundRule;
use luglink_settings::ControlSettings;
use luglink_storage::FileDisk;
use luglink_telemetry::Metrics;
use luglink_types::MemberId;
use rand::RngCore;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;

/// Memory and open files that the limits of the internal listener allow for.
const MACHINE: Machine = Machine {
    memory_bytes: 1 << 30,
    open_files: 8_192,
};

/// A running control member.
#[derive(Debug)]
pub struct ControlServer {
    /// Address for members and clients.
    pub address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    actor: Addr<ControlActor>,
    accepting: actix_rt::task::JoinHandle<()>,
    serving: actix_rt::task::JoinHandle<()>,
    failed: Option<oneshot::Receiver<ControlError>>,
}

/// Starts a member on the current actix thread.
///
/// # Errors
/// Fails if the data folder is damaged, full, read-only or belongs to another member, or if an
/// address cannot be used.
pub async fn start(settings: &ControlSettings) -> Result<ControlServer, ControlServerError> {
    let listener = bind(settings.listen).await?;
    let admin_listener = bind(settings.admin_listen).await?;
    start_on(settings, listener, admin_listener)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ControlServerError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn start_on(
    settings: &ControlSettings,
    listener: TcpListener,
    admin_listener: TcpListener,
) -> Result<ControlServer, ControlServerError> {
    let local =
        |listener: &TcpListener, address| listener.local_addr().context(ListenSnafu { address });
    let address = local(&listener, settings.listen)?;
    let admin_address = local(&admin_listener, settings.admin_listen)?;
    let disk = FileDisk::open(&settings.data_folder)?;
    let seed = rand::rng().next_u64();
    let node = ControlNode::start(config(settings), disk, seed, now())?;
    tracing::info!(
        member = settings.id,
        peer = %node.peer(),
        %address,
        %admin_address,
        "control member started"
    );
    let peers = Peers::open(MemberId(settings.id), &settings.members);
    let (failed_sender, failed) = oneshot::channel();
    let actor = ControlActor::new(node, peers, failed_sender).start();
    let limits = ListenerLimits::for_machine(MACHINE, &Metrics::new())?;
    let accepting = actix_rt::spawn(luglink_net::serve(listener, limits, {
        let actor = actor.clone();
        move |event| actor.do_send(SocketEvent(event))
    }));
    let admin = AdminServer::new(AdminService::new(actor.clone()));
    let serving = actix_rt::spawn(async move {
        let served = tonic::transport::Server::builder()
            .add_service(admin)
            .serve_with_incoming(TcpListenerStream::new(admin_listener))
            .await;
        if let Err(error) = served {
            tracing::error!(%error, "administration API failed");
        }
    });
    Ok(ControlServer {
        address,
        admin_address,
        actor,
        accepting,
        serving,
        failed: Some(failed),
    })
}

fn config(settings: &ControlSettings) -> ControlConfig {
    let members = settings.members.iter().map(|member| MemberId(member.id));
    let mut config = ControlConfig::new(MemberId(settings.id), members.collect());
    config.program_groups = settings.program_groups;
    config.replication = settings.replication;
    config.configuration_voters = settings.configuration_voters;
    config.bootstrap = settings.bootstrap;
    config.raft.heartbeat_interval = Duration::from_millis(settings.heartbeat_ms);
    config.raft.election_timeout = Duration::from_millis(settings.election_timeout_ms);
    config.snapshot_entries = settings.snapshot_entries;
    config.refund = if settings.refund_unused {
        RefundRule::UnusedPart
    } else {
        RefundRule::Never
    };
    config
}

impl ControlServer {
    /// Sends a request to the member and returns its response.
    ///
    /// # Errors
    /// Fails if the member has stopped.
    pub async fn request(&self, request: Request) -> Result<Response, ControlServerError> {
        let (answer, waiting) = oneshot::channel();
        self.actor.do_send(LocalRequest { request, answer });
        waiting.await.ok().context(StoppedSnafu)
    }

    /// Waits until the member stops because of a failure, and returns the failure.
    pub async fn failed(&mut self) -> Option<ControlError> {
        match self.failed.take() {
            Some(failed) => failed.await.ok(),
            None => std::future::pending().await,
        }
    }

    /// Stops the member at once, as a crash would. Synced data remains on disk.
    pub fn halt(self) {
        self.accepting.abort();
        self.serving.abort();
        self.actor.do_send(Halt);
    }

    /// Transfers leadership, waits for the election of another leader, and stops.
    pub async fn stop(self) {
        // Stops even if the transfer fails; the other members then elect a leader by timeout.
        let _ = self.request(Request::TransferLeadership).await;
        actix_rt::time::sleep(LEADERSHIP_TRANSFER_TIME).await;
        self.halt();
    }
}

/// Time for a transfer of leadership: a round trip and an election.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(300);
