//! Accounting of the memory that request and response bodies occupy in this gateway.
//!
//! [`HeldBytes`] decides which requests are admitted and which are aborted; this module applies
//! its decisions to the requests and exports them as metrics.

use crate::metrics::GatewayMetrics;
use luglink_scheduling::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
use luglink_types::TenantName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes held by all requests of the gateway.
#[derive(Debug)]
pub(crate) struct HeldBytesLedger {
    bytes: RefCell<HeldBytes>,
    requests: RefCell<HashMap<HolderId, Rc<HeldRequest>>>,
    metrics: GatewayMetrics,
}

/// State through which a request learns that it is aborted.
#[derive(Debug)]
struct HeldRequest {
    id: String,
    aborted_by: Cell<Option<HeldBytesLimit>>,
    abort_signal: Notify,
}

impl HeldBytesLedger {
    /// Creates a ledger with a limit in bytes. Without a limit, bytes are only counted.
    pub(crate) fn new(limit: Option<u64>, metrics: GatewayMetrics) -> Rc<Self> {
        let bytes = limit.map_or_else(HeldBytes::unbounded, HeldBytes::new);
        Rc::new(Self {
            bytes: RefCell::new(bytes),
            requests: RefCell::default(),
            metrics,
        })
    }

    /// Admits a request whose declared body length is `announced` bytes.
    ///
    /// # Errors
    /// Returns the bound that the request would exceed. Nothing of its body was read.
    pub(crate) fn admit(
        self: &Rc<Self>,
        id: &str,
        tenant: Option<TenantName>,
        announced: u64,
    ) -> Result<HeldBytesGuard, HeldBytesLimit> {
        let admitted = self.bytes.borrow_mut().admit(tenant, announced);
        let holder = admitted.inspect_err(|bound| {
            let reason = bound.as_str();
            self.metrics
                .held_refusals
                .with_label_values(&[reason])
                .inc();
            let held = self.bytes.borrow().total();
            tracing::info!(
                id,
                announced,
                held,
                reason,
                "request refused: its body would exceed a limit of held bytes"
            );
        })?;
        let request = Rc::new(HeldRequest {
            id: id.to_owned(),
            aborted_by: Cell::new(None),
            abort_signal: Notify::new(),
        });
        let mut requests = self.requests.borrow_mut();
        requests.insert(holder, Rc::clone(&request));
        self.update_gauge();
        Ok(HeldBytesGuard {
            ledger: Rc::clone(self),
            holder,
            request,
            request_bytes: Cell::new(announced),
        })
    }

    fn update_gauge(&self) {
        let total = self.bytes.borrow().total();
        self.metrics.held_bytes.set(total as f64);
    }

    fn resize(&self, holder: HolderId, bytes: u64) -> Result<(), HeldBytesLimit> {
        let growth = self.bytes.borrow_mut().resize(holder, bytes);
        let result = match growth {
            Growth::Granted(cuts) => {
                cuts.iter().for_each(|cut| self.abort(cut));
                Ok(())
            }
            Growth::Denied(bound) => Err(bound),
        };
        self.update_gauge();
        result
    }

    fn abort(&self, cut: &HeldAbort) {
        let Some(request) = self.requests.borrow_mut().remove(&cut.holder) else {
            return;
        };
        self.note_aborted(&request.id, cut.bytes, cut.bound.as_str());
        request.aborted_by.set(Some(cut.bound));
        request.abort_signal.notify_one();
    }

    /// Counts and logs an aborted request.
    fn note_aborted(&self, id: &str, bytes: u64, reason: &str) {
        self.metrics.held_cuts.with_label_values(&[reason]).inc();
        let total = self.bytes.borrow().total();
        tracing::warn!(
            id,
            bytes,
            total,
            reason,
            "request aborted for the memory that it holds"
        );
    }
}

/// Bytes held by one request. Dropping the guard releases all of them.
#[derive(Debug)]
pub(crate) struct HeldBytesGuard {
    ledger: Rc<HeldBytesLedger>,
    holder: HolderId,
    request: Rc<HeldRequest>,
    /// Bytes of the request's body and prompt, without the response.
    request_bytes: Cell<u64>,
}

impl HeldBytesGuard {
    /// Sets the size of the request's body and prompt.
    ///
    /// # Errors
    /// Returns the bound that the new size would exceed.
    pub(crate) fn set_request(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.resize(bytes)?;
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
        self.resize(self.request_bytes.get().saturating_add(bytes))
    }

    fn resize(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        if let Some(bound) = self.request.aborted_by.get() {
            return Err(bound);
        }
        let grown = self.ledger.resize(self.holder, bytes);
        grown.inspect_err(|bound| self.note_aborted(bound.as_str()))
    }

    /// Sets whether the request may be aborted. It may not while a replica may be running it and
    /// the caller has received nothing of the response, nor while its turn is being stored.
    pub(crate) fn set_abortable(&self, can_be_cut: bool) {
        let mut bytes = self.ledger.bytes.borrow_mut();
        bytes.set_abortable(self.holder, can_be_cut);
    }

    /// Waits until the request is aborted. Returns the bound that was exceeded.
    pub(crate) async fn wait_for_abort(&self) -> HeldBytesLimit {
        loop {
            if let Some(bound) = self.request.aborted_by.get() {
                return bound;
            }
            self.request.abort_signal.notified().await;
        }
    }

    /// Counts and logs that the request is aborted for the memory that it holds: because it
    /// exceeds a bound, or because the caller does not read the response.
    pub(crate) fn note_aborted(&self, reason: &str) {
        let bytes = self.ledger.bytes.borrow().of_holder(self.holder);
        let bytes = bytes.unwrap_or_default();
        self.ledger.note_aborted(&self.request.id, bytes, reason);
    }
}

impl Drop for HeldBytesGuard {
    fn drop(&mut self) {
        self.ledger.requests.borrow_mut().remove(&self.holder);
        self.ledger.bytes.borrow_mut().release(self.holder);
        self.ledger.update_gauge();
    }
}
