//! Start and stop of a control member.

use crate::actor::{ControlActor, Halt, OwnRequest, SocketEvent, now};
use crate::admin::AdminService;
use crate::errors::{ControlServerError, ListenSnafu, StoppedSnafu};
use crate::peers::Peers;
use actix::{Actor, Addr};
use luglink_admin_api::v1::admin_server::AdminServer;
use luglink_control::{ControlConfig, ControlError, ControlNode, Request, Response};
use luglink_program::RefundRule;
use luglink_settings::ControlSettings;
use luglink_storage::FileDisk;
use luglink_types::MemberId;
use rand::RngCore;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;

/// A running control member.
#[derive(Debug)]
pub struct ControlServer {
    /// Internal address.
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
/// The data folder is damaged, full, read-only or another member's, or an address is taken.
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
    tracing::info!(member = settings.id, peer = %node.peer(), %address, %admin_address, "control member started");
    let peers = Peers::open(MemberId(settings.id), &settings.members);
    let (failed_sender, failed) = oneshot::channel();
    let actor = ControlActor::new(node, peers, failed_sender).start();
    let accepting = actix_rt::spawn(luglink_net::serve(listener, {
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
            tracing::error!(%error, "the administration API stopped");
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
    /// Asks the member something.
    ///
    /// # Errors
    /// The member has stopped.
    pub async fn request(&self, request: Request) -> Result<Response, ControlServerError> {
        let (answer, waiting) = oneshot::channel();
        self.actor.do_send(OwnRequest { request, answer });
        waiting.await.ok().context(StoppedSnafu)
    }

    /// Waits until the member stops by itself, which it does when its disk fails.
    pub async fn failed(&mut self) -> Option<ControlError> {
        match self.failed.take() {
            Some(failed) => failed.await.ok(),
            None => std::future::pending().await,
        }
    }

    /// Stops at once, as a crash would. What was synced stays.
    pub fn halt(self) {
        self.accepting.abort();
        self.serving.abort();
        self.actor.do_send(Halt);
    }

    /// Hands over leadership, lets that settle, and stops.
    pub async fn stop(self) {
        // A member that cannot hand over stops all the same; the others elect a leader.
        let _ = self.request(Request::TransferLeadership).await;
        actix_rt::time::sleep(HAND_OVER_TIME).await;
        self.halt();
    }
}

/// Time that a hand-over needs: a round trip and an election.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);
