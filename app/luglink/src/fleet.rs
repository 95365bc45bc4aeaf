//! Processes of a managed fleet: `luglink gateway`, `luglink store`, `luglink member`.

use crate::exit::{Exit, Failure};
use crate::options::{DialectName, FleetOptions};
use crate::reload::{SettingsWatcher, modified_at};
use crate::shutdown::stop_requested;
use luglink_control_server::{ManagedServerConfig, start_managed};
use luglink_edge::{Dialect, LuglinkDialect};
use luglink_fleet_client::ObserverConfig;
use luglink_gateway_server::GatewayConfig;
use luglink_platform::PlatformDialect;
use luglink_quota::Tolerance;
use luglink_scheduling::Features;
use luglink_settings::{FleetSettings, Role, Settings, load, settings_file};
use luglink_store_server::StoreServerConfig;
use luglink_telemetry::LogGuard;
use luglink_turns::Replication;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// A gateway's turn cache uses at most the memory limit divided by this number.
const TURN_CACHE_DIVISOR: u64 = 8;

/// Part of the stop timeout that is reserved for the process to exit after the requests in flight
/// have ended.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// Loaded settings of a process and what is needed to reload them.
struct Process {
    file: Option<PathBuf>,
    /// Modification time of the file, taken before `settings` were read from it.
    file_modified_at: Option<SystemTime>,
    overrides: Vec<(String, String)>,
    role: Role,
    settings: Settings,
    fleet: FleetSettings,
    dialect: Rc<dyn Dialect>,
    _log_guard: LogGuard,
}

impl Process {
    /// Starts to watch the settings. Must be called before anything else starts, because SIGHUP
    /// ends a process that has no handler for it.
    fn watch_settings(&self) -> Result<SettingsWatcher, Failure> {
        SettingsWatcher::new(self.file.clone(), self.file_modified_at).map_err(unavailable)
    }
}

fn invalid_input(error: impl ToString) -> Failure {
    Failure::new(Exit::InvalidInput, error.to_string())
}

fn unavailable(error: impl ToString) -> Failure {
    Failure::new(Exit::Unavailable, error.to_string())
}

/// Loads the settings and starts logging.
fn prepare(options: &FleetOptions, role: Role) -> Result<Process, Failure> {
    let overrides = options.server.overrides().map_err(invalid_input)?;
    let file = settings_file(options.server.config.clone());
    let file_modified_at = modified_at(file.as_ref());
    let settings =
        load(options.server.config.as_deref(), overrides.clone(), role).map_err(invalid_input)?;
    let log_guard =
        luglink_telemetry::init_non_blocking_logs(&settings.log_filter).map_err(invalid_input)?;
    let fleet = settings
        .fleet
        .clone()
        .ok_or_else(|| invalid_input("the settings have no section [fleet]"))?;
    let dialect: Rc<dyn Dialect> = match options.dialect {
        DialectName::Luglink => Rc::new(LuglinkDialect::default()),
        DialectName::Platform => Rc::new(PlatformDialect::default()),
    };
    Ok(Process {
        file,
        file_modified_at,
        overrides,
        role,
        settings,
        fleet,
        dialect,
        _log_guard: log_guard,
    })
}

fn observer_config(fleet: &FleetSettings) -> ObserverConfig {
    ObserverConfig {
        seeds: fleet.member_seeds(),
        member_port: fleet.member_port(),
    }
}

fn replication(fleet: &FleetSettings) -> Replication {
    Replication::surviving(fleet.tolerated_losses)
}

/// Waits for a stop signal. Whenever the settings change, passes the control members that they name
/// to `on_members`. All other changes take effect at the next start.
async fn serve_until_stopped(
    process: &Process,
    mut watcher: SettingsWatcher,
    on_members: impl Fn(Vec<SocketAddr>),
) -> Result<(), Failure> {
    let stop = stop_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => return stopped.map_err(unavailable),
            () = watcher.wait() => reload_members(process, &on_members),
        }
    }
}

/// Loads the settings again and passes their control members to `on_members`. Invalid settings are
/// logged and change nothing.
fn reload_members(process: &Process, on_members: &impl Fn(Vec<SocketAddr>)) {
    let loaded = load(
        process.file.as_deref(),
        process.overrides.clone(),
        process.role,
    );
    match loaded.map(|settings| settings.fleet) {
        Ok(Some(fleet)) => {
            let members = fleet.member_seeds();
            tracing::info!(
                ?members,
                "settings reloaded; only the control members take effect before a restart"
            );
            on_members(members);
        }
        Ok(None) => {}
        Err(error) => tracing::error!(%error, "cannot reload settings; keeping the previous ones"),
    }
}

pub(crate) fn gateway(options: FleetOptions) -> Result<Exit, Failure> {
    let process = prepare(&options, Role::Gateway)?;
    actix_rt::System::new().block_on(async {
        let watcher = process.watch_settings()?;
        let gateway = process
            .settings
            .gateway
            .as_ref()
            .ok_or_else(|| invalid_input("the settings have no section [gateway]"))?;
        let fleet = &process.fleet;
        let stop_timeout = Duration::from_secs_f64(fleet.stop_s);
        let config = GatewayConfig {
            name: fleet.name.clone(),
            zone: fleet.zone.clone(),
            listen: gateway.listen,
            ready_listen: gateway.ready_listen,
            metrics_listen: gateway.metrics_listen,
            observer: observer_config(fleet),
            list_address: fleet.list_address,
            list_calls_per_s: fleet.list_calls_per_s,
            list_stale_after: fleet.list_stale_after(),
            draining_continuation: fleet.draining_continuation(),
            replication: replication(fleet),
            full_at: gateway.full_at,
            features: Features::new(gateway.scheduling, fleet.expects_overload()),
            keys_expire_after: fleet
                .fail_closed
                .then(|| Duration::from_millis(fleet.revoke_ms)),
            stop_timeout: stop_timeout.saturating_sub(STOP_RESERVE),
            machine: fleet.machine(),
            held_bytes_limit: fleet.machine().held_bytes(),
            turn_cache_bytes: usize::try_from((fleet.memory_mb << 20) / TURN_CACHE_DIVISOR)
                .unwrap_or(usize::MAX),
        };
        let server = luglink_gateway_server::start(config, Rc::clone(&process.dialect))
            .await
            .map_err(unavailable)?;
        serve_until_stopped(&process, watcher, |members| server.add_members(&members)).await?;
        Ok(match server.stop().await {
            true => Exit::Success,
            false => Exit::DrainTimeout,
        })
    })
}

pub(crate) fn store(options: FleetOptions) -> Result<Exit, Failure> {
    let process = prepare(&options, Role::Store)?;
    actix_rt::System::new().block_on(async {
        let watcher = process.watch_settings()?;
        let store = process
            .settings
            .store
            .as_ref()
            .ok_or_else(|| invalid_input("the settings have no section [store]"))?;
        let fleet = &process.fleet;
        let config = StoreServerConfig {
            name: fleet.name.clone(),
            zone: fleet.zone.clone(),
            listen: (fleet.ip, fleet.store_port()).into(),
            advertised: None,
            data_folder: store.data_folder.clone(),
            first_start: fleet.first_start,
            replication: replication(fleet),
            segment_bytes: store.segment_bytes,
            quota_tolerance: Tolerance {
                window: Duration::from_secs_f64(fleet.quota_window_s),
                overage: fleet.quota_overage,
                slack: fleet.quota_slack,
            },
            observer: observer_config(fleet),
            metrics_listen: store.metrics_listen,
            machine: fleet.machine(),
        };
        let server = luglink_store_server::start(config)
            .await
            .map_err(unavailable)?;
        serve_until_stopped(&process, watcher, |members| server.add_members(&members)).await?;
        Ok(Exit::Success)
    })
}

pub(crate) fn member(options: FleetOptions) -> Result<Exit, Failure> {
    let process = prepare(&options, Role::Member)?;
    actix_rt::System::new().block_on(async {
        let watcher = process.watch_settings()?;
        let config = ManagedServerConfig {
            fleet: process.fleet.clone(),
            member: process
                .settings
                .member
                .clone()
                .ok_or_else(|| invalid_input("the settings have no section [member]"))?,
        };
        let server = start_managed(&config, Rc::clone(&process.dialect))
            .await
            .map_err(unavailable)?;
        serve_until_stopped(&process, watcher, |members| server.set_seeds(members)).await?;
        server.stop().await;
        Ok(Exit::Success)
    })
}
