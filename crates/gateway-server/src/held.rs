//! Accounting of the memory that request and response bodies occupy in this gateway, with its logs
//! and metrics.

use crate::metrics::GatewayMetrics;
use luglink_limits::{HeldBytes, HeldBytesLimit};
use luglink_net::{AccountEvent, ByteAccount, ByteGuard};
use luglink_types::TenantName;
use std::cell::Cell;
use std::rc::Rc;

/// Bytes held by all requests of the gateway.
#[derive(Clone, Debug)]
pub(crate) struct HeldBytesLedger(Rc<ByteAccount>);

impl HeldBytesLedger {
    /// Creates a ledger with a limit in bytes. Without a limit, bytes are only counted.
    pub(crate) fn new(limit: Option<u64>, metrics: GatewayMetrics) -> Self {
        let bytes = limit.map_or_else(HeldBytes::unbounded, HeldBytes::new);
        Self(ByteAccount::new(bytes, move |event| note(&metrics, event)))
    }

    /// Admits a request whose declared body length is `announced` bytes.
    ///
    /// # Errors
    /// Returns the bound that the request would exceed. Nothing of its body was read.
    pub(crate) fn admit(
        &self,
        id: &str,
        tenant: Option<TenantName>,
        announced: u64,
    ) -> Result<HeldBytesGuard, HeldBytesLimit> {
        let bytes = self.0.admit(id, tenant, announced)?;
        Ok(HeldBytesGuard {
            bytes,
            request_bytes: Cell::new(announced),
        })
    }
}

fn note(metrics: &GatewayMetrics, event: AccountEvent<'_>) {
    match event {
        AccountEvent::Refused {
            name: id,
            announced,
            held,
            limit,
        } => {
            let reason = limit.as_str();
            metrics.held_refusals.with_label_values(&[reason]).inc();
            tracing::info!(
                id,
                announced,
                held,
                reason,
                "request refused: its body would exceed a limit of held bytes"
            );
        }
        AccountEvent::Aborted {
            name: id,
            bytes,
            held: total,
            reason,
        } => {
            metrics.held_cuts.with_label_values(&[reason]).inc();
            tracing::warn!(
                id,
                bytes,
                total,
                reason,
                "request aborted for the memory that it holds"
            );
        }
        AccountEvent::Changed { held } => metrics.held_bytes.set(held as f64),
    }
}

/// Bytes held by one request. Dropping the guard releases all of them.
#[derive(Debug)]
pub(crate) struct HeldBytesGuard {
    bytes: ByteGuard,
    /// Bytes of the request's body and prompt, without the response.
    request_bytes: Cell<u64>,
}

impl HeldBytesGuard {
    /// Sets the size of the request's body and prompt.
    ///
    /// # Errors
    /// Returns the bound that the new size would exceed.
    pub(crate) fn set_request(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.bytes.resize(bytes)?;
        self.request_bytes.set(bytes);
        Ok(())
    }

    /// Adds the size of the assembled prompt, which includes the previous turns.
    ///
    /// # Errors
    /// Returns the bound that the new size would exceed.
    pub(crate) fn add_prompt(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.set_request(self.request_bytes.get().saturating_add(bytes))
    }

    /// Sets the size of the buffered part of the response.
    ///
    /// # Errors
    /// Returns the exceeded bound. The request is aborted and must release its buffers.
    pub(crate) fn set_answer(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.bytes
            .resize(self.request_bytes.get().saturating_add(bytes))
    }

    /// Sets whether the request may be aborted. It may not while a replica may be running it and
    /// the caller has received nothing of the response, nor while its turn is being stored.
    pub(crate) fn set_abortable(&self, can_be_cut: bool) {
        self.bytes.set_abortable(can_be_cut);
    }

    /// Waits until the request is aborted. Returns the bound that was exceeded.
    pub(crate) async fn wait_for_abort(&self) -> HeldBytesLimit {
        self.bytes.wait_for_abort().await
    }

    /// Counts and logs that the request is aborted for the memory that it holds, because the caller
    /// does not read the response.
    pub(crate) fn note_aborted(&self, reason: &'static str) {
        self.bytes.tell_aborted(reason);
    }
}
