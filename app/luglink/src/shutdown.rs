//! Signals of a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("a planned stop begins");
    Ok(())
}

/// Waits for SIGHUP.
pub(crate) async fn reload_requested() -> std::io::Result<()> {
    signal(SignalKind::hangup())?.recv().await;
    Ok(())
}
