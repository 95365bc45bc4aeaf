//! Metrics of the limits on peers.

use crate::account::{AccountEvent, ByteAccount};
use luglink_limits::{HeldBytes, ListenerKind};
use luglink_telemetry::{Metrics, TelemetryError};
use prometheus::{Gauge, IntCounter, IntCounterVec};
use std::rc::Rc;

/// Connections that were closed at the limit of their listener.
#[derive(Clone, Debug)]
pub struct ConnectionMetrics {
    closed: IntCounterVec,
}

impl ConnectionMetrics {
    /// Registers the metrics of a process.
    ///
    /// # Errors
    /// A metric cannot be registered.
    pub fn register(registry: &Metrics) -> Result<Self, TelemetryError> {
        let closed = registry.labelled_counter(
            "connections_closed_total",
            "Connections closed because their listener has too many",
            "listener",
        )?;
        Ok(Self { closed })
    }

    /// Returns the counter of a listener.
    #[must_use]
    pub fn closed(&self, listener: ListenerKind) -> IntCounter {
        self.closed.with_label_values(&[listener.as_str()])
    }
}

/// Bytes that peers make a process hold.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    held: Gauge,
    refusals: IntCounterVec,
}

impl PeerMetrics {
    /// Registers the metrics of a process.
    ///
    /// # Errors
    /// A metric cannot be registered.
    pub fn register(registry: &Metrics) -> Result<Self, TelemetryError> {
        Ok(Self {
            held: registry.gauge(
                "peer_bytes",
                "Bytes buffered for peers that have not sent all",
            )?,
            refusals: registry.labelled_counter(
                "peer_refusals_total",
                "Messages of peers that were refused for a limit",
                "reason",
            )?,
        })
    }

    /// Creates the account of a process with a limit in bytes. Refusals are counted and logged.
    #[must_use]
    pub fn account(&self, limit: u64) -> Rc<ByteAccount> {
        let metrics = self.clone();
        ByteAccount::new(HeldBytes::new(limit), move |event| metrics.note(event))
    }

    /// Counts a message that was refused for a limit.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    fn note(&self, event: AccountEvent<'_>) {
        match event {
            AccountEvent::Refused {
                name: peer,
                announced,
                held,
                limit,
            } => {
                let reason = limit.as_str();
                self.count_refusal(reason);
                tracing::warn!(peer, announced, held, reason, "message of a peer refused");
            }
            AccountEvent::Aborted {
                name: peer,
                bytes,
                held,
                reason,
            } => {
                self.count_refusal(reason);
                tracing::warn!(peer, bytes, held, reason, "message of a peer given up");
            }
            AccountEvent::Changed { held } => self.held.set(held as f64),
        }
    }
}
