//! `luglink control`: runs a control member.

use crate::exit::{Exit, Failure};
use crate::options::ServerOptions;
use crate::shutdown::stop_requested;
use luglink_settings::{ControlSettings, Role, load};

pub(crate) fn run(options: ServerOptions) -> Result<Exit, Failure> {
    let invalid_input = |error: String| Failure::new(Exit::InvalidInput, error);
    let overrides = options.overrides().map_err(invalid_input)?;
    let settings = load(options.config.as_deref(), overrides, Role::Control)
        .map_err(|error| invalid_input(error.to_string()))?;
    luglink_telemetry::init_logs(&settings.log_filter)
        .map_err(|error| invalid_input(error.to_string()))?;
    let control = settings
        .control
        .ok_or_else(|| invalid_input("the settings have no section [control]".to_owned()))?;
    actix_rt::System::new().block_on(serve(control))
}

async fn serve(settings: ControlSettings) -> Result<Exit, Failure> {
    let unavailable = |error: String| Failure::new(Exit::Unavailable, error);
    let mut server = luglink_control_server::start(&settings)
        .await
        .map_err(|error| unavailable(error.to_string()))?;
    println!(
        "listening on {}, administration on {}",
        server.address, server.admin_address
    );
    tokio::select! {
        failure = server.failed() => {
            let reason = failure.map_or_else(
                || "the control member stopped unexpectedly".to_owned(),
                |failure| failure.to_string(),
            );
            return Err(unavailable(reason));
        }
        stop = stop_requested() => stop.map_err(|error| unavailable(error.to_string()))?,
    }
    server.stop().await;
    Ok(Exit::Success)
}
