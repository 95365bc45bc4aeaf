//! Signals that request a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("received a stop signal");
    Ok(())
}
