//! Start and stop of a daemon.

use crate::actor::{DaemonActor, Drain, GetRevision, Halt};
use crate::errors::{DaemonServerError, ListenSnafu};
use crate::http::{Shared, problem_response, routes};
use crate::metrics::DaemonMetrics;
use crate::platform;
use actix::{Actor, Addr};
use actix_web::dev::ServerHandle;
use actix_web::error::InternalError;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{App, HttpServer};
use luglink_daemon::{Daemon, DaemonConfig};
use luglink_settings::DaemonSettings;
use luglink_types::{DaemonId, MemberId, Refusal, RefusalCode, Revision, Timestamp, ZoneName};
use rand::RngCore;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// A running daemon.
pub struct DaemonServer {
    /// Address that serves callers.
    pub address: SocketAddr,
    actor: Addr<DaemonActor>,
    server: ServerHandle,
    platform: Option<actix_rt::task::JoinHandle<()>>,
    drain_timeout: Duration,
}

/// Time within which a client must send the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a daemon on the current actix thread.
///
/// # Errors
/// Returns an error if the settings violate a rule or the address cannot be used.
pub fn start(settings: &DaemonSettings) -> Result<DaemonServer, DaemonServerError> {
    let seed = rand::rng().next_u64();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let now = Timestamp::ZERO.plus(now);
    let daemon = Daemon::new(config(settings), seed, now)?;
    let metrics = DaemonMetrics::new()?;
    let poll_interval = Duration::from_millis(settings.engine_poll_ms);
    let actor = DaemonActor::new(
        daemon,
        settings.id,
        settings.members.clone(),
        metrics,
        poll_interval,
    )
    .start();
    let shared = Data::new(Shared {
        daemon: actor.clone(),
        last_ticket: AtomicU64::new(0),
    });
    let max_body = settings.max_body_bytes;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .app_data(PayloadConfig::new(max_body))
            .app_data(path_error_config())
            .configure(routes)
    })
    .workers(1)
    .disable_signals()
    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
    .bind(settings.listen)
    .context(ListenSnafu {
        address: settings.listen,
    })?;
    let address = server.addrs().first().copied().unwrap_or(settings.listen);
    let running = server.run();
    let handle = running.handle();
    actix_rt::spawn(running);
    tracing::info!(daemon = settings.id, zone = %settings.zone, %address, "daemon started");
    let platform = settings
        .platform
        .map(|platform| actix_rt::spawn(platform::follow_machines(actor.clone(), platform)));
    Ok(DaemonServer {
        address,
        actor,
        server: handle,
        platform,
        drain_timeout: Duration::from_millis(settings.drain_timeout_ms),
    })
}

fn path_error_config() -> actix_web::web::PathConfig {
    actix_web::web::PathConfig::default().error_handler(|error, _| {
        let refusal = Refusal::not_run(RefusalCode::InvalidRequest, format!("path: {error}"));
        InternalError::from_response(error, problem_response(&refusal)).into()
    })
}

fn config(settings: &DaemonSettings) -> DaemonConfig {
    let members = settings.members.iter().map(|member| MemberId(member.id));
    let mut config = DaemonConfig::new(
        DaemonId(settings.id),
        ZoneName(settings.zone.clone()),
        members.collect(),
    );
    config.program_groups = settings.program_groups;
    config.subset_size = settings.subset_size;
    config.max_queued_calls = settings.max_queued_calls;
    config.router.max_requests_per_replica = settings.max_requests_per_replica;
    config.history_cache_bytes = settings.history_cache_bytes;
    config
}

impl DaemonServer {
    /// Returns the revision of the configuration in force; `None` once the daemon has stopped.
    pub async fn configuration_revision(&self) -> Option<Revision> {
        self.actor.send(GetRevision).await.ok()
    }

    /// Stops at once, like a crash: waiting callers get no answer.
    pub async fn halt(mut self) {
        if let Some(platform) = self.platform.take() {
            platform.abort();
        }
        self.actor.do_send(Halt);
        self.server.stop(false).await;
    }

    /// Drains and stops: refuses new requests and answers every accepted one. Returns true if all
    /// of them were answered within the drain timeout.
    pub async fn stop(self) -> bool {
        let (drained, waiting) = oneshot::channel();
        self.actor.do_send(Drain(drained));
        let in_time = actix_rt::time::timeout(self.drain_timeout, waiting)
            .await
            .is_ok();
        // Slow callers may still be receiving their answers.
        self.server.stop(true).await;
        if let Some(platform) = &self.platform {
            platform.abort();
        }
        self.actor.do_send(Halt);
        in_time
    }
}
