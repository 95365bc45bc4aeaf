//! The bytes that this gateway holds for callers and replicas: who holds how many, and who has to
//! let go. The decisions are those of [`HeldBytes`]; here they reach the requests concerned.

use crate::metrics::GatewayMetrics;
use luglink_scheduling::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
use luglink_types::TenantName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What all requests hold together.
#[derive(Debug)]
pub(crate) struct HeldBytesLedger {
    bytes: RefCell<HeldBytes>,
    requests: RefCell<HashMap<HolderId, Rc<Request>>>,
    metrics: GatewayMetrics,
}

/// What a holder is told.
#[derive(Debug)]
struct Request {
    id: String,
    cut: Cell<Option<HeldBytesLimit>>,
    told: Notify,
}

impl HeldBytesLedger {
    /// `limit` bytes may be held; with none, they are only counted.
    pub(crate) fn new(limit: Option<u64>, metrics: GatewayMetrics) -> Rc<Self> {
        let bytes = limit.map_or_else(HeldBytes::unbounded, HeldBytes::new);
        Rc::new(Self {
            bytes: RefCell::new(bytes),
            requests: RefCell::default(),
            metrics,
        })
    }

    /// Makes room for a request that announces a body of `announced` bytes.
    ///
    /// # Errors
    /// The bound that leaves none. Nothing of the request was read.
    pub(crate) fn admit(
        self: &Rc<Self>,
        id: &str,
        tenant: Option<TenantName>,
        announced: u64,
    ) -> Result<Held, HeldBytesLimit> {
        let admitted = self.bytes.borrow_mut().admit(tenant, announced);
        let holder = admitted.inspect_err(|bound| {
            let reason = bound.as_str();
            self.metrics
                .held_refusals
                .with_label_values(&[reason])
                .inc();
            let held = self.bytes.borrow().total();
            tracing::info!(id, announced, held, reason, "no room for a request's body");
        })?;
        let request = Rc::new(Request {
            id: id.to_owned(),
            cut: Cell::new(None),
            told: Notify::new(),
        });
        let mut requests = self.requests.borrow_mut();
        requests.insert(holder, Rc::clone(&request));
        self.show();
        Ok(Held {
            ledger: Rc::clone(self),
            holder,
            request,
            request_bytes: Cell::new(announced),
        })
    }

    fn show(&self) {
        let total = self.bytes.borrow().total();
        self.metrics.held_bytes.set(total as f64);
    }

    fn resize(&self, holder: HolderId, bytes: u64) -> Result<(), HeldBytesLimit> {
        let growth = self.bytes.borrow_mut().resize(holder, bytes);
        let denied = match growth {
            Growth::Granted(cuts) => {
                cuts.iter().for_each(|cut| self.tell(cut));
                Ok(())
            }
            Growth::Denied(bound) => Err(bound),
        };
        self.show();
        denied
    }

    fn tell(&self, cut: &HeldAbort) {
        let Some(request) = self.requests.borrow_mut().remove(&cut.holder) else {
            return;
        };
        self.note_cut(&request.id, cut.bytes, cut.bound.as_str());
        request.cut.set(Some(cut.bound));
        request.told.notify_one();
    }

    /// Counts and logs a request that is cut.
    fn note_cut(&self, id: &str, bytes: u64, reason: &str) {
        self.metrics.held_cuts.with_label_values(&[reason]).inc();
        let total = self.bytes.borrow().total();
        tracing::warn!(
            id,
            bytes,
            total,
            reason,
            "a request is cut for what it holds"
        );
    }
}

/// What one request holds. Dropping it lets go of everything.
#[derive(Debug)]
pub(crate) struct Held {
    ledger: Rc<HeldBytesLedger>,
    holder: HolderId,
    request: Rc<Request>,
    /// Of the request itself: its body and its prompt.
    request_bytes: Cell<u64>,
}

impl Held {
    /// The request now has so many bytes in its body and its prompt.
    ///
    /// # Errors
    /// The bound that leaves no room for them.
    pub(crate) fn set_request(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.resize(bytes)?;
        self.request_bytes.set(bytes);
        Ok(())
    }

    /// The request holds `bytes` more for its prompt, the turns before it included.
    ///
    /// # Errors
    /// The bound that leaves no room for them.
    pub(crate) fn add_prompt(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.set_request(self.request_bytes.get().saturating_add(bytes))
    }

    /// So many bytes of its answer are here.
    ///
    /// # Errors
    /// The request has to let go of everything.
    pub(crate) fn set_answer(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        self.resize(self.request_bytes.get().saturating_add(bytes))
    }

    fn resize(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        if let Some(bound) = self.request.cut.get() {
            return Err(bound);
        }
        let grown = self.ledger.resize(self.holder, bytes);
        grown.inspect_err(|bound| self.note_given_up(bound.as_str()))
    }

    /// Says whether the request can be cut: not while a replica may run it unseen.
    pub(crate) fn set_abortable(&self, can_be_cut: bool) {
        let mut bytes = self.ledger.bytes.borrow_mut();
        bytes.set_abortable(self.holder, can_be_cut);
    }

    /// Waits until the request has to let go of everything.
    pub(crate) async fn cut(&self) -> HeldBytesLimit {
        loop {
            if let Some(bound) = self.request.cut.get() {
                return bound;
            }
            self.request.told.notified().await;
        }
    }

    /// Counts and logs that the request is given up for what it holds: because it may hold no more,
    /// or because nobody reads it.
    pub(crate) fn note_given_up(&self, reason: &str) {
        let bytes = self.ledger.bytes.borrow().of_holder(self.holder);
        let bytes = bytes.unwrap_or_default();
        self.ledger.note_cut(&self.request.id, bytes, reason);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.ledger.requests.borrow_mut().remove(&self.holder);
        self.ledger.bytes.borrow_mut().release(self.holder);
        self.ledger.show();
    }
}
