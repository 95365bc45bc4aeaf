//! `luglink daemon`: runs the daemon that serves the callers of one machine.

use crate::exit::{Exit, Failure};
use crate::options::ServerOptions;
use crate::shutdown::stop_requested;
use luglink_settings::{DaemonSettings, Role, load};

pub(crate) fn run(options: ServerOptions) -> Result<Exit, Failure> {
    let invalid_input = |error: String| Failure::new(Exit::InvalidInput, error);
    let overrides = options.overrides().map_err(invalid_input)?;
    let settings = load(options.config.as_deref(), overrides, Role::Daemon)
        .map_err(|error| invalid_input(error.to_string()))?;
    luglink_telemetry::init_logs(&settings.log_filter)
        .map_err(|error| invalid_input(error.to_string()))?;
    let daemon = settings
        .daemon
        .ok_or_else(|| invalid_input("the settings have no section [daemon]".to_owned()))?;
    actix_rt::System::new().block_on(serve(daemon))
}

async fn serve(settings: DaemonSettings) -> Result<Exit, Failure> {
    let unavailable = |error: String| Failure::new(Exit::Unavailable, error);
    let server =
        luglink_daemon_server::start(&settings).map_err(|error| unavailable(error.to_string()))?;
    println!("listening on {}", server.address);
    stop_requested()
        .await
        .map_err(|error| unavailable(error.to_string()))?;
    if server.stop().await {
        return Ok(Exit::Success);
    }
    Ok(Exit::DrainTimeout)
}
